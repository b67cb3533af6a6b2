"""Replays traces on a virtual clock through the decision code of the daemon."""
