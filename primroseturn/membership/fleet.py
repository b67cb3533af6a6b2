"""The entry VMs of the fleet, which of them are live, and who aggregates digests.

The VMs of a data centre send their fleet digests (counts and liveness) to its
aggregator, which is the first live VM by name. The aggregator is not a leader: two VMs
that both act as the aggregator only send more messages, and nothing depends on there
being exactly one. Used by `primroseturn entry`.

A partitioned VM cannot exchange messages with a part of the fleet.
"""

from collections import Counter
from math import inf
from typing import Annotated, NamedTuple

from msgspec import Meta

from primroseturn.settings.models import IpAddress, Name

# Seconds after which a VM that was not seen again is no longer treated as live.
LIVENESS_TIMEOUT_S = 1.2
# Seconds without a message after which the aggregator is replaced. It sends a digest at
# least every 0.25 s; `FleetQuota` treats its VM as partitioned after 1.2 s.
AGGREGATOR_TIMEOUT_S = 0.6
# Seconds that a newly chosen aggregator has to send its first message.
NEW_AGGREGATOR_TIMEOUT_S = 0.3
# Seconds for which a VM that is not live may still be chosen, because its first message
# may be on the way, such as after the start of this VM.
UNSEEN_VM_TIMEOUT_S = 0.8
# Seconds after its start before a VM may aggregate. By then it has received digests of
# the other VMs, which matters because its data centre relies on its view of the fleet.
WARM_UP_S = 2.0
# Longest time in seconds for which a VM that has just started waits for the digests of
# the other VMs before it is ready. They send digests every 0.1 s.
FIRST_DIGESTS_WAIT_S = 0.6
# Seconds after which a VM that announced its stop has ended. If it is seen after that,
# it has restarted.
STOP_DURATION_S = 3.5
# Seconds after the announced stop of a VM by which lists no longer contain its object.
# If it is still listed then, it has restarted and its notices were lost.
STOPPED_VM_LISTED_S = 12.0
# Seconds for which lists may lack a VM that announced its start.
START_UNLISTED_S = 6.0
# Seconds before a VM that could not reach the store, or did not reply, is chosen as the
# store poller again.
POLLER_RETRY_S = 3.0
# Seconds without a message after which a VM is removed from the fleet. Its part of the
# rates returns to the other VMs. If it was only partitioned, it registers again.
LOST_AFTER_S = 20.0
# Number of VMs that is assumed before the first list; real fleets have 36 to 40.
ASSUMED_FLEET_SIZE = 40
# Number of VMs that left whose messages are still accepted. They may arrive late, and
# lists lack partitioned VMs until they register again. The limit bounds the memory.
FORMER_VMS_LIMIT = 1_000


class RegisteredVm(NamedTuple):
    """A registered entry VM."""

    name: Name
    host: IpAddress
    port: Annotated[int, Meta(ge=1, le=65535)]
    data_center: Name
    region: Name


class CenterDigest(NamedTuple):
    """The last digest of another data centre.

    Attributes
    ----------
    aggregator
        Name of the VM that sent it.
    received_at
        Monotonic time in seconds.
    vm_count
        Number of live VMs in the view of the aggregator, itself included.
    """

    aggregator: str
    received_at: float
    vm_count: int


class AggregatorTerm(NamedTuple):
    """The VM that this VM uses as the aggregator, and since when.

    Attributes
    ----------
    since
        Monotonic time in seconds.
    """

    name: str
    since: float


class Fleet:
    """The registered VMs and their liveness.

    All times are monotonic, in seconds.

    Attributes
    ----------
    own
        This VM.
    vms_by_name
        All registered VMs but this one.
    former_by_name
        VMs that were registered before.
    has_list
        Whether the list of registered VMs has been received.
    first_list_at
        When it was first received.
    first_listed_by_vm
        When each VM was first listed or announced its start.
    last_seen_by_vm
        When this VM or its aggregator last received a message from each VM of this data
        centre.
    last_received_by_vm
        When this VM itself last received a message from each VM.
    unresponsive
        VMs that timed out as aggregators and have not sent a message since.
    warm_up_ends_by_vm
        When VMs that have just started may begin to aggregate.
    stop_announced_by_vm
        When VMs announced their stop. They serve for some more seconds, but are not
        counted in `size` and do not aggregate.
    start_announced_by_vm
        When VMs announced their start.
    is_stopping
        Whether this VM is stopping.
    awaited_since_by_vm
        Since when VMs that are not live are assumed to become live.
    store_unreachable_by_vm
        When VMs of this data centre were last found to be unable to reach the store.
    center_digests_by_center
        The last digest of each other data centre.
    contact_turns_by_center
        How often the next VM of each other data centre was chosen as its contact,
        because no recent digest of it had arrived.
    aggregator_term
        The VM that is used as the aggregator.
    """

    def __init__(self, own: RegisteredVm) -> None:
        self.own = own
        self.vms_by_name: dict[str, RegisteredVm] = {}
        self.former_by_name: dict[str, RegisteredVm] = {}
        self.has_list = False
        self.first_list_at = -inf
        self.first_listed_by_vm: dict[str, float] = {}
        self.last_seen_by_vm: dict[str, float] = {}
        self.store_unreachable_by_vm: dict[str, float] = {}
        self.center_digests_by_center: dict[str, CenterDigest] = {}
        self.awaited_since_by_vm: dict[str, float] = {}
        self.contact_turns_by_center: dict[str, int] = {}
        self.last_received_by_vm: dict[str, float] = {}
        self.unresponsive: set[str] = set()
        self.warm_up_ends_by_vm: dict[str, float] = {}
        self.stop_announced_by_vm: dict[str, float] = {}
        self.start_announced_by_vm: dict[str, float] = {}
        self.is_stopping = False
        self.aggregator_term = AggregatorTerm("", -inf)

    @property
    def registered_count(self) -> int:
        """Return the number of registered VMs including this one.

        Before the first list it is an assumed number.
        """
        return len(self.vms_by_name) + 1 if self.has_list else ASSUMED_FLEET_SIZE

    @property
    def size(self) -> int:
        """Return the number of registered VMs with this one, without stopping ones."""
        return self.registered_count - len(self.stop_announced_by_vm)

    def apply_list(self, vms: list[RegisteredVm], now: float) -> set[str]:
        """Replace the registered VMs and return the names of those that left."""
        if not self.has_list:
            self.warm_up_ends_by_vm[self.own.name] = now + WARM_UP_S
            self.first_list_at = now
        self.has_list = True
        listed = {vm.name: vm for vm in vms if vm.name != self.own.name}
        for name, at in list(self.start_announced_by_vm.items()):
            if now - at >= START_UNLISTED_S:
                del self.start_announced_by_vm[name]
            elif name in self.vms_by_name:
                listed.setdefault(name, self.vms_by_name[name])
        gone = self.vms_by_name.keys() - listed.keys()
        for name in gone:
            self.former_by_name[name] = self.vms_by_name[name]
            self.forget(name)
        while len(self.former_by_name) > FORMER_VMS_LIMIT:
            del self.former_by_name[next(iter(self.former_by_name))]
        self.vms_by_name = listed
        for name in listed:
            self.first_listed_by_vm.setdefault(name, now)
            if now - self.stop_announced_by_vm.get(name, now) >= STOPPED_VM_LISTED_S:
                del self.stop_announced_by_vm[name]
        return set(gone)

    def forget(self, name: str) -> None:
        """Drop the state of a VM that left."""
        for times_by_vm in (
            self.last_seen_by_vm,
            self.last_received_by_vm,
            self.awaited_since_by_vm,
            self.store_unreachable_by_vm,
            self.first_listed_by_vm,
            self.warm_up_ends_by_vm,
            self.stop_announced_by_vm,
        ):
            times_by_vm.pop(name, None)
        self.unresponsive.discard(name)

    def find(self, name: str) -> RegisteredVm | None:
        """Return another VM that is or was registered, or None."""
        return self.vms_by_name.get(name) or self.former_by_name.get(name)

    def is_awaiting_first_digests(self, now: float) -> bool:
        """Return whether this VM still waits for the first digests of other VMs."""
        return now - self.first_list_at < FIRST_DIGESTS_WAIT_S

    def is_starting(self, now: float) -> bool:
        """Return whether other VMs may not know yet that this VM has started."""
        return not self.is_stopping and now - self.first_list_at < WARM_UP_S

    def record_start(self, vm: RegisteredVm, now: float) -> None:
        """Add a VM that announced its start."""
        if vm.name == self.own.name:
            return
        self.vms_by_name[vm.name] = vm
        self.first_listed_by_vm.setdefault(vm.name, now)
        self.start_announced_by_vm[vm.name] = now
        self.stop_announced_by_vm.pop(vm.name, None)
        self.warm_up_ends_by_vm[vm.name] = now + WARM_UP_S
        if vm.data_center == self.own.data_center:
            self.record_seen(vm.name, now)

    def record_restart(self, name: str, now: float) -> None:
        """Record that a VM has just restarted, so it may not aggregate yet."""
        if name in self.vms_by_name:
            self.warm_up_ends_by_vm[name] = now + WARM_UP_S

    def record_stop(self, name: str, now: float) -> None:
        """Record that a VM announced its stop, so it is no longer counted in `size`."""
        if name in self.vms_by_name:
            self.stop_announced_by_vm[name] = now

    def may_not_aggregate(self, name: str, now: float) -> bool:
        """Return whether a VM may not aggregate: it has just started or is stopping."""
        if name in self.stop_announced_by_vm or (
            name == self.own.name and self.is_stopping
        ):
            return True
        return now < self.warm_up_ends_by_vm.get(name, -inf)

    def lost_vms(self, now: float) -> list[str]:
        """Return the VMs that were not seen for long and that this aggregator removes.

        They ended without removing their objects from the store, or they are
        partitioned and register again later. An aggregator removes the VMs of its own
        data centre. The first live data centre by name also removes those of the data
        centres that are not live.
        """
        own = self.own.data_center
        live_centers = [
            center
            for center, digest in self.center_digests_by_center.items()
            if now - digest.received_at < LIVENESS_TIMEOUT_S
        ]
        is_first_center = all(own < center for center in live_centers)
        found = []
        for vm in self.vms_by_name.values():
            if vm.data_center == own:
                seen_at = self.last_seen(vm.name)
            elif is_first_center and vm.data_center not in live_centers:
                digest = self.center_digests_by_center.get(vm.data_center)
                seen_at = digest.received_at if digest else -inf
            else:
                continue
            if now - max(self.first_listed_by_vm[vm.name], seen_at) > LOST_AFTER_S:
                found.append(vm.name)
        return found

    def last_seen(self, name: str) -> float:
        """Return when a VM of this data centre was last seen."""
        return self.last_seen_by_vm.get(name, -inf)

    def record_seen(self, name: str, now: float, live: tuple[str, ...] = ()) -> None:
        """Record that a VM of this data centre was seen.

        Parameters
        ----------
        live
            Other VMs that are live in its view.
        """
        for vm in (name, *live):
            self.last_seen_by_vm[vm] = now
            if now - self.stop_announced_by_vm.get(vm, now) >= STOP_DURATION_S:
                del self.stop_announced_by_vm[vm]
        self.last_received_by_vm[name] = now
        self.unresponsive.discard(name)
        self.awaited_since_by_vm.pop(name, None)

    def live_data_center_peers(self, now: float) -> tuple[str, ...]:
        """Return the other VMs of this data centre that are live and not stopping."""
        return tuple(
            vm.name
            for vm in self.data_center_peers()
            if self.is_live(vm.name, now) and vm.name not in self.stop_announced_by_vm
        )

    def is_live(self, name: str, now: float) -> bool:
        """Return whether a VM of this data centre was seen lately and is responsive."""
        return (
            now - self.last_seen(name) < LIVENESS_TIMEOUT_S
            and name not in self.unresponsive
        )

    def record_center_digest(
        self, center: str, aggregator: str, vm_count: int, received_at: float
    ) -> None:
        """Record a digest of another data centre unless it is older than the last."""
        known = self.center_digests_by_center.get(center)
        if known is None or known.received_at <= received_at:
            self.center_digests_by_center[center] = CenterDigest(
                aggregator, received_at, vm_count
            )

    def unreachable_count(self, now: float) -> int:
        """Return how many VMs, without stopping ones, this VM cannot reach."""
        own = self.own.data_center
        counts_by_center = Counter(
            vm.data_center
            for vm in self.vms_by_name.values()
            if vm.name not in self.stop_announced_by_vm
            and not self.has_just_announced_start(vm.name, now)
        )
        live = [
            name
            for name in self.live_data_center_peers(now)
            if not self.has_just_announced_start(name, now)
        ]
        missing = counts_by_center.pop(own, 0) - len(live)
        for center, count in counts_by_center.items():
            digest = self.center_digests_by_center.get(center)
            if digest is None and now - self.first_list_at < LIVENESS_TIMEOUT_S:
                # This VM has just started, so a missing digest is no sign of
                # a partition.
                continue
            is_live = (
                digest is not None and now - digest.received_at < LIVENESS_TIMEOUT_S
            )
            missing += max(0, count - digest.vm_count) if is_live else count
        return missing

    def has_just_announced_start(self, name: str, now: float) -> bool:
        """Return whether a VM announced its start within `LIVENESS_TIMEOUT_S`.

        It is then counted as reachable, because the digests of the other VMs name it
        only some tenths of a second later.
        """
        return now - self.start_announced_by_vm.get(name, -inf) < LIVENESS_TIMEOUT_S

    def reachable_count(self, now: float) -> int:
        """Return the number of VMs whose digests reach this VM, itself included."""
        return self.size - self.unreachable_count(now)

    def data_center_peers(self) -> list[RegisteredVm]:
        """Return the other VMs of this data centre."""
        center = self.own.data_center
        return [vm for vm in self.vms_by_name.values() if vm.data_center == center]

    def aggregator(self, now: float) -> str:
        """Return the name of the VM that aggregates for this data centre.

        It is the first live VM by name, without those that have just started or are
        stopping. One that times out is skipped until it sends a message again. The
        result is kept in `aggregator_term`.
        """
        own = self.own.name
        names = sorted([own, *(vm.name for vm in self.data_center_peers())])
        for name in names:
            if self.may_not_aggregate(name, now):
                continue
            if name == own:
                return self.set_aggregator(own, now)
            if self.is_live(name, now) and not self.has_timed_out(name, now):
                return self.set_aggregator(name, now)
        # All live VMs have just started or are stopping.
        for name in names:
            if name == own or self.may_be_live(name, now):
                return self.set_aggregator(name, now)
        return own

    def set_aggregator(self, name: str, now: float) -> str:
        """Record which VM is used as the aggregator and return its name."""
        if self.aggregator_term.name != name:
            self.aggregator_term = AggregatorTerm(name, now)
        return name

    def has_timed_out(self, name: str, now: float) -> bool:
        """Return whether a VM is the aggregator and has timed out; record it if so."""
        if self.aggregator_term.name != name:
            return False
        received_at = self.last_received_by_vm.get(name, -inf)
        has_sent = received_at >= self.aggregator_term.since
        idle_s = now - max(received_at, self.aggregator_term.since)
        if idle_s < (AGGREGATOR_TIMEOUT_S if has_sent else NEW_AGGREGATOR_TIMEOUT_S):
            return False
        self.unresponsive.add(name)
        return True

    def may_be_live(self, name: str, now: float) -> bool:
        """Return whether a VM is live, or its first message may still be on the way.

        The first call for a VM that is not live starts `UNSEEN_VM_TIMEOUT_S`, for which
        the result is True.
        """
        if now - self.last_seen(name) < LIVENESS_TIMEOUT_S:
            self.awaited_since_by_vm.pop(name, None)
            return True
        return (
            now - self.awaited_since_by_vm.setdefault(name, now) < UNSEEN_VM_TIMEOUT_S
        )

    def record_store_reachability(self, name: str, reachable: bool, now: float) -> None:
        """Record whether the store is reachable for a VM of this data centre."""
        if reachable:
            self.store_unreachable_by_vm.pop(name, None)
        else:
            self.store_unreachable_by_vm[name] = now

    def store_poller(self, now: float, reaches_store: bool) -> str:
        """Return the name of the VM that polls the store for this data centre.

        It is the first live VM by name that reaches the store. When the store refuses
        some VMs, the VMs therefore try it one after the other and not all at once.

        Parameters
        ----------
        reaches_store
            Whether this VM reaches the store.
        """
        own = self.own.name
        for name in sorted([own, *(vm.name for vm in self.data_center_peers())]):
            if name == own:
                can_poll = reaches_store
            elif name in self.stop_announced_by_vm:
                continue
            else:
                waited_s = now - self.store_unreachable_by_vm.get(name, -inf)
                can_poll = waited_s >= POLLER_RETRY_S and self.may_be_live(name, now)
            if can_poll:
                return name
        return own

    def is_aggregator(self, now: float) -> bool:
        """Return whether this VM aggregates for its data centre."""
        return self.aggregator(now) == self.own.name

    def contacts(self, now: float) -> dict[str, RegisteredVm]:
        """Return the VM of each other data centre that digests are sent to, by centre.

        It is the sender of the last digest of that data centre. While there is no
        recent one, the registered VMs are contacted in turn.
        """
        vms_by_center: dict[str, list[RegisteredVm]] = {}
        for vm in self.vms_by_name.values():
            if vm.data_center != self.own.data_center:
                vms_by_center.setdefault(vm.data_center, []).append(vm)
        found = {}
        for center, vms in vms_by_center.items():
            digest = self.center_digests_by_center.get(
                center, CenterDigest("", -inf, 0)
            )
            aggregator = self.vms_by_name.get(digest.aggregator)
            if now - digest.received_at < LIVENESS_TIMEOUT_S and aggregator is not None:
                found[center] = aggregator
                continue
            turn = self.contact_turns_by_center.get(center, 0)
            self.contact_turns_by_center[center] = turn + 1
            vms.sort()
            found[center] = vms[turn % len(vms)]
        return found
