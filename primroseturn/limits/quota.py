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

from collections import deque
from math import exp
from typing import NamedTuple

from primroseturn.entry.models import Workspace

# Time in seconds over which demand is averaged; long enough for the few requests that
# one VM gets of one workspace.
DEMAND_SPAN_S = 2.0
# Longest time in seconds after which other VMs' admissions are seen here: two digest
# intervals, the way between regions and a late wake-up.
UNSEEN_S = 0.5
# Time in seconds that a digest takes to the other VMs, through two speakers.
REPORT_DELAY_S = 0.25
# A request waits at most this many seconds for room before it is refused; by then the
# VMs know of each other's admissions.
ADMISSION_WAIT_S = 0.4
# A party is taken to be cut off after this many seconds without a digest.
SILENT_S = 1.2
# The part of a silent party returns to the others after this many seconds.
FORGET_S = 10.0
# Part of the burst that a VM without knowledge of the fleet takes to be left.
START_SHARE = 0.5
# Demand per second below which a VM is taken to have this much.
LEAST_DEMAND = 0.05
# Least size of a VM's own bucket, so that it can admit at all.
LEAST_OWN_BURST = 1.0
# A VM may admit this multiple of its part of the bucket before the others know, since
# its callers come unevenly.
UNSEEN_FACTOR = 2.0
LEAST_UNSEEN = 1.0
# Part of the rate that is admitted while the bucket is overdrawn, and the part of the
# burst up to which that counts.
DEBT_SHARE = 0.8
DEBT_LIMIT_SHARE = 0.5


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
    own
        This VM's demand as the others know it. If it were newer than theirs, a
        growing demand would look as if it were this VM's alone.
    reported
        Own requests that the others are about to know, and when they will.
    unseen
        Times of own admissions that others may not know yet.
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
        self.reported: deque[tuple[float, int]] = deque()
        self.demand_by_party: dict[str, Demand] = {}
        self.unseen: deque[float] = deque()
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
        most = max(LEAST_OWN_BURST, burst * own_part)
        if self.level < 0:
            # Pays back what was admitted before the VMs knew of each other.
            rate *= DEBT_SHARE
        self.own_level = min(most, self.own_level + rate * own_part * elapsed)

    def has_plenty(self, demand: float, own_part: float, live_part: float) -> bool:
        """Return whether a request may be admitted from the fleet's bucket.

        Parameters
        ----------
        demand
            Requests per second of the parties that are heard.
        """
        unseen = min(demand * UNSEEN_S, self.workspace.burst * live_part / 2)
        # While more is asked than the rate, all VMs would see it recover at once.
        over = self.throttled and demand > self.workspace.rate * live_part
        return self.level - 1.0 >= unseen and not over

    def unseen_wait_s(self, own_part: float, now: float) -> float:
        """Return the time until this VM may admit more than the others know.

        What it admits unseen stays within its part of the bucket.
        """
        most = max(LEAST_UNSEEN, self.level * own_part * UNSEEN_FACTOR)
        if len(self.unseen) < most:
            return 0.0
        return self.unseen[0] + UNSEEN_S - now

    def learn_reported(self, now: float) -> None:
        """Count own requests that the others know by now."""
        while self.reported and self.reported[0][0] <= now:
            at, count = self.reported.popleft()
            self.own.add(count, at)

    def forget_seen(self, now: float) -> None:
        """Forget own admissions that the others know by now."""
        while self.unseen and self.unseen[0] < now - UNSEEN_S:
            self.unseen.popleft()


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

    def admit(self, name: str, now: float, again: bool = False) -> float:
        """Admit a request of a workspace, or return when there is room.

        Parameters
        ----------
        again
            Whether the request has waited and was counted before.

        Returns
        -------
        float
            0.0 if the request is admitted, else the expected time in seconds until
            one will be.
        """
        bucket = self.buckets_by_name.get(name)
        if bucket is None or bucket.workspace.rate <= 0:
            return 0.0
        bucket.asked += not again
        own_part, live_part, demand = self.parts(bucket, now)
        bucket.fill(now, own_part, live_part)
        bucket.forget_seen(now)
        if self.hears_fleet(now) and bucket.has_plenty(demand, own_part, live_part):
            bucket.throttled = False
            wait_s = bucket.unseen_wait_s(max(own_part, 1 / self.fleet_size), now)
            if wait_s > 0:
                return wait_s
        elif not bucket.throttled:
            bucket.throttled = True
            bucket.own_level = max(0.0, bucket.level * own_part)
        if bucket.throttled:
            if bucket.own_level < 1.0:
                rate = max(1e-3, bucket.workspace.rate * own_part)
                return (1.0 - bucket.own_level) / rate
            bucket.own_level -= 1.0
        bucket.level -= 1.0
        bucket.admitted += 1
        bucket.unseen.append(now)
        return 0.0

    def hears_fleet(self, now: float) -> bool:
        """Return whether other VMs are heard, or there are none."""
        if self.fleet_size <= 1:
            return True
        return any(now - at < SILENT_S for at in self.heard_by_party.values())

    def parts(self, bucket: WorkspaceBucket, now: float) -> tuple[float, float, float]:
        """Return the own and the live part of the rate, and the live demand."""
        bucket.learn_reported(now)
        own = max(LEAST_DEMAND, bucket.own.advance(now))
        live, silent_part = own, 0.0
        for party, demand in list(bucket.demand_by_party.items()):
            silent_s = now - self.heard_by_party.get(party, now)
            if silent_s >= FORGET_S:
                del bucket.demand_by_party[party]
            elif silent_s >= SILENT_S:
                silent_part += demand.part
            else:
                # As it was when the party was last heard.
                live += demand.per_s
        if not self.hears_fleet(now) and not bucket.demand_by_party:
            # Nobody was heard yet: an equal part, as all VMs take then.
            return 1.0 / self.fleet_size, 1.0 / self.fleet_size, own
        live_part = max(0.0, 1.0 - silent_part)
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
            debt_limit = DEBT_LIMIT_SHARE * bucket.workspace.burst
            bucket.level = max(-debt_limit, bucket.level - item.admitted)
        for bucket in self.buckets_by_name.values():
            demand = bucket.demand_by_party.get(party)
            if demand is not None:
                demand.advance(now)
                _, live_part, live = self.parts(bucket, now)
                demand.part = live_part * demand.per_s / max(live, LEAST_DEMAND)

    def drain_usage(self, now: float) -> tuple[Usage, ...]:
        """Return and clear what this VM asked and admitted since the last call."""
        found = []
        for name, bucket in self.buckets_by_name.items():
            if bucket.asked:
                found.append(Usage(name, bucket.asked, bucket.admitted))
                bucket.reported.append((now + REPORT_DELAY_S, bucket.asked))
                bucket.asked = bucket.admitted = 0
        return tuple(found)

    def forget(self, party: str) -> None:
        """Drop a party that has left for good."""
        self.heard_by_party.pop(party, None)
        for bucket in self.buckets_by_name.values():
            bucket.demand_by_party.pop(party, None)
