"""Claims of operations that run at most once."""
