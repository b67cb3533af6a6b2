"""The entry VMs of the fleet, which of them are live, and who aggregates digests.

The VMs of a data centre send their digests to its aggregator, which is the first live
VM by name. The aggregator is not a leader: two VMs that both act as the aggregator only
send more messages, and nothing depends on there being exactly one.
"""

from collections import Counter
from math import inf
from typing import Annotated, NamedTuple

from msgspec import Meta

from primroseturn.settings.models import IpAddress, Name

# A VM counts as live this many seconds after it was last heard.
LIVENESS_TIMEOUT_S = 1.2
# Seconds without a message after which the aggregator is replaced. It sends a digest at
# least each 0.25 s, and a VM treats itself as cut off after 1.2 s.
AGGREGATOR_TIMEOUT_S = 0.6
# A VM that has not been heard as the aggregator yet has this many seconds.
NEW_AGGREGATOR_TIMEOUT_S = 0.3
# The same while no aggregator is known, after a start.
UNSEEN_VM_TIMEOUT_S = 0.8
# A VM that has just started speaks only after this many seconds, when it has heard the
# others: what it says of the fleet is what all VMs of its data centre go by.
WARM_UP_S = 2.0
# A VM that has just started waits this many seconds for the others before it counts as
# ready; they send digests each tenth of a second.
FIRST_DIGESTS_WAIT_S = 0.6
# A VM that announced its stop has ended after this many seconds, so that one that is
# heard then has started anew.
STOP_DURATION_S = 3.5
# After this many seconds lists no longer show its object. A VM that is listed then has
# started anew, and its notices were lost.
STOPPED_VM_LISTED_S = 12.0
# A VM that announced its start may be missing in lists for this many seconds.
START_UNLISTED_S = 6.0
# A VM that cannot reach the store, or did not answer, is not asked for what the store
# says for this many seconds.
STORE_POLLER_RETRY_S = 3.0
# A VM that was silent for this many seconds is taken to be gone for good. Its part of
# the rates returns to the others. If it was only cut off, it registers itself again.
LOST_AFTER_S = 20.0
# VMs that are assumed before the first list; the users have 36 to 40.
ASSUMED_FLEET_SIZE = 40
# Messages of VMs that left are still used: they may arrive late, and the list lacks VMs
# that were cut off until they register again. Their number bounds the memory.
FORMER_VMS_LIMIT = 1_000


class EntryVm(NamedTuple):
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
    heard_at
        Monotonic time in seconds.
    vms
        VMs that its aggregator hears, with itself.
    """

    aggregator: str
    received_at: float
    vm_count: int


class AggregatorTerm(NamedTuple):
    """The VM that is taken for the aggregator, and since when.

    Attributes
    ----------
    since
        Monotonic time in seconds.
    """

    name: str
    since: float


class Fleet:
    """The registered VMs and when each was heard.

    Attributes
    ----------
    own
        This VM.
    vms_by_name
        All registered VMs but this one.
    former_by_name
        VMs that were registered before.
    last_seen_by_vm
        Monotonic time in seconds at which each VM of this data centre was heard, by
        this VM or its aggregator.
    last_received_by_vm
        The same for what came from the VM itself.
    silent
        VMs that were silent as aggregators and have not been heard since.
    warm_up_ends_by_vm
        Until when VMs that have just started don't speak.
    stop_announced_by_vm
        When VMs announced their stop. They serve on for some seconds, but count no
        longer and speak for nobody.
    start_announced_by_vm
        When VMs announced their start.
    stopping
        Whether this VM stops.
    listed
        Whether the registered VMs are known.
    first_listed_by_vm
        When each VM was first seen in the list.
    awaited_since_by_vm
        Since when VMs that are not heard have been taken for the aggregator.
    store_unreachable_by_vm
        When VMs of this data centre last showed that the store is out of their reach.
    center_digests_by_center
        What was last heard of each other data centre.
    """

    def __init__(self, own: EntryVm) -> None:
        self.own = own
        self.vms_by_name: dict[str, EntryVm] = {}
        self.former_by_name: dict[str, EntryVm] = {}
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
        """Return the number of VMs, with this one; a usual one while it is unknown."""
        return len(self.vms_by_name) + 1 if self.has_list else ASSUMED_FLEET_SIZE

    @property
    def size(self) -> int:
        """Return the number of VMs that don't stop, with this one."""
        return self.registered_count - len(self.stop_announced_by_vm)

    def apply_list(self, vms: list[EntryVm], now: float) -> set[str]:
        """Take over the registered VMs and return the names of those that left."""
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
        """Drop what is known of a VM that left."""
        for known in (
            self.last_seen_by_vm,
            self.last_received_by_vm,
            self.awaited_since_by_vm,
            self.store_unreachable_by_vm,
            self.first_listed_by_vm,
            self.warm_up_ends_by_vm,
            self.stop_announced_by_vm,
        ):
            known.pop(name, None)
        self.unresponsive.discard(name)

    def find(self, name: str) -> EntryVm | None:
        """Return another VM that is registered or was."""
        return self.vms_by_name.get(name) or self.former_by_name.get(name)

    def is_awaiting_first_digests(self, now: float) -> bool:
        """Return whether this VM is about to hear the others for the first time."""
        return now - self.first_list_at < FIRST_DIGESTS_WAIT_S

    def is_starting(self, now: float) -> bool:
        """Return whether other VMs may not know of this one's start yet."""
        return not self.is_stopping and now - self.first_list_at < WARM_UP_S

    def record_start(self, vm: EntryVm, now: float) -> None:
        """Take in a VM that announced its start."""
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
        """Note that a VM has just started, so that it doesn't speak yet."""
        if name in self.vms_by_name:
            self.warm_up_ends_by_vm[name] = now + WARM_UP_S

    def record_stop(self, name: str, now: float) -> None:
        """Count a VM no longer that announced its stop."""
        if name in self.vms_by_name:
            self.stop_announced_by_vm[name] = now

    def is_ineligible(self, name: str, now: float) -> bool:
        """Return whether a VM doesn't speak, since it has just started or stops."""
        if name in self.stop_announced_by_vm or (
            name == self.own.name and self.is_stopping
        ):
            return True
        return now < self.warm_up_ends_by_vm.get(name, -inf)

    def lost_vms(self, now: float) -> list[str]:
        """Return the VMs that have been silent for long and concern this aggregator.

        Their objects are left over from VMs that did not stop by themselves. The first
        by name of the data centres that are heard cares for those of silent ones.
        """
        own = self.own.data_center
        heard = [
            center
            for center, digest in self.center_digests_by_center.items()
            if now - digest.received_at < LIVENESS_TIMEOUT_S
        ]
        cares = all(own < center for center in heard)
        found = []
        for vm in self.vms_by_name.values():
            if vm.data_center == own:
                heard_at = self.last_seen(vm.name)
            elif cares and vm.data_center not in heard:
                digest = self.center_digests_by_center.get(vm.data_center)
                heard_at = digest.received_at if digest else -inf
            else:
                continue
            if now - max(self.first_listed_by_vm[vm.name], heard_at) > LOST_AFTER_S:
                found.append(vm.name)
        return found

    def last_seen(self, name: str) -> float:
        """Return when a VM of this data centre was last heard."""
        return self.last_seen_by_vm.get(name, -inf)

    def record_seen(self, name: str, now: float, live: tuple[str, ...] = ()) -> None:
        """Note that a VM of this data centre was heard.

        Parameters
        ----------
        live
            Other VMs that it hears.
        """
        for vm in (name, *live):
            self.last_seen_by_vm[vm] = now
            if now - self.stop_announced_by_vm.get(vm, now) >= STOP_DURATION_S:
                del self.stop_announced_by_vm[vm]
        self.last_received_by_vm[name] = now
        self.unresponsive.discard(name)
        self.awaited_since_by_vm.pop(name, None)

    def live_neighbours(self, now: float) -> tuple[str, ...]:
        """Return the other VMs of this data centre that are heard."""
        return tuple(
            vm.name
            for vm in self.neighbours()
            if self.is_live(vm.name, now) and vm.name not in self.stop_announced_by_vm
        )

    def is_live(self, name: str, now: float) -> bool:
        """Return whether a VM of this data centre was heard and did not fall silent."""
        return (
            now - self.last_seen(name) < LIVENESS_TIMEOUT_S
            and name not in self.unresponsive
        )

    def record_center_digest(
        self, center: str, aggregator: str, vm_count: int, received_at: float
    ) -> None:
        """Note that a VM spoke for another data centre, in which it hears some VMs."""
        known = self.center_digests_by_center.get(center)
        if known is None or known.received_at <= received_at:
            self.center_digests_by_center[center] = CenterDigest(
                aggregator, received_at, vm_count
            )

    def missing_count(self, now: float) -> int:
        """Return how many VMs that don't stop are out of this aggregator's reach."""
        own = self.own.data_center
        counts_by_center = Counter(
            vm.data_center
            for vm in self.vms_by_name.values()
            if vm.name not in self.stop_announced_by_vm
            and not self.has_just_announced_start(vm.name, now)
        )
        heard = [
            name
            for name in self.live_neighbours(now)
            if not self.has_just_announced_start(name, now)
        ]
        missing = counts_by_center.pop(own, 0) - len(heard)
        for center, count in counts_by_center.items():
            digest = self.center_digests_by_center.get(center)
            if digest is None and now - self.first_list_at < LIVENESS_TIMEOUT_S:
                # This VM has just started; nothing shows that it is cut off.
                continue
            known = digest is not None and now - digest.received_at < LIVENESS_TIMEOUT_S
            missing += max(0, count - digest.vm_count) if known else count
        return missing

    def has_just_announced_start(self, name: str, now: float) -> bool:
        """Return whether a VM has announced its start so lately that it is in reach.

        The digests of the others name it only some tenths of a second later.
        """
        return now - self.start_announced_by_vm.get(name, -inf) < LIVENESS_TIMEOUT_S

    def reachable_count(self, now: float) -> int:
        """Return how many VMs' digests reach this aggregator, with itself."""
        return self.size - self.missing_count(now)

    def neighbours(self) -> list[EntryVm]:
        """Return the other VMs of this data centre."""
        center = self.own.data_center
        return [vm for vm in self.vms_by_name.values() if vm.data_center == center]

    def aggregator(self, now: float) -> str:
        """Return the name of the VM that speaks for this data centre.

        It is the first by name of those that are heard, without those that have just
        started or stop. One that stays silent is passed over until it is heard again.
        """
        own = self.own.name
        names = sorted([own, *(vm.name for vm in self.neighbours())])
        for name in names:
            if self.is_ineligible(name, now):
                continue
            if name == own:
                return self.set_aggregator(own, now)
            if self.is_live(name, now) and not self.has_timed_out(name, now):
                return self.set_aggregator(name, now)
        # All of those that are heard have just started or stop.
        for name in names:
            if name == own or self.may_be_live(name, now):
                return self.set_aggregator(name, now)
        return own

    def set_aggregator(self, name: str, now: float) -> str:
        """Note who is taken for the aggregator and return its name."""
        if self.aggregator_term.name != name:
            self.aggregator_term = AggregatorTerm(name, now)
        return name

    def has_timed_out(self, name: str, now: float) -> bool:
        """Return whether a VM that is taken for the aggregator is not heard in time."""
        if self.aggregator_term.name != name:
            return False
        spoke_at = self.last_received_by_vm.get(name, -inf)
        known = spoke_at >= self.aggregator_term.since
        silent_s = now - max(spoke_at, self.aggregator_term.since)
        if silent_s < (AGGREGATOR_TIMEOUT_S if known else NEW_AGGREGATOR_TIMEOUT_S):
            return False
        self.unresponsive.add(name)
        return True

    def may_be_live(self, name: str, now: float) -> bool:
        """Return whether a VM is heard, or has not had the time to be."""
        if now - self.last_seen(name) < LIVENESS_TIMEOUT_S:
            self.awaited_since_by_vm.pop(name, None)
            return True
        return (
            now - self.awaited_since_by_vm.setdefault(name, now) < UNSEEN_VM_TIMEOUT_S
        )

    def record_store_reachability(self, name: str, reached: bool, now: float) -> None:
        """Note whether a VM of this data centre reaches the store."""
        if reached:
            self.store_unreachable_by_vm.pop(name, None)
        else:
            self.store_unreachable_by_vm[name] = now

    def store_poller(self, now: float, reaches_store: bool) -> str:
        """Return the VM that asks the store for this data centre.

        It is the first by name that is heard and reaches the store, so that one after
        the other tries it when it turns some VMs away, and not all at once.

        Parameters
        ----------
        reaches_store
            Whether the store answers this VM.
        """
        own = self.own.name
        for name in sorted([own, *(vm.name for vm in self.neighbours())]):
            if name == own:
                usable = reaches_store
            elif name in self.stop_announced_by_vm:
                continue
            else:
                storeless_s = now - self.store_unreachable_by_vm.get(name, -inf)
                usable = storeless_s >= STORE_POLLER_RETRY_S and self.may_be_live(
                    name, now
                )
            if usable:
                return name
        return own

    def is_aggregator(self, now: float) -> bool:
        """Return whether this VM speaks for its data centre."""
        return self.aggregator(now) == self.own.name

    def contacts(self, now: float) -> dict[str, EntryVm]:
        """Return the VM to talk to in each other data centre.

        It is the one that spoke last for it. While none is heard, the registered ones
        take turns.
        """
        vms_by_center: dict[str, list[EntryVm]] = {}
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
