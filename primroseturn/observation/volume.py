"""Bounds the number of log lines per second for each kind of event."""

from collections import Counter

# Log lines per second for each kind of event. The limit for served requests is lower:
# they are the most frequent lines and the least useful ones.
MAX_LINES_PER_S = 50
MAX_SERVED_LINES_PER_S = 20


class LogLimiter:
    """Limits the lines per second of each event, and counts the lines left out.

    Attributes
    ----------
    limits_by_event
        Lines per second of events that have their own limit.
    second
        Current second, for which `lines_by_event` counts all lines.
    """

    def __init__(self, limits_by_event: dict[int, int] | None = None) -> None:
        self.limits_by_event = limits_by_event or {}
        self.second = 0
        self.lines_by_event: Counter[int] = Counter()
        self.left_out_by_event: Counter[int] = Counter()

    def admit(self, event: int, now: float) -> bool:
        """Return whether a line of an event may be written now; count it either way."""
        if int(now) != self.second:
            self.second = int(now)
            self.lines_by_event.clear()
        self.lines_by_event[event] += 1
        limit = self.limits_by_event.get(event, MAX_LINES_PER_S)
        if self.lines_by_event[event] <= limit:
            return True
        self.left_out_by_event[event] += 1
        return False

    def pop_left_out(self, now: float) -> dict[int, int]:
        """Return and reset the counts of left-out lines of past seconds."""
        if int(now) == self.second or not self.left_out_by_event:
            return {}
        left_out = dict(self.left_out_by_event)
        self.left_out_by_event.clear()
        return left_out
