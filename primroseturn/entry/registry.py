"""Registers this VM in the store and learns of the others."""

from collections.abc import Callable
from contextlib import suppress
from math import inf
from typing import Any

from anyio import CancelScope, current_time, sleep
from expression import Error, Ok, Result
from msgspec import convert, to_builtins, ValidationError

from primroseturn.entry.events import VM_REGISTERED, VM_REMOVED, VM_UNREADABLE
from primroseturn.failures import Failure, StoreUnavailable, VersionConflict
from primroseturn.membership.fleet import EntryVm, Fleet
from primroseturn.observation.events import EventLog
from primroseturn.platform.objects import ObjectClient, StoredValue

# Kind of the objects by which VMs find each other.
VMS_KIND = "primroseturn-vms"
# Interval of lists in seconds: of the aggregator, of the other VMs, and while nobody
# else is known. A list may be seconds old, which costs a tenth of a call.
AGGREGATOR_LIST_INTERVAL_S = 5.0
MEMBER_LIST_INTERVAL_S = 11.0
START_LIST_INTERVAL_S = 0.4
# Pause in seconds after a failed call: before the others are known, and later.
RETRY_S = 0.5
LATER_RETRY_S = 2.0
# A list may be this many seconds old, so that it lacks what was written since.
LIST_AGE_S = 4.0


class VmInvalid(Failure):
    """An object names no usable VM."""

    code = "vm-invalid"


class VmRegistry:
    """Keeps the fleet's members up to date."""

    def __init__(
        self,
        store: ObjectClient,
        fleet: Fleet,
        events: EventLog,
        use_vms: Callable[[list[EntryVm]], None],
    ) -> None:
        self.store = store
        self.fleet = fleet
        self.events = events
        self.use_vms = use_vms
        # Monotonic time in seconds of the last registration.
        self.registered_at = inf
        self.leaves = False

    async def register(self, exists: bool) -> None:
        """Write this VM's object until the store has taken it.

        Parameters
        ----------
        exists
            Whether there is one of an earlier start, which is replaced, so that their
            number is bounded.
        """
        while True:
            try:
                own = self.fleet.own
                value = to_builtins(own._asdict())
                await self.store.put(VMS_KIND, own.name, value, exists)
            except StoreUnavailable:
                await sleep(RETRY_S)
            else:
                self.registered_at = current_time()
                self.events.emit(VM_REGISTERED, host=own.host, port=own.port)
                return

    async def list_vms(self, stale: bool) -> list[StoredValue]:
        """Return the objects of all VMs.

        Parameters
        ----------
        stale
            Whether a list that is seconds old will do.
        """
        while True:
            try:
                _, values = await self.store.list_values(VMS_KIND, stale)
            except StoreUnavailable:
                await sleep(LATER_RETRY_S if self.fleet.has_list else RETRY_S)
            else:
                return values

    async def follow(self) -> None:
        """Register this VM and list all of them again and again."""
        values = await self.list_vms(stale=True)
        known = [value.name for value in values]
        if known:
            self.use_vms(self.read_vms(values))
        if self.registered_at == inf:
            await self.register(self.fleet.own.name in known)
        # VMs that start at the same time register meanwhile. Of two, the later one
        # lists the earlier one and announces itself to it.
        await sleep(START_LIST_INTERVAL_S)
        stale = False
        while True:
            asked_at = current_time()
            values = await self.list_vms(stale)
            self.use_vms(self.read_vms(values))
            await self.remove_lost()
            if self.was_removed(values, asked_at - (LIST_AGE_S if stale else 0.0)):
                await self.register(False)
            stale = True
            await sleep(self.interval_s())

    def interval_s(self) -> float:
        """Return the time in seconds until the next list."""
        if self.fleet.size <= 1:
            return START_LIST_INTERVAL_S
        speaks = self.fleet.is_aggregator(current_time())
        return AGGREGATOR_LIST_INTERVAL_S if speaks else MEMBER_LIST_INTERVAL_S

    def was_removed(self, values: list[StoredValue], written_by: float) -> bool:
        """Return whether another VM took this one for gone, such as after a cut.

        Parameters
        ----------
        written_by
            Monotonic time in seconds whose objects the list has all.
        """
        if self.leaves or self.registered_at > written_by:
            return False
        return all(value.name != self.fleet.own.name for value in values)

    async def remove_lost(self) -> None:
        """Remove the objects of VMs that are gone for good."""
        now = current_time()
        if not self.fleet.is_aggregator(now):
            return
        for name in self.fleet.lost_vms(now):
            try:
                await self.store.delete(VMS_KIND, name)
            except (StoreUnavailable, VersionConflict):
                # The next round tries again.
                return
            self.events.emit(VM_REMOVED, removed=name)

    def read_vms(self, values: list[StoredValue]) -> list[EntryVm]:
        """Return the VMs of a list; objects that cannot be read are skipped."""
        found = []
        for value in values:
            decoded = read_vm(value.value)
            if decoded.is_error():
                self.events.emit(VM_UNREADABLE, reason=str(decoded.error))
            else:
                found.append(decoded.ok)
        return found

    async def unregister(self) -> None:
        """Remove this VM's object; failure leaves it to the next start."""
        self.leaves = True
        with CancelScope(shield=True), suppress(StoreUnavailable):
            # The client logs a failure; the object is replaced or removed later.
            await self.store.delete(VMS_KIND, self.fleet.own.name)


def read_vm(value: Any) -> Result[EntryVm, VmInvalid]:
    """Return the VM that an object holds."""
    try:
        vm = EntryVm(**convert(value, dict[str, str | int]))
        return Ok(convert(tuple(vm), EntryVm))
    except (ValidationError, TypeError) as error:
        return Error(VmInvalid(str(error)))
