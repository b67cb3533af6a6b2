"""Averages of the requests per second of one workspace."""

from collections import deque
from math import exp, sqrt

# Time constant of the average demand; long enough for the few requests that one VM
# receives from one workspace.
DEMAND_TIME_CONSTANT_S = 2.0
# Time constant of the recent demand, which shows a sudden growth. Until the VMs see the
# growth, they admit all of it.
RECENT_TIME_CONSTANT_S = 0.5
# Standard deviations by which the recent demand must exceed the average to count. With
# 2, a growth to 8 times the rate is seen too late to stay within the tolerances.
PROOF_FACTOR = 1.0
# Demand is averaged over at least this time, in which some requests and digests arrive.
MIN_DEMAND_AGE_S = 0.3
# Time that a digest takes to the other VMs, through two aggregators.
DIGEST_DELAY_S = 0.25
# Ranks that are distinguished; requests of less urgent ranks count as the last one.
RANKS = 3
# Demand per second that a VM assumes for itself at least.
MIN_DEMAND_PER_S = 0.05


class AverageDemand:
    """Exponentially weighted average of requests per second.

    Attributes
    ----------
    time_constant_s
        Time in seconds in which the weight of a request falls to 1/e.
    decayed_per_s
        Decayed sum of the requests, divided by the time constant. It is too low until
        requests were counted for some time constants; `advance` corrects this.
    updated_at
        Monotonic time in seconds up to which the sum has decayed.
    counted_since
        Monotonic time in seconds from which requests were counted.
    """

    def __init__(
        self, now: float, time_constant_s: float = DEMAND_TIME_CONSTANT_S
    ) -> None:
        self.time_constant_s = time_constant_s
        self.decayed_per_s = 0.0
        self.updated_at = self.counted_since = now

    def advance(self, now: float) -> float:
        """Decay the sum up to `now` and return the requests per second."""
        if now > self.updated_at:
            self.decayed_per_s *= exp((self.updated_at - now) / self.time_constant_s)
            self.updated_at = now
        age_s = max(MIN_DEMAND_AGE_S, now - self.counted_since)
        return self.decayed_per_s / (1.0 - exp(-age_s / self.time_constant_s))

    def add(self, count: int, now: float) -> None:
        """Add requests."""
        self.advance(now)
        self.decayed_per_s += count / self.time_constant_s

    def proven_per_s(self, now: float) -> float:
        """Return requests per second less `PROOF_FACTOR` standard deviations.

        Few requests in the time constant say little, so the result is then near 0.
        """
        self.advance(now)
        number = self.decayed_per_s * self.time_constant_s
        return max(0.0, number - PROOF_FACTOR * sqrt(number)) / self.time_constant_s

    def skip(self, seconds: float) -> None:
        """Leave out a time in which this VM stood still, without decay."""
        self.updated_at += seconds


class RankDemand:
    """The parts of the demand that are less urgent than rank 0, over all VMs.

    Attributes
    ----------
    averages
        Requests per second of ranks 1 and 2.
    """

    def __init__(self, now: float) -> None:
        self.averages = [AverageDemand(now) for _ in range(RANKS - 1)]

    def add(self, counts: tuple[int, ...], now: float) -> None:
        """Add requests of ranks 1 and 2."""
        for average, count in zip(self.averages, counts, strict=True):
            if count:
                average.add(count, now)

    def split(self, demand: float, average: float, now: float) -> list[float]:
        """Return the demand by rank.

        Parameters
        ----------
        demand, average
            Requests per second of all ranks, with and without recent growth, which is
            taken to be of all ranks alike.
        """
        factor = demand / average
        parts = []
        rest = demand
        for less_urgent in reversed(self.averages):
            part = min(rest, less_urgent.advance(now) * factor)
            rest -= part
            parts.append(part)
        return [rest, *reversed(parts)]


class FleetDemand:
    """The demand of one workspace at this VM and at the other VMs.

    Attributes
    ----------
    own
        This VM's demand as the other VMs know it: own requests are counted with the
        delay of the digests, like those of the other VMs. Without the delay a growing
        demand would look as if it were this VM's alone.
    counts_in_transit
        Own requests in digests that are on the way, with the time of their arrival.
    peers
        The demand that the digests of other VMs show.
    recent
        The demand of all VMs, over a shorter time.
    by_rank
        The parts of the demand that are less urgent.
    own_fraction
        Fraction of the demand that was this VM's when it last received digests.
    growth_per_s
        Requests per second by which the recent demand exceeds the average.
    """

    def __init__(self, now: float) -> None:
        self.own = AverageDemand(now)
        self.peers = AverageDemand(now)
        self.recent = AverageDemand(now, RECENT_TIME_CONSTANT_S)
        self.by_rank = RankDemand(now)
        self.counts_in_transit: deque[tuple[float, int]] = deque()
        self.own_fraction = self.growth_per_s = 0.0

    def own_per_s(self, now: float) -> float:
        """Return this VM's requests per second, at least `MIN_DEMAND_PER_S`."""
        while self.counts_in_transit and self.counts_in_transit[0][0] <= now:
            at, count = self.counts_in_transit.popleft()
            self.own.add(count, at)
            self.recent.add(count, at)
        return max(MIN_DEMAND_PER_S, self.own.advance(now))

    def total_per_s(self, now: float) -> float:
        """Return the requests per second at all reachable VMs."""
        own = self.own_per_s(now)
        average = own + self.peers.advance(now)
        self.own_fraction = own / average
        self.growth_per_s = max(0.0, self.recent.proven_per_s(now) - average)
        return average + self.growth_per_s

    def record_sent(self, count: int, now: float) -> None:
        """Record own requests that are being sent to the other VMs."""
        self.counts_in_transit.append((now + DIGEST_DELAY_S, count))

    def add_peers(self, count: int, now: float) -> None:
        """Add requests at other VMs."""
        self.peers.add(count, now)
        self.recent.add(count, now)

    def forget_peers(self, now: float) -> None:
        """Drop counts of other VMs from before a time without digests."""
        self.peers = AverageDemand(now)

    def skip(self, seconds: float) -> None:
        """Leave out a time in which this VM stood still."""
        for average in (self.own, self.peers, self.recent):
            average.skip(seconds)
