"""Rate and burst of workspaces over all VMs, from counts that VMs exchange.

Limits a workspace that sends many times its rate through all VMs, without effect on
the other workspaces. No VM holds tokens for another and nothing is stored: each VM
counts what the whole fleet has admitted within the last window, from its own admissions
and from those that other VMs report in fleet digests some tenths of a second later.
Used by `primroseturn entry`.

- Each VM admits the same fraction of the requests that it receives: those that replace
  requests which leave the window, and a part of the room in it, divided by the demand
  of the fleet. No VM has room of its own, which would stay unused at a VM that few
  callers use.
- A VM knows how many VMs' counts reach it. While some VMs are unreachable, the others
  admit their part of the limit only, so that both sides of a partition together stay
  within the limits. Of what was admitted before, each side bears its part, and what VMs
  out of reach may have admitted is counted in full once they are within reach again.
- A VM that receives no digests at all keeps its fraction of the demand, at least an
  equal part and at most `MAX_PARTITIONED_VM_FRACTION`. The others leave it an equal
  part only, so each such VM may exceed its part by the difference.

An alternative is to record the VMs' parts in the store, with loans between VMs
(`primroseturn.limits.share`). It is exact, but the parts of a killed VM are unused
until its lease ends, and most VMs of a data centre may be killed at once.
"""

from enum import Enum
from math import inf
from random import Random
from typing import Annotated, NamedTuple

from msgspec import Meta

from primroseturn.limits.demand import (
    DEMAND_TIME_CONSTANT_S,
    RANKS,
)
from primroseturn.limits.models import Workspace
from primroseturn.limits.window import QuotaTerms
from primroseturn.limits.workspace_quota import UNREPORTED_S, WorkspaceQuota

# Longest wait of a request for room before it is refused; by then the VMs know of each
# other's admissions.
ADMISSION_WAIT_S = 0.4
# A VM that has received no fleet digest for this time is treated as partitioned from
# all other VMs. Other VMs time out after the same time.
DIGEST_TIMEOUT_S = 1.2
# Largest fraction of the rate that a VM keeps when it is partitioned from all other
# VMs; these leave it an equal part only.
MAX_PARTITIONED_VM_FRACTION = 0.1
# A VM that has not run for longer has stood still, and the digests of that time wait in
# its socket. It reads them within `CATCH_UP_S`.
STANDSTILL_S = 0.5
CATCH_UP_S = 0.2
# The admissions in digests that waited are spread over the standstill, and at most over
# this part of a window, so that they are counted later than they were.
CATCH_UP_WINDOW_PART = 0.5
# Larger than the requests of a data centre in one digest. Sums of counts up to it still
# fit into a message.
MAX_COUNT = 1_000_000

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]


class RateRefusal(Enum):
    """Why a request of a workspace is refused for the rate.

    Attributes
    ----------
    OVER_RATE
        The workspace sends more than its limit.
    CUT_OFF
        Other VMs are unreachable, and their part of the rate is held back.
    JUST_STARTED
        This VM has not counted the workspace for long enough to know its demand.
    UNREPORTED
        More requests arrived at once than this VM admits before the other VMs know
        of them.
    """

    OVER_RATE = "over-rate"
    CUT_OFF = "cut-off"
    JUST_STARTED = "just-started"
    UNREPORTED = "unreported"


STATEMENTS_BY_REASON = {
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
    """Requests of a workspace that arrived and were admitted since the last digest."""

    workspace: str
    requested: Count
    admitted: Count


class RankUsage(NamedTuple):
    """Requests of a workspace since the last digest, of ranks 1 and 2."""

    workspace: str
    second: Count
    third: Count


class FleetQuota:
    """Admits requests of workspaces within their rate.

    Attributes
    ----------
    fleet_size
        Number of registered VMs without those that are stopping.
    reachable_count
        Number of VMs whose counts reach this one, including itself.
    last_digest_at
        Monotonic time in seconds at which `reachable_count` was last set.
    last_run_at
        Monotonic time in seconds at which this VM last collected its usage, which it
        does some times in a second while it runs; infinity before the first time.
    catch_up_until
        Monotonic time in seconds until which digests that waited for this VM arrive.
    stood_still_s
        Duration in seconds of the last standstill.
    """

    def __init__(
        self, random: Random | None = None, terms: QuotaTerms | None = None
    ) -> None:
        self.random = random or Random()
        self.terms = terms or QuotaTerms()
        self.has_ranks = False
        self.fleet_size = 1
        self.reachable_count = 1
        self.last_digest_at = -inf
        self.last_run_at = inf
        self.catch_up_until = -inf
        self.stood_still_s = 0.0
        self.quotas_by_name: dict[str, WorkspaceQuota] = {}

    def record_reachable_count(self, vms: int, now: float) -> None:
        """Record how many VMs' counts reach this one, including itself."""
        self.detect_standstill(now)
        if now < self.catch_up_until:
            # The digests of the standstill still arrive.
            pass
        elif now - self.last_digest_at >= DIGEST_TIMEOUT_S:
            for quota in self.quotas_by_name.values():
                self.estimate_demand(quota, now)
                # Counts from before the time without digests are out of date.
                quota.demand.forget_peers(now)
        self.reachable_count = vms
        self.last_digest_at = now
        fraction = self.reachable_fraction()
        for quota in self.quotas_by_name.values():
            if quota.window.fraction != fraction:
                quota.window.set_fraction(fraction, now - DIGEST_TIMEOUT_S, now)

    def set_workspaces(
        self, by_name: dict[str, Workspace], now: float, has_ranks: bool = False
    ) -> None:
        """Apply the limits of a configuration.

        Parameters
        ----------
        has_ranks
            Whether requests of less urgent ranks are refused first.
        """
        self.has_ranks = has_ranks
        for name, workspace in by_name.items():
            quota = self.quotas_by_name.get(name)
            if quota is None or quota.workspace.rate <= 0:
                self.quotas_by_name[name] = WorkspaceQuota(
                    workspace, self.terms, self.random, now
                )
            else:
                quota.workspace = workspace
                quota.window.limit = self.terms.limit(workspace)
        for name in self.quotas_by_name.keys() - by_name.keys():
            del self.quotas_by_name[name]

    def clamp_rank(self, rank: int) -> int:
        """Return the rank as which a request counts, 0 without ranks."""
        return min(max(0, rank), RANKS - 1) if self.has_ranks else 0

    def admit(
        self, name: str, now: float, already_counted: bool = False, rank: int = 0
    ) -> float:
        """Admit a request of a workspace, or return how long to wait.

        Parameters
        ----------
        already_counted
            Whether the request was counted before it waited.
        rank
            Rank of the request; 0 is the most urgent.

        Returns
        -------
        float
            0.0 if the request is admitted, else the expected time in seconds until
            it can be.
        """
        quota = self.quotas_by_name.get(name)
        if quota is None or quota.workspace.rate <= 0:
            return 0.0
        rank = self.clamp_rank(rank)
        if not already_counted:
            quota.requested += 1
            if rank > 0:
                quota.requested_by_rank[rank - 1] += 1
        demand = self.estimate_demand(quota, now)
        quota.credits[rank] += quota.admitted_fraction(rank, demand, now)
        if quota.credits[rank] < 1.0:
            return quota.expected_wait_s(rank, demand, now)
        if not quota.may_admit_unreported(self.fleet_size, now):
            quota.credits[rank] = 1.0
            return quota.unreported_at[0] + UNREPORTED_S - now
        quota.credits[rank] -= 1.0
        quota.unreported_at.append(now)
        quota.window.add(1, now)
        quota.admitted += 1
        return 0.0

    def explain_refusal(self, name: str, now: float, rank: int = 0) -> RateExplanation:
        """Return why `admit` has just refused a request, and the figures behind it."""
        quota = self.quotas_by_name[name]
        demand = self.estimate_demand(quota, now)
        window = quota.window
        rank = self.clamp_rank(rank)
        reason = find_refusal_reason(quota, rank, demand, now)
        more_urgent, of_rank = quota.demand_up_to(rank, demand, now)
        detail = (
            f"{STATEMENTS_BY_REASON[reason]}; the workspace's rate is "
            f"{quota.workspace.rate:g} requests/s and its burst "
            f"{quota.workspace.burst:g}, it asks {demand:.1f} requests/s, "
            f"{more_urgent:.1f} of them more urgent and {of_rank:.1f} of rank {rank}, "
            f"{window.room(now):.1f} of its {window.limit:.1f} requests in "
            f"{window.window_s:g} s are left, and {window.fraction:.2f} of them belong "
            "to the VMs within reach"
        )
        return RateExplanation(reason, detail)

    def has_recent_digests(self, now: float) -> bool:
        """Return whether digests of other VMs arrive, or there are no other VMs."""
        return self.fleet_size <= 1 or now - self.last_digest_at < DIGEST_TIMEOUT_S

    def estimate_demand(self, quota: WorkspaceQuota, now: float) -> float:
        """Return the demand per second of the reachable VMs.

        Sets their part of the limit.
        """
        if self.has_recent_digests(now):
            demand = quota.demand.total_per_s(now)
            fraction, since = self.reachable_fraction(), now - DIGEST_TIMEOUT_S
        else:
            demand = quota.demand.own_per_s(now)
            known = min(MAX_PARTITIONED_VM_FRACTION, quota.demand.own_fraction)
            fraction, since = max(1.0 / self.fleet_size, known), self.last_digest_at
        if fraction != quota.window.fraction:
            quota.window.set_fraction(fraction, since, now)
        return demand

    def reachable_fraction(self) -> float:
        """Return the part of the rates that belongs to the VMs within reach."""
        return min(1.0, self.reachable_count / self.fleet_size)

    def record_peer_usage(self, usage: tuple[Usage, ...], now: float) -> None:
        """Count the requests and admissions that other VMs report."""
        self.detect_standstill(now)
        for item in usage:
            quota = self.quotas_by_name.get(item.workspace)
            if quota is None:
                continue
            if now >= self.catch_up_until:
                quota.demand.add_peers(item.requested, now)
                quota.window.add(item.admitted, now)
            else:
                # Digests that waited say nothing about the present demand.
                spread_s = CATCH_UP_WINDOW_PART * self.terms.window_s
                spread_s = min(spread_s, self.stood_still_s)
                quota.window.add_spread(item.admitted, spread_s, now)

    def record_peer_ranks(self, usage: tuple[RankUsage, ...], now: float) -> None:
        """Count the less urgent requests that other VMs report."""
        for item in usage:
            quota = self.quotas_by_name.get(item.workspace)
            if quota is not None and now >= self.catch_up_until:
                quota.demand.by_rank.add(item[1:], now)

    def pop_rank_usage(self, now: float) -> tuple[RankUsage, ...]:
        """Return this VM's less urgent requests since the last call, and reset them."""
        usage = []
        for name, quota in self.quotas_by_name.items():
            if any(quota.requested_by_rank):
                usage.append(RankUsage(name, *quota.requested_by_rank))
                quota.demand.by_rank.add(tuple(quota.requested_by_rank), now)
                quota.requested_by_rank = [0] * (RANKS - 1)
        return tuple(usage)

    def detect_standstill(self, now: float) -> None:
        """Begin to catch up if this VM has not run for `STANDSTILL_S`."""
        stood_still_s = now - self.last_run_at
        if stood_still_s > STANDSTILL_S:
            self.stood_still_s = stood_still_s
            self.last_run_at = now
            self.catch_up_until = now + CATCH_UP_S
            for quota in self.quotas_by_name.values():
                quota.demand.skip(stood_still_s)

    def pop_usage(self, now: float) -> tuple[Usage, ...]:
        """Return the counts of this VM since the last call, and reset them."""
        self.detect_standstill(now)
        self.last_run_at = now
        usage = []
        for name, quota in self.quotas_by_name.items():
            if quota.requested or quota.admitted:
                usage.append(Usage(name, quota.requested, quota.admitted))
                quota.demand.record_sent(quota.requested, now)
                quota.requested = quota.admitted = 0
        return tuple(usage)


def find_refusal_reason(
    quota: WorkspaceQuota, rank: int, demand: float, now: float
) -> RateRefusal:
    """Return why a quota has just refused a request."""
    if quota.credits[rank] >= 1.0:
        return RateRefusal.UNREPORTED
    if now - quota.created_at < DEMAND_TIME_CONSTANT_S:
        return RateRefusal.JUST_STARTED
    # If the demand exceeds the whole limit too, the unreachable VMs are not the reason.
    window = quota.window
    if window.fraction < 1.0 and demand <= window.limit / window.window_s:
        return RateRefusal.CUT_OFF
    return RateRefusal.OVER_RATE
