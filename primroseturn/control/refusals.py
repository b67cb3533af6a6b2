"""Logs refused messages with a limited rate of lines."""

from collections import Counter
from math import inf
from typing import Any

from primroseturn.control.events import MESSAGE_REFUSED
from primroseturn.observation.events import EventLog

# Shortest time between two lines of one reason, so that a flood of messages does not
# flood the log.
LINE_INTERVAL_S = 5.0


class RefusalLog:
    """Writes at most one line per reason in each `LINE_INTERVAL_S`.

    Attributes
    ----------
    totals_by_reason
        Number of messages refused since the start; each line states it.
    written_at_by_reason
        Monotonic time in seconds of the last line.
    """

    def __init__(self, events: EventLog) -> None:
        self.events = events
        self.totals_by_reason: Counter[str] = Counter()
        self.written_at_by_reason: dict[str, float] = {}

    def record(self, reason: str, now: float, **fields: Any) -> None:
        """Count a refused message, and log it unless the last line is recent."""
        self.totals_by_reason[reason] += 1
        if now - self.written_at_by_reason.get(reason, -inf) < LINE_INTERVAL_S:
            return
        self.written_at_by_reason[reason] = now
        total = self.totals_by_reason[reason]
        self.events.emit(MESSAGE_REFUSED, reason=reason, total=total, **fields)
