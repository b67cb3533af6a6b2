"""Rate and burst of workspaces over all VMs, from counts that VMs exchange.

Answers the load of a workspace that sends many times its rate through all VMs, while
the others must not notice. No VM holds tokens for another and nothing is stored: each
VM models the bucket of the whole fleet from its own admissions and those that others
report some tenths of a second later.

- Each VM admits the same part of the requests that it gets: what the rate gives in a
  second and a part of the modelled bucket, over the demand of the fleet. An overdrawn
  bucket lowers the part until the debt is paid. No VM has tokens of its own, which
  would be lost where few callers come.
- A VM knows how many VMs' counts reach it. While some are out of reach, the rest
  admits from its part of the rate and of the burst, so that both sides of a partition
  stay within them together.

Weighed against it: shares recorded in the store, with loans between VMs
(`primroseturn.limits.share`). They are exact, but a killed VM takes its shares along
until a lease ends, and most VMs of a platform site may be killed at once.
"""

from collections import deque
from enum import Enum
from math import exp, inf
from random import Random
from typing import Annotated, NamedTuple

from msgspec import Meta

from primroseturn.entry.models import Workspace

# Time in seconds over which demand is averaged; long enough for the few requests that
# one VM gets of one workspace.
DEMAND_SPAN_S = 2.0
# Least time in seconds for which an average stands; some requests and digests arrive in
# it.
LEAST_DEMAND_AGE_S = 0.3
# Time in seconds that a digest takes to the other VMs, through two aggregators.
REPORT_DELAY_S = 0.25
# A request waits at most this many seconds for room before it is refused; by then the
# VMs know of each other's admissions.
ADMISSION_WAIT_S = 0.4
LEAST_WAIT_S = 0.05
# A VM that heard no digest for this many seconds counts as cut off from the fleet.
REPORT_TIMEOUT_S = 1.2
# Largest part of the demand that a VM takes along when it is cut off; the VMs on the
# other side leave it an equal part only.
LONE_PART_LIMIT = 0.1
# Demand per second below which a VM is taken to have this much.
LEAST_DEMAND = 0.05
# Time in seconds in which the level of the bucket is spent, or a debt is paid back;
# above the delay of the digests, so that the VMs together do not overshoot.
SPEND_S = 1.0
# A VM admits at most this many requests, or this multiple of an equal part of the
# bucket, before the others know of them, since a demand may grow at all VMs at once.
LEAST_UNSEEN = 6
UNSEEN_FACTOR = 4.0
# Time in seconds after which the others know.
UNSEEN_S = 0.5
# Longest debt, as the time in seconds in which the rate pays it back. The users judge
# windows of 5 s.
DEBT_LIMIT_S = 2.5
# Above all requests of a data centre in one digest; sums of counts up to this fit a
# message.
COUNT_LIMIT = 1_000_000

Count = Annotated[int, Meta(ge=0, le=COUNT_LIMIT)]


class RateRefusal(Enum):
    """Why a request of a workspace is refused for the rate.

    Attributes
    ----------
    OVER_RATE
        The workspace asks more than its rate, or is in debt.
    CUT_OFF
        Other VMs are out of reach, and their part of the rate is held back.
    JUST_STARTED
        This VM has not counted the workspace for long enough to know its demand.
    UNREPORTED
        More came at once to this VM than it admits before the others know.
    """

    OVER_RATE = "over-rate"
    CUT_OFF = "cut-off"
    JUST_STARTED = "just-started"
    UNREPORTED = "unreported"


STATEMENTS = {
    RateRefusal.OVER_RATE: "the workspace is over its rate",
    RateRefusal.CUT_OFF: "this VM does not hear the whole fleet",
    RateRefusal.JUST_STARTED: "this VM has just begun to count the workspace",
    RateRefusal.UNREPORTED: "more requests came to this VM at once than it may admit",
}


class RateExplanation(NamedTuple):
    """Why a request is refused for the rate, and the figures that decided it."""

    reason: RateRefusal
    detail: str


class Usage(NamedTuple):
    """Requests of a workspace that were asked and admitted since the last digest."""

    workspace: str
    requested: Count
    admitted: Count


class AverageDemand:
    """Averaged requests per second.

    Attributes
    ----------
    since
        Monotonic time in seconds from which requests were counted. The average is
        taken over the time since then, so that it is not too low at first.
    """

    def __init__(self, now: float) -> None:
        self.decayed_per_s = 0.0
        self.at = self.since = now

    def advance(self, now: float) -> float:
        """Return the demand at a time."""
        if now > self.at:
            self.decayed_per_s *= exp((self.at - now) / DEMAND_SPAN_S)
            self.at = now
        age_s = max(LEAST_DEMAND_AGE_S, now - self.since)
        return self.decayed_per_s / (1.0 - exp(-age_s / DEMAND_SPAN_S))

    def add(self, count: int, now: float) -> None:
        """Add requests."""
        self.advance(now)
        self.decayed_per_s += count / DEMAND_SPAN_S


class WorkspaceBucket:
    """The modelled bucket of one workspace.

    Attributes
    ----------
    level
        Requests that the fleet may still admit at once; none at the start, when this VM
        does not know what the others have admitted.
    credit
        Part of a request that this VM may admit: each request that is asked adds the
        part that is admitted, and each that is admitted takes one.
    own_demand
        This VM's demand as the others know it. If it were newer than theirs, a
        growing demand would look as if it were this VM's alone.
    peer_demand
        The demand that the digests of other VMs show.
    own_part
        Part of the demand that was this VM's when it last heard the fleet.
    reported
        Own requests that the others are about to know, and when they will.
    unseen
        Times of own admissions that others may not know yet.
    created_at
        Monotonic time in seconds at which this VM began to count.
    requested, admitted
        Own requests since the last digest.
    """

    def __init__(self, workspace: Workspace, credit: float, now: float) -> None:
        self.workspace = workspace
        self.level = 0.0
        self.credit = credit
        self.filled_at = self.created_at = now
        self.own_demand = AverageDemand(now)
        self.reported: deque[tuple[float, int]] = deque()
        self.peer_demand = AverageDemand(now)
        self.own_part = 0.0
        self.unseen: deque[float] = deque()
        self.requested = 0
        self.admitted = 0

    def use(self, workspace: Workspace) -> None:
        """Take over changed limits."""
        self.workspace = workspace
        self.level = min(self.level, workspace.burst)

    def fill(self, now: float, live_part: float) -> None:
        """Add what the rate has given since the last call."""
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = now
        rate, burst = self.workspace.rate, self.workspace.burst
        self.level = min(burst * live_part, self.level + rate * live_part * elapsed)

    def admitted_part(self, demand: float, live_part: float) -> float:
        """Return the part of the requests that all VMs admit now.

        Parameters
        ----------
        demand
            Requests per second of the parties that are heard.
        """
        room = self.workspace.rate * live_part + self.level / SPEND_S
        return min(1.0, max(0.0, room / demand))

    def may_admit_unseen(self, fleet_size: int, now: float) -> bool:
        """Return whether this VM may admit a request that the others learn of later."""
        while self.unseen and self.unseen[0] < now - UNSEEN_S:
            self.unseen.popleft()
        part = UNSEEN_FACTOR * max(0.0, self.level) / fleet_size
        return len(self.unseen) < max(LEAST_UNSEEN, part)

    def wait_s(self, demand: float, live_part: float) -> float:
        """Return the expected time in seconds until all requests are admitted.

        It is endless while more is asked than the rate gives.
        """
        spare = self.workspace.rate * live_part - demand
        if spare <= 0:
            return inf
        return max(LEAST_WAIT_S, -self.level / (self.workspace.rate * live_part))

    def learn_reported(self, now: float) -> None:
        """Count own requests that the others know by now."""
        while self.reported and self.reported[0][0] <= now:
            at, count = self.reported.popleft()
            self.own_demand.add(count, at)


class FleetQuota:
    """Admits requests of workspaces within their rate.

    Attributes
    ----------
    fleet_size
        Number of registered VMs.
    reachable_count, last_report_at
        Number of VMs whose counts reach this one, with itself, and the monotonic time
        in seconds at which that was known.
    """

    def __init__(self, random: Random | None = None) -> None:
        self.random = random or Random()
        self.fleet_size = 1
        self.reachable_count = 1
        self.last_report_at = -inf
        self.buckets_by_name: dict[str, WorkspaceBucket] = {}

    def record_reachable_count(self, vms: int, now: float) -> None:
        """Take note of how many VMs' counts reach this one, with itself."""
        if now - self.last_report_at >= REPORT_TIMEOUT_S:
            for bucket in self.buckets_by_name.values():
                # What was counted before the silence has faded.
                bucket.peer_demand = AverageDemand(now)
        self.reachable_count = vms
        self.last_report_at = now

    def set_workspaces(self, by_name: dict[str, Workspace], now: float) -> None:
        """Take over the limits of a configuration."""
        for name, workspace in by_name.items():
            bucket = self.buckets_by_name.get(name)
            if bucket is None:
                self.buckets_by_name[name] = WorkspaceBucket(
                    workspace, self.random.random(), now
                )
            else:
                bucket.use(workspace)
        for name in self.buckets_by_name.keys() - by_name.keys():
            del self.buckets_by_name[name]

    def admit(self, name: str, now: float, already_counted: bool = False) -> float:
        """Admit a request of a workspace, or return when there is room.

        Parameters
        ----------
        already_counted
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
        bucket.requested += not already_counted
        live_part, demand = self.parts(bucket, now)
        bucket.fill(now, live_part)
        bucket.credit += bucket.admitted_part(demand, live_part)
        if bucket.credit < 1.0:
            return bucket.wait_s(demand, live_part)
        if not bucket.may_admit_unseen(self.fleet_size, now):
            bucket.credit = 1.0
            return bucket.unseen[0] + UNSEEN_S - now
        bucket.credit -= 1.0
        bucket.unseen.append(now)
        bucket.level -= 1.0
        bucket.admitted += 1
        return 0.0

    def explain_refusal(self, name: str, now: float) -> RateExplanation:
        """Return why `admit` has just refused a request, with what decided it."""
        bucket = self.buckets_by_name[name]
        live_part, demand = self.parts(bucket, now)
        reason = refusal_reason(bucket, live_part, demand, now)
        detail = (
            f"{STATEMENTS[reason]}; the workspace's rate is "
            f"{bucket.workspace.rate:g} requests/s and its burst "
            f"{bucket.workspace.burst:g}, it asks {demand:.1f} requests/s, the "
            f"fleet's bucket is at {bucket.level:.1f}, and {live_part:.2f} of the "
            "rate belongs to the VMs within reach"
        )
        return RateExplanation(reason, detail)

    def has_recent_reports(self, now: float) -> bool:
        """Return whether other VMs are heard, or there are none."""
        return self.fleet_size <= 1 or now - self.last_report_at < REPORT_TIMEOUT_S

    def parts(self, bucket: WorkspaceBucket, now: float) -> tuple[float, float]:
        """Return the part of the rate within reach and the demand there per second."""
        bucket.learn_reported(now)
        own = max(LEAST_DEMAND, bucket.own_demand.advance(now))
        if not self.has_recent_reports(now):
            known_part = min(LONE_PART_LIMIT, bucket.own_part)
            return max(1.0 / self.fleet_size, known_part), own
        demand = own + bucket.peer_demand.advance(now)
        bucket.own_part = own / demand
        return min(1.0, self.reachable_count / self.fleet_size), demand

    def record_peer_usage(self, usage: tuple[Usage, ...], now: float) -> None:
        """Take note of what other VMs asked and admitted."""
        for item in usage:
            bucket = self.buckets_by_name.get(item.workspace)
            if bucket is None:
                continue
            bucket.peer_demand.add(item.requested, now)
            debt_limit = DEBT_LIMIT_S * bucket.workspace.rate
            bucket.level = max(-debt_limit, bucket.level - item.admitted)

    def drain_usage(self, now: float) -> tuple[Usage, ...]:
        """Return and clear what this VM asked and admitted since the last call."""
        found = []
        for name, bucket in self.buckets_by_name.items():
            if bucket.requested or bucket.admitted:
                found.append(Usage(name, bucket.requested, bucket.admitted))
                bucket.reported.append((now + REPORT_DELAY_S, bucket.requested))
                bucket.requested = bucket.admitted = 0
        return tuple(found)


def refusal_reason(
    bucket: WorkspaceBucket, live_part: float, demand: float, now: float
) -> RateRefusal:
    """Return why a bucket has just refused a request."""
    if bucket.credit >= 1.0:
        return RateRefusal.UNREPORTED
    if now - bucket.created_at < DEMAND_SPAN_S:
        return RateRefusal.JUST_STARTED
    # Below 1.0 the whole rate would not have admitted the request either.
    if live_part < 1.0 and bucket.admitted_part(demand, 1.0) >= 1.0:
        return RateRefusal.CUT_OFF
    return RateRefusal.OVER_RATE
