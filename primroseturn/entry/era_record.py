"""Records in the store which of its eras is settled, for VMs that start later.

The record is written in the era that it names, so no older copy of the store holds it
for a later one. Where all VMs end, it is all that remains of what they knew.
"""

from random import uniform

from anyio import move_on_after, sleep
from expression import Error, Ok, Result
from msgspec import convert, Struct, to_builtins, ValidationError

from primroseturn.entry.eras import EraTrust, Evidence
from primroseturn.entry.events import ERA_RECORD_UNREADABLE
from primroseturn.entry.registry import VmRegistry
from primroseturn.failures import Failure, StoreUnavailable, VersionConflict
from primroseturn.observation.events import EventLog
from primroseturn.platform.objects import ObjectClient
from primroseturn.platform.pages import StoredValue

# Kind and name of the store object that holds the record.
ERAS_KIND, SETTLED_NAME = "primroseturn-eras", "settled"
# Pause in seconds after a failed call, and between two readings of the record while the
# era is not trusted.
RETRY_S, READ_INTERVAL_S = 0.5, 2.0
# Longest random pause in seconds before a VM writes the record. The VMs that come later
# find it written.
MAX_WRITE_PAUSE_S = 2.0


class EraRecordInvalid(Failure):
    """The store object does not name an era."""

    code = "era-record-invalid"


class SettledEra(Struct, frozen=True):
    """The record of the newest era that was settled."""

    era: int


class EraRecord:
    """Reads the record while the present era is not trusted, and keeps it up to date.

    Parameters
    ----------
    is_first_start
        Whether the settings state that the whole system starts for the first time.

    Attributes
    ----------
    recorded_era
        The newest era of which the store is known to hold the record.
    """

    def __init__(
        self,
        store: ObjectClient,
        trust: EraTrust,
        registry: VmRegistry,
        events: EventLog,
        is_first_start: bool,
    ) -> None:
        self.store = store
        self.trust = trust
        self.registry = registry
        self.events = events
        self.is_first_start = is_first_start
        self.recorded_era = 0

    async def follow_eras(self) -> None:
        """Read or write the record whenever the present era requires it."""
        while True:
            changed = self.trust.changed
            wait_s = None
            try:
                if not self.trust.is_trusted:
                    await self.read_evidence()
                    wait_s = READ_INTERVAL_S
                elif self.trust.is_settled and self.recorded_era < self.trust.era:
                    # A later era that begins meanwhile is not settled.
                    settled_era = self.trust.settled_era
                    await sleep(uniform(0.0, MAX_WRITE_PAUSE_S))
                    await self.write(settled_era)
                    wait_s = 0.0
            except (StoreUnavailable, VersionConflict):
                wait_s = RETRY_S
            with move_on_after(float("inf") if wait_s is None else wait_s):
                await changed.wait()

    async def read_evidence(self) -> None:
        """Settle the present era if the store holds evidence that it is settled."""
        values = await self.list_records()
        era = self.trust.era
        if any(self.era_of(value) == era for value in values):
            self.recorded_era = era
            self.trust.settle(era, Evidence.RECORD)
            return
        is_new = not values and self.is_first_start
        if is_new and await self.registry.was_empty_in(era):
            self.trust.settle(era, Evidence.FIRST_START)

    async def list_records(self) -> list[StoredValue]:
        """Return the record, if there is one; it may be some seconds old."""
        # A list may be stale, which a reading of one object may not.
        _, values = await self.store.list_values(ERAS_KIND, stale=True)
        return [value for value in values if value.name == SETTLED_NAME]

    async def write(self, era: int) -> None:
        """Write the record unless the store holds it for this era or a later one."""
        stored = await self.store.read(ERAS_KIND, SETTLED_NAME)
        value = to_builtins(SettledEra(era))
        if stored is None:
            await self.store.create(ERAS_KIND, SETTLED_NAME, value)
        elif self.era_of(stored) < era:
            # Of two VMs that write at the same time, the later one gets a conflict.
            await self.store.replace(ERAS_KIND, SETTLED_NAME, value, stored.revision)
        self.recorded_era = era

    def era_of(self, stored: StoredValue) -> int:
        """Return the era that a record names; an invalid one is logged and names 0."""
        decoded = read_record(stored)
        if decoded.is_error():
            self.events.emit(ERA_RECORD_UNREADABLE, reason=str(decoded.error))
            return 0
        return decoded.ok.era


def read_record(stored: StoredValue) -> Result[SettledEra, EraRecordInvalid]:
    """Decode a record."""
    try:
        return Ok(convert(stored.value, SettledEra))
    except (ValidationError, TypeError, ValueError, RecursionError) as error:
        return Error(EraRecordInvalid(str(error)))
