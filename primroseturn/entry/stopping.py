"""Decides which requests a VM still accepts during its planned stop.

A request that is passed on must end before the process does. The load balancer sends
new connections for some seconds after the signal, and callers go on using those that
they have.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

from anyio import CancelScope

# Fractions of the time between the signal to stop and SIGKILL. First, new connections
# are accepted while the load balancer still sends them. Then requests in flight may
# finish, for which 2.5 of 6 s are left. The VM's store object is removed while they
# finish, and the process ends in the remaining time.
LISTEN_SHARE = 0.5
FINISH_SHARE = 0.42
# Fraction of that time, at the end of the share to finish, in which requests that have
# not ended get their refusal.
ANSWER_SHARE = 0.02
# Seconds after the end of listening in which requests still arrive that were sent
# before it.
TRANSIT_S = 0.1
# Multiple of the typical duration within which a request probably ends.
DURATION_FACTOR = 3.0
# Seconds after the begin of a stop until which a request is accepted that only probably
# ends in time. The platform excuses a request that is cut off at the end of the stop
# only if it was sent within 3 s after the signal, which this VM handles a little later.
PROBABLE_END_S = 2.95


class StopSchedule:
    """The time that requests have during a planned stop.

    Parameters
    ----------
    limit_s
        Seconds between SIGTERM and SIGKILL.

    Attributes
    ----------
    began_at
        Monotonic time in seconds at which the stop began, infinity before.
    scopes
        The scopes of the requests that are forwarded.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.began_at = inf
        self.scopes: set[CancelScope] = set()

    @property
    def has_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self.began_at != inf

    def begin(self, now: float) -> None:
        """Begin the stop, unless it has begun."""
        self.began_at = min(self.began_at, now)
        for scope in self.scopes:
            scope.deadline = min(scope.deadline, self.ends_at)

    def set_limit(self, limit_s: float) -> None:
        """Set the seconds between SIGTERM and SIGKILL, unless the stop has begun."""
        if not self.has_begun:
            self.limit_s = limit_s

    @property
    def listen_s(self) -> float:
        """Return for how many seconds of the stop new connections are accepted."""
        return LISTEN_SHARE * self.limit_s

    @property
    def finish_s(self) -> float:
        """Return how many seconds requests have to finish after that."""
        return FINISH_SHARE * self.limit_s

    @property
    def ends_at(self) -> float:
        """Return the monotonic time in seconds at which requests get their refusal."""
        share = LISTEN_SHARE + FINISH_SHARE - ANSWER_SHARE
        return self.began_at + share * self.limit_s

    def left_s(self, now: float) -> float:
        """Return the time in seconds until requests get their refusal."""
        return self.ends_at - now

    @contextmanager
    def limit(self, deadline_at: float) -> Iterator[CancelScope]:
        """Cancel what runs in the context at a deadline, or before the process ends.

        Parameters
        ----------
        deadline_at
            Monotonic time in seconds.
        """
        with CancelScope(deadline=min(deadline_at, self.ends_at)) as scope:
            self.scopes.add(scope)
            try:
                yield scope
            finally:
                self.scopes.discard(scope)

    def accepts(self, request_left_s: float, expected_s: float, now: float) -> bool:
        """Return whether a request that arrives now may be passed on.

        One whose own time ends before requests get their refusal is always answered.
        Any other must probably end in time, must have been sent before the end of
        listening and arrive within `PROBABLE_END_S`.

        Parameters
        ----------
        request_left_s
            Seconds until the deadline of the request.
        expected_s
            Seconds within which such a request probably ends.
        """
        left_s = self.left_s(now)
        if request_left_s <= left_s:
            return True
        accepted_s = min(PROBABLE_END_S, self.listen_s + TRANSIT_S)
        return now - self.began_at <= accepted_s and expected_s <= left_s
