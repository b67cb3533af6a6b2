"""Steps for admission and retries under load, on a virtual clock."""

from bisect import bisect_right
from json import loads
from math import inf

from anyio import fail_after, sleep
from behave import given, then, when

from features.admission_simulation import (
    AdmissionSimulation,
    EXTRA_REPEATS,
    KINDS,
    Trouble,
)
from features.placement_simulation import SERVICE
from primroseturn.admission.shares import fair_share
from primroseturn.admission.use import ServiceUse
from primroseturn.entry.digest_counts import DigestCounts
from primroseturn.platform.configuration import decode_configuration
from primroseturn.retries.repeats import RepeatBudget, USED_FRACTION
from primroseturn.retries.value import judge_repeat, RepeatCase
from primroseturn.routing.models import Target
from primroseturn.routing.target_state import TargetState, TypicalPeerLoad

RETRIED = RepeatCase(SERVICE, 0, False, True, 1.0, 0.3, 0.0, 0.0, 0.0)
WINDOW_S = 10.0


def read_fields(text):
    return {name: loads(value) for name, value in (f.split("=") for f in text.split())}


def simulate(context, **variant):
    return AdmissionSimulation(context.trouble._replace(**variant)).run()


@given("the trouble {fields}")
def step_trouble(context, fields):
    context.trouble = Trouble(**read_fields(fields))


@when("the load is simulated")
def step_simulate(context):
    context.simulation = simulate(context)


@when("the levels of the VMs are read after {seconds:d} s")
def step_read_levels(context, seconds):
    simulation = AdmissionSimulation(context.trouble)

    def read():
        controls = simulation.controls.values()
        context.levels = [item.level(SERVICE, simulation.now) for item in controls]

    simulation.schedule(seconds, read)
    simulation.run()


@then("at least {bill:g} of bill and {order:g} of order are on time")
def step_on_time(context, bill, order):
    for name, least in (("bill", bill), ("order", order)):
        on_time = context.simulation.shares(name)[1]
        assert on_time >= least, (name, on_time)


@then("at least {gain:g} more of the value is delivered than with {fields}")
def step_gain(context, gain, fields):
    without = simulate(context, **read_fields(fields))
    values = context.simulation.shares()[2], without.shares()[2]
    assert values[0] >= values[1] + gain, values


@then("no kind is served less than a quarter as often as all requests")
def step_floor(context):
    overall = context.simulation.shares()[0]
    shares = {kind.name: context.simulation.shares(kind.name)[0] for kind in KINDS}
    assert min(shares.values()) >= overall / 4, (shares, overall)


@then("no request waited and none was refused")
def step_untouched(context):
    assert not context.simulation.waits
    assert all(request["tries"] == 1 for request, _ in context.simulation.outcomes)


@then("they differ by at most {most:g} and all exceed 0")
def step_levels(context, most):
    levels = context.levels
    assert min(levels) > 0 and max(levels) - min(levels) <= most, levels


@given("a VM that knew a load of {load:d} requests per slot")
def step_known_load(context, load):
    target = Target("t1", SERVICE, "h", 1, "a", 2, False, 0.0, 1)
    context.states = [TargetState(target, TypicalPeerLoad(), 0.0)]
    context.states[0].recent_loads.append((0.0, 2 * load))
    context.use = ServiceUse()
    for tick in range(10):
        context.use.sample(context.states, tick / 10)
    assert context.use.level(1.0) > 1.0


@when("{seconds:d} s pass without reports")
def step_silence(context, seconds):
    for tick in range(1, 10 * seconds):
        context.use.sample(context.states, 1.0 + tick / 10)


@then("its level is 0")
def step_no_level(context):
    assert context.use.level(context.use.sampled_at) == 0.0
    assert context.use.age_s is None


@then(
    "at a share of {share:g} a workspace with {own:d} of {total:d} gets {low:g} to "
    "{high:g}"
)
def step_fair_share(context, share, own, total, low, high):
    counts = [2.0] * ((total - 20) // 2) + [20.0]
    assert low <= fair_share(float(own), counts, share) <= high


@then("the rank {value} is read as {rank:d} and reported as {problem}")
def step_clamped(context, value, rank, problem):
    paths = [{"name": "r", "path_prefix": "/", "priority": loads(value)}]
    spec = {"version": "r1", "virtual_hosts": [{"host": "h", "paths": paths}]}
    configuration = decode_configuration(spec).ok
    assert configuration.routes_by_host["h"][0].priority == rank
    assert configuration.rank_problems == (("route r", problem, rank),)


@then("3 refusals that a VM reports to the aggregator reach other VMs, but not itself")
def step_refusals_shared(context):
    own, total = DigestCounts(), DigestCounts()
    for _ in range(3):
        own.add_refusals(SERVICE, 1)
    total.add_digest(own.build_digests()[0])
    assert total.build_digests()[0].refusals == ((SERVICE, 3),)
    assert not total.without(own).has_content()


@then("at least {least:g} of bill are on time, and {gain:g} more than by arrival")
def step_urgent(context, least, gain):
    by_value = context.simulation.shares("bill")[1]
    by_arrival = simulate(context, retries="arrival").shares("bill")[1]
    assert by_value >= max(least, by_arrival + gain), (by_value, by_arrival)


@then("in any 10 s the VMs send at most 0.2 times their requests plus 170 retries")
def step_bound(context):
    times = [at for at, _ in context.simulation.repeats]
    arrivals = context.simulation.arrivals
    assert times
    for index, end in enumerate(times):
        repeats = index + 1 - bisect_right(times, end - WINDOW_S)
        requests = bisect_right(arrivals, end) - bisect_right(arrivals, end - WINDOW_S)
        assert repeats <= 0.2 * requests + EXTRA_REPEATS, (end, repeats, requests)


@then("order and tariff get at most {share:g} of the retries that they get by arrival")
def step_patient(context, share):
    counts = [
        sum(name != "bill" for _, name in item.repeats)
        for item in (context.simulation, simulate(context, retries="arrival"))
    ]
    assert counts[0] <= share * counts[1], counts


@then("with 4 of 6 repeats left, a repeat is {result} with {fields}")
def step_judged(context, result, fields):
    budget = RepeatBudget(0.0, WINDOW_S, 6 / USED_FRACTION)
    assert budget.try_consume(SERVICE, 0.0) and budget.try_consume(SERVICE, 0.0)
    denial = judge_repeat(RETRIED._replace(**read_fields(fields)), budget, 0.0)
    assert (denial.value if denial else "granted") == result, denial


@given(
    "its routes have the ranks 0, 1 and 2 and its service a load of {load:d} per slot"
)
def step_loaded_vm(context, load):
    fleet = context.entry_fleet
    admitting = fleet.kernels_by_vm["vm1"].find("load-admission")
    for rank, path in enumerate(fleet.configuration["virtual_hosts"][0]["paths"][:3]):
        path["priority"] = rank

    async def publish():
        fleet.publish()
        with fail_after(5):
            while not admitting.is_enabled:
                await sleep(0.01)

    context.portal.call(publish)
    use = admitting.control.services["core"].use
    use.load = use.lasting_level.value = float(load)
    # No sample replaces the load during the scenario.
    use.sampled_at = inf


@then("of {count:d} GET {path:S} at least {least:d} get {status:d}")
def step_statuses(context, count, path, least, status):
    fleet = context.entry_fleet
    answers = [context.portal.call(fleet.send_request, path) for _ in range(count)]
    found = [item for item in answers if item.status_code == status]
    assert len(found) >= least, [item.status_code for item in answers]
    assert status == 200 or all("retry-after" in item.headers for item in found)
    runs = sum(len(item.runs) for item in fleet.entry_targets_by_id.values())
    before, context.runs = getattr(context, "runs", 0), runs
    assert runs - before <= sum(item.status_code == 200 for item in answers)
