"""Explores the limits protocol: admissions must stay within rate and burst."""

from contextlib import asynccontextmanager
from functools import partial
from random import Random
from typing import NamedTuple

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
from primroseturn.configuration.models import EntryVm, Workspace
from primroseturn.limits.admission import (
    AdmissionDependencies,
    Identity,
    run_admission,
)
from primroseturn.limits.borrowing import Borrower
from primroseturn.limits.ledger import LedgerView
from primroseturn.limits.sessions import OwnerSession
from primroseturn.limits.share import Loan, Share, UNITS
from primroseturn.settings.models import LimitSettings
from primroseturn.standins.events import SimulationLog
from primroseturn.standins.network import run_network
from primroseturn.standins.objects import MemoryObjects

VMS = ("a", "b", "c", "d")
LOAN_S = 1.0
LEASE_S = 15.0
DRIFT = 0.009
WORKSPACE = "w"
LIMITS = ((8.0, 12.0), (2.0, 4.0), (20.0, 16.0), (8.0, 2.0))


class TraceEntry(NamedTuple):
    """Number of admissions at a time, with the largest limits in force then."""

    at: float
    rate: float
    burst: float
    count: int


def accept_with_long_duration(borrower, share, peer, request, grant, sent_at):
    """Broken: uses loans for longer than their owner treats them as lent."""
    ends_at = borrower.clock.now() + 2 * borrower.loan_s
    if grant.loan_id:
        loan = Loan(peer, grant.rate, grant.burst, ends_at)
        share.borrow(grant.loan_id, loan, grant.tokens, borrower.clock.now())


def recompute_and_return_tokens(share, now):
    """Broken: the owner adds the tokens of a loan that ended."""
    ended = [loan for loan in share.lent_by_id.values() if loan.ends_at <= now]
    ORIGINAL_RECOMPUTE(share, now)
    share.tokens = min(share.burst, share.tokens + sum(item.burst for item in ended))


def adopt_before_refill(share, version, ledger, now):
    """Broken: adds tokens of units for the time before they were acquired."""
    fresh = share.view.adopt(version, ledger)
    share.recompute(share.updated_at)
    share.refill(now)
    share.tokens += fresh * share.effective_limits().burst / UNITS


async def open_without_waiting(session):
    """Broken: uses a predecessor's units while its loans are valid."""
    opened = await ORIGINAL_OPEN(session)
    session.usable_from = session.started_at
    return opened


def ignore_pending_writes(view, session):
    """Broken: uses units that a write without a response may have released."""
    return view.recorded_units(session)


ORIGINAL_RECOMPUTE = Share.recompute
ORIGINAL_OPEN = OwnerSession.open
BROKEN_VARIANTS = {
    "loans-live-twice-as-long": (Borrower, "accept_grant", accept_with_long_duration),
    "tokens-return-with-ended-loans": (Share, "recompute", recompute_and_return_tokens),
    "units-earn-backwards": (Share, "adopt", adopt_before_refill),
    "restart-without-waiting": (OwnerSession, "open", open_without_waiting),
    "lost-answers-ignored": (LedgerView, "usable_units", ignore_pending_writes),
}


class World:
    """Four VMs, their network and their store."""

    def __init__(self, tasks, network, seed):
        self.tasks, self.network, self.seed = tasks, network, seed
        self.random = Random(seed)
        self.objects = MemoryObjects(tasks, seed)
        self.entries = {
            vm: EntryVm(vm, "", 0, f"dc{index % 2}", "r")
            for index, vm in enumerate(VMS)
        }
        self.drift_by_vm = {vm: self.random.uniform(-DRIFT, DRIFT) for vm in VMS}
        self.versions = [LIMITS[0]]
        self.applied_version_by_vm = dict.fromkeys(VMS, 0)
        self.outdated_versions: list[tuple[float, int]] = []
        self.trace: list[TraceEntry] = []
        self.stops, self.gates, self.admissions, self.scopes = {}, {}, {}, {}
        self.starts = 0

    async def start(self, vm):
        """Start the next incarnation of a VM."""
        self.starts += 1
        gate = self.gates[vm] = Gate()
        self.stops[vm] = (Event(), Event())
        self.set_applied(vm, len(self.versions) - 1)
        await self.tasks.start(self.run_vm, vm, gate, f"i{self.starts}", self.stops[vm])

    async def run_vm(self, vm, gate, incarnation, stop_events, *, task_status):
        """Run one incarnation until it is stopped or crashes.

        The first event of `stop_events` starts the stop, the second one ends it.
        """
        bus = VmBus(gate, self.network.join(vm, incarnation))
        dependencies = AdmissionDependencies(
            VmStore(gate, self.objects),
            bus,
            VmClock(gate, self.drift_by_vm[vm], 100.0 * ord(vm)),
            Random(f"{self.seed}/{incarnation}"),
            partial(self.live_daemons, vm),
            lambda name: self.workspace(vm),
            SimulationLog(vm, incarnation),
        )
        settings = LimitSettings(0.2, LOAN_S, LEASE_S, 3)
        identity = Identity(vm, f"{vm}@h:1", incarnation)
        async with create_task_group() as tasks:
            self.scopes[vm] = tasks.cancel_scope
            running = run_admission(identity, settings, dependencies)
            async with running as admission:
                self.admissions[vm] = admission
                task_status.started()
                await stop_events[0].wait()
            stop_events[1].set()

    def live_daemons(self, vm):
        """Return the VMs that run; a paused one is included."""
        running = {*self.admissions, vm}
        return {name: entry for name, entry in self.entries.items() if name in running}

    def workspace(self, vm):
        """Return the workspace with the limits that a VM has applied."""
        rate, burst = self.versions[self.applied_version_by_vm[vm]]
        return Workspace(WORKSPACE, rate, burst)

    def set_applied(self, vm, version):
        """Let a VM apply a configuration; loans under the former one remain valid."""
        self.outdated_versions.append(
            (current_time() + LOAN_S * 1.05, self.applied_version_by_vm[vm])
        )
        self.applied_version_by_vm[vm] = version
        self.record_limits()

    def record_limits(self, count=0):
        """Record admissions with the largest limits of any VM or loan."""
        now = current_time()
        self.outdated_versions = [
            item for item in self.outdated_versions if item[0] > now
        ]
        used = {
            *self.applied_version_by_vm.values(),
            *(version for _, version in self.outdated_versions),
        }
        rate = max(self.versions[version][0] for version in used)
        burst = max(self.versions[version][1] for version in used)
        self.trace.append(TraceEntry(now, rate, burst, count))
        self.check_capacity(rate, burst)

    def check_capacity(self, rate, burst):
        """Check that the buckets of all VMs add up to at most one whole bucket."""
        shares = []
        for admission in self.admissions.values():
            share = admission.shares_by_workspace.get(WORKSPACE)
            if share is not None:
                share.refill(admission.clock.now())
                shares.append(share)
        sums = [
            (sum(share.rate for share in shares), rate, "rates"),
            (sum(share.burst for share in shares), burst, "bursts"),
            (sum(share.tokens for share in shares), burst, "tokens"),
        ]
        for total, allowed, name in sums:
            assert total <= allowed + 1e-6, (
                f"{name} of all VMs add up to {total}, above {allowed}"
            )

    async def request(self, vm):
        """Send one request to a VM and record its admission."""
        gate = self.gates[vm]
        await gate.pass_through()
        if gate is not self.gates[vm] or vm not in self.admissions:
            return
        result = await self.admissions[vm].admit(self.workspace(vm), 0.2)
        if result.is_ok():
            self.record_limits(1)

    async def crash(self, vm):
        """End a VM at once; it sends nothing more."""
        if vm in self.admissions:
            del self.admissions[vm]
            self.network.leave(vm)
            self.scopes[vm].cancel()
            self.gates[vm].resume()
            await checkpoint()

    async def leave(self, vm):
        """Stop a VM as planned, unless it is paused."""
        if vm in self.admissions and self.gates[vm].opened.is_set():
            del self.admissions[vm]
            self.stops[vm][0].set()
            await self.stops[vm][1].wait()
            self.network.leave(vm)

    async def heal(self):
        """End all faults and start the VMs that are down."""
        self.network.faults.cuts.clear()
        self.network.faults.loss_share = self.network.faults.duplicate_share = 0.0
        self.objects.faults.outage = False
        self.objects.faults.lost_answer_share = self.objects.faults.late_share = 0.0
        for vm in VMS:
            self.gates[vm].resume()
            if vm not in self.admissions:
                await self.start(vm)


def check(trace):
    """Check that no window of time has more admissions than rate and burst allow.

    A bucket that starts full and loses one token per admission falls below zero if
    and only if some window has more admissions than burst + rate x length.

    Returns
    -------
    int
        Number of admissions.
    """
    level, last, admitted = trace[0].burst, trace[0], 0
    for item in trace:
        rate, burst = max(last.rate, item.rate), max(last.burst, item.burst)
        level = min(burst, level + rate * (1 + DRIFT) * (item.at - last.at))
        if item.burst > last.burst:
            level += item.burst - last.burst
        level -= item.count
        admitted += item.count
        assert level >= -1e-6, f"{-level} tokens above the limits at {item.at}"
        level, last = min(level, item.burst), item
    return admitted


@asynccontextmanager
async def run_world(seed):
    """Run a world with all VMs started."""
    async with run_network(seed) as network:
        world = World(network.tasks, network, seed)
        for vm in VMS:
            await world.start(vm)
        yield world


async def run_schedule(schedule, seed):
    """Run a schedule, end its faults, and send requests to all VMs.

    Returns the trace of admissions.
    """
    async with run_world(seed) as world:
        for name, *arguments in schedule:
            await ACTIONS[name](world, *arguments)
            world.record_limits()
        await world.heal()
        for vm in VMS:
            await act_burst(world, vm, 8)
        await sleep(0.4)
        return world.trace


async def act_burst(world, vm, count):
    for _ in range(count):
        world.tasks.start_soon(world.request, vm)


async def act_advance(world, seconds):
    await sleep(seconds)


async def act_pause(world, vm):
    world.gates[vm].pause()


async def act_resume(world, vm):
    world.gates[vm].resume()


async def act_crash(world, vm):
    await world.crash(vm)


async def act_restart(world, vm):
    await world.crash(vm)
    await world.start(vm)


async def act_leave(world, vm):
    await world.leave(vm)


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


async def act_configure(world, index):
    world.versions.append(LIMITS[index])


async def act_apply(world, vm):
    if vm in world.admissions and world.gates[vm].opened.is_set():
        world.set_applied(vm, len(world.versions) - 1)
        world.admissions[vm].apply_limits()


ACTIONS = {
    name.removeprefix("act_"): function
    for name, function in list(globals().items())
    if name.startswith("act_")
}

ANY_VM = st.sampled_from(VMS)
SHARE = st.sampled_from((0.0, 0.1, 0.4))
JITTER = st.sampled_from((0.0, 0.01, 0.09))


def make_machine(totals):
    """Return the state machine; its schedule is run when it is complete."""

    class LimitsMachine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.schedule = []

        @rule(vm=ANY_VM, count=st.sampled_from((1, 4, 13)))
        def burst(self, vm, count):
            self.schedule.append(("burst", vm, count))

        @rule(seconds=st.sampled_from((0.01, 0.1, 0.5, 1.1, 4.0, 17.0)))
        def advance(self, seconds):
            self.schedule.append(("advance", seconds))

        @rule(
            vm=ANY_VM, count=st.sampled_from((2, 8)), pause=st.sampled_from((0.1, 0.6))
        )
        def burst_and_advance(self, vm, count, pause):
            self.schedule += [("burst", vm, count), ("advance", pause)]

        @rule(
            vm=ANY_VM,
            name=st.sampled_from(
                ("pause", "resume", "crash", "restart", "leave", "apply", "apply")
            ),
        )
        def disturb(self, vm, name):
            self.schedule.append((name, vm))

        @rule(sender=ANY_VM, receiver=ANY_VM)
        def cut(self, sender, receiver):
            self.schedule.append(("cut", sender, receiver))

        @rule(loss=SHARE, duplicates=SHARE, jitter=JITTER)
        def network(self, loss, duplicates, jitter):
            self.schedule.append(("network", loss, duplicates, jitter))

        @rule(outage=st.booleans(), lost=SHARE, late=SHARE, jitter=JITTER)
        def store(self, outage, lost, late, jitter):
            self.schedule.append(("store", outage, lost, late, jitter))

        @rule(index=st.integers(0, len(LIMITS) - 1))
        def configure(self, index):
            self.schedule.append(("configure", index))

        def teardown(self):
            if not self.schedule:
                return
            seed = len(self.schedule)
            trace = run_on_virtual_time(run_schedule, self.schedule, seed)
            totals["schedules"] += 1
            totals["admitted"] += check(trace)

    return LimitsMachine
