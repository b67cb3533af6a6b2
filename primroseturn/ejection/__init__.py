"""Ejection and re-admission of targets above the floor."""
