"""Administration API, its client and the status report."""
