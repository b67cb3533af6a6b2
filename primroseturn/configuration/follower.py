"""Follows the change log and the VM lists in the store on the watchers.

A daemon follows the store while it is a watcher, and while it hears of no store
contact from others. A watch that ends without events proves that nothing changed up
to its end; that is the contact time of the freshness stamp.
"""

from collections.abc import Iterator
from random import Random

from anyio import current_time, sleep
from msgspec import MsgspecError
from msgspec.json import decode

from primroseturn.configuration.events import (
    CHANGE_UNREADABLE,
    STORE_LOST,
    STORE_REACHED,
)
from primroseturn.configuration.listings import ListingRelay
from primroseturn.configuration.log import log_key, LOG_PREFIX
from primroseturn.configuration.models import Change
from primroseturn.configuration.relay import Relay
from primroseturn.configuration.replica import Replica
from primroseturn.configuration.storage import load_snapshot, SnapshotWriter
from primroseturn.failures import StoreUnavailable
from primroseturn.membership.freshness import Freshness, Stamp
from primroseturn.membership.listing import LIST_PREFIX
from primroseturn.membership.members import Members
from primroseturn.observation.events import EventLog
from primroseturn.store.backoff import backoff_delays
from primroseturn.store.client import StoreClient, StoredObject

# The log watch bounds the age of the stamps that a watcher makes; the rest of the
# isolation limit is left for their way through the fleet.
LOG_WATCH_SHARE = 0.25
LIST_WATCH_S = 30.0
# A daemon asks the store itself when its stamp is older than this share of the limit.
STAMP_SHARE = 0.5
IDLE_CHECK_S = 0.2
WATCHER_DELAY_LIMIT_S = 2.0
# All other daemons together ask an unreachable store about this often.
FALLBACK_CALLS_PER_S = 20.0
MEAN_DELAY_SHARE = 0.55


class Follower:
    """Reads the store on behalf of this VM's region.

    Attributes
    ----------
    contact_at
        Time of this VM's own newest contact with the change log in the store.
    """

    def __init__(
        self,
        store: StoreClient,
        replica: Replica,
        members: Members,
        freshness: Freshness,
        relay: Relay,
        listings: ListingRelay,
        writer: SnapshotWriter,
        events: EventLog,
        isolation_limit_s: float,
        random: Random | None = None,
    ) -> None:
        self.store = store
        self.replica = replica
        self.members = members
        self.freshness = freshness
        self.relay = relay
        self.listings = listings
        self.writer = writer
        self.events = events
        self.log_watch_s = LOG_WATCH_SHARE * isolation_limit_s
        self.stamp_limit_s = STAMP_SHARE * isolation_limit_s
        self.random = random or Random()
        self.started_at = current_time()
        self.contact_at = float("-inf")
        self.reached = False

    def must_follow(self) -> bool:
        """Return whether this VM has to ask the store now."""
        if self.members.is_watcher() or not self.relay.has_configuration:
            return True
        newest = self.freshness.newest
        since = max(newest.contact_at if newest else 0.0, self.started_at)
        return current_time() - since > self.stamp_limit_s

    def retry_delays(self) -> Iterator[float]:
        """Return the delays after failed calls."""
        limit_s = WATCHER_DELAY_LIMIT_S
        if not self.members.is_watcher():
            fleet = len(self.members.listing.daemons_by_id)
            mean_s = fleet / FALLBACK_CALLS_PER_S
            limit_s = max(limit_s, mean_s / MEAN_DELAY_SHARE)
        return backoff_delays(self.random, limit_s)

    async def follow_log(self) -> None:
        """Apply changes from the store for ever."""
        while True:
            delays = self.retry_delays()
            revision = None
            while self.must_follow():
                try:
                    revision = await self.follow_log_once(revision)
                    delays = self.retry_delays()
                    self.report(True)
                except StoreUnavailable:
                    self.report(False)
                    revision = None
                    await sleep(next(delays))
            await sleep(IDLE_CHECK_S * self.random.uniform(0.5, 1.5))

    async def follow_log_once(self, revision: int | None) -> int | None:
        """Read new changes, or watch for them, and return where to watch next."""
        sent_at = current_time()
        if revision is None:
            if not self.relay.has_configuration:
                await self.start_from_snapshot()
            revision, objects = await self.store.list_with_revision(
                LOG_PREFIX, log_key(self.replica.state.version)
            )
            await self.apply(objects)
            self.stamp(sent_at)
            return revision
        revision, events = await self.store.watch(
            LOG_PREFIX, revision, self.log_watch_s
        )
        newest = log_key(self.replica.state.version)
        if any(event.key > newest for event in events):
            return None
        waited = current_time() - sent_at >= self.log_watch_s
        self.stamp(sent_at + self.log_watch_s if waited and not events else sent_at)
        return revision

    async def start_from_snapshot(self) -> None:
        """Install the newest snapshot in the store, if it is newer."""
        state = await load_snapshot(self.store)
        if state is not None:
            self.replica.install(state)
            self.relay.apply_pending()

    async def apply(self, objects: list[StoredObject]) -> None:
        """Apply changes in order and relay those that were new."""
        applied = []
        for item in objects:
            change = self.read_change(item)
            if self.replica.apply(change).is_ok():
                applied.append(change)
        applied += self.relay.apply_pending()
        self.relay.has_configuration = True
        if applied:
            await self.relay.publish(applied)
        rank = self.members.watcher_rank()
        if rank is not None:
            await self.writer.write_if_due(self.replica.state, rank)

    def read_change(self, item: StoredObject) -> Change:
        """Return the change of a log object.

        An object that does not decode is an empty change, on every daemon alike, so
        that versions stay equal everywhere.
        """
        version = int(item.key.removeprefix(LOG_PREFIX))
        try:
            change = decode(item.value, type=Change)
            if change.version == version:
                return change
        except (MsgspecError, UnicodeDecodeError, RecursionError):
            pass
        self.events.emit(CHANGE_UNREADABLE, version=version)
        return Change(version, f"unreadable-{version}", "", "workspace", "", None)

    def stamp(self, contact_at: float) -> None:
        """Note that all changes accepted before a time are applied."""
        self.contact_at = max(self.contact_at, contact_at)
        version = self.replica.state.version
        self.freshness.record_stamp(Stamp(version, contact_at), version)

    async def follow_lists(self) -> None:
        """Take over the VM lists from the store for ever."""
        while True:
            delays = self.retry_delays()
            revision = None
            # While the log cannot be read, its follower alone asks the store.
            while self.reached and self.must_follow():
                try:
                    revision = await self.follow_lists_once(revision)
                    delays = self.retry_delays()
                except StoreUnavailable:
                    revision = None
                    await sleep(next(delays))
            await sleep(IDLE_CHECK_S * self.random.uniform(0.5, 1.5))

    async def follow_lists_once(self, revision: int | None) -> int | None:
        """Read the lists, or watch them, and return where to watch next."""
        if revision is None:
            revision, objects = await self.store.list_with_revision(LIST_PREFIX)
            for item in objects:
                await self.install_list(item)
            return revision
        wait_s = LIST_WATCH_S if self.members.is_watcher() else self.log_watch_s
        revision, events = await self.store.watch(LIST_PREFIX, revision, wait_s)
        for key in dict.fromkeys(event.key for event in events):
            item = await self.store.read(key)
            if item is not None:
                await self.install_list(item)
        return revision

    async def install_list(self, item: StoredObject) -> None:
        """Take over one list; a list that does not decode is left out."""
        name = item.key.removeprefix(LIST_PREFIX)
        try:
            await self.listings.install(name, item.version, item.value)
        except (MsgspecError, UnicodeDecodeError, RecursionError):
            self.events.emit(CHANGE_UNREADABLE, list=name, version=item.version)

    def report(self, reached: bool) -> None:
        """Emit an event when contact with the store is lost or regained."""
        if reached != self.reached:
            self.reached = reached
            self.events.emit(STORE_REACHED if reached else STORE_LOST)
