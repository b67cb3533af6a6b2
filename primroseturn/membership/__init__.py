"""Fleet membership and target listings."""
