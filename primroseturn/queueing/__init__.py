"""Bounded, deadline-aware queue that is fair between workspaces."""
