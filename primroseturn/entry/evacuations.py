"""Follows the evacuations of data centres in the store.

They have their own revision in the view and their own task, so that a failure to read
them does not delay the list of targets, and a VM may have newer evacuations and an
older list than another VM, or the reverse.
"""

from collections.abc import Collection, Mapping
from math import inf

from anyio import current_time, Event, move_on_after, sleep

from primroseturn.clock import time_since_boot
from primroseturn.entry.confirmations import STORE_SOURCE
from primroseturn.entry.contact import StoreContact
from primroseturn.entry.events import (
    EVACUATION_KEPT,
    EVACUATION_SKIPPED,
    EVACUATIONS_CHANGED,
)
from primroseturn.entry.kind_following import KindFollower
from primroseturn.entry.metrics import EVACUATED, SKIPPED_EVACUATIONS
from primroseturn.entry.polling import (
    MAX_DOUBLED_PAUSE_S,
    MAX_RETRY_DOUBLINGS,
    PollingPause,
)
from primroseturn.entry.skipped import SkippedObjects
from primroseturn.entry.view import VmView
from primroseturn.observation.events import EventLog
from primroseturn.platform.listing import decode_evacuation
from primroseturn.platform.objects import ObjectClient
from primroseturn.platform.pages import StoredValue, StoreRevision, ValueChange
from primroseturn.platform.wire import EVACUATIONS_KIND

# Seconds after the begin of an era of the store in which the operator writes lost
# evacuations again. A target's own time is shorter, as targets write at intervals.
EVACUATION_RETURN_S = 10.0
# Seconds between two checks whether a kept evacuation is to be dropped while the store
# responds to no VM.
DROP_CHECK_INTERVAL_S = 0.2


class EvacuationFollower(KindFollower):
    """Keeps the evacuated data centres of the view up to date.

    Parameters
    ----------
    data_centers
        The data centres of the settings; evacuations of others are invalid.

    Attributes
    ----------
    listed
        The data centres whose evacuations the store holds at `revision`.
    skipped
        The invalid evacuations.
    ends_by_data_center
        Monotonic times in seconds until which evacuations are kept that the first list
        of an era of the store lacked.
    era_ends_at
        That time for the present era.
    kept
        Set when an evacuation was added to `ends_by_data_center`.
    """

    kind = EVACUATIONS_KIND

    def __init__(
        self,
        store: ObjectClient,
        view: VmView,
        events: EventLog,
        contact: StoreContact,
        polling_pause: PollingPause,
        data_centers: Collection[str],
    ) -> None:
        super().__init__(store, contact, polling_pause)
        self.view = view
        self.events = events
        self.data_centers = data_centers
        self.listed: set[str] = set()
        self.ends_by_data_center: dict[str, float] = {}
        self.era_ends_at = -inf
        self.kept = Event()
        self.skipped = SkippedObjects(events, EVACUATION_SKIPPED, SKIPPED_EVACUATIONS)

    async def follow_evacuations(self) -> None:
        """Follow the evacuations; logs name background tasks by this method."""
        await self.follow_forever()

    def retry_pause_s(self, failures: int) -> float:
        """Return the pause in seconds after the last of a number of failed calls.

        It doubles, since a store that fails these calls alone is no outage, in which
        all VMs would wait for its return.
        """
        pause_s = super().retry_pause_s(failures)
        doublings = min(failures - 1, MAX_RETRY_DOUBLINGS)
        return min(MAX_DOUBLED_PAUSE_S, pause_s * 2**doublings)

    def begin_era(self, now: float) -> None:
        """Let evacuations that the store's older copy lacks be kept for some time."""
        self.era_ends_at = now + EVACUATION_RETURN_S
        self.end_watch()

    def apply_list(self, values: list[StoredValue], revision: StoreRevision) -> None:
        """Put a list of all evacuations in force."""
        self.listed = set()
        for value in values:
            self.add_evacuation(value)
        self.put_in_force(self.listed, revision, STORE_SOURCE)
        self.applied_at = current_time()

    def apply_changes(
        self, changes: list[ValueChange], revision: StoreRevision
    ) -> None:
        """Put changes of evacuations in force, which may be none."""
        for change in changes:
            if change.deleted:
                self.listed.discard(change.stored.name)
                self.ends_by_data_center.pop(change.stored.name, None)
                self.skipped.forget(change.stored.name)
            else:
                self.add_evacuation(change.stored)
        if changes:
            self.put_in_force(self.listed, revision, STORE_SOURCE)
        self.applied_at = current_time()

    def add_evacuation(self, stored: StoredValue) -> None:
        """Add an evacuation; an invalid one is skipped."""
        decoded = decode_evacuation(stored.name, stored.value, self.data_centers)
        if decoded.is_ok():
            self.listed.add(decoded.ok)
            self.skipped.forget(stored.name)
        else:
            self.listed.discard(stored.name)
            self.skipped.record(stored, decoded.error)

    def put_in_force(
        self,
        data_centers: Collection[str],
        revision: StoreRevision,
        source: str,
        ends_by_data_center: Mapping[str, float] | None = None,
    ) -> None:
        """Put evacuations in force unless the view has newer ones.

        Those that the first list of an era lacks are kept for some time.

        Parameters
        ----------
        source
            Name of the VM that has read them, or `STORE_SOURCE`.
        ends_by_data_center
            The attribute of this name at that VM.
        """
        previous, known = self.view.evacuated, self.view.evacuations_revision
        if revision < known:
            return
        ends = self.ends_by_data_center
        for data_center, ends_at in (ends_by_data_center or {}).items():
            ends.setdefault(data_center, ends_at)
        if revision.era > known.era and current_time() < self.era_ends_at:
            for data_center in (previous or frozenset()) - set(data_centers):
                ends[data_center] = self.era_ends_at
                self.events.emit(EVACUATION_KEPT, data_center=data_center)
        for data_center in data_centers:
            ends.pop(data_center, None)
        self.kept.set()
        self.kept = Event()
        evacuated = frozenset(data_centers) | ends.keys()
        if not self.view.apply_evacuations(evacuated, revision):
            return
        if evacuated != (previous or frozenset()):
            self.events.emit(
                EVACUATIONS_CHANGED, data_centers=sorted(evacuated), source=source
            )
        for data_center in self.data_centers:
            EVACUATED.labels(data_center).set(data_center in evacuated)

    def adopt_kept(self, ends_by_data_center: Mapping[str, float], source: str) -> None:
        """Keep evacuations that another VM keeps, since the store's copy lacks them.

        Parameters
        ----------
        source
            Name of that VM.
        """
        known = self.view.evacuated or frozenset()
        for data_center, ends_at in ends_by_data_center.items():
            if data_center not in known:
                self.ends_by_data_center.setdefault(data_center, ends_at)
        if self.view.evacuated is not None:
            listed = known - self.ends_by_data_center.keys()
            self.put_in_force(listed, self.view.evacuations_revision, source)

    async def drop_forever(self) -> None:
        """Drop the kept evacuations that were not written again in time.

        While the store responds to no VM, none can be written.
        """
        while True:
            ends = self.ends_by_data_center
            wait_s = min(ends.values(), default=inf) - current_time()
            if wait_s > 0:
                with move_on_after(wait_s):
                    await self.kept.wait()
            elif (
                self.view.read_age_s(time_since_boot())
                >= self.contact.terms.heartbeat_s
            ):
                await sleep(DROP_CHECK_INTERVAL_S)
            else:
                now = current_time()
                due = {name for name, ends_at in ends.items() if ends_at <= now}
                for data_center in due:
                    del ends[data_center]
                known = self.view.evacuated or frozenset()
                revision = self.view.evacuations_revision
                self.put_in_force(known - due - ends.keys(), revision, STORE_SOURCE)
