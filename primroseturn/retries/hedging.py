"""When to send a second copy (a hedge) of a slow request."""

from collections import deque
from collections.abc import Callable

HEDGE_QUANTILE = 0.95
MAX_SAMPLES = 200
MIN_SAMPLES = 50
REFRESH_SAMPLES = 20


class RecentLatencies:
    """The latest latencies of a route class, with quantiles in seconds."""

    def __init__(self) -> None:
        self.values: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.sample_count = 0
        self.hedge_quantile_s = 0.0
        self.median_latency_s = 0.0

    def add(self, latency_s: float) -> None:
        """Add a latency; the quantiles are updated after every `REFRESH_SAMPLES`."""
        self.values.append(latency_s)
        self.sample_count += 1
        if self.sample_count % REFRESH_SAMPLES == 0:
            ordered = sorted(self.values)
            self.hedge_quantile_s = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]
            self.median_latency_s = ordered[len(ordered) // 2]


class Hedging:
    """Chooses the delay after which a hedge may be sent.

    Parameters
    ----------
    has_free_slots
        Returns whether this VM has free slots of a service in its own data centre.
    """

    def __init__(self, has_free_slots: Callable[[str], bool]) -> None:
        self.has_free_slots = has_free_slots
        self.latencies_by_class: dict[tuple[str, str], RecentLatencies] = {}

    def record_latency(self, service: str, route_class: str, latency_s: float) -> None:
        """Record the latency of a successful response."""
        key = (service, route_class)
        recent = self.latencies_by_class.get(key)
        if recent is None:
            recent = self.latencies_by_class[key] = RecentLatencies()
        recent.add(latency_s)

    def delay_s(self, service: str, route_class: str) -> float | None:
        """Return the delay in seconds, or None if no hedge may be sent."""
        recent = self.latencies_by_class.get((service, route_class))
        if recent is None or recent.sample_count < MIN_SAMPLES:
            return None
        return recent.hedge_quantile_s if self.has_free_slots(service) else None
