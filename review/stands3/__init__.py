"""Stand-ins of the third review: store, targets, callers and entry processes."""
