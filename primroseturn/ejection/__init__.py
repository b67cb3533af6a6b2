"""Ejection of targets within the floor, and their return."""
