"""Whether the store responds to this VM, and which missing entries may have lapsed.

A target's entry lapses after three heartbeat intervals without a write, so also in an
outage of the store, and is written again soon after it. An entry that is missing
shortly after an outage is therefore kept for a bounded time.
"""

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from anyio import current_time, Event

from primroseturn.entry.events import STORE_LOST, STORE_REGAINED
from primroseturn.failures import StoreUnavailable
from primroseturn.observation.events import EventLog

# Seconds from the return of the store in which lapsed entries of targets that are alive
# are written again, as the platform states.
LAPSED_ENTRY_RETURN_S = 2.2


class LeaseTerms(NamedTuple):
    """Times of the platform that decide whether an entry may have lapsed.

    Attributes
    ----------
    heartbeat_s
        Seconds between two writes of a target.
    stable_s
        Seconds without a disruption after which a VM is bound to treat a missing entry
        as that of a target that has left.
    """

    heartbeat_s: float
    stable_s: float


class LapseWindow:
    """Time after an outage of the store in which missing entries may have lapsed.

    It opens only if the store has responded to no VM for at least a heartbeat interval:
    in a shorter outage a target misses one write at most, and its lease allows two. It
    ends when lapsed entries must be back, and at the latest `stable_s` after this VM
    began the last call that failed. Either the store or the way to it was disturbed
    then, so that this VM can't be bound to the removal of an entry before that time.

    Attributes
    ----------
    answered_at
        Latest monotonic time in seconds at which the store responded to any VM, as far
        as this VM knows.
    failed_at
        Monotonic time in seconds at which the last failed call began.
    ends_at
        End of the window as a monotonic time in seconds.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        self.answered_at = -inf
        self.failed_at = -inf
        self.ends_at = -inf

    def record_failure(self, began_at: float) -> None:
        """Record a failed call that began at a monotonic time in seconds."""
        self.failed_at = max(self.failed_at, began_at)

    def record_answer(self, at: float) -> None:
        """Record that the store responded to a VM at a monotonic time in seconds."""
        silent_s = at - self.answered_at
        if self.failed_at > self.answered_at and silent_s >= self.terms.heartbeat_s:
            self.ends_at = min(
                at + LAPSED_ENTRY_RETURN_S, self.failed_at + self.terms.stable_s
            )
        self.answered_at = max(self.answered_at, at)

    def is_open(self, now: float) -> bool:
        """Return whether an entry that is missing now may have lapsed."""
        return now < self.ends_at


class StoreContact:
    """Whether the store responds to this VM, and since when.

    Attributes
    ----------
    lost_at
        Monotonic time in seconds of the first failed call since the store stopped
        responding, None while it responds.
    lapses
        The time in which missing entries may have lapsed.
    regained
        Set when the store responds again.
    loss_listeners
        Called when the store stops responding.
    """

    def __init__(self, events: EventLog, terms: LeaseTerms) -> None:
        self.events = events
        self.terms = terms
        self.lapses = LapseWindow(terms)
        self.loss_listeners: list[Callable[[], None]] = []
        self.lost_at: float | None = None
        self.regained = Event()

    def record_failure(self, failure: StoreUnavailable) -> None:
        """Record a failed call; the first one after a response is logged.

        A watch that was cut is no sign of an outage. The list that replaces it is.
        """
        if failure.was_watch:
            return
        now = current_time()
        self.lapses.record_failure(now - failure.waited_s)
        if self.lost_at is None:
            self.lost_at = now
            self.regained = Event()
            self.events.emit(STORE_LOST, reason=str(failure))
            for listener in self.loss_listeners:
                listener()

    def record_response(self) -> None:
        """Record a call to which the store responded."""
        now = current_time()
        self.lapses.record_answer(now)
        if self.lost_at is not None:
            lapsed_for_s = max(0.0, self.lapses.ends_at - now)
            self.events.emit(
                STORE_REGAINED, lost_s=now - self.lost_at, lapsed_for_s=lapsed_for_s
            )
            self.lost_at = None
            self.regained.set()

    def record_relayed_response(self, age_s: float) -> None:
        """Record that the store responded to another VM a number of seconds ago."""
        self.lapses.record_answer(current_time() - age_s)
