"""Explores the claim protocol: no operation may run twice."""

from collections import Counter
from functools import partial
from random import Random

from anyio import create_task_group, current_time, Event, sleep
from anyio.lowlevel import checkpoint
from hypothesis import strategies as st
from hypothesis.stateful import rule, RuleBasedStateMachine

from features.exploration.vms import (
    Gate,
    run_on_virtual_time,
    VmBus,
    VmClock,
    VmStore,
)
from primroseturn.claims.claims import ClaimDependencies, Claims, run_claims
from primroseturn.claims.commit import SlotCommitter
from primroseturn.claims.models import ClaimGranted, Operation, RecordedOutcome
from primroseturn.claims.slots import bits_of, ClaimSlot, encode_slot
from primroseturn.configuration.models import EntryVm
from primroseturn.failures import StoreUnavailable
from primroseturn.standins.events import SimulationLog
from primroseturn.standins.network import run_network
from primroseturn.standins.objects import MemoryObjects

VMS = ("a", "b", "c")
OPERATIONS = tuple(f"key{number}" for number in range(5))
SPLIT_BYTES = 150
EXECUTION_S = 0.05
SETTLE_S = 25.0


async def put_assuming_success(committer, prefix, value, version):
    """Broken: treats a write without a response as one that took effect."""
    try:
        return await ORIGINAL_PUT(committer, prefix, value, version)
    except StoreUnavailable as failure:
        if failure.maybe_applied:
            return version + 1
        raise


async def put_unconditionally(committer, prefix, value, version):
    """Broken: overwrites a slot that another VM changed."""
    stored = await committer.store.read(f"claims/{prefix}")
    return await ORIGINAL_PUT(committer, prefix, value, stored.version if stored else 0)


async def split_without_freezing(committer, prefix, cached):
    """Broken: copies the entries while the slot still accepts claims."""
    for bit in "01":
        entries = {
            key: entry
            for key, entry in cached.slot.entries_by_id.items()
            if bits_of(key).startswith(prefix + bit)
        }
        value = encode_slot(ClaimSlot("open", entries))
        await ORIGINAL_PUT(committer, prefix + bit, value, 0)
    stored = await committer.store.read(f"claims/{prefix}")
    await ORIGINAL_PUT(
        committer, prefix, encode_slot(ClaimSlot("split")), stored.version
    )
    committer.cached_by_prefix.pop(prefix, None)


async def release_instead_of_record(claims, operation, outcome):
    """Broken: releases an operation that ran instead of recording its outcome."""
    await claims.release(operation)


ORIGINAL_PUT = SlotCommitter.put
BROKEN_VARIANTS = {
    "writes-are-trusted": (SlotCommitter, "put", put_assuming_success),
    "slots-are-overwritten": (SlotCommitter, "put", put_unconditionally),
    "splits-do-not-freeze": (SlotCommitter, "start_split", split_without_freezing),
    "runs-are-released": (Claims, "record", release_instead_of_record),
}


class World:
    """Three VMs, their network and their store, and the operations that ran.

    Attributes
    ----------
    in_doubt
        Keys and attempts of operations that are in progress or whose VM crashed.
    """

    def __init__(self, tasks, network, seed):
        self.tasks, self.network, self.seed = tasks, network, seed
        self.random = Random(seed)
        self.objects = MemoryObjects(tasks, seed)
        self.objects.faults.late_s = 1.0
        self.gates, self.scopes, self.claims_by_vm, self.members = {}, {}, {}, {}
        self.starts = self.attempt_count = 0
        self.executions_by_key = Counter()
        self.ran_by_key, self.in_doubt, self.keys_by_attempt = {}, set(), {}
        self.outcome_counts = Counter()

    async def start(self, vm):
        """Start the next incarnation of a VM."""
        self.starts += 1
        gate = self.gates[vm] = Gate()
        self.members.setdefault(vm, VMS)
        await self.tasks.start(self.run_vm, vm, gate, f"i{self.starts}")

    async def run_vm(self, vm, gate, incarnation, *, task_status):
        """Run one incarnation until it crashes."""
        clock = VmClock(gate, 0.0, 0.0)
        store = VmStore(gate, self.objects)
        dependencies = ClaimDependencies(
            SlotCommitter(store, clock, current_time, 2, 86_400.0, SPLIT_BYTES),
            VmBus(gate, self.network.join(vm, incarnation)),
            clock,
            Random(f"{self.seed}/{incarnation}"),
            partial(self.live_daemons, vm),
            0.01,
            SimulationLog(vm, incarnation),
        )
        async with create_task_group() as tasks:
            self.scopes[vm] = tasks.cancel_scope
            async with run_claims(dependencies) as claims:
                self.claims_by_vm[vm] = (claims, tasks)
                task_status.started()
                await Event().wait()

    def live_daemons(self, vm):
        """Return the VMs that are live in the view of a VM."""
        return {name: EntryVm(name, "", 0, "dc", "r") for name in self.members[vm]}

    async def crash(self, vm):
        """End a VM and its requests.

        Releases and outcomes that wait for the store are only in memory, so a crash may
        leave their operations in doubt (docs/claims.md).
        """
        claims, _ = self.claims_by_vm[vm]
        for attempt in claims.unsettled_by_attempt:
            self.in_doubt.add((self.keys_by_attempt[attempt], attempt))
        self.network.leave(vm)
        self.scopes[vm].cancel()
        self.gates[vm].resume()
        await checkpoint()

    def request(self, vm, key, runs):
        """Send a request for an operation through a VM."""
        claims, tasks = self.claims_by_vm[vm]
        self.attempt_count += 1
        operation = Operation("w", key, f"{vm}-{self.attempt_count}", "f")
        self.keys_by_attempt[operation.attempt] = key
        tasks.start_soon(self.run_attempt, claims, self.gates[vm], operation, runs)

    async def run_attempt(self, claims, gate, operation, runs):
        """Claim an operation and run it if granted, as the request path does."""
        await gate.pass_through()
        self.in_doubt.add((operation.key, operation.attempt))
        result = await claims.claim(operation)
        value = result.default_value(None)
        if isinstance(value, ClaimGranted):
            await sleep(EXECUTION_S)
            await gate.pass_through()
            if runs:
                self.executions_by_key[operation.key] += 1
                self.ran_by_key[operation.key] = operation.attempt
                body = operation.attempt.encode()
                await claims.record(operation, RecordedOutcome(200, "", body))
            else:
                await claims.release(operation)
            self.outcome_counts["granted"] += 1
        elif value is not None:
            attempt = self.ran_by_key.get(operation.key, "")
            assert value.body.decode() == attempt, (
                f"the outcome {value.body!r} is not of {attempt}"
            )
            self.outcome_counts["recorded"] += 1
        else:
            self.outcome_counts[result.error.code] += 1
        self.in_doubt.discard((operation.key, operation.attempt))

    async def heal(self):
        """End all faults and wait until postponed changes are committed."""
        faults, network = self.objects.faults, self.network.faults
        faults.outage = False
        faults.lost_answer_share = faults.late_share = faults.jitter_s = 0.0
        network.cuts.clear()
        network.loss_share = network.duplicate_share = network.jitter_s = 0.0
        for vm in VMS:
            self.gates[vm].resume()
        await sleep(SETTLE_S)

    async def check(self):
        """Check that no operation ran twice or is blocked without a reason."""
        twice = [key for key, count in self.executions_by_key.items() if count > 1]
        assert not twice, f"{twice} ran more than once"
        keys_in_doubt = {key for key, _ in self.in_doubt}
        for key in OPERATIONS:
            before = self.outcome_counts.copy()
            self.request("a", key, True)
            await sleep(1.0)
            gained = self.outcome_counts - before
            if key in keys_in_doubt:
                continue
            assert gained["granted"] or gained["recorded"], (
                f"{key} can neither run nor be answered: {gained}"
            )
        assert max(self.executions_by_key.values()) <= 1, self.executions_by_key


async def run_schedule(schedule, seed):
    """Run a schedule and check it. Returns the counts of outcomes."""
    async with run_network(seed) as network:
        world = World(network.tasks, network, seed)
        for vm in VMS:
            await world.start(vm)
        for name, *arguments in schedule:
            await ACTIONS[name](world, *arguments)
        await world.heal()
        await world.check()
        objects = world.objects.objects_by_key
        world.outcome_counts["slots"] = len(objects)
        return world.outcome_counts


async def act_request(world, vm, key, runs):
    world.request(vm, key, runs)


async def act_advance(world, seconds):
    await sleep(seconds)


async def act_pause(world, vm):
    world.gates[vm].pause()


async def act_resume(world, vm):
    world.gates[vm].resume()


async def act_restart(world, vm):
    await world.crash(vm)
    await world.start(vm)


async def act_members(world, vm, members):
    world.members[vm] = members


async def act_cut(world, sender, receiver):
    world.network.faults.cuts.add((sender, receiver))


async def act_network(world, loss, duplicates, jitter_s):
    faults = world.network.faults
    faults.loss_share, faults.duplicate_share = loss, duplicates
    faults.jitter_s = jitter_s


async def act_store(world, outage, lost, late, jitter_s):
    faults = world.objects.faults
    faults.outage, faults.lost_answer_share, faults.late_share = outage, lost, late
    faults.jitter_s = jitter_s


ACTIONS = {
    name.removeprefix("act_"): function
    for name, function in list(globals().items())
    if name.startswith("act_")
}

ANY_VM = st.sampled_from(VMS)
ANY_KEY = st.sampled_from(OPERATIONS)
SHARE = st.sampled_from((0.0, 0.1, 0.4))
JITTER = st.sampled_from((0.0, 0.01, 0.3))
MEMBERS = st.sampled_from((VMS, ("a",), ("b", "c"), ("c",)))


def make_machine(totals):
    """Return the state machine; its schedule runs when it is complete."""

    class ClaimsMachine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.schedule = []

        @rule(vm=ANY_VM, key=ANY_KEY, runs=st.booleans())
        def request(self, vm, key, runs):
            self.schedule.append(("request", vm, key, runs))

        @rule(vms=st.lists(ANY_VM, min_size=2, max_size=4), key=ANY_KEY)
        def race(self, vms, key):
            self.schedule += [("request", vm, key, True) for vm in vms]

        @rule(seconds=st.sampled_from((0.003, 0.02, 0.1, 1.0, 4.0)))
        def advance(self, seconds):
            self.schedule.append(("advance", seconds))

        @rule(vm=ANY_VM, name=st.sampled_from(("pause", "resume", "restart")))
        def disturb(self, vm, name):
            self.schedule.append((name, vm))

        @rule(vm=ANY_VM, members=MEMBERS)
        def change_members(self, vm, members):
            self.schedule.append(("members", vm, members))

        @rule(sender=ANY_VM, receiver=ANY_VM)
        def cut(self, sender, receiver):
            self.schedule.append(("cut", sender, receiver))

        @rule(loss=SHARE, duplicates=SHARE, jitter=JITTER)
        def network(self, loss, duplicates, jitter):
            self.schedule.append(("network", loss, duplicates, jitter))

        @rule(outage=st.booleans(), lost=SHARE, late=SHARE, jitter=JITTER)
        def store(self, outage, lost, late, jitter):
            self.schedule.append(("store", outage, lost, late, jitter))

        def teardown(self):
            if self.schedule:
                seed = len(self.schedule)
                counts = run_on_virtual_time(run_schedule, self.schedule, seed)
                totals["schedules"] += 1
                totals.update(counts)

    return ClaimsMachine
