"""Steps for the fleet of entry VMs: aggregators, digests and budgets."""

from random import Random

from anyio import create_task_group, current_time, fail_after, sleep
from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from primroseturn.entry.digests import DigestExchange
from primroseturn.limits.models import Workspace
from primroseturn.limits.quota import FleetQuota
from primroseturn.membership.fleet import Fleet, LIVENESS_TIMEOUT_S, RegisteredVm
from primroseturn.queueing.retry_after import MIN_RETRY_AFTER_S, retry_after_s
from primroseturn.retries.repeats import RepeatBudget
from primroseturn.routing.models import Target
from primroseturn.routing.placement import Placement
from primroseturn.standins.network import MemoryNetwork

# In each window, the VMs together may send as repeats RATIO times their requests plus
# EXTRA.
RATIO, WINDOW_S, EXTRA = 0.2, 10.0, 58.0
VMS = 30


def entry_vm(name, center="a"):
    """Return a VM; the name may have its data centre as a prefix."""
    if ":" in name:
        center, name = name.split(":")
    return RegisteredVm(name, "h", 1, center, "r")


@given('VM "{own}" of a fleet with "{names}"')
def step_fleet(context, own, names):
    context.now = 1000.0
    context.fleet = Fleet(entry_vm(own))
    context.fleet.apply_list(
        [entry_vm(name) for name in names.split(", ")], context.now
    )


@given('VM "{own}" before the first list')
def step_unlisted(context, own):
    context.fleet = Fleet(entry_vm(own))


@then("its fleet has {size:d} VMs")
def step_size(context, size):
    assert context.fleet.size == size


@then('"{name}" is the aggregator')
def step_aggregator(context, name):
    found = context.fleet.aggregator(context.now)
    assert found == name, found


@when("{seconds:g} s pass for the fleet")
def step_pass(context, seconds):
    context.now += seconds


@when('a digest of "{name}" arrives')
def step_digest_arrives(context, name):
    context.fleet.record_seen(name, context.now)


@when('"{name}" announces its start')
def step_started(context, name):
    context.fleet.record_start(entry_vm(name), context.now)


@when('"{name}" announces its stop')
def step_stopping(context, name):
    context.fleet.record_stop(name, context.now)


@when('a list with "{names}" arrives')
def step_list(context, names):
    context.fleet.apply_list(
        [entry_vm(name) for name in names.split(", ")], context.now
    )


@then("{count:d} VMs are counted")
def step_counted(context, count):
    assert context.fleet.size == count, context.fleet.size


@then("no objects of VMs are to be removed")
def step_none_lost(context):
    assert not context.fleet.lost_vms(context.now)


@then('the objects of "{names}" are to be removed')
def step_lost(context, names):
    found = context.fleet.lost_vms(context.now)
    assert found == names.split(", "), found


@then('its contacts in "{center}" alternate')
def step_contacts_alternate(context, center):
    found = {context.fleet.contacts(context.now)[center].name for _ in range(4)}
    assert len(found) == 2, found


@when('a digest of data centre "{center}" arrives from "{name}"')
def step_center_digest(context, name, center):
    context.fleet.record_center_digest(center, name, 2, context.now)


@then("digests of {count:d} VMs reach it")
@then("digests of {count:d} VM reach it")
def step_reach(context, count):
    assert context.fleet.reachable_count(context.now) == count, (
        context.fleet.reachable_count(context.now)
    )


@then('its contact in "{center}" is "{name}"')
def step_contact(context, center, name):
    found = {context.fleet.contacts(context.now)[center].name for _ in range(4)}
    assert found == {name}, found
    later = context.now + LIVENESS_TIMEOUT_S + 0.1
    found = {context.fleet.contacts(later)[center].name for _ in range(4)}
    assert len(found) == 2, found


@when('the VM "{name}" is stopped')
def step_stop(context, name):
    context.portal.call(context.entry_fleet.stop, name)


@then('the store lists the VMs "{names}"')
def step_listed(context, names):
    keys = context.entry_fleet.store.keys_of("primroseturn-vms")
    assert keys == [f"primroseturn-vms/{name}" for name in names.split(", ")], keys


@when('the object of "{name}" is removed from the store')
def step_removed(context, name):
    context.entry_fleet.store.write(f"primroseturn-vms/{name}", None)


@when('"{name}" starts and its object is removed as soon as it exists')
def step_removed_at_start(context, name):
    store = context.entry_fleet.store

    async def remove():
        while f"primroseturn-vms/{name}" not in store.keys_of("primroseturn-vms"):
            await sleep(0.005)
        store.write(f"primroseturn-vms/{name}", None)

    async def run():
        async with create_task_group() as tasks:
            tasks.start_soon(remove)
            await context.entry_fleet.add_entry(name)

    context.portal.call(run)


@then('the store lists the VMs "{names}" within {seconds:g} s')
def step_listed_within(context, names, seconds):
    expected = [f"primroseturn-vms/{name}" for name in names.split(", ")]

    async def run():
        with fail_after(seconds):
            while context.entry_fleet.store.keys_of("primroseturn-vms") != expected:
                await sleep(0.05)

    context.portal.call(run)


@given('{first:d} VMs of data centre "a" and {second:d} of "b" that exchange digests')
def step_exchange(context, first, second):
    names = [f"a{number}" for number in range(1, first + 1)]
    names += [f"b{number}" for number in range(1, second + 1)]
    context.vms = [RegisteredVm(name, "h", 1, name[0], "r") for name in names]
    context.aggregators_by_vm = {}


@given("each of them acts as the aggregator")
def step_all_aggregate(context):
    context.aggregators_by_vm = {vm.name: vm.name for vm in context.vms}


@given('"{name}" considers "{other}" the aggregator')
def step_considers(context, name, other):
    context.aggregators_by_vm = {name: other}


@when('"{name}" records a failure of a target and admits {count:d} requests')
def step_records(context, name, count):
    async def run():
        found = {}
        async with create_task_group() as tasks:
            network = MemoryNetwork(tasks, 1)
            for vm in context.vms:
                found[vm.name] = start_exchange(network, vm, context.vms)
                aggregator = context.aggregators_by_vm.get(vm.name)
                if aggregator is not None:
                    found[vm.name].fleet.aggregator = lambda now, name=aggregator: name
                tasks.start_soon(found[vm.name].send_forever)
            await sleep(1.0)
            exchange = found[name]
            exchange.placement.record_error_response("t1", current_time())
            exchange.record_outcome("t1", True)
            for _ in range(count):
                assert exchange.quota.admit("shop", current_time()) == 0
            await sleep(1.0)
            tasks.cancel_scope.cancel()
        return found

    context.sender = name
    context.exchanges = context.portal.call(run)


class CountingPlacement(Placement):
    """Counts the failures that other VMs report."""

    peer_failures = 0

    def record_peer_outcomes(self, target_id, failed, succeeded, now, *others):
        self.peer_failures += failed
        super().record_peer_outcomes(target_id, failed, succeeded, now, *others)


class CountingQuota(FleetQuota):
    """Counts the requests that other VMs admitted."""

    peer_admissions = 0

    def record_peer_usage(self, usage, now):
        self.peer_admissions += sum(item.admitted for item in usage)
        super().record_peer_usage(usage, now)


def start_exchange(network, own, vms):
    """Return the digest exchange of a VM on an in-memory network."""
    fleet = Fleet(own)
    fleet.apply_list(vms, current_time())
    placement = CountingPlacement(own.data_center, {"a": "r", "b": "r"}, Random(1))
    target = Target("t1", "core", "h", 1, "a", 6, False, 0, 1)
    placement.update_targets([target], current_time())
    quota = CountingQuota()
    quota.fleet_size = len(vms)
    shop = {"shop": Workspace("shop", 100, 100, None)}
    quota.set_workspaces(shop, current_time())
    return DigestExchange(network.join(own.name, "1"), fleet, placement, quota)


@then(
    "every other VM counts {failures:d} failure of it and {count:d} admitted requests "
    "within 1 s"
)
def step_counts(context, failures, count):
    for name, exchange in context.exchanges.items():
        expected = (0, 0) if name == context.sender else (failures, count)
        found = (exchange.placement.peer_failures, exchange.quota.peer_admissions)
        assert found == expected, (name, found)


def worst_excess(steps, assumed_fleet_size):
    """Return by how many repeats the VMs together exceed the bound in the worst window.

    Parameters
    ----------
    assumed_fleet_size
        Number of VMs among which each of them divides the extra repeats.
    """
    budgets = [RepeatBudget(RATIO, WINDOW_S, EXTRA) for _ in range(VMS)]
    for budget in budgets:
        budget.fleet_size = assumed_fleet_size
    now, requests, repeats = 0.0, [], []
    for vm, count, gap in steps:
        now += gap
        for _ in range(count):
            budgets[vm].count_request("core", now)
            requests.append(now)
            if budgets[vm].try_consume("core", now):
                repeats.append(now)
    worst = float("-inf")
    for at in repeats:
        sent = sum(at - WINDOW_S < time <= at for time in repeats)
        requested = sum(at - WINDOW_S < time <= at for time in requests)
        worst = max(worst, sent - RATIO * requested - EXTRA)
    return worst


# Each step is a VM, the number of requests that it receives, and the seconds before it.
STEPS = st.lists(
    st.tuples(st.integers(0, VMS - 1), st.integers(1, 20), st.floats(0, 1)),
    min_size=1,
    max_size=80,
)


@then(
    "in any sequence of requests {vms:d} VMs send at most the repeats that ratio and "
    "extra allow"
)
def step_budget(context, vms):
    assert vms == VMS

    @settings(max_examples=150, derandomize=True, database=None, deadline=None)
    @for_all(STEPS)
    def check(steps):
        assert worst_excess(steps, VMS) <= 0

    check()


@then("{vms:d} VMs that each use the whole extra budget exceed the bound")
def step_budget_broken(context, vms):
    steps = [(vm, 20, 0.0) for vm in range(vms)]
    assert worst_excess(steps, 1) > 0


@then(
    "any retry delay is at most a third of the caller's remaining time or the shortest "
    "delay"
)
def step_retry_delay(context):
    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @for_all(st.floats(0, 100), st.floats(0, 10), st.integers(0, 1000))
    def check(wait_s, left_s, seed):
        found = retry_after_s(wait_s, left_s, Random(seed))
        assert MIN_RETRY_AFTER_S <= found <= max(MIN_RETRY_AFTER_S, left_s / 3) + 1e-3

    check()


@then(
    "{count:d} callers that expect capacity in {wait:g} s retry at {times:d} "
    "different times"
)
def step_retries_spread(context, count, wait, times):
    random = Random(3)
    found = {retry_after_s(wait, 5.0, random) for _ in range(count)}
    assert len(found) >= times, len(found)
