"""Replay of recorded traces through the decision code."""
