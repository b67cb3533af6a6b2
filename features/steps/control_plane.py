"""Steps for control fleets with injected faults."""

from anyio import create_task_group, current_time, sleep
from behave import given, then, when
from msgspec.json import decode

from features.control_checks import (
    accepting_vms,
    add_key,
    add_workspace,
    VersionChecker,
    wait_until,
    wait_version,
)
from primroseturn.configuration.log import LOG_PREFIX, propose_change
from primroseturn.configuration.models import Change
from primroseturn.standins.fleet import ControlFleet, run_control_fleet, VmLocation
from primroseturn.standins.store import StoreFaults

START_TIMEOUT_S = 10.0
HALVED_TIMES = {
    "control": {"heartbeat_interval_s": 0.25},
    "keys": {"isolation_limit_s": 2.0},
}


async def start_vms(context, count: int, regions: int, sections: dict) -> None:
    """Start VMs with one configured key, and wait until all of them accept it."""
    fleet: ControlFleet = context.control
    context.key_id = add_key(fleet, "shop")
    context.checker = VersionChecker()
    await fleet.add_many(count, region_count=regions, **sections)
    for vm, kernel in fleet.kernels_by_vm.items():
        context.checker.observe(vm, kernel)
    await wait_version(fleet, fleet.version, START_TIMEOUT_S)
    await wait_until(
        lambda: len(accepting_vms(fleet, context.key_id)) == count, START_TIMEOUT_S
    )


def start_fleet(
    context, count: int, regions: int, memory: bool = True, sections=None
) -> None:
    """Run a control fleet until the scenario ends."""
    manager = context.portal.wrap_async_context_manager(run_control_fleet(7, memory))
    context.control = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    context.portal.call(start_vms, context, count, regions, sections or {})


def vm_name(number: int) -> str:
    """Return the name of the n-th VM of a fleet."""
    return f"vm{number:03d}"


def region_vms(context, number: int) -> list[str]:
    """Return the names of the running VMs of a region."""
    listed = context.control.entry_vms_by_name
    return [
        vm
        for vm in context.control.kernels_by_vm
        if listed[vm].region == f"region{number}"
    ]


def lose_messages(context, senders, receivers) -> None:
    """Drop all messages from the senders to the receivers."""
    cuts = context.control.network.faults.cuts
    cuts.update((one, other) for one in senders for other in receivers if one != other)


@given("a control fleet of {count:d} VMs in {regions:d} regions")
def step_fleet(context, count, regions):
    start_fleet(context, count, regions)


@given("a control fleet of {count:d} VMs in {regions:d} regions over TCP")
def step_tcp_fleet(context, count, regions):
    start_fleet(context, count, regions, memory=False)


@given(
    "a control fleet of {count:d} VMs in {regions:d} regions with halved heartbeat and "
    "isolation times"
)
def step_halved_fleet(context, count, regions):
    start_fleet(context, count, regions, sections=HALVED_TIMES)


@given("the network loses {loss:d}% and duplicates {duplicates:d}% of the messages")
def step_network_faults(context, loss, duplicates):
    faults = context.control.network.faults
    faults.loss_share, faults.duplicate_share = loss / 100, duplicates / 100
    faults.jitter_s = 0.05


@given("the store is unavailable")
@when("the store becomes unavailable")
def step_outage(context):
    context.portal.call(context.control.store.set_faults, StoreFaults(outage=True))


@when("the store is available again")
def step_store_available(context):
    context.portal.call(context.control.store.set_faults, StoreFaults())


@given("the store loses {share:d}% of its responses to writes")
def step_lost_responses(context, share):
    faults = StoreFaults(lost_answer_share=share / 100, seed=3)
    context.portal.call(context.control.store.set_faults, faults)


@when("region {number:d} is partitioned from the other regions")
def step_partition_region(context, number):
    inside = region_vms(context, number)
    outside = [vm for vm in context.control.kernels_by_vm if vm not in inside]
    lose_messages(context, inside, outside)
    lose_messages(context, outside, inside)


@when("region {number:d} cannot reach the store")
def step_region_without_store(context, number):
    for vm in region_vms(context, number):
        context.control.store_links_by_vm[vm].is_cut = True


@when("VM {number:d} cannot reach the store")
def step_vm_without_store(context, number):
    context.control.store_links_by_vm[vm_name(number)].is_cut = True


@when("all messages to VM {number:d} are lost")
def step_lose_inbound(context, number):
    lose_messages(context, context.control.kernels_by_vm, [vm_name(number)])


@when("all messages from VM {number:d} are lost")
def step_lose_outbound(context, number):
    lose_messages(context, [vm_name(number)], context.control.kernels_by_vm)


@when("messages from VM {one:d} to VM {other:d} are lost")
def step_lose_one_way(context, one, other):
    lose_messages(context, [vm_name(one)], [vm_name(other)])


@when("messages between VM {one:d} and VM {other:d} are lost")
def step_lose_two_way(context, one, other):
    lose_messages(context, [vm_name(one)], [vm_name(other)])
    lose_messages(context, [vm_name(other)], [vm_name(one)])


@when("all links work again")
def step_restore_links(context):
    context.control.network.faults.cuts.clear()
    for link in context.control.store_links_by_vm.values():
        link.is_cut = False


@when("{count:d} workspaces are created in the log")
def step_create_workspaces(context, count):
    async def create():
        for number in range(count):
            add_workspace(context.control, f"w{context.control.version}-{number}")

    context.portal.call(create)


@when("{count:d} workspaces are created one by one")
def step_create_one_by_one(context, count):
    async def create():
        for number in range(count):
            add_workspace(context.control, f"w{context.control.version}-{number}")
            await sleep(0.02)

    context.portal.call(create)


@then("the newest change is in force everywhere within {limit:g} s")
def step_in_force(context, limit):
    fleet = context.control
    context.portal.call(wait_version, fleet, fleet.version, limit)


@then("no configuration version went backwards")
def step_never_decreased(context):
    assert context.checker.changes, "no change was observed"
    assert not context.checker.faults, context.checker.faults


@then("the newest change is not in force at VM {number:d}")
def step_not_in_force(context, number):
    versions = context.control.versions()
    assert versions[vm_name(number)] < context.control.version, versions


@when("VM {number:d} crashes")
def step_crash(context, number):
    context.portal.call(context.control.remove, vm_name(number))


@when("VM {number:d} starts with VM {seed:d} as its seed")
def step_start(context, number, seed):
    start_vm(context, number, [seed])


@when("VM {number:d} starts with VMs {one:d} and {other:d} as its seeds")
def step_start_two(context, number, one, other):
    start_vm(context, number, [one, other])


def start_vm(context, number: int, seeds: list[int]) -> None:
    """Start a VM whose settings name other VMs as seeds."""
    fleet = context.control
    seed_settings = []
    for seed in seeds:
        listed = fleet.entry_vms_by_name[vm_name(seed)]
        address = {"host": listed.host, "port": listed.control_port}
        seed_settings.append({"vm": listed.vm, "address": address})

    async def start():
        location = VmLocation(number - 1, 2, 2)
        kernel = await fleet.add(
            vm_name(number), location, control={"seeds": seed_settings}
        )
        context.checker.observe(vm_name(number), kernel)

    context.portal.call(start)


@then("VM {number:d} accepts the key within {limit:g} s")
def step_accepts(context, number, limit):
    fleet, name = context.control, vm_name(number)
    context.portal.call(
        wait_until, lambda: name in accepting_vms(fleet, context.key_id), limit
    )


@then("VM {number:d} has the newest version within {limit:g} s")
def step_has_newest(context, number, limit):
    fleet, name = context.control, vm_name(number)
    context.portal.call(
        wait_until, lambda: fleet.versions()[name] >= fleet.version, limit
    )


@then("VM {number:d} refuses the key within {limit:g} s")
def step_refuses(context, number, limit):
    fleet, name = context.control, vm_name(number)
    context.portal.call(
        wait_until, lambda: name not in accepting_vms(fleet, context.key_id), limit
    )


@then("all VMs of region {number:d} refuse the key within {limit:g} s")
def step_region_refuses(context, number, limit):
    fleet, names = context.control, set(region_vms(context, number))
    context.portal.call(
        wait_until,
        lambda: not names & set(accepting_vms(fleet, context.key_id)),
        limit,
    )


@then("all VMs accept the key for {seconds:g} s")
def step_all_accept(context, seconds):
    fleet = context.control

    async def watch():
        end = current_time() + seconds
        while current_time() < end:
            missing = set(fleet.kernels_by_vm) - set(
                accepting_vms(fleet, context.key_id)
            )
            assert not missing, sorted(missing)
            await sleep(0.05)

    context.portal.call(watch)


@then("all VMs of region {number:d} accept the key")
def step_region_accepts(context, number):
    accepting = context.portal.call(accepting_vms, context.control, context.key_id)
    assert set(region_vms(context, number)) <= set(accepting), accepting


@when("the key is withdrawn through VM {number:d}")
def step_withdraw(context, number):
    kernel = context.control.kernels_by_vm[vm_name(number)]

    async def withdraw():
        context.withdrawn_at = current_time()
        result = await kernel.find("withdrawals").withdraw(
            context.key_id, "operation-1"
        )
        context.withdrawal = result.ok

    context.portal.call(withdraw)


@then('the withdrawal is "{state}" and in force at {count:d} VMs')
def step_withdrawal(context, state, count):
    withdrawal = context.withdrawal
    assert (withdrawal.state, withdrawal.in_force) == (state, count), withdrawal


@then("the withdrawal names {count:d} VMs that have not confirmed it")
def step_unconfirmed(context, count):
    assert len(context.withdrawal.unheard) == count, context.withdrawal


@then("no VM accepts the key later than {limit:g} s after its withdrawal")
def step_none_accepts_later(context, limit):
    fleet = context.control

    async def watch():
        await sleep(max(0.0, context.withdrawn_at + limit - current_time()))
        for _ in range(10):
            accepting = accepting_vms(fleet, context.key_id)
            assert not accepting, accepting
            await sleep(0.05)

    context.portal.call(watch)


@then("the log records the withdrawal once within {limit:g} s")
def step_withdrawal_recorded(context, limit):
    fleet = context.control

    def records():
        changes = [
            decode(entry.value, type=Change)
            for key, entry in fleet.store.entries_by_key.items()
            if key.startswith(LOG_PREFIX)
        ]
        return [
            item
            for item in changes
            if item.name == context.key_id and item.body.get("withdrawn")
        ]

    context.portal.call(wait_until, records, limit)
    context.portal.call(sleep, 1.0)
    assert len(records()) == 1, records()


@when("two operators each propose {count:d} changes at the same time")
def step_two_operators(context, count):
    fleet = context.control
    context.proposed = []

    async def propose(number: int):
        kernel = fleet.kernels_by_vm[vm_name(number)]
        replica = kernel.find("replica")
        for item in range(count):
            name = f"race-{number}-{item}"
            body = {"name": name, "rate": 1, "burst": 1}
            change = Change(
                replica.state.version, name, "test", "workspace", name, body
            )
            for _ in range(20):
                result = await propose_change(
                    kernel.find("store"), change, list(replica.recent_changes)
                )
                if result.is_ok():
                    break
            context.proposed.append((name, result))

    async def race():
        async with create_task_group() as tasks:
            tasks.start_soon(propose, 1)
            tasks.start_soon(propose, 2)
        fleet.version += 2 * count

    context.portal.call(race)


@then("each proposed change is in the log exactly once and the log has no gap")
def step_recorded_once(context):
    entries = context.control.store.entries_by_key
    changes = [
        decode(entries[key].value, type=Change)
        for key in sorted(entries)
        if key.startswith(LOG_PREFIX)
    ]
    versions = [change.version for change in changes]
    assert versions == list(range(1, len(versions) + 1)), versions
    operations = [change.operation_id for change in changes]
    for name, result in context.proposed:
        assert result.is_ok(), (name, result)
        assert operations.count(name) == 1, (name, operations)


@when('messages of type "{tag}" to VM {number:d} are lost')
def step_lose_type(context, tag, number):
    faults = context.control.network.faults
    faults.lost_tags_by_receiver.setdefault(vm_name(number), set()).add(tag)


@when('messages of type "{tag}" to all VMs are lost')
def step_lose_type_everywhere(context, tag):
    faults = context.control.network.faults
    for vm in context.control.kernels_by_vm:
        faults.lost_tags_by_receiver.setdefault(vm, set()).add(tag)


@then("no VM accepts the key")
def step_none_accepts(context):
    accepting = context.portal.call(accepting_vms, context.control, context.key_id)
    assert not accepting, accepting


@then("VM {one:d} detects a one-way link from VM {other:d} within {limit:g} s")
def step_one_way_detected(context, one, other, limit):
    members = context.control.kernels_by_vm[vm_name(one)].find("membership")
    context.portal.call(
        wait_until,
        lambda: members.link_state(vm_name(other), current_time()) == (True, False),
        limit,
    )


@then("all {count:d} VMs are live at every VM for {seconds:g} s")
def step_all_live(context, count, seconds):
    async def watch():
        end = current_time() + seconds
        while current_time() < end:
            for vm, kernel in context.control.kernels_by_vm.items():
                live = kernel.find("membership").live_daemons()
                assert len(live) == count, (vm, sorted(live))
            await sleep(0.1)

    context.portal.call(watch)


@then("VM {number:d} is live at no VM within {limit:g} s")
def step_live_nowhere(context, number, limit):
    kernels = context.control.kernels_by_vm.values()
    context.portal.call(
        wait_until,
        lambda: (
            not any(
                vm_name(number) in kernel.find("membership").live_daemons()
                for kernel in kernels
            )
        ),
        limit,
    )


@when("messages to VM {number:d} are delayed for {seconds:g} s and later ones are lost")
def step_delay_messages(context, number, seconds):
    fleet, name = context.control, vm_name(number)

    async def delay_messages():
        fleet.network.faults.held_receivers.add(name)
        await sleep(0.4)
        fleet.network.faults.held_receivers.discard(name)
        lose_messages(context, fleet.kernels_by_vm, [name])
        await sleep(seconds - 0.4)

    context.portal.call(delay_messages)


@when("the delayed messages to VM {number:d} are delivered")
def step_deliver_delayed(context, number):
    context.portal.call(context.control.network.release, vm_name(number))


@then("VM {number:d} does not accept the key for {seconds:g} s")
def step_does_not_accept(context, number, seconds):
    fleet = context.control

    async def watch():
        end = current_time() + seconds
        while current_time() < end:
            assert vm_name(number) not in accepting_vms(fleet, context.key_id)
            await sleep(0.02)

    context.portal.call(watch)


@then("the store gets at most {limit:g} calls per second over {seconds:g} s")
def step_call_rate(context, limit, seconds):
    store = context.control.store

    async def count():
        before = sum(store.calls_by_kind.values())
        await sleep(seconds)
        return sum(store.calls_by_kind.values()) - before

    calls = context.portal.call(count)
    assert calls <= limit * seconds, (calls, store.calls_by_kind)
    assert calls > 0


@when("the store is available again with a cap of {cap:g} calls per second")
def step_capped_store(context, cap):
    context.portal.call(context.control.store.set_faults, StoreFaults(calls_per_s=cap))


@then("the store refused at most {limit:d} calls")
def step_store_refusals(context, limit):
    refused = context.control.store.calls_by_kind.get("refused", 0)
    assert refused <= limit, refused
