"""Steps for the floor, ejections and trials."""

from math import ceil

from anyio import create_task_group, current_time, fail_after, sleep
from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from features.decisions import build_dispatcher, run_on_clock, slot_request
from primroseturn.detection.evidence import ALL_CLASSES, EvidenceKey
from primroseturn.detection.profiles import Profile
from primroseturn.ejection.ejector import Ejector

SERVICE = "search"
CALLERS = 10
PROFILE = Profile("test", backoff_s=2.0)

actions = st.one_of(
    st.tuples(
        st.just("eject"),
        st.integers(0, 9),
        st.sampled_from(["lookup", "order", ALL_CLASSES]),
        st.floats(1, 20),
    ),
    st.tuples(st.just("list"), st.sets(st.integers(0, 9))),
    st.tuples(st.just("trial"), st.integers(0, 9), st.booleans()),
    st.tuples(st.just("floor"), st.floats(0, 1)),
)


def ejected_count(ejector: Ejector, route_class: str) -> int:
    """Return the number of targets that are ejected for a route class."""
    return len(ejector.ejections_of(SERVICE, route_class))


@then("the floor is kept in any sequence of ejections, returns and list changes")
def step_floor_property(context):
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @for_all(st.lists(actions, max_size=40), st.floats(0, 1))
    def check(sequence, floor):
        ejector = Ejector(PROFILE, floor, lambda key: None)
        ejector.set_live_targets(SERVICE, {str(number) for number in range(10)}, 0.0)
        for now, action in enumerate(sequence):
            if action[0] == "eject":
                key = EvidenceKey(SERVICE, str(action[1]), action[2])
                ejector.eject(key, action[3], now)
            elif action[0] == "list":
                live = {str(number) for number in action[1]}
                ejector.set_live_targets(SERVICE, live, now)
            elif action[0] == "trial":
                target = str(action[1])
                ejector.record_outcome(SERVICE, target, "lookup", action[2], now)
            else:
                ejector.set_floor(action[1], now)
            live = ejector.live_by_service[SERVICE]
            for route_class in ("lookup", "order", ALL_CLASSES):
                left = len(live) - ejected_count(ejector, route_class)
                assert left >= ceil(ejector.floor * len(live) - 1e-9), sequence

    check()


@given("an ejector with {count:d} targets and a floor of {floor:f}")
def step_ejector(context, count, floor):
    context.now = 100.0
    context.ejector = Ejector(PROFILE, floor, lambda key: None)
    live = {str(number) for number in range(1, count + 1)}
    context.ejector.set_live_targets(SERVICE, live, context.now)


def key_of(target: int) -> EvidenceKey:
    """Return the key for all route classes of a target."""
    return EvidenceKey(SERVICE, str(target), ALL_CLASSES)


@when("the targets {first:d} to {last:d} are ejected with rising suspicions")
def step_eject_many(context, first, last):
    for number in range(first, last + 1):
        suspicion = 1.0 + 0.1 * number
        assert context.ejector.eject(key_of(number), suspicion, context.now).is_ok()


@when("the target {target:d} is ejected with suspicion {suspicion:g}")
def step_eject(context, target, suspicion):
    context.ejector.eject(key_of(target), suspicion, context.now)


@when("the targets {first:d} to {last:d} leave the list")
def step_leave(context, first, last):
    gone = {str(number) for number in range(first, last + 1)}
    live = context.ejector.live_by_service[SERVICE] - gone
    context.ejector.set_live_targets(SERVICE, live, context.now)


@then("the targets {first:d} and {second:d} are out of rotation")
def step_out_pair(context, first, second):
    ejected = set(context.ejector.ejections_of(SERVICE, "lookup"))
    assert ejected == {str(first), str(second)}, ejected


@then("the target {target:d} is out of rotation")
def step_out(context, target):
    assert str(target) in context.ejector.ejections_of(SERVICE, "lookup")


@then("the target {target:d} is in rotation")
def step_in(context, target):
    assert str(target) not in context.ejector.ejections_of(SERVICE, "lookup")


@when("{seconds:f} seconds pass")
def step_pass(context, seconds):
    context.now += seconds


@then("the target {target:d} gets no trial")
def step_no_trial(context, target):
    assert context.ejector.due_trial_key(SERVICE, "lookup", context.now) is None


@then("the target {target:d} gets a trial")
def step_trial(context, target):
    key = context.ejector.due_trial_key(SERVICE, "lookup", context.now)
    assert key == key_of(target), key


@when("{count:d} trials of the target {target:d} succeed")
def step_trials(context, count, target):
    for _ in range(count):
        key = context.ejector.due_trial_key(SERVICE, "lookup", context.now)
        assert key == key_of(target), key
        context.ejector.begin_trial(key, context.now)
        context.ejector.record_outcome(
            SERVICE, str(target), "lookup", False, context.now
        )
        context.ejector.end_trial(key)
        context.now += 0.2


@when("a trial of the target {target:d} fails")
def step_trial_fails(context, target):
    context.ejector.begin_trial(key_of(target), context.now)
    context.ejector.record_outcome(SERVICE, str(target), "lookup", True, context.now)
    context.ejector.end_trial(key_of(target))


@then("the target {target:d} gets {percent:d}% of its load")
def step_ramp(context, target, percent):
    # The step with the last trial let 0.2 s pass after it.
    fraction = context.ejector.load_fraction(SERVICE, str(target), context.now - 0.2)
    assert abs(fraction - percent / 100) < 0.02, fraction


@given("a dispatcher on a virtual clock with an ejected target due for a trial")
def step_trial_dispatcher(context):
    async def send(repeatable: bool, count: int) -> list[str]:
        dispatcher = build_dispatcher(targets=5, slots=6)
        key = EvidenceKey(SERVICE, "target0", ALL_CLASSES)
        dispatcher.ejector.eject(key, 2.0, current_time())
        await sleep(5)
        targets = []
        for _ in range(count):
            async with dispatcher.acquire(
                slot_request(repeatable=repeatable)
            ) as result:
                targets.append(result.ok.name)
                if repeatable:
                    async with dispatcher.acquire(slot_request()) as other:
                        targets.append(other.ok.name)
        return targets

    context.send = lambda *arguments: run_on_clock(send, *arguments)


@then("none of {count:d} at-most-once requests is sent to that target")
def step_no_trial_requests(context, count):
    targets = context.send(False, count)
    assert len(targets) == count and "target0" not in targets, targets


@then("{count:d} idempotent request is sent to that target while the trial runs")
def step_one_trial_request(context, count):
    targets = context.send(True, 1)
    assert targets.count("target0") == count, targets


@when('the target "{target}" responds with errors only')
def step_errors_only(context, target):
    faults = context.fleet.upstreams_by_name[target].faults
    faults.error_share = 1.0


@when(
    'the workspace "{workspace}" makes {count:d} requests {method} "{path}" '
    'through "{vm}"'
)
def step_send_many(context, workspace, count, method, path, vm):
    fleet = context.fleet
    key = fleet.secrets_by_workspace[workspace]

    async def send():
        responses = []

        async def caller():
            for _ in range(count // CALLERS):
                responses.append(await fleet.request(vm, "GET", path, key))

        async with create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(caller)
        return responses

    context.responses = context.portal.call(send)


@then('the daemon "{vm}" has ejected "{target}"')
def step_daemon_ejected(context, vm, target):
    ejector = context.fleet.kernels_by_vm[vm].find("dispatcher").ejector
    ejections = ejector.ejections_of(SERVICE, "default")
    assert target in ejections, ejections


@then(
    "at least {least:d} of the last {count:d} requests were served by other targets "
    'than "{target}"'
)
def step_other_targets(context, least, count, target):
    # On a slow machine, the first trial requests of the ejected target, which fail, may
    # be among the last requests.
    last = context.responses[-count:]
    good = [item for item in last if item.status_code == 200]
    assert all(item.json()["target"] != target for item in good)
    assert len(good) >= least, len(good)


@when('the target "{target}" is busy with {count:d} requests of other callers')
def step_busy(context, target, count):
    slots = context.fleet.upstreams_by_name[target].slots
    for number in range(count):
        context.portal.call(slots.acquire_on_behalf_of_nowait, number)


@then('the daemon "{vm}" records load of other VMs at "{target}" only')
def step_reported(context, vm, target):
    balancer = context.fleet.kernels_by_vm[vm].find("dispatcher").balancer

    async def wait_for_reports():
        with fail_after(5):
            while True:
                peer_loads = {
                    name: report.peer_load
                    for name, report in balancer.load_reports_by_target.items()
                }
                if len(peer_loads) == 2 and peer_loads[target] > 0:
                    return peer_loads
                await sleep(0.05)

    peer_loads = context.portal.call(wait_for_reports)
    assert sum(peer_loads.values()) == peer_loads[target], peer_loads
