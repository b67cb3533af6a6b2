"""Simulates a fleet of entry VMs whose VMs stop, start and leave, on a virtual clock.

Each VM runs the project's own membership, digests and rates. The network between the
VMs, the list of VMs in the store, the load balancer and the callers are simulated.
"""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from msgspec.msgpack import encode

from primroseturn.control.bus import Sender
from primroseturn.entry.digest_messages import Digest
from primroseturn.entry.digests import DIGEST_INTERVAL_S, DigestExchange
from primroseturn.entry.registry import (
    AGGREGATOR_LIST_INTERVAL_S,
    MEMBER_LIST_INTERVAL_S,
    START_LIST_INTERVAL_S,
)
from primroseturn.limits.models import Workspace
from primroseturn.limits.quota import ADMISSION_WAIT_S, FleetQuota
from primroseturn.membership.fleet import FIRST_DIGESTS_WAIT_S, Fleet, RegisteredVm
from primroseturn.routing.placement import Placement

CENTERS = ("a1", "b1", "a2", "b2")
# One-way delays in seconds between VMs of one data centre, of one region and of two
# regions, including the processing at both ends, and the largest random addition.
CENTER_DELAY_S, REGION_DELAY_S, REMOTE_DELAY_S, MAX_JITTER_S = 0.003, 0.005, 0.016, 0.02
# Seconds until the load balancer stops sending to a VM. It checks the readiness of a VM
# three times a second and removes it after two failed checks.
REMOVAL_S = 0.9
# Seconds until the load balancer sends to a VM again after a pause, which takes two
# successful checks.
READMISSION_S = 0.7
# Seconds from the announcement of a stop to the end of the process, and from the start
# of a process until it can serve.
STOP_DURATION_S, START_DURATION_S = 3.3, 1.0
# Largest age in seconds of a list of the store.
MAX_LIST_AGE_S = 1.0
TICK_S = 0.01
# Shares of the workspaces in the load, and each rate as a multiple of that load.
WORKSPACE_SHARES = (0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05)
RATE_FACTOR = 1.6
# In each window of `WINDOW_S`, the admitted requests of a workspace may exceed its rate
# and burst by this share and number.
WINDOW_S, EXCESS_SHARE, EXCESS_REQUESTS = 5.0, 0.1, 20


class SimulatedBus:
    """The bus of one VM, whose messages arrive after a delay or are lost."""

    def __init__(self, fleet: "SimulatedFleet", vm: str, incarnation: str) -> None:
        self.fleet = fleet
        self.vm = vm
        self.incarnation = incarnation
        self.number = 0
        self.handlers_by_type = {}

    def register_handler(self, message_type, handler) -> None:
        self.handlers_by_type[message_type] = handler

    async def send(self, peer: str, message) -> None:
        self.fleet.send_later(self, peer, message)

    def refuse(self, reason: str, detail: str, **fields) -> None:
        self.fleet.dropped_by_reason[reason] += 1


class Vm:
    """One process of a VM."""

    def __init__(self, fleet: "SimulatedFleet", own: RegisteredVm, number: int) -> None:
        self.own = own
        self.random = Random(number)
        self.bus = SimulatedBus(fleet, own.name, f"start-{number}")
        self.fleet = Fleet(own)
        self.quota = FleetQuota(self.random)
        placement = Placement(own.data_center, fleet.regions_by_center, self.random)
        self.exchange = DigestExchange(self.bus, self.fleet, placement, self.quota)
        self.quota.set_workspaces(fleet.workspaces_by_name, fleet.now)
        self.next_send_at = fleet.now + self.random.uniform(0, DIGEST_INTERVAL_S)
        self.next_list_at = self.started_at = fleet.now
        self.is_serving = False
        self.is_running = True
        # Datagrams that arrived during a pause of the process; None without a pause.
        self.queued_datagrams: list | None = None


class Refusal(NamedTuple):
    """A refused request and the reason of the refusal."""

    at: float
    workspace: str
    reason: str


class SimulatedFleet:
    """VMs, their network and their callers on a virtual clock."""

    def __init__(
        self,
        size: int,
        load: float = 180.0,
        seed: int = 1,
        shares: tuple[float, ...] = WORKSPACE_SHARES,
    ) -> None:
        self.random = Random(seed)
        self.shares = tuple(share / sum(shares) for share in shares)
        self.now = 1000.0
        self.load = load
        self.regions_by_center = {center: center[0] for center in CENTERS}
        self.workspaces_by_name = {
            f"w{index}": Workspace(f"w{index}", rate, rate, None)
            for index, share in enumerate(self.shares)
            for rate in (RATE_FACTOR * share * load,)
        }
        self.load_factor = 1.0
        self.numbers = count(1)
        self.in_flight: list = []
        self.delayed_requests: list = []
        self.scheduled_actions: list = []
        self.vms_by_name: dict[str, Vm] = {}
        self.registered_by_name: dict[str, tuple[float, RegisteredVm]] = {}
        self.removed_vms: list[tuple[float, RegisteredVm]] = []
        self.admissions: list[tuple[float, str]] = []
        self.request_times: list[float] = []
        self.refusals: list[Refusal] = []
        self.sides_by_vm: dict[str, int] = {}
        self.loss_share = self.duplication_share = 0.0
        self.messages_by_vm: Counter[str] = Counter()
        self.bytes_by_vm: Counter[str] = Counter()
        self.dropped_by_reason: Counter[str] = Counter()
        for index in range(size):
            center = CENTERS[index % len(CENTERS)]
            name = f"{center}-{index // len(CENTERS):03d}"
            own = RegisteredVm(name, "h", 1, center, center[0])
            self.start(own)
        for vm in self.vms_by_name.values():
            vm.is_serving = True

    # Network.

    def send_later(self, bus: SimulatedBus, peer: str, message) -> None:
        """Schedule the arrival of a message, which may be lost or duplicated."""
        self.messages_by_vm[bus.vm] += 1
        bus.number += 1
        sender = Sender(bus.vm, bus.incarnation, bus.number)
        self.bytes_by_vm[bus.vm] += len(encode(message))
        copies = (self.random.random() >= self.loss_share) + (
            self.random.random() < self.duplication_share
        )
        for _ in range(copies):
            delay = self.delay_s(bus.vm, peer) + self.random.uniform(0, MAX_JITTER_S)
            if self.random.random() < self.duplication_share:
                delay += self.random.uniform(0, 0.3)
            entry = (self.now + delay, next(self.numbers), sender, peer, message)
            heappush(self.in_flight, entry)

    def delay_s(self, first: str, second: str) -> float:
        first_center, second_center = first.split("-")[0], second.split("-")[0]
        if first_center == second_center:
            return CENTER_DELAY_S
        return REGION_DELAY_S if first_center[0] == second_center[0] else REMOTE_DELAY_S

    def deliver_due(self) -> None:
        """Deliver the messages that are due."""
        while self.in_flight and self.in_flight[0][0] <= self.now:
            _, _, sender, peer, message = heappop(self.in_flight)
            vm = self.vms_by_name.get(peer)
            side = self.sides_by_vm.get
            if vm is None or not vm.is_running or side(sender.vm, 0) != side(peer, 0):
                continue
            if vm.queued_datagrams is not None:
                vm.queued_datagrams.append((sender, message))
            else:
                self.process_message(vm, sender, message)

    def process_message(self, vm: Vm, sender: Sender, message) -> None:
        """Let a VM process a message."""
        is_digest = isinstance(message, Digest)
        process = (
            vm.exchange.process_digest if is_digest else vm.exchange.process_notice
        )
        process(sender, message, self.now)

    # VMs and their list.

    def start(self, own: RegisteredVm) -> None:
        """Start a VM, which registers itself."""
        vm = Vm(self, own, next(self.numbers))
        self.vms_by_name[own.name] = vm
        if own.name not in self.registered_by_name:
            self.registered_by_name[own.name] = (self.now, own)
        self.schedule(self.now + START_DURATION_S, lambda: self.start_serving(vm))

    def start_serving(self, vm: Vm) -> None:
        """Let a VM serve once it has received digests, or has waited long enough."""
        has_waited = self.now >= vm.started_at + START_DURATION_S + FIRST_DIGESTS_WAIT_S
        if has_waited or vm.quota.has_recent_digests(self.now):
            vm.is_serving = vm.is_running
        else:
            self.schedule(self.now + 0.05, lambda: self.start_serving(vm))

    def stop(self, name: str, restarts: bool = True) -> None:
        """Begin a planned stop of a VM, which restarts by default."""
        vm = self.vms_by_name[name]
        vm.exchange.announce(self.now, is_stopping=True)
        self.schedule(
            self.now + self.random.uniform(0.6, REMOVAL_S),
            lambda: self.stop_serving(vm),
        )
        self.schedule(
            self.now + STOP_DURATION_S, lambda: self.end_process(vm, restarts, True)
        )

    def kill(self, name: str, restarts: bool = True) -> None:
        """Kill the process of a VM, which restarts by default."""
        self.end_process(self.vms_by_name[name], restarts, False)

    def pause(self, name: str, seconds: float) -> None:
        """Pause the process of a VM; its socket queues the datagrams that arrive."""
        vm = self.vms_by_name[name]
        vm.queued_datagrams = []
        self.schedule(self.now + REMOVAL_S, lambda: self.stop_serving(vm))
        self.schedule(self.now + seconds, lambda: self.resume(vm))

    def resume(self, vm: Vm) -> None:
        """Resume a paused process, which first processes the queued datagrams."""
        datagrams, vm.queued_datagrams = vm.queued_datagrams or [], None
        for sender, message in datagrams:
            self.process_message(vm, sender, message)
        self.schedule(self.now + READMISSION_S, lambda: self.start_serving(vm))

    def running_vms(self) -> list[Vm]:
        """Return the VMs whose processes run or are paused."""
        return [vm for vm in self.vms_by_name.values() if vm.is_running]

    def stop_serving(self, vm: Vm) -> None:
        vm.is_serving = False

    def end_process(self, vm: Vm, restarts: bool, is_planned: bool) -> None:
        vm.is_running = vm.is_serving = False
        if is_planned:
            self.registered_by_name.pop(vm.own.name, None)
            self.removed_vms.append((self.now, vm.own))
        if restarts:
            self.schedule(self.now + 0.7, lambda: self.start(vm.own))

    def schedule(self, time: float, action) -> None:
        heappush(self.scheduled_actions, (time, next(self.numbers), action))

    def list_vms(self, vm: Vm) -> None:
        """Let a VM read the list of VMs, which may be outdated in its first read."""
        is_first_read = not vm.fleet.has_list
        since = self.now - (
            MAX_LIST_AGE_S * self.random.random() if is_first_read else 0.0
        )
        found = [own for at, own in self.registered_by_name.values() if at <= since]
        found += [own for at, own in self.removed_vms if at > since]
        vm.fleet.apply_list(found, self.now)
        if vm.fleet.is_starting(self.now):
            vm.exchange.announce(self.now)
        vm.quota.fleet_size = vm.fleet.size
        is_aggregator = vm.fleet.is_aggregator(self.now)
        interval_s = (
            AGGREGATOR_LIST_INTERVAL_S if is_aggregator else MEMBER_LIST_INTERVAL_S
        )
        vm.next_list_at = self.now + (
            START_LIST_INTERVAL_S if is_first_read else interval_s
        )

    # Time and callers.

    def run(self, seconds: float) -> None:
        """Advance the clock in steps."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            while self.scheduled_actions and self.scheduled_actions[0][0] <= self.now:
                heappop(self.scheduled_actions)[2]()
            self.deliver_due()
            for vm in self.vms_by_name.values():
                if vm.is_running and vm.queued_datagrams is None:
                    self.advance(vm)
            while self.delayed_requests and self.delayed_requests[0][0] <= self.now:
                _, _, vm, name = heappop(self.delayed_requests)
                if vm.queued_datagrams is None:
                    self.admit(vm, name, True)
            self.send_requests()

    def advance(self, vm: Vm) -> None:
        if self.now >= vm.next_list_at:
            self.list_vms(vm)
        urgent = vm.exchange.send_requested.is_set()
        if self.now >= vm.next_send_at or urgent:
            vm.next_send_at = self.now + DIGEST_INTERVAL_S
            if urgent:
                vm.exchange.send_requested = type(vm.exchange.send_requested)()
            run_synchronously(vm.exchange.send_due(self.now))
            vm.quota.fleet_size = vm.fleet.size

    def send_requests(self) -> None:
        """Send the requests of one step, spread over the VMs that serve."""
        serving_vms = [vm for vm in self.vms_by_name.values() if vm.is_serving]
        expected = self.load * self.load_factor * TICK_S
        number = int(expected) + (self.random.random() < expected % 1)
        names = list(self.workspaces_by_name)
        for _ in range(number if serving_vms else 0):
            (name,) = self.random.choices(names, self.shares)
            vm = self.random.choice(serving_vms)
            if vm.queued_datagrams is None:
                self.request_times.append(self.now)
                self.admit(vm, name, False)

    def admit(self, vm: Vm, name: str, already_counted: bool) -> None:
        wait_s = vm.quota.admit(name, self.now, already_counted)
        if wait_s == 0:
            self.admissions.append((self.now, name))
        elif already_counted or wait_s > ADMISSION_WAIT_S:
            reason = vm.quota.explain_refusal(name, self.now).detail
            self.refusals.append(Refusal(self.now, name, reason))
        else:
            heappush(
                self.delayed_requests, (self.now + wait_s, next(self.numbers), vm, name)
            )

    # Results.

    def refused_by_window(self, since: float) -> dict[float, float]:
        """Return the share of refused requests in each 2 s since a time, by start."""
        requested = Counter(
            int((at - since) / 2) for at in self.request_times if at >= since
        )
        refused = Counter(
            int((item.at - since) / 2) for item in self.refusals if item.at >= since
        )
        return {2.0 * key: refused[key] / requested[key] for key in sorted(requested)}

    def worst_excess(self, since: float = 0.0) -> float:
        """Return the most requests by which a workspace exceeds what is allowed.

        It is negative if all stay below.
        """
        worst = float("-inf")
        for name, workspace in self.workspaces_by_name.items():
            times = [at for at, item in self.admissions if item == name and at >= since]
            allowed = (workspace.rate * WINDOW_S + workspace.burst) * (1 + EXCESS_SHARE)
            last = 0
            for first, at in enumerate(times):
                while last < len(times) and times[last] < at + WINDOW_S:
                    last += 1
                worst = max(worst, last - first - allowed - EXCESS_REQUESTS)
        return worst


def run_synchronously(coroutine) -> None:
    """Run a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine suspended")
