"""Observations of upstreams and failure detectors."""
