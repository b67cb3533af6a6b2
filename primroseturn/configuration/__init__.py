"""Configuration objects, change log, replica and keys."""
