"""Budget of retries and hedges (repeats) of each service over all VMs.

A repeat is any attempt beyond the first of a request. Used by `primroseturn entry`.

While targets fail or are full, unlimited repeats would multiply the load. Each VM stays
within its own part of the bound, so that no message is needed: the ratio of its own
requests, and an equal part of the repeats that are allowed at any load.
"""

from collections import deque

# Fraction of the configured bounds that is used; the rest covers requests that move
# between windows, and VMs that join.
USED_FRACTION = 0.85


class ServiceWindow:
    """Times of the requests and repeats of one service in the sliding window."""

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def expire(self, before: float) -> None:
        """Remove the times before the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class RepeatBudget:
    """Repeats that this VM may send, by service.

    Parameters
    ----------
    ratio, window_s, extra
        In each window of `window_s` seconds all VMs together may send `ratio` times
        their requests plus `extra` repeats.
    """

    def __init__(self, ratio: float, window_s: float, extra: float) -> None:
        self.set_bounds(ratio, window_s, extra)
        self.fleet_size = 1
        self.windows_by_service: dict[str, ServiceWindow] = {}

    def set_bounds(self, ratio: float, window_s: float, extra: float) -> None:
        """Set the bounds for all VMs together."""
        self.ratio = ratio * USED_FRACTION
        self.window_s = window_s
        self.extra = extra * USED_FRACTION

    def count_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self.window_of(service, now).requests.append(now)

    def allowed(self, service: str, now: float) -> float:
        """Return the number of repeats that may be sent within the present window."""
        window = self.window_of(service, now)
        return self.ratio * len(window.requests) + self.extra / self.fleet_size

    def available(self, service: str, now: float) -> float:
        """Return the number of repeats that may be sent now."""
        return self.allowed(service, now) - len(self.window_of(service, now).repeats)

    def describe(self, service: str, now: float) -> str:
        """Return the figures of this VM's part of the budget as text."""
        window = self.window_of(service, now)
        return (
            f"{len(window.repeats)} repeats of {len(window.requests)} requests "
            f"within {self.window_s:g} s; {self.available(service, now):.1f} more are "
            "allowed"
        )

    def try_consume(self, service: str, now: float) -> bool:
        """Count a repeat if the budget allows one. Returns whether it does."""
        if self.available(service, now) < 1.0:
            return False
        self.window_of(service, now).repeats.append(now)
        return True

    def window_of(self, service: str, now: float) -> ServiceWindow:
        """Return the sliding window of a service that ends now."""
        window = self.windows_by_service.get(service)
        if window is None:
            window = self.windows_by_service[service] = ServiceWindow()
        window.expire(now - self.window_s)
        return window
