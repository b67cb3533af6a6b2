"""Follows the list of targets in the store."""

from collections.abc import Collection, Iterable

from anyio import current_time

from primroseturn.entry.contact import StoreContact
from primroseturn.entry.eras import EraMemory
from primroseturn.entry.events import (
    ENTRY_SKIPPED,
    START_HELD_BACK,
    TARGET_LISTED,
    TARGET_UNLISTED,
)
from primroseturn.entry.kind_following import KindFollower
from primroseturn.entry.lapsed import LapsedEntries
from primroseturn.entry.metrics import SKIPPED_ENTRIES
from primroseturn.entry.polling import PollingPause
from primroseturn.entry.skipped import SkippedObjects
from primroseturn.entry.view import VmView
from primroseturn.observation.events import EventLog
from primroseturn.platform.listing import decode_target
from primroseturn.platform.objects import ObjectClient
from primroseturn.platform.pages import StoredValue, StoreRevision, ValueChange
from primroseturn.platform.wire import TARGETS_KIND
from primroseturn.routing.models import Target


class TargetFollower(KindFollower):
    """Keeps the targets of the view up to date.

    Parameters
    ----------
    data_centers
        The data centres of the settings. Entries of targets in others are invalid; with
        none, entries of all data centres are used.

    Attributes
    ----------
    lapsed
        The targets that are kept although their entries are missing, since those may
        have lapsed in an outage of the store.
    skipped
        The invalid entries.
    first_number
        Number of the revision of the first list of the store's present era.
    unchanged_ids
        Ids of the listed entries that have not changed since that list, so that they
        may be those of the store's older copy.
    memory
        The era whose begin the list remembers.
    held_back_ids
        Ids of unchanged entries that the VM whose memory this VM has got does not use.
    """

    kind = TARGETS_KIND

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
        self.lapsed = LapsedEntries(view, events, contact, self.drop_targets)
        self.skipped = SkippedObjects(events, ENTRY_SKIPPED, SKIPPED_ENTRIES)
        self.first_number = 0
        self.unchanged_ids: set[str] = set()
        self.memory = EraMemory()
        self.held_back_ids: set[str] = set()

    async def follow_targets(self) -> None:
        """Follow the list of targets; logs name background tasks by this method."""
        await self.follow_forever()

    def begin_era(self, era: int, now: float, is_recent: bool) -> None:
        """Let no target return to an earlier state in a new era of the store.

        Parameters
        ----------
        is_recent
            Whether the view was up to date a short time ago.
        """
        self.held_back_ids = set()
        self.memory.begin(era, now, is_recent and bool(self.view.targets_by_id))
        self.view.keep_leaving()
        self.lapsed.begin_era(now)
        self.end_watch()

    def apply_list(self, values: list[StoredValue], revision: StoreRevision) -> None:
        """Put a list of all entries in force."""
        is_first = revision.era > self.view.revision.era
        if is_first:
            self.first_number = revision.number
        self.unchanged_ids = set()
        listed: dict[str, Target] = {}
        for value in values:
            self.add_target(listed, value)
        now = current_time()
        for target_id, target in self.view.targets_by_id.items():
            if target_id not in listed:
                self.lapsed.keep_if_lapsed(listed, target, now, is_first)
        self.apply_targets(listed, revision)

    def apply_changes(
        self, changes: list[ValueChange], revision: StoreRevision
    ) -> None:
        """Put changes of entries in force, which may be none."""
        now = current_time()
        listed = dict(self.view.targets_by_id)
        for change in changes:
            self.apply_change(listed, change, now)
        self.apply_targets(listed, revision)

    def apply_change(
        self, listed: dict[str, Target], change: ValueChange, now: float
    ) -> None:
        """Apply one change of an entry to a list of targets."""
        name = change.stored.name
        if change.deleted:
            self.unchanged_ids.discard(name)
        if not change.deleted:
            self.add_target(listed, change.stored)
        elif name in listed:
            self.lapsed.keep_if_lapsed(listed, listed.pop(name), now)

    def add_target(self, listed: dict[str, Target], stored: StoredValue) -> None:
        """Add an entry to a list of targets; an invalid entry removes its target."""
        self.unchanged_ids.discard(stored.name)
        if stored.revision.era and stored.revision.number <= self.first_number:
            self.unchanged_ids.add(stored.name)
        decoded = decode_target(stored.name, stored.value, self.data_centers)
        if decoded.is_ok() and self.must_hold_back(decoded.ok):
            self.events.emit(START_HELD_BACK, target=stored.name)
            return
        self.lapsed.forget(stored.name)
        if decoded.is_ok():
            listed[stored.name] = decoded.ok
            self.skipped.forget(stored.name)
        else:
            listed.pop(stored.name, None)
            self.skipped.record(stored, decoded.error)

    def must_hold_back(self, target: Target) -> bool:
        """Return whether an entry is that of a start that has left.

        Such an entry is in the store's older copy, and is used once it has changed.
        """
        return target.id in self.unchanged_ids and (
            target.id in self.held_back_ids or self.view.has_left(target)
        )

    def apply_peer_targets(
        self,
        targets: Iterable[Target],
        revision: StoreRevision,
        lapses_end_by_id: dict[str, float],
        first_number: int = 0,
        unchanged_ids: Collection[str] = (),
    ) -> None:
        """Put a newer list of targets in force that another VM has read.

        A target whose entry is missing is not listed again if this VM has dropped it:
        the other VM may have been cut off while the target left.

        Parameters
        ----------
        lapses_end_by_id
            Monotonic times in seconds until which the other VM keeps targets whose
            entries are missing.
        first_number, unchanged_ids
            The attributes of these names at the other VM.
        """
        if revision < self.view.revision:
            return
        self.first_number, self.unchanged_ids = first_number, set(unchanged_ids)
        is_first = revision.era > self.view.revision.era
        known = self.view.targets_by_id
        listed = {
            target.id: target
            for target in targets
            if (not known or target.id in known or target.id not in lapses_end_by_id)
            and not self.must_hold_back(target)
        }
        kept = {
            target_id: ends_at
            for target_id, ends_at in lapses_end_by_id.items()
            if target_id in listed
        }
        own_count = len(self.lapsed.ends_by_id)
        if (revision, -len(kept)) <= (self.view.revision, -own_count):
            return
        self.lapsed.replace(kept)
        self.lapsed.keep_own(listed, is_first)
        self.apply_targets(listed, revision)

    def adopt_memory(
        self,
        targets: Iterable[Target],
        lapses_end_by_id: dict[str, float],
        unchanged_ids: Collection[str],
    ) -> None:
        """Adopt what another VM knew of targets before the present era of the store.

        This VM may have a newer list, in which nothing is known of targets that left or
        began to leave after the store was copied, or that the copy lacks.

        Parameters
        ----------
        targets
            The targets that the other VM uses.
        lapses_end_by_id
            Monotonic times in seconds until which the other VM keeps targets that its
            list, or that of its store poller, lacks.
        unchanged_ids
            The attribute of this name at the other VM.
        """
        peers_by_id = {target.id: target for target in targets}
        self.unchanged_ids &= set(unchanged_ids)
        self.held_back_ids = set(unchanged_ids) - peers_by_id.keys()
        for target in peers_by_id.values():
            if target.leaving:
                self.view.record_leaving(target)
        listed = dict(self.view.targets_by_id)
        for target_id in self.held_back_ids & listed.keys():
            if self.must_hold_back(listed[target_id]):
                del listed[target_id]
                self.events.emit(START_HELD_BACK, target=target_id)
        for target_id in lapses_end_by_id.keys() & peers_by_id.keys() - listed.keys():
            self.lapsed.keep_until(target_id, lapses_end_by_id[target_id])
            listed[target_id] = peers_by_id[target_id]
        self.apply_targets(listed, self.view.revision)
        self.memory.era = self.view.revision.era

    def drop_targets(self, target_ids: Collection[str]) -> None:
        """Drop targets from the view, at an unchanged revision."""
        listed = {
            target_id: target
            for target_id, target in self.view.targets_by_id.items()
            if target_id not in target_ids
        }
        self.apply_targets(listed, self.view.revision)

    def apply_targets(self, listed: dict[str, Target], revision: StoreRevision) -> None:
        """Put a list of targets in force and log the differences."""
        known = self.view.targets_by_id
        for target_id, target in listed.items():
            if known.get(target_id) != target:
                self.events.emit(
                    TARGET_LISTED,
                    target=target_id,
                    service=target.service,
                    leaving=target.leaving,
                )
        for target_id in known.keys() - listed.keys():
            self.events.emit(TARGET_UNLISTED, target=target_id)
        self.view.apply_targets(listed, revision)
        self.applied_at = current_time()
