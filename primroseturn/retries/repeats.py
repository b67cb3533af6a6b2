"""Budget of arrivals beyond the first of each request, summed over all VMs.

Answers the load of failing or full targets, where repeats would multiply the load.
Each VM stays within its own part, so that no message is needed: the ratio of its own
requests, and an equal part of what the bound allows whatever the load.
"""

from collections import deque

# Part of the stated bound that is used; the rest covers requests that move between
# windows and VMs that join.
USED_SHARE = 0.85


class ServiceArrivals:
    """Requests and repeats of one service in the running window."""

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def expire(self, before: float) -> None:
        """Forget what lies before the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class RepeatBudget:
    """Repeats that this VM may send, by service.

    Parameters
    ----------
    ratio, window_s, extra
        In each window all VMs together may send `ratio` times their requests plus
        `extra` repeats.
    """

    def __init__(self, ratio: float, window_s: float, extra: float) -> None:
        self.set_bounds(ratio, window_s, extra)
        self.fleet_size = 1
        self.arrivals_by_service: dict[str, ServiceArrivals] = {}

    def set_bounds(self, ratio: float, window_s: float, extra: float) -> None:
        """Set the bounds for all VMs together."""
        self.ratio = ratio * USED_SHARE
        self.window_s = window_s
        self.extra = extra * USED_SHARE

    def count_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self.arrivals_of(service, now).requests.append(now)

    def available(self, service: str, now: float) -> float:
        """Return the repeats that may be sent now."""
        arrivals = self.arrivals_of(service, now)
        allowed = self.ratio * len(arrivals.requests) + self.extra / self.fleet_size
        return allowed - len(arrivals.repeats)

    def describe(self, service: str, now: float) -> str:
        """Return what is left of this VM's part of the budget, and of what."""
        arrivals = self.arrivals_of(service, now)
        return (
            f"{len(arrivals.repeats)} repeats of {len(arrivals.requests)} requests "
            f"within {self.window_s:g} s leave {self.available(service, now):.1f}"
        )

    def try_consume(self, service: str, now: float) -> bool:
        """Count a repeat if the budget has one left."""
        if self.available(service, now) < 1.0:
            return False
        self.arrivals_of(service, now).repeats.append(now)
        return True

    def arrivals_of(self, service: str, now: float) -> ServiceArrivals:
        """Return the running window of a service."""
        arrivals = self.arrivals_by_service.get(service)
        if arrivals is None:
            arrivals = self.arrivals_by_service[service] = ServiceArrivals()
        arrivals.expire(now - self.window_s)
        return arrivals
