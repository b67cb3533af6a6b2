"""Stand-ins for the cases 6 to 10: store, targets, callers and the platform."""
