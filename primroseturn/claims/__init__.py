"""Claims of operations that must not repeat."""
