"""Optional features that register themselves."""
