"""Builds the product as a single executable file."""
