"""Events, logs, metrics and the time line."""
