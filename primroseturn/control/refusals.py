"""Logs arriving messages that are not used, few lines for many of them."""

from collections import Counter
from math import inf
from typing import Any

from primroseturn.control.events import MESSAGE_REFUSED
from primroseturn.observation.events import EventLog

# Interval in seconds of the lines of one reason, so that a flood of messages floods no
# log.
LINE_INTERVAL_S = 5.0


class RefusalLog:
    """Writes at most one line per reason and interval.

    Attributes
    ----------
    totals_by_reason
        Refused messages since the start, which each line states.
    """

    def __init__(self, events: EventLog) -> None:
        self.events = events
        self.totals_by_reason: Counter[str] = Counter()
        self.written_at_by_reason: dict[str, float] = {}

    def note(self, reason: str, now: float, **fields: Any) -> None:
        """Count a refused message and log it unless the last line is recent."""
        self.totals_by_reason[reason] += 1
        if now - self.written_at_by_reason.get(reason, -inf) < LINE_INTERVAL_S:
            return
        self.written_at_by_reason[reason] = now
        total = self.totals_by_reason[reason]
        self.events.emit(MESSAGE_REFUSED, reason=reason, total=total, **fields)
