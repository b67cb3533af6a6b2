"""Steps for at-most-once operations. They run on virtual time."""

from collections import Counter

from anyio import current_time, Event, sleep
from behave import then, when

from features.exploration.claims import World
from features.exploration.vms import run_on_virtual_time
from primroseturn.claims.claims import make_change
from primroseturn.claims.commit import SlotCommitter
from primroseturn.claims.messages import ClaimRequest
from primroseturn.claims.models import ClaimUnavailable, Operation, RecordedOutcome
from primroseturn.claims.slots import decode_slot
from primroseturn.clock import MonotonicClock
from primroseturn.standins.network import run_network

SPLIT_BYTES = 900
RETENTION_S = 3600.0


async def with_world(function, split_bytes=700_000):
    """Run a coroutine function with three started VMs."""
    async with run_network(1) as network:
        world = World(network.tasks, network, 1)
        for vm in ("a", "b", "c"):
            await world.start(vm)
        for claims, _ in world.claims_by_vm.values():
            claims.committer.split_bytes = split_bytes
        return await function(world)


def operation_of(number, attempt="1"):
    """Return an attempt at one of many operations."""
    return Operation("w", f"key{number}", f"x{number}-{attempt}", "f")


async def claim_many(world):
    """Claim 60 operations at once; return the grants, writes and stored slots."""
    grants, all_done = [], Event()

    async def claim(number):
        claims, _ = world.claims_by_vm["abc"[number % 3]]
        result = await claims.claim(operation_of(number))
        grants.append(result.is_ok())
        if len(grants) == 60:
            all_done.set()

    for number in range(60):
        world.tasks.start_soon(claim, number)
    await all_done.wait()
    writes = world.objects.writes
    await sleep(1.0)
    objects = world.objects.objects_by_key.items()
    slots = {key: item.value for key, item in objects if key != "claims/layout"}
    return grants, writes, slots


@when("60 operations are claimed at once through 3 VMs")
def step_claim_many(context):
    context.result = run_on_virtual_time(with_world, claim_many)


@when("60 operations are claimed at once through 3 VMs with small slots")
def step_claim_in_small_slots(context):
    context.result = run_on_virtual_time(with_world, claim_many, SPLIT_BYTES)


@then("all are granted with at most {writes:d} writes")
def step_few_writes(context, writes):
    grants, used_writes, _ = context.result
    assert all(grants) and len(grants) == 60
    assert used_writes <= writes, used_writes


@then("every operation is in exactly one open slot and no slot exceeds 2000 bytes")
def step_one_slot(context):
    _, _, values = context.result
    slot_counts = Counter()
    for value in values.values():
        slot = decode_slot(value)
        assert len(value) <= 2000, len(value)
        if slot.state == "open":
            slot_counts.update(list(slot.entries_by_id))
    states = Counter(decode_slot(value).state for value in values.values())
    assert states["split"], states
    expected = Counter({operation_of(n).operation_id: 1 for n in range(60)})
    assert slot_counts == expected, (
        len(slot_counts),
        max(slot_counts.values()),
        states,
    )


async def claim_late(world):
    """Deliver a claim to its committer after its attempt was released.

    Returns the result of a later attempt at the operation.
    """
    claims, _ = world.claims_by_vm["a"]
    holder, late, last = (operation_of(1, name) for name in ("h", "l", "z"))
    assert (await claims.claim(holder)).is_ok()
    claims.release_later(late)
    await sleep(5.0)
    await claims.release(holder)
    await claims.batches.submit(make_change("claim", late))
    return await claims.claim(last)


@when(
    "a claim is committed after its attempt and the one that held the operation "
    "released it"
)
def step_claim_late(context):
    context.result = run_on_virtual_time(with_world, claim_late)


@then("the operation can be claimed")
def step_claimed(context):
    assert context.result.is_ok(), context.result


async def claim_in_outage(world):
    """Claim an operation while the store is unavailable, and again afterwards."""
    claims, _ = world.claims_by_vm["a"]
    world.objects.faults.outage = True
    first = await claims.claim(operation_of(1, "first"))
    world.objects.faults.outage = False
    await sleep(10.0)
    return first, await claims.claim(operation_of(1, "second"))


@when("an operation is claimed while the store is unavailable")
def step_outage(context):
    context.result = run_on_virtual_time(with_world, claim_in_outage)


@then("the claim is refused and a later attempt gets it")
def step_refused(context):
    first, second = context.result
    assert isinstance(first.error, ClaimUnavailable), first
    assert second.is_ok(), second


async def write_after_retention(world):
    """Record an operation and write its slot again before and after the retention.

    Returns for each of the two writes whether the slot still contained the operation.
    """
    committer = SlotCommitter(
        world.objects, MonotonicClock(), current_time, 1, RETENTION_S
    )
    operation = operation_of(1)
    changes = [
        make_change("claim", operation),
        make_change("record", operation, RecordedOutcome(200, "", b"")),
    ]
    await committer.commit("", changes)
    is_contained = []
    for number, delay in ((2, RETENTION_S), (3, RETENTION_S + 7200)):
        await sleep(delay)
        change: ClaimRequest = make_change("claim", operation_of(number))
        await committer.commit("", [change])
        slot = decode_slot(world.objects.objects_by_key["claims/"].value)
        is_contained.append(operation.operation_id in slot.entries_by_id)
    return is_contained


@when("an operation is recorded and the retention passes")
def step_retention(context):
    context.result = run_on_virtual_time(with_world, write_after_retention)


@then("its slot no longer contains it")
def step_expired(context):
    assert context.result == [True, False], context.result
