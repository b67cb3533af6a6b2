"""Registers this VM in the store and follows the list of all VMs."""

from collections.abc import Callable
from contextlib import suppress
from math import inf
from random import uniform
from typing import Any

from anyio import CancelScope, current_time, Event, sleep
from expression import Error, Ok, Result
from msgspec import convert, to_builtins, ValidationError

from primroseturn.entry.eras import EraTrust
from primroseturn.entry.events import VM_REGISTERED, VM_REMOVED, VM_UNREADABLE
from primroseturn.failures import Failure, StoreUnavailable, VersionConflict
from primroseturn.membership.fleet import Fleet, RegisteredVm
from primroseturn.observation.events import EventLog
from primroseturn.platform.objects import ObjectClient
from primroseturn.platform.pages import StoredValue

# Kind of the store objects by which VMs find each other.
VMS_KIND = "primroseturn-vms"
# Seconds between two reads of the list of VMs: by the aggregator, by the other VMs, and
# while no other VM is known. A read may return a list that is some seconds old, since
# the store counts such a read as a tenth of a call.
AGGREGATOR_LIST_INTERVAL_S = 5.0
MEMBER_LIST_INTERVAL_S = 11.0
START_LIST_INTERVAL_S = 0.4
# Pause in seconds after a failed call: before the other VMs are known, and later.
START_RETRY_S = 0.5
RETRY_S = 2.0
# Largest age in seconds of such a list, which lacks objects that were written since.
MAX_LIST_AGE_S = 4.0

# Longest random pause in seconds before a VM writes its object again in a new era of
# the store, so that not all VMs write at once.
MAX_WRITE_PAUSE_S = 2.0
# Seconds after the begin of an era for which VMs that lists lack are kept: the pause, a
# failed write and the age of a list.
VMS_RETURN_S = 10.0


class VmInvalid(Failure):
    """A store object does not describe a valid VM."""

    code = "vm-invalid"


class VmRegistry:
    """Keeps this VM registered and the members of the fleet up to date.

    Parameters
    ----------
    apply_vms
        Called with each list of the registered VMs.
    trust
        Whether the present era of the store is settled.

    Attributes
    ----------
    registered_at
        Monotonic time in seconds of this VM's last registration, infinity before it.
    is_leaving
        Whether this VM has begun to remove its object.
    empty_era
        Era of the store in which it held no VM before this one registered; None if it
        held one, or before that is known.
    counted
        Set when that is known.
    kept_until
        Monotonic time in seconds until which VMs that lists lack are kept.
    era_begun
        Set when an era of the store has begun.
    """

    def __init__(
        self,
        store: ObjectClient,
        fleet: Fleet,
        events: EventLog,
        apply_vms: Callable[[list[RegisteredVm]], None],
        trust: EraTrust,
    ) -> None:
        self.store = store
        self.trust = trust
        self.empty_era: int | None = None
        self.counted = Event()
        self.fleet = fleet
        self.events = events
        self.apply_vms = apply_vms
        self.registered_at = inf
        self.is_leaving = False
        self.kept_until = -inf
        self.era_begun = Event()
        store.era_listeners.append(self.begin_era)

    def begin_era(self, era: int) -> None:
        """Let this VM write its object again, which the store may have lost."""
        if self.registered_at < inf:
            self.kept_until = current_time() + VMS_RETURN_S
            self.era_begun.set()

    async def write_again_forever(self) -> None:
        """Write this VM's object again after each begin of an era of the store."""
        while True:
            await self.era_begun.wait()
            self.era_begun = Event()
            await sleep(uniform(0.0, MAX_WRITE_PAUSE_S))
            if not self.is_leaving:
                await self.register(True)

    async def register(self, exists: bool) -> None:
        """Write this VM's object and retry until the store has accepted it.

        Parameters
        ----------
        exists
            Whether the store holds an object of an earlier incarnation of this VM. It
            is replaced, so that the number of objects is bounded.
        """
        while True:
            try:
                own = self.fleet.own
                value = to_builtins(own._asdict())
                await self.store.put(VMS_KIND, own.name, value, exists)
            except StoreUnavailable:
                await sleep(START_RETRY_S)
                if self.is_leaving:
                    return
            else:
                self.registered_at = current_time()
                self.events.emit(VM_REGISTERED, host=own.host, port=own.port)
                return

    async def list_vms(self, stale: bool) -> list[StoredValue]:
        """Return the objects of all VMs.

        Parameters
        ----------
        stale
            Whether the list may be seconds old.
        """
        while True:
            try:
                _, values = await self.store.list_values(VMS_KIND, stale)
            except StoreUnavailable:
                await sleep(RETRY_S if self.fleet.has_list else START_RETRY_S)
            else:
                return values

    async def follow(self) -> None:
        """Register this VM, then list all VMs at intervals."""
        values = await self.list_vms(stale=True)
        names = [value.name for value in values]
        if names:
            self.apply_vms(self.read_vms(values))
        if not self.counted.is_set():
            await self.count_first(values)
        if self.registered_at == inf:
            await self.register(self.fleet.own.name in names)
        # VMs that start at the same time register during this pause. Of two such VMs,
        # the one that registers later lists the other and announces itself to it.
        await sleep(START_LIST_INTERVAL_S)
        stale = False
        while True:
            requested_at = current_time()
            values = await self.list_vms(stale)
            self.apply_vms(self.read_vms(values))
            await self.remove_lost_vms()
            if self.was_removed(
                values, requested_at - (MAX_LIST_AGE_S if stale else 0.0)
            ):
                await self.register(False)
            stale = True
            await sleep(self.interval_s())

    async def count_first(self, values: list[StoredValue]) -> None:
        """Count the VMs that the store holds before this one registers.

        Parameters
        ----------
        values
            A list that may be seconds old.
        """
        if not values and not self.trust.is_trusted:
            values = await self.list_vms(stale=False)
        if not values:
            self.empty_era = self.trust.era
        self.counted.set()

    async def was_empty_in(self, era: int) -> bool:
        """Return whether the store held no VM in an era before this one registered."""
        await self.counted.wait()
        return self.empty_era == era

    def interval_s(self) -> float:
        """Return the time in seconds until the next list."""
        if self.fleet.size <= 1:
            return START_LIST_INTERVAL_S
        aggregates = self.fleet.is_aggregator(current_time())
        return AGGREGATOR_LIST_INTERVAL_S if aggregates else MEMBER_LIST_INTERVAL_S

    def was_removed(self, values: list[StoredValue], complete_until: float) -> bool:
        """Return whether another VM has removed this VM's object.

        That happens when this VM was unreachable for long, such as in a partition.

        Parameters
        ----------
        complete_until
            Monotonic time in seconds. The list holds all objects written before it.
        """
        if self.is_leaving or self.registered_at > complete_until:
            return False
        return all(value.name != self.fleet.own.name for value in values)

    async def remove_lost_vms(self) -> None:
        """Remove the objects of lost VMs, if this VM is the aggregator."""
        now = current_time()
        if not self.fleet.is_aggregator(now):
            return
        for name in self.fleet.lost_vms(now):
            try:
                await self.store.delete(VMS_KIND, name)
            except (StoreUnavailable, VersionConflict):
                # Retried after the next list.
                return
            self.events.emit(VM_REMOVED, removed=name)

    def read_vms(self, values: list[StoredValue]) -> list[RegisteredVm]:
        """Return the VMs of a list; invalid objects are logged and skipped."""
        vms = []
        for value in values:
            decoded = read_vm(value.value)
            if decoded.is_error():
                self.events.emit(VM_UNREADABLE, reason=str(decoded.error))
            else:
                vms.append(decoded.ok)
        if current_time() < self.kept_until:
            listed = {vm.name for vm in vms}
            known = self.fleet.vms_by_name.values()
            vms.extend(vm for vm in known if vm.name not in listed)
        return vms

    async def unregister(self) -> None:
        """Remove this VM's object, with a single call that may fail.

        While the era of the store is not settled, the object shows VMs that start later
        that this is not the first start of the system.
        """
        self.is_leaving = True
        if not self.trust.is_settled:
            return
        with CancelScope(shield=True), suppress(StoreUnavailable):
            # The store client logs a failure. The object is then replaced by the next
            # start of this VM or removed by another VM.
            await self.store.delete(VMS_KIND, self.fleet.own.name)


def read_vm(value: Any) -> Result[RegisteredVm, VmInvalid]:
    """Return the VM that a store object describes."""
    try:
        vm = RegisteredVm(**convert(value, dict[str, str | int]))
        return Ok(convert(tuple(vm), RegisteredVm))
    except (ValidationError, TypeError, ValueError, RecursionError) as error:
        return Error(VmInvalid(str(error)))
