"""Benchmarks: latency of a daemon, and costs of the control plane and of each role."""
