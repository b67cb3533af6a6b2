"""Admission of requests to services under load, by rank and workspace."""
