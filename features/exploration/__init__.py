"""Seeded exploration of protocols with random schedules on virtual time."""
