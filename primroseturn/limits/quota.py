"""Rate and burst of workspaces over all VMs, from counts that VMs exchange.

Answers the load of a workspace that sends many times its rate through all VMs, while
the others must not notice. No VM holds tokens for another and nothing is stored: each
VM models the bucket of the whole fleet from its own admissions and those that others
report some tenths of a second later.

- While the modelled bucket holds more than what may have been admitted unseen, a VM
  admits at once.
- Otherwise it admits from a bucket of its own, which fills with the part of the rate
  that its callers' demand has in the demand of the fleet.
- A party (a VM of this data centre, or another data centre) that is not heard keeps
  the part that it had, and the rest of the fleet shares what is left. Both sides of a
  partition thus stay within the rate together.

Weighed against it: shares recorded in the store, with loans between VMs
(`primroseturn.limits.share`). They are exact, but a killed VM takes its shares along
until a lease ends, and most VMs of a platform site may be killed at once.
"""

from math import exp
from typing import NamedTuple

from primroseturn.entry.models import Workspace

# Time in seconds over which demand is averaged.
DEMAND_SPAN_S = 0.6
# Longest time in seconds after which other VMs' admissions are seen here: two digest
# intervals, the way between regions and a late wake-up.
UNSEEN_S = 0.5
# A party is taken to be cut off after this many seconds without a digest.
SILENT_S = 2.0
# The part of a silent party returns to the others after this many seconds.
FORGET_S = 10.0
# Part of the burst that a VM without knowledge of the fleet takes to be left.
START_SHARE = 0.5
# Demand per second below which a VM is taken to have this much.
LEAST_DEMAND = 0.05
# Largest number of requests that a VM saves up in its own bucket.
OWN_BURST = 1.0


class Usage(NamedTuple):
    """Requests of a workspace that were asked and admitted since the last digest."""

    workspace: str
    asked: int
    admitted: int


class Demand:
    """Averaged requests per second of one party.

    Attributes
    ----------
    part
        Part of the fleet's demand while the party was last heard.
    """

    def __init__(self, now: float) -> None:
        self.per_s = 0.0
        self.at = now
        self.part = 0.0

    def advance(self, now: float) -> float:
        """Return the demand at a time."""
        if now > self.at:
            self.per_s *= exp((self.at - now) / DEMAND_SPAN_S)
            self.at = now
        return self.per_s

    def add(self, count: int, now: float) -> None:
        """Add requests."""
        self.advance(now)
        self.per_s += count / DEMAND_SPAN_S


class WorkspaceBucket:
    """The modelled bucket of one workspace.

    Attributes
    ----------
    level
        Requests that the fleet may still admit at once.
    own_level
        Requests that this VM may admit from its own part.
    asked, admitted
        Own requests since the last digest.
    """

    def __init__(self, workspace: Workspace, now: float) -> None:
        self.workspace = workspace
        self.level = START_SHARE * workspace.burst
        self.own_level = 0.0
        self.filled_at = now
        self.throttled = False
        self.own = Demand(now)
        self.demand_by_party: dict[str, Demand] = {}
        self.asked = 0
        self.admitted = 0

    def use(self, workspace: Workspace) -> None:
        """Take over changed limits."""
        self.workspace = workspace
        self.level = min(self.level, workspace.burst)

    def fill(self, now: float, own_part: float, live_part: float) -> None:
        """Add what the rate has given since the last call."""
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = now
        rate, burst = self.workspace.rate, self.workspace.burst
        self.level = min(burst * live_part, self.level + rate * live_part * elapsed)
        self.own_level = min(OWN_BURST, self.own_level + rate * own_part * elapsed)


class FleetQuota:
    """Admits requests of workspaces within their rate.

    Attributes
    ----------
    heard_by_party
        Monotonic time in seconds of the last digest of each other party.
    fleet_size
        Number of VMs, for the time before any is heard.
    """

    def __init__(self) -> None:
        self.fleet_size = 1
        self.buckets_by_name: dict[str, WorkspaceBucket] = {}
        self.heard_by_party: dict[str, float] = {}

    def use_workspaces(self, by_name: dict[str, Workspace], now: float) -> None:
        """Take over the limits of a configuration."""
        for name, workspace in by_name.items():
            bucket = self.buckets_by_name.get(name)
            if bucket is None:
                self.buckets_by_name[name] = WorkspaceBucket(workspace, now)
            else:
                bucket.use(workspace)
        for name in self.buckets_by_name.keys() - by_name.keys():
            del self.buckets_by_name[name]

    def admit(self, name: str, now: float) -> float:
        """Admit a request of a workspace, or return when there is room.

        Returns
        -------
        float
            0.0 if the request is admitted, else the expected time in seconds until
            one will be.
        """
        bucket = self.buckets_by_name.get(name)
        if bucket is None or bucket.workspace.rate <= 0:
            return 0.0
        bucket.asked += 1
        bucket.own.add(1, now)
        own_part, live_part, demand = self.parts(bucket, now)
        bucket.fill(now, own_part, live_part)
        plenty = bucket.level - 1.0 >= min(
            demand * UNSEEN_S, bucket.workspace.burst * live_part / 2
        )
        if plenty and self.hears_fleet(now):
            bucket.throttled = False
        elif not bucket.throttled:
            bucket.throttled = True
            bucket.own_level = 0.0 if self.heard_by_party else OWN_BURST
        if bucket.throttled:
            if bucket.own_level < 1.0:
                rate = max(1e-3, bucket.workspace.rate * own_part)
                return (1.0 - bucket.own_level) / rate
            bucket.own_level -= 1.0
        bucket.level -= 1.0
        bucket.admitted += 1
        return 0.0

    def hears_fleet(self, now: float) -> bool:
        """Return whether other VMs are heard, or there are none."""
        if self.fleet_size <= 1:
            return True
        return any(now - at < SILENT_S for at in self.heard_by_party.values())

    def parts(self, bucket: WorkspaceBucket, now: float) -> tuple[float, float, float]:
        """Return the own and the live part of the rate, and the live demand."""
        own = max(LEAST_DEMAND, bucket.own.advance(now))
        live, silent_part = own, 0.0
        for party, demand in list(bucket.demand_by_party.items()):
            silent_s = now - self.heard_by_party.get(party, now)
            if silent_s >= FORGET_S:
                del bucket.demand_by_party[party]
            elif silent_s >= SILENT_S:
                silent_part += demand.part
            else:
                live += demand.advance(now)
        live_part = max(0.0, 1.0 - silent_part)
        if not self.hears_fleet(now) and not bucket.demand_by_party:
            # Nobody was heard yet: an equal part, as all VMs take then.
            return 1.0 / self.fleet_size, 1.0 / self.fleet_size, own
        for party, demand in bucket.demand_by_party.items():
            if now - self.heard_by_party.get(party, now) < SILENT_S:
                demand.part = live_part * demand.per_s / live
        return live_part * own / live, live_part, live

    def take_usage(self, party: str, usage: tuple[Usage, ...], now: float) -> None:
        """Take note of what another party asked and admitted."""
        self.heard_by_party[party] = now
        for item in usage:
            bucket = self.buckets_by_name.get(item.workspace)
            if bucket is None:
                continue
            demand = bucket.demand_by_party.get(party)
            if demand is None:
                demand = bucket.demand_by_party[party] = Demand(now)
            demand.add(item.asked, now)
            bucket.level = max(-bucket.workspace.burst, bucket.level - item.admitted)

    def drain_usage(self) -> tuple[Usage, ...]:
        """Return and clear what this VM asked and admitted since the last call."""
        found = []
        for name, bucket in self.buckets_by_name.items():
            if bucket.asked:
                found.append(Usage(name, bucket.asked, bucket.admitted))
                bucket.asked = bucket.admitted = 0
        return tuple(found)

    def forget(self, party: str) -> None:
        """Drop a party that has left for good."""
        self.heard_by_party.pop(party, None)
        for bucket in self.buckets_by_name.values():
            bucket.demand_by_party.pop(party, None)
