"""Timeline: events of several processes in one order of time."""
