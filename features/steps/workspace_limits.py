"""Steps for the limits of workspaces over windows."""

from collections import Counter
from heapq import heappush
from json import loads

from behave import given, then, when

from features.fleet_simulation import SimulatedFleet
from features.steps.entry_quota import WINDOW_S
from primroseturn.limits.demand import AverageDemand
from primroseturn.limits.models import Workspace
from primroseturn.limits.quota import ADMISSION_WAIT_S, FleetQuota
from primroseturn.limits.window import QuotaTerms
from primroseturn.platform.configuration import decode_configuration

VARIANTS_BY_NAME = {
    "hands out no burst": (
        QuotaTerms,
        "limit",
        lambda self, workspace: workspace.rate * self.window_s,
    ),
    "keeps its whole limit in a partition": (
        FleetQuota,
        "reachable_fraction",
        lambda self: 1.0,
    ),
    "sees a growing demand only slowly": (
        AverageDemand,
        "proven_per_s",
        lambda self, now: 0.0,
    ),
}


@given("quotas of a variant that {name}")
def step_variant(context, name):
    owner, method, value = VARIANTS_BY_NAME[name]
    original = getattr(owner, method)
    setattr(owner, method, value)
    context.cleanups.append(lambda: setattr(owner, method, original))
    fleet = context.quota_fleet
    fleet.vms = [fleet.start_vm() for _ in fleet.vms]


def filled_share(fleet, seconds):
    """Return the part of the limit that was admitted in the last seconds."""
    found = sum(at >= fleet.now - seconds for at in fleet.admitted)
    limit = fleet.workspace.rate * WINDOW_S + fleet.workspace.burst
    return found / (limit * seconds / WINDOW_S)


@then("in the last {seconds:g} s at least {share:g} of its limit is admitted")
def step_filled(context, seconds, share):
    assert filled_share(context.quota_fleet, seconds) >= share, filled_share(
        context.quota_fleet, seconds
    )


@then("in the last {seconds:g} s less than {share:g} of its limit is admitted")
def step_not_filled(context, seconds, share):
    assert filled_share(context.quota_fleet, seconds) < share


class RankedFleet(SimulatedFleet):
    """A fleet whose callers send requests of three ranks.

    Attributes
    ----------
    parts
        Parts of the requests by rank.
    counts
        Numbers of admitted and of refused requests by rank, since the last clear.
    """

    parts = (0.4, 0.4, 0.2)

    def __init__(self, size, load, seed, limit):
        super().__init__(size, load, seed, (1.0,))
        self.workspaces_by_name = {"w0": Workspace("w0", limit, limit, None)}
        self.counts = Counter()
        for vm in self.vms_by_name.values():
            vm.quota.set_workspaces(self.workspaces_by_name, self.now, True)

    def admit(self, vm, name, already_counted):
        name, rank = (
            name
            if already_counted
            else (name, self.random.choices(range(len(self.parts)), self.parts)[0])
        )
        wait_s = vm.quota.admit(name, self.now, already_counted, rank)
        if wait_s == 0:
            self.admissions.append((self.now, name))
            self.counts[rank, "admitted"] += 1
        elif already_counted or wait_s > ADMISSION_WAIT_S:
            self.counts[rank, "refused"] += 1
        else:
            entry = (self.now + wait_s, next(self.numbers), vm, (name, rank))
            heappush(self.delayed_requests, entry)


@given(
    "{size:d} VMs, a workspace with a rate and burst of {limit:d} and {load:d} "
    "requests per second of three ranks"
)
def step_ranked(context, size, limit, load):
    context.ranked = RankedFleet(size, load, 1, limit)


@given("digests without the less urgent part of the usage")
def step_no_ranks(context):
    original = FleetQuota.pop_rank_usage
    FleetQuota.pop_rank_usage = lambda self, now: ()
    context.cleanups.append(lambda: setattr(FleetQuota, "pop_rank_usage", original))


@when("it has sent for {first:g} s and sends for {seconds:g} s")
def step_send_ranked(context, first, seconds):
    context.ranked.run(first)
    context.ranked.counts.clear()
    context.ranked.run(seconds)


def refused_part(fleet, rank):
    refused = fleet.counts[rank, "refused"]
    return refused / (refused + fleet.counts[rank, "admitted"])


@then("at most {part:g} of its requests of rank {rank:d} are refused")
def step_few_refused(context, part, rank):
    found = refused_part(context.ranked, rank)
    assert found <= part, (found, context.ranked.counts)


@then("at least {part:g} of its requests of rank {rank:d} are refused")
def step_many_refused(context, part, rank):
    found = refused_part(context.ranked, rank)
    assert found >= part, (found, context.ranked.counts)


@then("its limit and the tolerance are not exceeded")
def step_ranked_limit(context):
    assert context.ranked.worst_excess() <= 0, context.ranked.worst_excess()


@given("a stored workspace with the limits {limits}")
def step_stored(context, limits):
    tenant = {"name": "shop", **loads(limits)}
    spec = {"version": "r1", "tenants": [tenant]}
    context.workspace = decode_configuration(spec).ok.workspaces_by_name["shop"]


@then('its rate is {rate:g}, its burst {burst:g} and the problem "{problem}"')
def step_limits(context, rate, burst, problem):
    found = context.workspace
    problem_found = found.problem.value if found.problem else "none"
    assert (found.rate, found.burst, problem_found) == (rate, burst, problem), found
