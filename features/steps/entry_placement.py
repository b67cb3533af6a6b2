"""Steps for the placement of requests, on a virtual clock."""

from random import Random

from behave import given, then, when

from features.placement_simulation import Load, PlacementSimulation
from primroseturn.ejection.suspicion import ERROR_RESPONSE_MODEL, Suspicion
from primroseturn.entry.models import Target
from primroseturn.routing.placement import Choice, Placement, RequestTraits

SERVICE = "core"
ORDER = RequestTraits(SERVICE, "order", False, False, 0.3)
SHEET = RequestTraits(SERVICE, "sheet", True, True, 0.3)
LOOKUP = RequestTraits(SERVICE, "lookup", True, False, 0.3)


@given("callers that send {rate:d} requests per second in each data centre")
def step_rate(context, rate):
    context.load = Load(requests_per_s=rate)


@given(
    "{share:g} of the targets fail {failing:g} of their requests in periods of "
    "{seconds:g} s"
)
def step_failure_periods(context, share, failing, seconds):
    context.load = context.load._replace(
        failing_target_share=share,
        failed_request_share=failing,
        failure_period_s=seconds,
    )


@given("{share:g} of the targets take {factor:g} times as long")
def step_slow(context, share, factor):
    context.load = context.load._replace(slow_target_share=share, slow_factor=factor)


@given("{count:d} of the targets stay cold")
def step_cold(context, count):
    context.load = context.load._replace(cold_targets=count)


@when("the load is simulated for {seconds:g} s with seed {seed:d}")
def step_simulate(context, seconds, seed):
    context.placed = PlacementSimulation(context.load, seed)
    context.placed.run(seconds)
    context.random = PlacementSimulation(context.load, seed)
    choose_at_random(context.random)
    context.random.run(seconds)


def choose_at_random(simulation):
    """Make the VMs choose targets at random."""
    random = Random(5)

    def choose(traits, excluded, now, allow_suspected=False):
        names = sorted(set(simulation.targets) - excluded)
        return Choice(simulation.targets[random.choice(names)].target, False, 0.0)

    for vm in simulation.all_vms:
        vm.choose = choose


@then(
    "at-most-once requests lose at most {share:g} of the credit that a random choice "
    "loses"
)
def step_loss(context, share):
    lost = 1 - context.placed.credit(False)
    other = 1 - context.random.credit(False)
    assert lost <= share * other, (lost, other)


@then("at least {credit:g} of their credit is earned")
def step_credit(context, credit):
    assert context.placed.credit(False) >= credit, context.placed.credit(False)


@then("at least {credit:g} of the credit of idempotent requests is earned")
def step_credit_repeatable(context, credit):
    assert context.placed.credit(True) >= credit, context.placed.credit(True)


@then("in each {seconds:g} s at least {share:g} of the targets receive requests")
def step_used_share(context, seconds, share):
    placed = context.placed
    windows = {}
    for at, name in placed.attempts_sent:
        windows.setdefault(int(at / seconds), set()).add(name)
    last = max(windows)
    least = min(len(names) for index, names in windows.items() if index < last)
    assert least >= share * len(placed.targets), least


def target(name, center="a", cold_s=0.0):
    """Return a target."""
    return Target(name, SERVICE, "h", 1, center, 6, False, cold_s, 1)


@given("a VM that knows 5 loaded targets")
def step_loaded(context):
    context.vm = Placement("a", {"a": "r", "b": "s"}, Random(4))
    context.listed = [target(f"t{number}") for number in range(5)]
    context.vm.update_targets(context.listed, 0.0)
    for item in context.listed:
        for _ in range(20):
            context.vm.record_success(item.id, ORDER, 0.3, 0.0)
        context.vm.record_load(item.id, 3, 0.0)


@when("a cold target is listed and 2 s of requests pass")
def step_new_target(context):
    context.listed.append(target("new", cold_s=3.0))
    context.vm.update_targets(context.listed, 1.0)
    context.chosen = []
    for number in range(10):
        traits = LOOKUP if number % 3 == 0 else ORDER
        choice = context.vm.choose(traits, frozenset(), 1.0 + number / 5, True)
        context.chosen.append(choice.target.id)


@then("it received at least 1 request")
def step_received(context):
    assert "new" in context.chosen, context.chosen


@when("another VM reports a failure of one of them")
def step_peer_failure(context):
    context.vm.record_peer_outcomes("t2", 1, 0, 0.1)


@then("none of {count:d} at-most-once requests is sent there")
def step_avoids(context, count):
    chosen = [
        context.vm.choose(ORDER, frozenset(), 0.1, True).target.id for _ in range(count)
    ]
    assert "t2" not in chosen and len(set(chosen)) > 2, chosen


@given("a VM that knows targets in its own and another region")
def step_regions(context):
    context.vm = Placement("a", {"a": "r", "b": "s"}, Random(4))
    listed = [target(f"a{number}") for number in range(2)]
    listed += [target(f"b{number}", "b") for number in range(6)]
    context.vm.update_targets(listed, 0.0)
    for item in listed:
        context.vm.record_success(item.id, SHEET, 0.3, 0.0)
        context.vm.record_load(item.id, 3, 0.0)


@then("none of {count:d} downloads leaves the data centre")
def step_stays(context, count):
    chosen = [
        context.vm.choose(SHEET, frozenset(), 0.1, False).target.data_center
        for _ in range(count)
    ]
    assert set(chosen) == {"a"}, chosen


@given("a target without evidence")
def step_unknown(context):
    context.now = 0.0
    context.suspicion = Suspicion(ERROR_RESPONSE_MODEL, 0.0)


@when("it fails once")
def step_fails(context):
    context.suspicion.record_outcomes(True, context.now)


@when("{seconds:g} s pass for it")
def step_pass(context, seconds):
    context.now += seconds


@when("it serves {count:d} requests")
def step_serves(context, count):
    context.suspicion.record_outcomes(False, context.now, count)


@then("its suspicion is over {limit:g}")
def step_over(context, limit):
    assert context.suspicion.probability_at(context.now) > limit


@then("its suspicion is under {limit:g}")
def step_under(context, limit):
    found = context.suspicion.probability_at(context.now)
    assert found < limit, found
