"""Decides for how long a VM relies on other VMs for what the store holds.

A confirmation of the view comes from a reading of the store, which may be another VM's.
What was written since that reading began is unknown to this VM, so its time to learn of
it has run since then, however late the confirmation came and whatever happened to the
other VM meanwhile.
"""

# Seconds of the limit that are reserved for this VM's own reading of the store: a
# response that is lost, the pause until the next reading, and that reading from another
# region with putting its version in force.
LOST_RESPONSE_S, RETRY_PAUSE_S, READING_S = 0.4, 0.15, 0.3
# Age in seconds of the view at which a VM queries the store poller, and the length of
# the range over which the VMs spread their queries. The poller begins a reading each
# 0.7 s, so it has a new one by then.
QUERY_AGE_S, QUERY_SPREAD_S = 0.8, 0.1
# Shortest time in seconds between two queries to the store poller.
MIN_QUERY_PAUSE_S = 0.1


class Reliance:
    """Times of a VM that relies on other VMs.

    Parameters
    ----------
    version_limit_s, leaving_limit_s, evacuation_limit_s
        Longest times in seconds from an acknowledgement of the store until a new
        version is in force, and until a leaving target and the targets of an evacuated
        data centre get no requests. The last one is None if there are no evacuations.
    """

    def __init__(
        self,
        version_limit_s: float,
        leaving_limit_s: float,
        evacuation_limit_s: float | None = None,
    ) -> None:
        self.max_age_s = 0.0
        self.set_limits(version_limit_s, leaving_limit_s, evacuation_limit_s)

    def set_limits(
        self,
        version_limit_s: float,
        leaving_limit_s: float,
        evacuation_limit_s: float | None = None,
    ) -> None:
        """Set the limits, from which the largest age of the view follows."""
        shortest_s = min(version_limit_s, leaving_limit_s)
        if evacuation_limit_s is not None:
            shortest_s = min(shortest_s, evacuation_limit_s)
        reserve_s = LOST_RESPONSE_S + RETRY_PAUSE_S + READING_S
        self.max_age_s = max(0.0, shortest_s - reserve_s)

    def left_s(self, age_s: float) -> float:
        """Return for how many seconds a VM may still rely on others.

        Parameters
        ----------
        age_s
            Time in seconds since the reading that confirmed the view began.
        """
        return self.max_age_s - age_s


def query_pause_s(age_s: float, spread: float) -> float:
    """Return the seconds until a VM queries the store poller.

    Parameters
    ----------
    age_s
        Age of the view in seconds.
    spread
        Number from 0 to 1 that differs between the VMs.
    """
    return max(MIN_QUERY_PAUSE_S, QUERY_AGE_S + spread * QUERY_SPREAD_S - age_s)
