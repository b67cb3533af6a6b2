"""Builds the single executable of the product."""
