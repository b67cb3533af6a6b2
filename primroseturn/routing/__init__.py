"""Matching of requests to routes, and choice of targets."""
