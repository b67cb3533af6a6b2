"""Route matching and target choice."""
