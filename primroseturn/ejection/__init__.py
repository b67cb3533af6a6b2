"""Ejection and readmission of targets within the floor."""
