"""Events, logs, metrics and the timeline."""
