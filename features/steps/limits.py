"""Steps for rate and burst. The Then steps run the schedule on virtual time."""

from collections import Counter
from time import monotonic

from anyio import create_task_group, fail_after, sleep
from behave import given, then, when
from expression import Ok
from msgspec.json import decode

from features.exploration.limits import ACTIONS, run_world, VMS, World
from features.exploration.run import explore
from features.exploration.vms import run_on_virtual_time
from primroseturn.clock import MonotonicClock
from primroseturn.limits.borrowing import Borrower
from primroseturn.limits.ledger import Ledger, LedgerEntry, LedgerView
from primroseturn.limits.measurement import measure_limits, MeasurementOptions
from primroseturn.limits.messages import LoanGrant
from primroseturn.limits.sessions import owner_of, OwnerSession, SessionObserver
from primroseturn.limits.share import Limits, Share
from primroseturn.standins.network import run_network
from primroseturn.standins.objects import MemoryObjects

START_TIMEOUT_S = 10


@when("{count:d} schedules of the {protocol} protocol are explored with seed {seed:d}")
def step_explore(context, count, protocol, seed):
    context.totals = explore(protocol, count, seed)
    context.schedule_count = count


@when(
    "{count:d} schedules of the {protocol} protocol are explored with seed {seed:d} "
    'and "{variant}"'
)
def step_explore_broken(context, count, protocol, seed, variant):
    context.failure = context.totals = None
    try:
        context.totals = explore(protocol, count, seed, broken=variant)
    except (AssertionError, BaseExceptionGroup) as failure:
        context.failure = failure


@then("every schedule passed its checks")
def step_passed(context):
    assert context.totals["schedules"] >= context.schedule_count, context.totals
    # A protocol that refuses every request would pass too.
    accepted = context.totals.get("admitted", 0) + context.totals.get("granted", 0)
    assert accepted >= context.schedule_count, context.totals


@then("a schedule failed its checks")
def step_failed(context):
    outcome = (context.failure, context.totals)
    assert has_assertion(context.failure), f"no check failed: {outcome!r}"


def has_assertion(failure):
    """Return whether a failure is or contains a failed check."""
    if isinstance(failure, BaseExceptionGroup):
        return any(has_assertion(item) for item in failure.exceptions)
    return isinstance(failure, AssertionError)


@given("4 VMs that share a workspace of rate 8 and burst 12")
def step_world(context):
    context.schedule = []


@when('VM "{vm}" receives {count:d} requests')
def step_burst(context, vm, count):
    context.schedule.append(("burst", vm, count))


@when("every VM receives {count:d} requests")
def step_burst_everywhere(context, count):
    context.schedule += [("burst", vm, count) for vm in VMS]


@when("the simulated VMs run for {seconds:f} s")
def step_time_passes(context, seconds):
    context.schedule.append(("advance", seconds))


@when("the simulated store is unavailable")
def step_outage(context):
    context.schedule.append(("store", True, 0.0, 0.0, 0.0))


@when("the owner of most units {how}")
def step_owner_stops(context, how):
    action = {"crashes": "crash", "stops as planned": "leave"}[how]
    context.schedule.append(("stop", action))


@when("the configured limits change to rate 20 and burst 16")
def step_configure(context):
    context.schedule.append(("configure", 2))


@when('VM "{vm}" applies the configured limits')
def step_apply(context, vm):
    context.schedule.append(("apply", vm))


def units_by_vm(world: World):
    """Return the units that the ledger records for each VM."""
    stored = world.objects.objects_by_key["limits/w"]
    shares = decode(stored.value, type=Ledger).shares
    return {owner_of(name)[0]: entry.units for name, entry in shares.items()}


async def run_actions(schedule):
    """Run the actions of a schedule.

    Returns the units by VM, the VM that stopped, the sum of all rates and the number of
    admitted requests.
    """
    stopped = None
    async with run_world(1) as world:
        for name, *arguments in schedule:
            if name == "stop":
                units = units_by_vm(world)
                stopped = max(units, key=units.get)
                await ACTIONS[arguments[0]](world, stopped)
            else:
                await ACTIONS[name](world, *arguments)
                world.record_limits()
        units = units_by_vm(world)
        rates = sum(
            share.rate
            for admission in world.admissions.values()
            for share in admission.shares_by_workspace.values()
        )
        admitted = sum(item.count for item in world.trace)
        return units, stopped, rates, admitted


def run_schedule(context):
    """Run the schedule of the steps so far."""
    return run_on_virtual_time(run_actions, context.schedule)


@then("at least {least:d} and at most {most:d} requests were admitted")
def step_admitted(context, least, most):
    *_, admitted = run_schedule(context)
    assert least <= admitted <= most, admitted


@then("the VM that stopped owns {amount} units")
def step_units_of_stopped(context, amount):
    units, stopped, *_ = run_schedule(context)
    assert (units.get(stopped, 0) > 0) == (amount == "some"), (stopped, units)


@then("the rates of all VMs add up to at most {rate:d}")
def step_rate_at_most(context, rate):
    _, _, rates, _ = run_schedule(context)
    assert 0 < rates <= rate + 1e-6, rates


@then("the rates of all VMs add up to {rate:d}")
def step_rate(context, rate):
    _, _, rates, _ = run_schedule(context)
    assert rate * 0.9 <= rates <= rate + 1e-6, rates


class StaleGrantBus:
    """Bus that replies to each request with a grant for an earlier incarnation."""

    vm, incarnation = "a", "new"

    async def request(self, peer, message, timeout_s):
        return Ok(LoanGrant("a/old/1", "loan", 1.0, 1.0, 1.0))


async def borrow_after_restart():
    """Return the share of a borrower that got a grant for its former incarnation."""
    clock = MonotonicClock()
    session = OwnerSession(None, clock, "a@h:1", "new", 10.0, 1.0)
    share = Share("w", Limits(8.0, 12.0), session, clock.now())
    share.waiting = 1
    borrower = Borrower(clock, StaleGrantBus(), 1.0, lambda share: ["b"])
    await borrower.run_round(share)
    return share


@when("a restarted VM receives a loan that its former incarnation requested")
def step_old_grant(context):
    context.share = run_on_virtual_time(borrow_after_restart)


@then("it has no loan")
def step_no_loan(context):
    assert not context.share.borrowed_by_id
    assert context.share.tokens == 0


async def observe_successor():
    """Return whether the session after an observed one is treated as ended."""
    async with run_network(1) as network:
        objects, clock = MemoryObjects(network.tasks, 1), MonotonicClock()
        observer = SessionObserver(objects, clock, 100.0, 1.0)
        for incarnation in ("1", "2"):
            session = OwnerSession(objects, clock, "b@h:1", incarnation, 100.0, 1.0)
            await session.open()
            has_ended = await observer.has_ended(session.name)
            await sleep(5.0)
        return has_ended or await observer.has_ended(session.name)


@when("a VM that observed a session observes the next one of the same VM")
def step_observe(context):
    context.has_ended = run_on_virtual_time(observe_successor)


@then("it does not treat the next session as ended")
def step_not_ended(context):
    assert not context.has_ended


@when("limits are measured for {vms:d} VMs over {seconds:d} virtual seconds")
def step_measure(context, vms, seconds):
    context.reports = measure_limits(MeasurementOptions(vms, seconds, 0.8, 1))


@then("no request was admitted above the rate")
def step_no_excess(context):
    assert not any(item.over_admitted for item in context.reports), context.reports


@then(
    "fewer requests are refused than with fixed equal parts, however demand is spread "
    "over VMs"
)
def step_fewer_refusals(context):
    for item in context.reports:
        static = item.static_split_refused_inside_rate
        assert item.refused_inside_rate < static, item


@when("a workspace of rate 5 and burst 10 sends 90 requests through all daemons")
def step_send_through_all(context):
    fleet = context.fleet

    async def send():
        key = fleet.add_workspace("small", rate=5, burst=10)
        await fleet.wait_ready()
        responses = []

        async def request(number):
            vm = f"vm{number % 3 + 1}"
            responses.append(await fleet.request(vm, "GET", "/find/x", key))

        started = monotonic()
        # The first units are acquired through the store, which may take longer than the
        # first requests wait on a busy machine.
        with fail_after(START_TIMEOUT_S):
            while not responses or responses[-1].status_code != 200:
                responses.clear()
                await request(0)
        async with create_task_group() as tasks:
            for number in range(90):
                tasks.start_soon(request, number)
        return Counter(item.status_code for item in responses), monotonic() - started

    context.statuses, context.elapsed_s = context.portal.call(send)


@then(
    "at least 8 requests and no more than rate and burst were answered with status 200"
)
def step_admitted_within_limits(context):
    assert set(context.statuses) == {200, 429}, context.statuses
    most = 10 + 5 * context.elapsed_s
    assert 8 <= context.statuses[200] <= most, (context.statuses, most)


def ledger_of(units):
    """Return a ledger in which one session owns units, none of them fresh."""
    return Ledger("other", 0, {"b@h:1#1.1": LedgerEntry(units, 8.0, 12.0)})


@when("a write that leaves 100 of 500 units gets no response")
def step_release_without_response(context):
    context.view = LedgerView("w")
    context.view.adopt(5, ledger_of(500))
    context.view.record_pending_write(100)


@then("100 units are usable until a newer version is read")
def step_release_in_force(context):
    usable = []
    for version in (5, 4, 6):
        context.view.adopt(version, ledger_of(500))
        usable.append(context.view.usable_units("b@h:1#1.1"))
    assert usable == [100, 100, 500], usable


async def acquire_late():
    """Return the tokens of a VM that acquires all units 10 s after its start."""
    async with run_network(1) as network:
        objects, clock = MemoryObjects(network.tasks, 1), MonotonicClock()
        session = OwnerSession(objects, clock, "b@h:1", "1", 100.0, 1.0)
        await session.open()
        share = Share("w", Limits(8.0, 12.0), session, clock.now())
        await sleep(10.0)
        share.adopt(5, ledger_of(1000), clock.now())
        assert share.rate == 8.0
        return share.tokens


@when("a VM without units acquires all units after 10 s")
def step_acquire(context):
    context.tokens = run_on_virtual_time(acquire_late)


@then("it has no tokens")
def step_no_tokens(context):
    assert context.tokens == 0, context.tokens
