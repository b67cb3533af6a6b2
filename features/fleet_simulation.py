"""A fleet of entry VMs on a virtual clock: rates while VMs stop, start and leave.

Each VM has the project's own membership, digests and rates. The simulation stands for
the network between them, the list of VMs in the store, the load balancer and callers.
"""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from msgspec.msgpack import encode

from primroseturn.control.bus import Sender
from primroseturn.entry.digests import Digest, DIGEST_INTERVAL_S, DigestExchange
from primroseturn.entry.models import Workspace
from primroseturn.entry.registry import (
    AGGREGATOR_LIST_INTERVAL_S,
    MEMBER_LIST_INTERVAL_S,
    START_LIST_INTERVAL_S,
)
from primroseturn.limits.quota import ADMISSION_WAIT_S, FleetQuota
from primroseturn.membership.fleet import EntryVm, FIRST_DIGESTS_WAIT_S, Fleet
from primroseturn.routing.placement import Placement

CENTERS = ("a1", "b1", "a2", "b2")
# One way between VMs of a data centre, of a region and of two regions, with the time
# that both ends take.
NEAR_S, REGION_S, FAR_S, JITTER_S = 0.003, 0.005, 0.016, 0.02
# The load balancer asks three times a second and takes a VM out after two failures.
NOTICED_S = 0.9
# A VM that stood still is taken in again after two answers.
TAKEN_IN_S = 0.7
# The parts of a planned stop and of a start.
STOP_S, START_S = 3.3, 1.0
# A list of the store may lack what was written this recently.
LIST_AGE_S = 1.0
TICK_S = 0.01
WORKSPACE_SHARES = (0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05)
RATE_FACTOR = 1.6
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20


class Wire:
    """The bus of one VM: what it sends arrives later, or not at all."""

    def __init__(self, fleet: "SimulatedFleet", vm: str, incarnation: str) -> None:
        self.fleet = fleet
        self.vm = vm
        self.incarnation = incarnation
        self.number = 0
        self.handlers_by_kind = {}

    def register_handler(self, kind, handler) -> None:
        self.handlers_by_kind[kind] = handler

    async def send(self, peer: str, message) -> None:
        self.fleet.transmit(self, peer, message)

    def refuse(self, reason: str, detail: str, **fields) -> None:
        self.fleet.dropped[reason] += 1


class Vm:
    """One start of a VM."""

    def __init__(self, fleet: "SimulatedFleet", own: EntryVm, number: int) -> None:
        self.own = own
        self.random = Random(number)
        self.wire = Wire(fleet, own.name, f"start-{number}")
        self.fleet = Fleet(own)
        self.quota = FleetQuota(self.random)
        placement = Placement(own.data_center, fleet.regions_by_center, self.random)
        self.exchange = DigestExchange(self.wire, self.fleet, placement, self.quota)
        self.quota.set_workspaces(fleet.workspaces_by_name, fleet.now)
        self.send_at = fleet.now + self.random.uniform(0, DIGEST_INTERVAL_S)
        self.list_at = self.started_at = fleet.now
        self.serving = False
        self.alive = True
        # What arrives while the VM stands still, or nothing while it runs.
        self.held_datagrams: list | None = None


class Refused(NamedTuple):
    """A refused request and why."""

    at: float
    workspace: str
    reason: str


class SimulatedFleet:
    """VMs, their network and their callers."""

    def __init__(self, size: int, load: float = 180.0, seed: int = 1) -> None:
        self.random = Random(seed)
        self.now = 1000.0
        self.load = load
        self.regions_by_center = {center: center[0] for center in CENTERS}
        self.workspaces_by_name = {
            f"w{index}": Workspace(f"w{index}", rate, rate, None)
            for index, share in enumerate(WORKSPACE_SHARES)
            for rate in (RATE_FACTOR * share * load,)
        }
        self.factor = 1.0
        self.numbers = count(1)
        self.waiting: list = []
        self.held: list = []
        self.due: list = []
        self.vms_by_name: dict[str, Vm] = {}
        self.registered_by_name: dict[str, tuple[float, EntryVm]] = {}
        self.removed: list[tuple[float, EntryVm]] = []
        self.admitted: list[tuple[float, str]] = []
        self.asked: list[float] = []
        self.refused: list[Refused] = []
        self.sides_by_name: dict[str, int] = {}
        self.loss = self.doubling = 0.0
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        for index in range(size):
            center = CENTERS[index % len(CENTERS)]
            name = f"{center}-{index // len(CENTERS):03d}"
            own = EntryVm(name, "h", 1, center, center[0])
            self.start(own)
        for vm in self.vms_by_name.values():
            vm.serving = True

    # Network.

    def transmit(self, wire: Wire, peer: str, message) -> None:
        """Let a message arrive later."""
        self.messages[wire.vm] += 1
        wire.number += 1
        sender = Sender(wire.vm, wire.incarnation, wire.number)
        self.bytes[wire.vm] += len(encode(message))
        copies = (self.random.random() >= self.loss) + (
            self.random.random() < self.doubling
        )
        for _ in range(copies):
            delay = self.delay_s(wire.vm, peer) + self.random.uniform(0, JITTER_S)
            if self.random.random() < self.doubling:
                delay += self.random.uniform(0, 0.3)
            entry = (self.now + delay, next(self.numbers), sender, peer, message)
            heappush(self.waiting, entry)

    def delay_s(self, first: str, second: str) -> float:
        one, other = first.split("-")[0], second.split("-")[0]
        if one == other:
            return NEAR_S
        return REGION_S if one[0] == other[0] else FAR_S

    def deliver(self) -> None:
        """Hand over what has arrived."""
        while self.waiting and self.waiting[0][0] <= self.now:
            _, _, sender, peer, message = heappop(self.waiting)
            vm = self.vms_by_name.get(peer)
            side = self.sides_by_name.get
            if vm is None or not vm.alive or side(sender.vm, 0) != side(peer, 0):
                continue
            if vm.held_datagrams is not None:
                vm.held_datagrams.append((sender, message))
            else:
                self.hand_over(vm, sender, message)

    def hand_over(self, vm: Vm, sender: Sender, message) -> None:
        """Let a VM handle a message."""
        takes_digest = isinstance(message, Digest)
        take = (
            vm.exchange.process_digest if takes_digest else vm.exchange.process_notice
        )
        take(sender, message, self.now)

    # VMs and their list.

    def start(self, own: EntryVm) -> None:
        """Start a VM, which registers itself."""
        vm = Vm(self, own, next(self.numbers))
        self.vms_by_name[own.name] = vm
        if own.name not in self.registered_by_name:
            self.registered_by_name[own.name] = (self.now, own)
        self.at(self.now + START_S, lambda: self.serve(vm))

    def serve(self, vm: Vm) -> None:
        """Take a VM in once it hears the fleet, or after a bounded wait."""
        late = self.now >= vm.started_at + START_S + FIRST_DIGESTS_WAIT_S
        if late or vm.quota.has_recent_reports(self.now):
            vm.serving = vm.alive
        else:
            self.at(self.now + 0.05, lambda: self.serve(vm))

    def stop(self, name: str, returns: bool = True) -> None:
        """Ask a VM to stop; it returns after its stop and its start."""
        vm = self.vms_by_name[name]
        vm.exchange.announce(self.now, is_stopping=True)
        self.at(self.now + self.random.uniform(0.6, NOTICED_S), lambda: self.leave(vm))
        self.at(self.now + STOP_S, lambda: self.end(vm, returns, True))

    def kill(self, name: str, returns: bool = True) -> None:
        """End a VM at once."""
        self.end(self.vms_by_name[name], returns, False)

    def stand_still(self, name: str, seconds: float) -> None:
        """Let a VM stand still; its socket keeps what arrives meanwhile."""
        vm = self.vms_by_name[name]
        vm.held_datagrams = []
        self.at(self.now + NOTICED_S, lambda: self.leave(vm))
        self.at(self.now + seconds, lambda: self.resume(vm))

    def resume(self, vm: Vm) -> None:
        """Let a VM that stood still go on."""
        datagrams, vm.held_datagrams = vm.held_datagrams or [], None
        for sender, message in datagrams:
            self.hand_over(vm, sender, message)
        self.at(self.now + TAKEN_IN_S, lambda: self.serve(vm))

    def living(self) -> list[Vm]:
        """Return the VMs whose processes run."""
        return [vm for vm in self.vms_by_name.values() if vm.alive]

    def leave(self, vm: Vm) -> None:
        vm.serving = False

    def end(self, vm: Vm, returns: bool, planned: bool) -> None:
        vm.alive = vm.serving = False
        if planned:
            self.registered_by_name.pop(vm.own.name, None)
            self.removed.append((self.now, vm.own))
        if returns:
            self.at(self.now + 0.7, lambda: self.start(vm.own))

    def at(self, time: float, action) -> None:
        heappush(self.due, (time, next(self.numbers), action))

    def list_vms(self, vm: Vm) -> None:
        """Let a VM read the list, which may be a little old."""
        first = not vm.fleet.has_list
        since = self.now - (LIST_AGE_S * self.random.random() if first else 0.0)
        found = [own for at, own in self.registered_by_name.values() if at <= since]
        found += [own for at, own in self.removed if at > since]
        vm.fleet.apply_list(found, self.now)
        if vm.fleet.is_starting(self.now):
            vm.exchange.announce(self.now)
        vm.quota.fleet_size = vm.fleet.size
        speaks = vm.fleet.is_aggregator(self.now)
        interval_s = AGGREGATOR_LIST_INTERVAL_S if speaks else MEMBER_LIST_INTERVAL_S
        vm.list_at = self.now + (START_LIST_INTERVAL_S if first else interval_s)

    # Time and callers.

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            while self.due and self.due[0][0] <= self.now:
                heappop(self.due)[2]()
            self.deliver()
            for vm in self.vms_by_name.values():
                if vm.alive and vm.held_datagrams is None:
                    self.tick(vm)
            while self.held and self.held[0][0] <= self.now:
                _, _, vm, name = heappop(self.held)
                if vm.held_datagrams is None:
                    self.admit(vm, name, True)
            self.ask()

    def tick(self, vm: Vm) -> None:
        if self.now >= vm.list_at:
            self.list_vms(vm)
        urgent = vm.exchange.send_requested.is_set()
        if self.now >= vm.send_at or urgent:
            vm.send_at = self.now + DIGEST_INTERVAL_S
            if urgent:
                vm.exchange.send_requested = type(vm.exchange.send_requested)()
            drive(vm.exchange.send_due(self.now))
            vm.quota.fleet_size = vm.fleet.size

    def ask(self) -> None:
        """Let callers ask, spread over the VMs that the load balancer knows."""
        serving = [vm for vm in self.vms_by_name.values() if vm.serving]
        expected = self.load * self.factor * TICK_S
        number = int(expected) + (self.random.random() < expected % 1)
        names = list(self.workspaces_by_name)
        for _ in range(number if serving else 0):
            (name,) = self.random.choices(names, WORKSPACE_SHARES)
            vm = self.random.choice(serving)
            if vm.held_datagrams is None:
                self.asked.append(self.now)
                self.admit(vm, name, False)

    def admit(self, vm: Vm, name: str, again: bool) -> None:
        wait_s = vm.quota.admit(name, self.now, again)
        if wait_s == 0:
            self.admitted.append((self.now, name))
        elif again or wait_s > ADMISSION_WAIT_S:
            reason = vm.quota.explain_refusal(name, self.now).detail
            self.refused.append(Refused(self.now, name, reason))
        else:
            heappush(self.held, (self.now + wait_s, next(self.numbers), vm, name))

    # What came of it.

    def refused_by_window(self, since: float) -> dict[float, float]:
        """Return the refused share of each two seconds since a time."""
        asked = Counter(int((at - since) / 2) for at in self.asked if at >= since)
        refused = Counter(
            int((item.at - since) / 2) for item in self.refused if item.at >= since
        )
        return {2.0 * key: refused[key] / asked[key] for key in sorted(asked)}

    def worst_excess(self, since: float = 0.0) -> float:
        """Return by how much any workspace exceeds its rate in any window."""
        worst = float("-inf")
        for name, workspace in self.workspaces_by_name.items():
            times = [at for at, item in self.admitted if item == name and at >= since]
            allowed = (workspace.rate * WINDOW_S + workspace.burst) * (1 + OVERAGE)
            last = 0
            for first, at in enumerate(times):
                while last < len(times) and times[last] < at + WINDOW_S:
                    last += 1
                worst = max(worst, last - first - allowed - SLACK)
        return worst


def drive(coroutine) -> None:
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")
