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
# Interval of lists in seconds, and while nobody else is known. A list may be seconds
# old, which costs a tenth of a call.
LIST_INTERVAL_S = 5.0
FIRST_INTERVAL_S = 0.8
RETRY_S = 0.5
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

    async def register(self) -> None:
        """Write this VM's object until the store has taken it."""
        while True:
            try:
                # A restarted VM replaces its object, so that their number is bounded.
                own = self.fleet.own
                await self.store.put(VMS_KIND, own.name, to_builtins(own._asdict()))
            except StoreUnavailable:
                await sleep(RETRY_S)
            else:
                self.registered_at = current_time()
                self.events.emit(VM_REGISTERED, host=own.host, port=own.port)
                return

    async def follow(self) -> None:
        """List the registered VMs again and again."""
        while True:
            try:
                _, values = await self.store.list_values(VMS_KIND, stale=True)
            except StoreUnavailable:
                await sleep(RETRY_S)
                continue
            self.use_vms(self.read_vms(values))
            await self.remove_lost()
            if self.was_removed(values):
                await self.register()
            known = self.fleet.size > 1
            await sleep(LIST_INTERVAL_S if known else FIRST_INTERVAL_S)

    def was_removed(self, values: list[StoredValue]) -> bool:
        """Return whether another VM took this one for gone, such as after a cut."""
        if current_time() - self.registered_at < LIST_AGE_S:
            return False
        return all(value.name != self.fleet.own.name for value in values)

    async def remove_lost(self) -> None:
        """Remove the objects of VMs that are gone for good."""
        now = current_time()
        if not self.fleet.is_speaker(now):
            return
        for name in self.fleet.lost(now):
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
        with CancelScope(shield=True), suppress(StoreUnavailable):
            # The client logs a failure; the object is replaced or removed later.
            await self.store.delete(VMS_KIND, self.fleet.own.name)


def read_vm(value: Any) -> Result[EntryVm, VmInvalid]:
    """Return the VM that an object holds."""
    try:
        return Ok(EntryVm(**convert(value, dict[str, str | int])))
    except (ValidationError, TypeError) as error:
        return Error(VmInvalid(str(error)))
