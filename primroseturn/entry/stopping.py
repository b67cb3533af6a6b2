"""Decides which requests a VM still accepts during its planned stop.

A request that is passed on must end before the process does. The load balancer sends
new connections for some seconds after the signal, and callers go on using those that
they have.
"""

from math import inf

# Fractions of the time between the signal to stop and SIGKILL. First, new connections
# are accepted while the load balancer still sends them. Then requests in flight may
# finish, for which 2.5 of 6 s are left. The VM's store object is removed while they
# finish, and the process ends in the remaining time.
LISTEN_SHARE = 0.5
FINISH_SHARE = 0.42
# Seconds after the end of listening in which requests still arrive that were sent
# before it.
TRANSIT_S = 0.1
# Multiple of the typical duration within which a request probably ends.
DURATION_FACTOR = 3.0


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
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.began_at = inf

    @property
    def has_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self.began_at != inf

    def begin(self, now: float) -> None:
        """Begin the stop, unless it has begun."""
        self.began_at = min(self.began_at, now)

    def left_s(self, now: float) -> float:
        """Return the time in seconds until requests are cut off."""
        return self.began_at + (LISTEN_SHARE + FINISH_SHARE) * self.limit_s - now

    def accepts(self, request_left_s: float, expected_s: float, now: float) -> bool:
        """Return whether a request that arrives now may be passed on.

        One whose own time ends before the process does is always answered. Any other
        must probably end in time, and must have been sent before the end of listening.

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
        listened_s = now - self.began_at - TRANSIT_S
        return listened_s <= LISTEN_SHARE * self.limit_s and expected_s <= left_s
