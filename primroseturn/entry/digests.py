"""Digests in which VMs tell each other what they saw and admitted.

Each VM sends its digest to the aggregator of its data centre, at once after a failure
and otherwise at a fixed interval. The aggregator adds them up, sends each VM what the
others saw, and exchanges sums with the other data centres. Messages grow with the
number of VMs, and the bytes between data centres do not.
"""

from collections.abc import Callable
from typing import Annotated, NamedTuple

from anyio import current_time, Event, move_on_after, sleep
from msgspec import Meta

from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import Message, message
from primroseturn.control.order import MessageOrder
from primroseturn.limits.quota import Count, FleetQuota, Usage
from primroseturn.membership.fleet import EntryVm, Fleet, LIVENESS_TIMEOUT_S
from primroseturn.routing.placement import Placement

# Interval of digests in seconds; loads of targets and rates of workspaces are shared
# with this delay.
DIGEST_INTERVAL_S = 0.1
# An empty digest shows that the VM lives.
HEARTBEAT_S = 0.25
# Time in seconds after which a notice is sent again.
NOTICE_GAP_S = 0.3
# Interval of the digests between regions, whose link is paid by volume.
REGION_INTERVAL_S = 0.3
# Shortest time in seconds between two digests that failures bring forward.
LEAST_GAP_S = 0.03
# Requests of one workspace that bring a digest forward.
URGENT_REQUESTS = 4
# Items of each kind in one digest, so that it fits a datagram.
PART_ITEMS = 20
# VMs that a digest names as live; some dozens are in one data centre.
LIVE_ITEMS = 40


class OutcomeCount(NamedTuple):
    """Requests at a target that failed and that were served."""

    target: str
    failed: Count
    succeeded: Count


class LoadReport(NamedTuple):
    """Requests that a target reported to run or hold."""

    target: str
    held: Count


class CenterReport(NamedTuple):
    """A data centre of which the sender heard, and how many seconds ago.

    Attributes
    ----------
    vm_count
        Number of VMs whose digests reach its aggregator, with itself.
    """

    center: str
    aggregator: str
    vm_count: Count
    age_s: Annotated[float, Meta(ge=0)]


@message("entry-vm-notice")
class VmNotice(Message, frozen=True, array_like=True):
    """Says that the sender has started, or that it is about to stop."""

    vm: EntryVm
    is_stopping: bool = False


@message("entry-digest-2")
class Digest(Message, frozen=True, array_like=True):
    """What one VM, or one data centre, saw since its last digest.

    Attributes
    ----------
    center
        The data centre that it sums up; empty for that of one VM.
    live
        VMs of the sender's data centre that the sender hears.
    reachable_count
        Number of VMs of the sender's data centre whose digests reach it, with itself.
    unreachable_count
        Number of VMs of the fleet whose digests don't reach it.
    relayed
        Whether it holds what the sender got from others. The receiver passes on only
        what was not relayed to it, so that counts don't go round between VMs that all
        take themselves for the aggregator.
    center_reports
        The other data centres that the sender hears, for the next aggregator.
    """

    center: str = ""
    live: tuple[str, ...] = ()
    reachable_count: Count = 1
    outcomes: tuple[OutcomeCount, ...] = ()
    loads: tuple[LoadReport, ...] = ()
    usage: tuple[Usage, ...] = ()
    relayed: bool = False
    center_reports: tuple[CenterReport, ...] = ()
    unreachable_count: Count = 0


class Collection:
    """Counts that wait for the next digest."""

    def __init__(self) -> None:
        self.outcomes_by_target: dict[str, list[int]] = {}
        self.held_by_target: dict[str, int] = {}
        self.usage_by_workspace: dict[str, list[int]] = {}
        self.urgent = False

    def has_content(self) -> bool:
        """Return whether anything was collected."""
        return bool(
            self.outcomes_by_target or self.held_by_target or self.usage_by_workspace
        )

    def add_outcome(self, target: str, failed: int, succeeded: int) -> None:
        """Add outcomes; a failure makes the digest urgent."""
        counts = self.outcomes_by_target.setdefault(target, [0, 0])
        counts[0] += failed
        counts[1] += succeeded
        self.urgent = self.urgent or failed > 0

    def add_usage(self, usage: tuple[Usage, ...]) -> None:
        """Add what was asked and admitted."""
        for item in usage:
            counts = self.usage_by_workspace.setdefault(item.workspace, [0, 0])
            counts[0] += item.requested
            counts[1] += item.admitted
            self.urgent = self.urgent or counts[0] >= URGENT_REQUESTS

    def add_digest(self, digest: Digest) -> None:
        """Add all that another digest says."""
        for outcome in digest.outcomes:
            self.add_outcome(*outcome)
        for load in digest.loads:
            self.held_by_target[load.target] = load.held
        self.add_usage(digest.usage)

    def add_collection(self, other: "Collection") -> None:
        """Add all that another collection holds."""
        for target, counts in other.outcomes_by_target.items():
            self.add_outcome(target, *counts)
        self.held_by_target.update(other.held_by_target)
        for name, counts in other.usage_by_workspace.items():
            self.add_usage((Usage(name, *counts),))

    def without(self, other: "Collection") -> "Collection":
        """Return what is left when another collection is taken out."""
        left = Collection()
        left.held_by_target = self.held_by_target
        left.outcomes_by_target = subtract(
            self.outcomes_by_target, other.outcomes_by_target
        )
        left.usage_by_workspace = subtract(
            self.usage_by_workspace, other.usage_by_workspace
        )
        return left

    def digests(
        self,
        center: str = "",
        live: tuple[str, ...] = (),
        reached: int = 1,
        relayed: bool = False,
        center_reports: tuple[CenterReport, ...] = (),
        missing: int = 0,
    ) -> list[Digest]:
        """Return what was collected, in digests that fit a datagram."""
        outcomes = [
            OutcomeCount(target, *counts)
            for target, counts in self.outcomes_by_target.items()
        ]
        loads = [LoadReport(*item) for item in self.held_by_target.items()]
        usage = [
            Usage(name, *counts) for name, counts in self.usage_by_workspace.items()
        ]
        found = []
        while True:
            # Names and reports fill a datagram in large data centres.
            names, live = live[:LIVE_ITEMS], live[LIVE_ITEMS:]
            items = PART_ITEMS if len(names) + len(center_reports) <= PART_ITEMS else 0
            found.append(
                Digest(
                    center,
                    names,
                    reached,
                    tuple(outcomes[:items]),
                    tuple(loads[:items]),
                    tuple(usage[:items]),
                    relayed,
                    center_reports,
                    missing,
                )
            )
            center_reports = ()
            outcomes, loads, usage = outcomes[items:], loads[items:], usage[items:]
            if not (outcomes or loads or usage or live):
                return found


def subtract(
    whole: dict[str, list[int]], part: dict[str, list[int]]
) -> dict[str, list[int]]:
    """Return the counts of `whole` without those of `part`; zeros are left out."""
    left = {}
    for name, counts in whole.items():
        taken = part.get(name, (0, 0))
        counts = [counts[0] - taken[0], counts[1] - taken[1]]
        if any(counts):
            left[name] = counts
    return left


class Channel:
    """A flow of digests: what waits for it and when the last one was sent."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.waiting = Collection()
        self.sent_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether a digest should go out now."""
        if self.waiting.urgent:
            return now - self.sent_at >= LEAST_GAP_S
        interval_s = self.interval_s if self.waiting.has_content() else HEARTBEAT_S
        # The sender wakes up once in an interval and a little late.
        return now - self.sent_at >= interval_s - LEAST_GAP_S

    def drain(self, now: float) -> Collection:
        """Return what waited and start anew."""
        drained, self.waiting = self.waiting, Collection()
        self.sent_at = now
        return drained


class DigestExchange:
    """Sends and receives digests.

    Attributes
    ----------
    own
        What this VM saw, on its way to the aggregator.
    center
        What the VMs of this data centre and the other data centres saw, on its way
        from the aggregator to its VMs.
    parts_by_vm
        What each VM has added to `center`; it needs no copy of that.
    sums_by_region
        What this data centre saw, on its way to data centres of the same region
        (True) and of others.
    """

    def __init__(
        self, bus: Bus, fleet: Fleet, placement: Placement, quota: FleetQuota
    ) -> None:
        self.bus = bus
        self.fleet = fleet
        self.placement = placement
        self.quota = quota
        self.order = MessageOrder()
        self.own = Channel(DIGEST_INTERVAL_S)
        self.center = Channel(DIGEST_INTERVAL_S)
        self.parts_by_vm: dict[str, Collection] = {}
        self.sums_by_region = {
            True: Channel(DIGEST_INTERVAL_S),
            False: Channel(REGION_INTERVAL_S),
        }
        # When the VMs that are heard were last named (monotonic, in seconds).
        self.named_at = 0.0
        self.send_requested = Event()
        # Notices that are still to be sent, and when (monotonic, in seconds).
        self.notices: list[tuple[float, VmNotice]] = []
        self.vm_listeners: list[Callable[[EntryVm], None]] = []
        bus.register_handler(Digest, self.receive)
        bus.register_handler(VmNotice, self.receive_notice)

    def record_outcome(self, target: str, failed: bool) -> None:
        """Count an outcome that this VM saw."""
        self.own.waiting.add_outcome(target, int(failed), int(not failed))
        if failed:
            self.send_requested.set()

    def record_load(self, target: str, held: int) -> None:
        """Keep the load that a target reported to this VM."""
        self.own.waiting.held_by_target[target] = held

    async def send_forever(self) -> None:
        """Send digests when they are due."""
        while True:
            with move_on_after(DIGEST_INTERVAL_S):
                await self.send_requested.wait()
                await sleep(LEAST_GAP_S)
            self.send_requested = Event()
            await self.send_due(current_time())

    async def send_due(self, now: float) -> None:
        """Send what is due at a time."""
        await self.send_notices(now)
        self.own.waiting.add_usage(self.quota.drain_usage(now))
        aggregator = self.fleet.aggregator(now)
        if aggregator == self.fleet.own.name:
            await self.aggregate(now)
            return
        if self.holds_others():
            # Others took this VM for the aggregator; nobody else has what they sent.
            await self.relay(now)
        if self.own.is_due(now):
            for digest in self.own.drain(now).digests():
                await self.bus.send(aggregator, digest)

    def announce(self, now: float, is_stopping: bool = False) -> None:
        """Tell all VMs that this one has started or is about to stop.

        A notice may be lost, so it is sent again. Without any, the others learn of it
        from the list of VMs some seconds later.
        """
        self.fleet.is_stopping = is_stopping
        notice = VmNotice(self.fleet.own, is_stopping)
        self.notices = [(now, notice), (now + NOTICE_GAP_S, notice)]
        self.send_requested.set()

    async def send_notices(self, now: float) -> None:
        """Send the notices that are due."""
        while self.notices and self.notices[0][0] <= now:
            _, notice = self.notices.pop(0)
            for name in self.fleet.vms_by_name:
                await self.bus.send(name, notice)

    async def receive_notice(self, sender: Sender, body: Message) -> None:
        """Take in an arriving notice."""
        assert isinstance(body, VmNotice)
        self.process_notice(sender, body, current_time())

    def process_notice(self, sender: Sender, body: VmNotice, now: float) -> None:
        """Take note of a VM that has started or stops."""
        if body.vm.name != sender.vm or sender.vm == self.fleet.own.name:
            self.refuse("forged", f"a notice about {body.vm.name!r}", sender)
            return
        if body.is_stopping and not self.is_member(sender):
            return
        if not self.is_new(sender, now, in_order=True):
            return
        if body.is_stopping:
            self.fleet.record_stop(sender.vm, now)
        else:
            self.fleet.record_start(body.vm, now)
            for listener in self.vm_listeners:
                listener(body.vm)
        self.quota.fleet_size = self.fleet.size

    def center_reports(self, now: float) -> tuple[CenterReport, ...]:
        """Return what was heard of the other data centres lately."""
        return tuple(
            CenterReport(center, last.aggregator, last.vm_count, now - last.received_at)
            for center, last in self.fleet.center_digests_by_center.items()
            if now - last.received_at < LIVENESS_TIMEOUT_S
        )

    def holds_others(self) -> bool:
        """Return whether counts of other VMs wait to be passed on."""
        channels = (self.center, *self.sums_by_region.values())
        return any(channel.waiting.has_content() for channel in channels)

    async def aggregate(self, now: float) -> None:
        """Send what this VM, this data centre and the others saw."""
        self.quota.record_reachable_count(self.fleet.reachable_count(now), now)
        self.add_own(self.fleet.own.name, self.own.drain(now))
        await self.relay(now)

    async def relay(self, now: float) -> None:
        """Send what was collected from others."""
        if self.center.is_due(now):
            await self.send_center(now)
        contacts = self.fleet.contacts(now).values()
        for same_region, channel in self.sums_by_region.items():
            if not same_region:
                # Other regions seldom send requests here; they need the rates only.
                channel.waiting.outcomes_by_target.clear()
                channel.waiting.held_by_target.clear()
                channel.waiting.urgent = False
            if not channel.is_due(now):
                continue
            digests = channel.drain(now).digests(
                self.fleet.own.data_center,
                reached=1 + len(self.fleet.live_neighbours(now)),
            )
            for vm in contacts:
                if (vm.region == self.fleet.own.region) == same_region:
                    for digest in digests:
                        await self.bus.send(vm.name, digest)

    async def send_center(self, now: float) -> None:
        """Send each VM of this data centre what all others saw."""
        whole = self.center.drain(now)
        parts, self.parts_by_vm = self.parts_by_vm, {}
        live, missing = self.fleet.live_neighbours(now), self.fleet.missing_count(now)
        names: tuple[str, ...] = ()
        center_reports: tuple[CenterReport, ...] = ()
        # Names make up most of a digest in large data centres.
        if now - self.named_at >= HEARTBEAT_S - LEAST_GAP_S:
            self.named_at = now
            names, center_reports = live, self.center_reports(now)
        for vm in self.fleet.neighbours():
            left = whole.without(parts.get(vm.name, Collection()))
            for digest in left.digests(
                "", names, 1 + len(live), True, center_reports, missing
            ):
                await self.bus.send(vm.name, digest)

    def add_own(self, vm: str, part: Collection) -> None:
        """Add what a VM of this data centre saw to what goes to all VMs."""
        self.center.waiting.add_collection(part)
        self.parts_by_vm.setdefault(vm, Collection()).add_collection(part)
        for channel in self.sums_by_region.values():
            channel.waiting.add_collection(part)

    async def receive(self, sender: Sender, body: Message) -> None:
        """Take in an arriving digest."""
        assert isinstance(body, Digest)
        self.process_digest(sender, body, current_time())

    def process_digest(self, sender: Sender, body: Digest, now: float) -> None:
        """Take in a digest of a VM, of the aggregator or of another data centre."""
        if not self.is_member(sender) or not self.may_aggregate(sender, body.center):
            return
        if not self.is_new(sender, now):
            return
        if body.center:
            self.fleet.record_center_digest(
                body.center, sender.vm, body.reachable_count, now
            )
            self.center.waiting.add_digest(body)
        else:
            self.fleet.record_seen(sender.vm, now, body.live)
            if not body.relayed:
                part = Collection()
                part.add_digest(body)
                self.add_own(sender.vm, part)
            elif sender.vm == self.fleet.aggregator(now):
                reached = max(1, self.fleet.size - body.unreachable_count)
                self.quota.record_reachable_count(reached, now)
            for report in body.center_reports:
                self.fleet.record_center_digest(*report[:3], now - report.age_s)
        if self.center.waiting.urgent:
            self.send_requested.set()
        self.learn(body, now)

    def is_member(self, sender: Sender) -> bool:
        """Return whether a message comes from another VM of the fleet."""
        if sender.vm == self.fleet.own.name:
            self.refuse("forged", "sent in the name of this VM", sender)
            return False
        if self.fleet.has_list and self.fleet.find(sender.vm) is None:
            self.refuse("unknown_vm", "no VM that is or was registered", sender)
            return False
        return True

    def may_aggregate(self, sender: Sender, center: str) -> bool:
        """Return whether a digest sums up the data centre of its sender, if any."""
        vm = self.fleet.find(sender.vm)
        if vm is None:
            # Nothing is known of the fleet yet.
            return True
        near = vm.data_center == self.fleet.own.data_center
        if center == ("" if near else vm.data_center):
            return True
        detail = f"a digest of {center!r} from a VM of {vm.data_center!r}"
        self.refuse("forged", detail, sender)
        return False

    def is_new(self, sender: Sender, now: float, in_order: bool = False) -> bool:
        """Return whether a message did not come before, so that it counts once."""
        if self.order.is_restart(sender):
            # The notice of its start may be lost.
            self.fleet.record_restart(sender.vm, now)
        misfit = self.order.check_and_record(sender, now, in_order)
        if misfit is not None:
            self.refuse(misfit.reason, misfit.detail, sender)
        return misfit is None

    def refuse(self, reason: str, detail: str, sender: Sender) -> None:
        """Count and log a message that is not used."""
        self.bus.refuse(
            reason,
            detail,
            sender=sender.vm,
            start=sender.incarnation,
            origin=sender.origin,
        )

    def learn(self, digest: Digest, now: float) -> None:
        """Use what a digest says."""
        for outcome in digest.outcomes:
            self.placement.record_peer_outcomes(
                outcome.target, outcome.failed, outcome.succeeded, now
            )
        for load in digest.loads:
            self.placement.record_load(load.target, load.held, now)
        self.quota.record_peer_usage(digest.usage, now)
