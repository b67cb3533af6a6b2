"""Bounds the number of log lines of each kind and second."""

from collections import Counter

# Lines of one kind that are written in one second. Most requests are served, and their
# lines say least.
MAX_LINES_PER_S = 50
MAX_SERVED_LINES_PER_S = 20


class LogVolume:
    """Counts the lines of the running second and those left out."""

    def __init__(self, limits_by_event: dict[int, int] | None = None) -> None:
        self.limits_by_event = limits_by_event or {}
        self.second = 0
        self.lines_by_event: Counter[int] = Counter()
        self.left_out_by_event: Counter[int] = Counter()

    def admit(self, event: int, now: float) -> bool:
        """Return whether a line of an event may be written at a time."""
        if int(now) != self.second:
            self.second = int(now)
            self.lines_by_event.clear()
        self.lines_by_event[event] += 1
        limit = self.limits_by_event.get(event, MAX_LINES_PER_S)
        if self.lines_by_event[event] <= limit:
            return True
        self.left_out_by_event[event] += 1
        return False

    def drain_left_out(self, now: float) -> dict[int, int]:
        """Return and clear the lines left out in seconds that are over."""
        if int(now) == self.second or not self.left_out_by_event:
            return {}
        left_out = dict(self.left_out_by_event)
        self.left_out_by_event.clear()
        return left_out
