"""Fleet digests: how VMs share outcomes, loads of targets and usage of workspaces.

Each VM sends its digest to the aggregator of its data centre, at once after a failure
and otherwise at a fixed interval. The aggregator adds the digests up, sends each VM the
counts of the others, and exchanges sums with the other data centres. The number of
messages grows with the number of VMs; the bytes between data centres do not.
"""

from collections.abc import Callable

from anyio import current_time, Event, move_on_after, sleep
from msgspec.structs import replace

from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import Message
from primroseturn.control.order import MessageOrder
from primroseturn.ejection.witnesses import MissingWitnesses
from primroseturn.entry.admitting import Admitting
from primroseturn.entry.digest_counts import (
    DigestChannel,
    DigestCounts,
    HEARTBEAT_INTERVAL_S,
    MIN_GAP_S,
)
from primroseturn.entry.digest_messages import (
    CenterReport,
    Digest,
    OutcomeCount,
    VmNotice,
)
from primroseturn.entry.usage_repeats import UsageNumbers, UsageRepeats
from primroseturn.limits.quota import FleetQuota
from primroseturn.membership.fleet import Fleet, LIVENESS_TIMEOUT_S, RegisteredVm
from primroseturn.routing.placement import Placement

# Interval of digests in seconds. Loads of targets and rates of workspaces reach other
# VMs with this delay.
DIGEST_INTERVAL_S = 0.1
# Mean age in seconds of a reported load when a digest arrives: half an interval at each
# of two VMs that collect it, and the way.
LOAD_AGE_S = 0.11
# Seconds after which a notice is sent again.
NOTICE_REPEAT_S = 0.3
# Interval in seconds of digests between regions, whose link is paid by volume.
REGION_INTERVAL_S = 0.3
# Groups of receivers whose usage is kept for repeats, so that memory is bounded.
MAX_REPEAT_GROUPS = 2_000


class DigestExchange:
    """Sends and receives fleet digests and notices.

    Attributes
    ----------
    own_channel
        Counts of this VM for the aggregator.
    center_channel
        Counts of all data centres for the other VMs of this data centre.
    center_counts_by_vm
        Counts in `center_channel` that each VM has reported itself, and which it must
        not receive again.
    remote_channels
        Counts of this data centre for data centres of the same region (True) and of
        other regions (False).
    admitting
        The admission under load, None without one.
    live_vms_sent_at
        Monotonic time in seconds at which the live VMs were last sent.
    send_requested
        Set to send urgent counts or notices before the next interval.
    repeats_by_group
        Usage to repeat, by the group of receivers (see `send_digests`).
    usage_numbers
        Numbers of the usage that was received.
    last_usage_number
        Number of the usage that was last sent.
    pending_notices
        Notices that are still to be sent, with their monotonic times in seconds.
    start_listeners
        Called with each other VM that has announced its start.
    """

    def __init__(
        self,
        bus: Bus,
        fleet: Fleet,
        placement: Placement,
        quota: FleetQuota,
        admitting: Admitting | None = None,
    ) -> None:
        self.admitting = admitting
        self.bus = bus
        self.fleet = fleet
        self.placement = placement
        self.quota = quota
        self.order = MessageOrder()
        self.witnesses = MissingWitnesses()
        self.repeats_by_group: dict[str, UsageRepeats] = {}
        self.usage_numbers = UsageNumbers()
        self.last_usage_number = 0
        self.own_channel = DigestChannel(DIGEST_INTERVAL_S)
        self.center_channel = DigestChannel(DIGEST_INTERVAL_S)
        self.center_counts_by_vm: dict[str, DigestCounts] = {}
        self.remote_channels = {
            True: DigestChannel(DIGEST_INTERVAL_S),
            False: DigestChannel(REGION_INTERVAL_S),
        }
        self.live_vms_sent_at = 0.0
        self.send_requested = Event()
        self.pending_notices: list[tuple[float, VmNotice]] = []
        self.start_listeners: list[Callable[[RegisteredVm], None]] = []
        bus.register_handler(Digest, self.receive_digest)
        bus.register_handler(VmNotice, self.receive_notice)

    def record_outcome(self, target: str, failed: bool) -> None:
        """Count the outcome of a request that this VM sent to a target."""
        self.own_channel.pending.add_outcome(target, int(failed), int(not failed))
        if failed:
            self.send_requested.set()

    def record_missing(self, target: str, now: float) -> None:
        """Count a response that is missing, unless this VM's own path is suspected."""
        if self.witnesses.record_missing(target, now) and self.witnesses.accept(
            self.fleet.own.name, target, now
        ):
            self.own_channel.pending.add_outcome(target, 0, 0, 1)
            self.send_requested.set()

    def record_load(self, target: str, request_count: int) -> None:
        """Record the load that a target has reported to this VM."""
        self.own_channel.pending.load_by_target[target] = request_count

    def record_refusal(self, service: str) -> None:
        """Count an attempt of this VM that a target refused."""
        self.own_channel.pending.add_refusals(service, 1)

    async def send_forever(self) -> None:
        """Send digests and notices when they are due."""
        while True:
            with move_on_after(DIGEST_INTERVAL_S):
                await self.send_requested.wait()
                await sleep(MIN_GAP_S)
            self.send_requested = Event()
            await self.send_due(current_time())

    async def send_due(self, now: float) -> None:
        """Send the notices and digests that are due."""
        await self.send_notices(now)
        self.own_channel.pending.add_usage(self.quota.pop_usage(now))
        self.own_channel.pending.add_rank_usage(self.quota.pop_rank_usage(now))
        aggregator = self.fleet.aggregator(now)
        if aggregator == self.fleet.own.name:
            await self.aggregate(now)
            return
        if self.has_counts_to_relay():
            # Other VMs consider this VM the aggregator; only it has their counts.
            await self.relay(now)
        if self.own_channel.is_due(now):
            digests = self.own_channel.drain(now).build_digests()
            await self.send_digests("", aggregator, digests)

    async def send_digests(self, group: str, vm: str, digests: list[Digest]) -> None:
        """Send digests with numbered usage, and repeat that of earlier ones.

        Parameters
        ----------
        group
            What the digests are for: a data centre, a VM, or empty for the aggregator.
            Only one VM at a time receives the digests of a group.
        """
        if len(self.repeats_by_group) > MAX_REPEAT_GROUPS:
            # Most of them are VMs that have left.
            self.repeats_by_group.clear()
        repeats = self.repeats_by_group.setdefault(group, UsageRepeats())
        repeated = repeats.take(vm)
        for digest in digests:
            if digest.usage:
                self.last_usage_number += 1
                repeats.add(self.last_usage_number, digest.usage)
                digest = replace(digest, usage_number=self.last_usage_number)
            if repeated:
                digest, repeated = replace(digest, repeated_usage=repeated), ()
            await self.bus.send(vm, digest)

    def announce(self, now: float, is_stopping: bool = False) -> None:
        """Notify all VMs that this one has started or is about to stop.

        A notice may be lost, so it is sent twice. If both are lost, the other VMs learn
        of the start or stop from the list of VMs some seconds later.
        """
        self.fleet.is_stopping = is_stopping
        notice = VmNotice(self.fleet.own, is_stopping)
        self.pending_notices = [(now, notice), (now + NOTICE_REPEAT_S, notice)]
        self.send_requested.set()

    async def send_notices(self, now: float) -> None:
        """Send the notices that are due."""
        while self.pending_notices and self.pending_notices[0][0] <= now:
            _, notice = self.pending_notices.pop(0)
            for name in self.fleet.vms_by_name:
                await self.bus.send(name, notice)

    async def receive_notice(self, sender: Sender, body: Message) -> None:
        """Process a received notice."""
        assert isinstance(body, VmNotice)
        self.process_notice(sender, body, current_time())

    def process_notice(self, sender: Sender, body: VmNotice, now: float) -> None:
        """Record that a VM has started or is about to stop."""
        if body.vm.name != sender.vm or sender.vm == self.fleet.own.name:
            self.refuse("forged", f"the notice is about VM {body.vm.name!r}", sender)
            return
        if body.is_stopping and not self.is_member(sender):
            return
        if not self.record_if_new(sender, now, in_order=True):
            return
        if body.is_stopping:
            self.fleet.record_stop(sender.vm, now)
        else:
            self.fleet.record_start(body.vm, now)
            for listener in self.start_listeners:
                listener(body.vm)
        self.quota.fleet_size = self.fleet.size

    def center_reports(self, now: float) -> tuple[CenterReport, ...]:
        """Return reports on the recent digests of the other data centres."""
        return tuple(
            CenterReport(center, last.aggregator, last.vm_count, now - last.received_at)
            for center, last in self.fleet.center_digests_by_center.items()
            if now - last.received_at < LIVENESS_TIMEOUT_S
        )

    def has_counts_to_relay(self) -> bool:
        """Return whether counts of other VMs wait to be relayed."""
        channels = (self.center_channel, *self.remote_channels.values())
        return any(channel.pending.has_content() for channel in channels)

    async def aggregate(self, now: float) -> None:
        """Send the counts of this VM and of others, as the aggregator."""
        self.quota.record_reachable_count(self.fleet.reachable_count(now), now)
        self.add_center_counts(self.fleet.own.name, self.own_channel.drain(now))
        await self.relay(now)

    async def relay(self, now: float) -> None:
        """Send the collected counts to this and the other data centres."""
        if self.center_channel.is_due(now):
            await self.send_to_center(now)
        contacts = self.fleet.contacts(now).values()
        for is_same_region, channel in self.remote_channels.items():
            if not is_same_region:
                # VMs of other regions seldom send requests to the targets of this one;
                # they need the usage of workspaces only.
                channel.pending.outcomes_by_target.clear()
                channel.pending.load_by_target.clear()
                channel.pending.refused_by_service.clear()
                channel.pending.is_urgent = False
            if not channel.is_due(now):
                continue
            digests = channel.drain(now).build_digests(
                self.fleet.own.data_center,
                reachable_count=1 + len(self.fleet.live_data_center_peers(now)),
            )
            for vm in contacts:
                if (vm.region == self.fleet.own.region) == is_same_region:
                    await self.send_digests(vm.data_center, vm.name, digests)

    async def send_to_center(self, now: float) -> None:
        """Send each VM of this data centre the counts of all others."""
        total = self.center_channel.drain(now)
        counts_by_vm, self.center_counts_by_vm = self.center_counts_by_vm, {}
        live, unreachable = (
            self.fleet.live_data_center_peers(now),
            self.fleet.unreachable_count(now),
        )
        names: tuple[str, ...] = ()
        center_reports: tuple[CenterReport, ...] = ()
        # Sent less often, since names make up most of a digest in large data centres.
        if now - self.live_vms_sent_at >= HEARTBEAT_INTERVAL_S - MIN_GAP_S:
            self.live_vms_sent_at = now
            names, center_reports = live, self.center_reports(now)
        for vm in self.fleet.data_center_peers():
            counts = total.without(counts_by_vm.get(vm.name, DigestCounts()))
            digests = counts.build_digests(
                "", names, 1 + len(live), True, center_reports, unreachable
            )
            await self.send_digests(f"vm {vm.name}", vm.name, digests)

    def add_center_counts(self, vm: str, counts: DigestCounts) -> None:
        """Add counts of a VM of this data centre to those for all other VMs."""
        self.center_channel.pending.add_counts(counts)
        self.center_counts_by_vm.setdefault(vm, DigestCounts()).add_counts(counts)
        for channel in self.remote_channels.values():
            channel.pending.add_counts(counts)

    async def receive_digest(self, sender: Sender, body: Message) -> None:
        """Process a received digest."""
        assert isinstance(body, Digest)
        self.process_digest(sender, body, current_time())

    def process_digest(self, sender: Sender, body: Digest, now: float) -> None:
        """Apply a digest of a VM, of the aggregator or of another data centre."""
        if not self.is_member(sender) or not self.has_valid_center(sender, body.center):
            return
        if not self.record_if_new(sender, now):
            return
        usage = self.usage_numbers.collect(
            sender, body.usage, body.usage_number, body.repeated_usage, now
        )
        body = replace(body, usage=usage, repeated_usage=())
        if body.center:
            self.fleet.record_center_digest(
                body.center, sender.vm, body.reachable_count, now
            )
            self.center_channel.pending.add_digest(body)
        else:
            self.fleet.record_seen(sender.vm, now, body.live)
            if not body.relayed:
                body = self.limit_missing(sender.vm, body, now)
                if self.admitting is not None:
                    body = self.admitting.limit_reports(sender.vm, body, now)
                counts = DigestCounts()
                counts.add_digest(body)
                self.add_center_counts(sender.vm, counts)
            elif sender.vm == self.fleet.aggregator(now):
                reachable_count = max(1, self.fleet.size - body.unreachable_count)
                self.quota.record_reachable_count(reachable_count, now)
            for report in body.center_reports:
                self.fleet.record_center_digest(*report[:3], now - report.age_s)
        if self.center_channel.pending.is_urgent:
            self.send_requested.set()
        self.apply_counts(body, now)

    def limit_missing(self, vm: str, body: Digest, now: float) -> Digest:
        """Return a digest of a VM with the missing responses that are counted."""
        outcomes = []
        for outcome in body.outcomes:
            if outcome.missing:
                is_counted = self.witnesses.accept(vm, outcome.target, now)
                outcome = outcome._replace(missing=int(is_counted))
            outcomes.append(outcome)
        return replace(body, outcomes=tuple(outcomes))

    def is_member(self, sender: Sender) -> bool:
        """Return whether a message comes from another VM of the fleet."""
        if sender.vm == self.fleet.own.name:
            self.refuse("forged", "sent under the name of this VM", sender)
            return False
        if self.fleet.has_list and self.fleet.find(sender.vm) is None:
            self.refuse("unknown_vm", "sent by a VM that was never registered", sender)
            return False
        return True

    def has_valid_center(self, sender: Sender, center: str) -> bool:
        """Return whether the data centre that a digest names fits the sender.

        Parameters
        ----------
        center
            The data centre that the digest names. It must be the sender's own, or
            empty if the sender is a VM of this data centre.
        """
        vm = self.fleet.find(sender.vm)
        if vm is None:
            # The other VMs of the fleet are not known yet.
            return True
        is_data_center_peer = vm.data_center == self.fleet.own.data_center
        if center == ("" if is_data_center_peer else vm.data_center):
            return True
        detail = f"digest of data centre {center!r} from a VM of {vm.data_center!r}"
        self.refuse("forged", detail, sender)
        return False

    def record_if_new(self, sender: Sender, now: float, in_order: bool = False) -> bool:
        """Record a message and return whether it may be applied.

        Duplicates and messages that arrive too late are dropped, so that each is
        applied once.

        Parameters
        ----------
        in_order
            Whether a message is also dropped after a later one of its kind.
        """
        if self.order.is_restart(sender):
            # The notice of the start may have been lost.
            self.fleet.record_restart(sender.vm, now)
        refusal = self.order.check_and_record(sender, now, in_order)
        if refusal is not None:
            self.refuse(refusal.reason, refusal.detail, sender)
        return refusal is None

    def refuse(self, reason: str, detail: str, sender: Sender) -> None:
        """Count and log a message that is dropped."""
        self.bus.refuse(
            reason,
            detail,
            sender=sender.vm,
            start=sender.incarnation,
            origin=sender.origin,
        )

    def apply_outcomes(
        self, outcomes: tuple[OutcomeCount, ...], is_remote: bool, now: float
    ) -> None:
        """Pass outcomes at other VMs on to the placement."""
        for item in outcomes:
            self.placement.record_peer_outcomes(
                item.target, item.failed, item.succeeded, now, item.missing, is_remote
            )

    def apply_counts(self, digest: Digest, now: float) -> None:
        """Pass the counts of a digest on to placement and quota."""
        is_remote = bool(digest.center)
        self.apply_outcomes(digest.outcomes, is_remote, now)
        self.apply_outcomes(digest.remote_outcomes, True, now)
        for report in digest.loads:
            self.placement.record_load(
                report.target, report.request_count, now, LOAD_AGE_S
            )
        self.quota.record_peer_usage(digest.usage, now)
        if self.admitting is not None:
            self.admitting.apply_reports(digest, now)
        self.quota.record_peer_ranks(digest.rank_usage, now)
