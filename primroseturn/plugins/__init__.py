"""Optional features, whose commands are registered when they are imported."""
