"""Optional features that register themselves when they are imported."""
