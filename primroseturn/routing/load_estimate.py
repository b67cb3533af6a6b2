"""Estimates the load of targets from reports that are some tenths of a second old.

The rates at which a data centre's VMs send attempts follow from the outcomes that the
VMs report to each other. Between two reports a target is expected to receive its part
of the rate and to finish as many requests as its slots allow. It takes `now` and does
no I/O.
"""

from math import exp, sqrt

# Time constant of the rates. Shorter ones follow noise, longer ones lag behind a demand
# that moves between data centres within some seconds.
RATE_TIME_CONSTANT_S = 0.6
# Weight of one response in the mean duration of a service's requests.
DURATION_WEIGHT = 0.05
# Duration that is assumed before the first response.
DEFAULT_DURATION_S = 0.25
# Greatest fraction of its slots that a target is expected to use between reports.
MAX_USED_FRACTION = 0.95


class RateEstimate:
    """Moving average of events per second.

    Attributes
    ----------
    level
        Rate at `at`, the monotonic time in seconds of the last event.
    """

    def __init__(self, time_constant_s: float = RATE_TIME_CONSTANT_S) -> None:
        self.time_constant_s = time_constant_s
        self.level = 0.0
        self.at = 0.0

    def add(self, count: int, now: float) -> None:
        """Count events."""
        self.level = self.per_s(now) + count / self.time_constant_s
        self.at = max(self.at, now)

    def per_s(self, now: float) -> float:
        """Return the rate at `now`."""
        return self.level * exp(min(0.0, self.at - now) / self.time_constant_s)


def relative_error(per_s: float) -> float:
    """Return the standard error of a `RateEstimate` as a fraction of the rate."""
    return 1.0 / sqrt(max(1.0, 2.0 * RATE_TIME_CONSTANT_S * per_s))


class ServiceDurations:
    """Mean duration of a service's requests in seconds."""

    def __init__(self) -> None:
        self.mean_s = DEFAULT_DURATION_S

    def add(self, took_s: float) -> None:
        """Add the duration of a response."""
        self.mean_s += DURATION_WEIGHT * (took_s - self.mean_s)


class CenterFlow:
    """Rate at which the targets of a service in one data centre receive attempts.

    Attributes
    ----------
    arrivals
        Attempts at these targets by VMs of this region.
    slots
        Slots of these targets that stay.
    """

    def __init__(self, durations: ServiceDurations) -> None:
        self.durations = durations
        self.arrivals = RateEstimate()
        self.slots = 0
        self.cached_at = -1.0
        self.cached_per_slot = 0.0

    def per_slot(self, now: float) -> float:
        """Return the attempts per second and slot."""
        if now != self.cached_at:
            self.cached_at = now
            self.cached_per_slot = self.arrivals.per_s(now) / max(1, self.slots)
        return self.cached_per_slot

    def expected_load(self, load: float, slots: int, age_s: float, now: float) -> float:
        """Return the load that is expected of a target some time after a report.

        A queue shrinks at a constant rate. Without one, the load approaches that at
        which as many requests begin as end.

        Parameters
        ----------
        load
            Requests at the target by its report.
        age_s
            Time in seconds since the target wrote the report.
        """
        duration_s = self.durations.mean_s
        steady = slots * min(MAX_USED_FRACTION, self.per_slot(now) * duration_s)
        if load > slots:
            drain_per_s = (slots - steady) / duration_s
            drained_s = (load - slots) / drain_per_s
            if age_s < drained_s:
                return load - drain_per_s * age_s
            age_s -= drained_s
            load = slots
        return steady + (load - steady) * exp(-age_s / duration_s)
