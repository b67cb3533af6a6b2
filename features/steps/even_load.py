"""Steps for even load of targets and spillover between data centres."""

from itertools import pairwise
from random import Random

from behave import given, then, when

from features.even_load_simulation import Day, EvenLoadSimulation
from primroseturn.routing.models import Target
from primroseturn.routing.placement import Placement, RequestTraits
from primroseturn.routing.spillover import ServiceDemand

DAYS = {
    "nothing is wrong": Day(),
    "the demand moves as a wave": Day(swing=0.55),
    "a1 lacks a third of its targets": Day(missing=4),
    "digests are late or lost in the wave": Day(swing=0.55, lost=0.3, delay_s=0.3),
    "some targets of a1 are slow": Day(slow=3),
    "some targets of a1 fail": Day(failing=3),
    "the wave carries downloads": Day(swing=0.55, download=True),
}


@when("{seconds:g} s are simulated with even load and without it while {trouble}")
def step_run(context, seconds, trouble):
    context.even, context.former = (
        EvenLoadSimulation(DAYS[trouble], 1, is_even) for is_even in (True, False)
    )
    context.even.run(seconds)
    context.former.run(seconds)


@then("the busiest target gets at most {ratio:g} times the mean over the day")
def step_ratio(context, ratio):
    assert context.even.busiest() <= ratio, context.even.busiest()


@then("at most {share:g} of the attempts leave the data centre, none the region")
def step_left(context, share):
    left = context.even.left(2), context.even.left(1)
    assert left[0] <= share and left[1] == 0, left


@then("attempts wait at most {factor:g} of the time that they wait without even load")
def step_wait(context, factor):
    waits = context.even.mean_wait_s(), context.former.mean_wait_s()
    assert waits[0] <= factor * waits[1], waits


@then("without it at least {share:g} of the attempts leave the data centre")
def step_former(context, share):
    assert context.former.left(2) >= share, context.former.left(2)


@then("failing targets get no more attempts than without it")
def step_failing(context):
    even, former = (
        sum(name in simulation.failing for _, name in simulation.attempts_sent)
        for simulation in (context.even, context.former)
    )
    assert even <= former, (even, former)


@given("a data centre of 30 slots and a neighbour of 30 with a demand of 40 per s")
def step_demand(context):
    context.near_silence_s, context.far_load = 0.0, 0.0


def shares_at(context, rate):
    """Return the shares at a demand of the data centre."""
    demand = ServiceDemand()
    for estimate, per_s in ((demand.local, rate), (demand.near, 40)):
        for number in range(5 * per_s):
            estimate.add(1, number / per_s)
    for _ in range(20):
        demand.record_far_load(context.far_load, 5.0)
    demand.near.at -= context.near_silence_s
    return demand.shares(30, 30, 60, False, 5.0)


@when("no digest of the neighbour arrives for {seconds:g} s")
def step_silence(context, seconds):
    context.near_silence_s = seconds


@when("targets of the other region report {load:g} requests per slot")
def step_far_load(context, load):
    context.far_load = load


@then(
    "at {rate:d} per s {low:g} to {high:g} leave it, {far_low:g} to {far:g} the region"
)
def step_between(context, rate, low, high, far_low, far):
    shares = shares_at(context, rate)
    assert low <= shares.near <= high and far_low <= shares.far <= far, shares


@then("no step of 1 per s from {low:d} to {high:d} changes the part by over {bound:g}")
def step_continuous(context, low, high, bound):
    parts = [sum(shares_at(context, rate)) for rate in range(low, high + 1)]
    steps = [abs(after - before) for before, after in pairwise(parts)]
    assert max(steps) <= bound, max(steps)


@then("of 11 evenly used targets and a returned one, that gets at most {share:g}")
def step_returned(context, share):
    vm, names = Placement("a", {"a": "r"}, Random(1)), [f"t{n}" for n in range(12)]
    vm.set_even_load(True)
    targets = [Target(name, "s", "h", 1, "a", 3, False, 0.0, 1) for name in names]
    vm.update_targets(targets, 0.0)
    for tenth in range(100):
        for name in names[1:]:
            vm.record_peer_outcomes(name, 0, 1, tenth / 10)
            vm.record_load(name, 2, tenth / 10)
    vm.record_peer_outcomes(names[0], 0, 1, 9.9)
    traits = RequestTraits("s", "k", False, False, 0.25)
    chosen = [vm.choose(traits, frozenset(), 9.95).target.id for _ in range(1000)]
    assert chosen.count(names[0]) <= share * len(chosen), chosen.count(names[0])
