"""Seeded exploration of protocols on virtual time."""
