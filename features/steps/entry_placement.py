"""Steps for the choice of targets by the placement, on a virtual clock."""

from random import Random

from behave import given, then, when

from features.placement_simulation import Load, PlacementSimulation
from primroseturn.ejection.suspicion import ERROR_RESPONSE_MODEL, Suspicion
from primroseturn.ejection.witnesses import MissingWitnesses
from primroseturn.routing.models import Target
from primroseturn.routing.placement import Choice, Placement, RequestTraits

SERVICE = "core"
AT_MOST_ONCE_REQUEST = RequestTraits(SERVICE, "order", False, False, 0.3)
DOWNLOAD = RequestTraits(SERVICE, "sheet", True, True, 0.3)
IDEMPOTENT_REQUEST = RequestTraits(SERVICE, "lookup", True, False, 0.3)


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


@given(
    "{share:g} of the targets reset {failing:g} of their requests in periods of "
    "{seconds:g} s"
)
def step_reset_periods(context, share, failing, seconds):
    step_failure_periods(context, share, failing, seconds)
    context.load = context.load._replace(is_reset=True)


@given("{share:g} of the targets take {factor:g} times as long")
def step_slow(context, share, factor):
    context.load = context.load._replace(slow_target_share=share, slow_factor=factor)


@given("{count:d} of the targets stay cold")
def step_cold(context, count):
    context.load = context.load._replace(cold_targets=count)


@when("the load is simulated for {seconds:g} s with seed {seed:d}")
def step_simulate(context, seconds, seed):
    context.simulated = (seconds, seed)
    context.simulation = PlacementSimulation(context.load, seed)
    cut = getattr(context, "cut_part", None)
    if cut is not None:
        context.usual = PlacementSimulation(context.load, seed)
        context.usual.run(seconds)
        cut_off(context.simulation, cut)
    context.simulation.run(seconds)
    context.random_choice = PlacementSimulation(context.load, seed)
    choose_at_random(context.random_choice)
    context.random_choice.run(seconds)


def choose_at_random(simulation):
    """Make the VMs of a simulation choose targets at random."""
    random = Random(5)

    def choose(traits, excluded, now, allow_suspected=False):
        names = sorted(set(simulation.targets_by_name) - excluded)
        return Choice(
            simulation.targets_by_name[random.choice(names)].target, False, 0.0
        )

    for vm in simulation.all_vms:
        vm.choose = choose


@then(
    "at-most-once requests lose at most {share:g} of the score that a random choice "
    "loses"
)
def step_loss(context, share):
    context.allowed_share = share
    lost = 1 - context.simulation.mean_score(False)
    lost_by_random_choice = 1 - context.random_choice.mean_score(False)
    assert lost <= share * lost_by_random_choice, (lost, lost_by_random_choice)


@then("they lose more than that while VMs keep missing responses to themselves")
def step_variant(context):
    seconds, seed = context.simulated
    variant = PlacementSimulation(context.load._replace(shares_missing=False), seed)
    variant.run(seconds)
    lost = 1 - variant.mean_score(False)
    lost_by_random_choice = 1 - context.random_choice.mean_score(False)
    assert lost > context.allowed_share * lost_by_random_choice, lost


@given("{part} gets no response from the targets of the other data centre")
def step_cut(context, part):
    context.cut_part = part


def cut_off(simulation, part):
    """Cut one VM, or all of data centre a, from the targets of data centre b."""
    vms = simulation.vms_by_center["a"]
    cut_vms = set(vms[:1] if part == "one VM" else vms)
    for name, target in simulation.targets_by_name.items():
        if target.target.data_center == "b":
            simulation.cut_vms_by_target[name] = cut_vms


def far_share(simulation, vms):
    """Return the part of the attempts of some VMs that goes to data centre b."""
    names = [name for vm in vms for name in simulation.names_by_vm[vm]]
    targets = [simulation.targets_by_name[name].target for name in names]
    return sum(target.data_center == "b" for target in targets) / len(targets)


@then(
    "VMs that are not cut send at least {share:g} of their usual part to these targets"
)
def step_not_avoided(context, share):
    simulation, usual = context.simulation, context.usual
    cut_vms = next(iter(simulation.cut_vms_by_target.values()))
    numbers = [
        number for number, vm in enumerate(simulation.all_vms) if vm not in cut_vms
    ]
    found, expected = (
        far_share(item, [item.all_vms[number] for number in numbers])
        for item in (simulation, usual)
    )
    assert found >= share * expected, (found, expected)


@given("a VM whose last requests to {count:d} of {total:d} targets were answered")
def step_own_answers(context, count, total):
    context.witnesses = MissingWitnesses()
    context.unanswered = [f"t{number}" for number in range(count, total)]
    for number in range(count):
        context.witnesses.record_answer(f"t{number}", 0.0)


@when("its requests to the other {count:d} targets get no response")
def step_own_missing(context, count):
    context.reported = [
        context.witnesses.record_missing(name, 0.1) for name in context.unanswered
    ]
    assert len(context.reported) == count


@then("it reports at most {most:d} of them")
def step_reported(context, most):
    assert 1 <= sum(context.reported) <= most, context.reported


@given("a judge of reports")
def step_judge(context):
    context.witnesses = MissingWitnesses()


@when("a VM reports each {gap:g} s for {seconds:g} s that a target does not respond")
def step_reports(context, gap, seconds):
    context.counted = [
        context.witnesses.accept("vm1", "t1", number * gap)
        for number in range(round(seconds / gap))
    ]


@then("at most {most:d} of its reports count")
def step_counted(context, most):
    assert 1 <= sum(context.counted) <= most, sum(context.counted)


@then("the mean of their scores is at least {score:g}")
def step_score(context, score):
    assert context.simulation.mean_score(False) >= score, context.simulation.mean_score(
        False
    )


@then("the mean score of idempotent requests is at least {score:g}")
def step_score_repeatable(context, score):
    assert context.simulation.mean_score(True) >= score, context.simulation.mean_score(
        True
    )


@then("in each {seconds:g} s at least {share:g} of the targets receive requests")
def step_used_share(context, seconds, share):
    simulation = context.simulation
    names_by_window = {}
    for at, name in simulation.attempts_sent:
        names_by_window.setdefault(int(at / seconds), set()).add(name)
    last = max(names_by_window)
    least = min(len(names) for index, names in names_by_window.items() if index < last)
    assert least >= share * len(simulation.targets_by_name), least


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
            context.vm.record_success(item.id, AT_MOST_ONCE_REQUEST, 0.3, 0.0)
        context.vm.record_load(item.id, 3, 0.0)


@when("a cold target is listed and 2 s of requests pass")
def step_new_target(context):
    context.listed.append(target("new", cold_s=3.0))
    context.vm.update_targets(context.listed, 1.0)
    context.chosen = []
    for number in range(10):
        traits = IDEMPOTENT_REQUEST if number % 3 == 0 else AT_MOST_ONCE_REQUEST
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
        context.vm.choose(AT_MOST_ONCE_REQUEST, frozenset(), 0.1, True).target.id
        for _ in range(count)
    ]
    assert "t2" not in chosen and len(set(chosen)) > 2, chosen


@given("a VM that knows targets in its own and another region")
def step_regions(context):
    context.vm = Placement("a", {"a": "r", "b": "s"}, Random(4))
    listed = [target(f"a{number}") for number in range(2)]
    listed += [target(f"b{number}", "b") for number in range(6)]
    context.vm.update_targets(listed, 0.0)
    for item in listed:
        context.vm.record_success(item.id, DOWNLOAD, 0.3, 0.0)
        context.vm.record_load(item.id, 3, 0.0)


@then("none of {count:d} downloads leaves the data centre")
def step_stays(context, count):
    chosen = [
        context.vm.choose(DOWNLOAD, frozenset(), 0.1, False).target.data_center
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
