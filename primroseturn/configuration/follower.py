"""Reads the change log and the VM lists from the store.

A daemon reads the store while it is a watcher of its region, while it has no
configuration, and while no peer reports a recent contact with the store. A watch that
runs for its full duration without events proves that nothing changed up to its end;
that end is then the contact time of the freshness stamp. After any other call, the
contact time is the time at which the call was sent.
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

# Duration of a watch of the log, as a fraction of the isolation limit. It bounds the
# age of the stamps of a watcher; the rest of the limit is left for their way through
# the fleet.
LOG_WATCH_FRACTION = 0.25
LIST_WATCH_S = 30.0
# Age of the newest stamp after which a daemon reads the store itself, as a fraction of
# the isolation limit.
MAX_STAMP_AGE_FRACTION = 0.5
IDLE_CHECK_INTERVAL_S = 0.2
MAX_WATCHER_RETRY_DELAY_S = 2.0
# Approximate total rate at which the VMs that are not watchers call an unreachable
# store.
FALLBACK_CALLS_PER_S = 20.0
# Mean delay of `backoff_delays` as a fraction of the longest one.
MEAN_DELAY_FRACTION = 0.55


class Follower:
    """Reads the changes and the VM lists in the store.

    A watcher does so for its whole region, another VM only while it must.

    Attributes
    ----------
    log_watch_s
        Duration of a watch of the log in seconds.
    max_stamp_age_s
        Age in seconds of the newest stamp after which this VM reads the store itself.
    contact_at
        Monotonic time in seconds of this VM's own latest contact with the change log
        in the store.
    is_store_reachable
        Whether the last read of the change log succeeded.
    """

    def __init__(
        self,
        store: StoreClient,
        replica: Replica,
        members: Members,
        freshness: Freshness,
        relay: Relay,
        listing_relay: ListingRelay,
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
        self.listing_relay = listing_relay
        self.writer = writer
        self.events = events
        self.log_watch_s = LOG_WATCH_FRACTION * isolation_limit_s
        self.max_stamp_age_s = MAX_STAMP_AGE_FRACTION * isolation_limit_s
        self.random = random or Random()
        self.started_at = current_time()
        self.contact_at = float("-inf")
        self.is_store_reachable = False

    def must_read_store(self) -> bool:
        """Return whether this VM has to read the store now."""
        if self.members.is_watcher() or not self.relay.has_configuration:
            return True
        newest = self.freshness.newest
        last_contact_at = max(newest.confirmed_at if newest else 0.0, self.started_at)
        return current_time() - last_contact_at > self.max_stamp_age_s

    def retry_delays(self) -> Iterator[float]:
        """Return the delays in seconds after consecutive failed calls."""
        max_delay_s = MAX_WATCHER_RETRY_DELAY_S
        if not self.members.is_watcher():
            fleet_size = len(self.members.listing.daemons_by_vm)
            mean_delay_s = fleet_size / FALLBACK_CALLS_PER_S
            max_delay_s = max(max_delay_s, mean_delay_s / MEAN_DELAY_FRACTION)
        return backoff_delays(self.random, max_delay_s)

    async def follow_log(self) -> None:
        """Apply the changes in the store, forever."""
        while True:
            delays = self.retry_delays()
            revision = None
            while self.must_read_store():
                try:
                    revision = await self.follow_log_once(revision)
                    delays = self.retry_delays()
                    self.report_reachability(True)
                except StoreUnavailable:
                    self.report_reachability(False)
                    revision = None
                    await sleep(next(delays))
            await sleep(IDLE_CHECK_INTERVAL_S * self.random.uniform(0.5, 1.5))

    async def follow_log_once(self, revision: int | None) -> int | None:
        """Read new changes, or watch for them.

        Parameters
        ----------
        revision
            Revision after which to watch the log, or None to read it first.

        Returns
        -------
        int or None
            The revision after which to watch next, or None if there are new changes
            to read.
        """
        sent_at = current_time()
        if revision is None:
            if not self.relay.has_configuration:
                await self.install_snapshot()
            revision, objects = await self.store.list_with_revision(
                LOG_PREFIX, log_key(self.replica.state.version)
            )
            await self.apply_objects(objects)
            self.record_contact(sent_at)
            return revision
        revision, events = await self.store.watch(
            LOG_PREFIX, revision, self.log_watch_s
        )
        applied_key = log_key(self.replica.state.version)
        if any(event.key > applied_key for event in events):
            return None
        timed_out = current_time() - sent_at >= self.log_watch_s
        self.record_contact(
            sent_at + self.log_watch_s if timed_out and not events else sent_at
        )
        return revision

    async def install_snapshot(self) -> None:
        """Install the newest snapshot in the store, unless the state is newer."""
        state = await load_snapshot(self.store)
        if state is not None:
            self.replica.install(state)
            self.relay.apply_pending()

    async def apply_objects(self, objects: list[StoredObject]) -> None:
        """Apply the changes of log objects in order and relay those that are new.

        A watcher then writes a snapshot if one is due.
        """
        applied = []
        for item in objects:
            change = self.decode_change(item)
            if self.replica.apply(change).is_ok():
                applied.append(change)
        applied += self.relay.apply_pending()
        self.relay.has_configuration = True
        if applied:
            await self.relay.publish(applied)
        rank = self.members.watcher_rank()
        if rank is not None:
            await self.writer.write_if_due(self.replica.state, rank)

    def decode_change(self, item: StoredObject) -> Change:
        """Return the change of a log object.

        An object that cannot be decoded gives an empty change on every daemon, so that
        versions stay equal on all of them.
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

    def record_contact(self, contact_at: float) -> None:
        """Record that all changes accepted before a monotonic time are applied."""
        self.contact_at = max(self.contact_at, contact_at)
        version = self.replica.state.version
        self.freshness.record_stamp(Stamp(version, contact_at), version)

    async def follow_lists(self) -> None:
        """Install the VM lists in the store, forever."""
        while True:
            delays = self.retry_delays()
            revision = None
            # While the log cannot be read, only `follow_log` calls the store.
            while self.is_store_reachable and self.must_read_store():
                try:
                    revision = await self.follow_lists_once(revision)
                    delays = self.retry_delays()
                except StoreUnavailable:
                    revision = None
                    await sleep(next(delays))
            await sleep(IDLE_CHECK_INTERVAL_S * self.random.uniform(0.5, 1.5))

    async def follow_lists_once(self, revision: int | None) -> int | None:
        """Read all lists, or watch them and read those that changed.

        Parameters
        ----------
        revision
            Revision after which to watch the lists, or None to read all of them.

        Returns
        -------
        int
            The revision after which to watch next.
        """
        if revision is None:
            revision, objects = await self.store.list_with_revision(LIST_PREFIX)
            for item in objects:
                await self.install_list(item)
            return revision
        watch_s = LIST_WATCH_S if self.members.is_watcher() else self.log_watch_s
        revision, events = await self.store.watch(LIST_PREFIX, revision, watch_s)
        for key in dict.fromkeys(event.key for event in events):
            item = await self.store.read(key)
            if item is not None:
                await self.install_list(item)
        return revision

    async def install_list(self, item: StoredObject) -> None:
        """Install one list, unless it cannot be decoded."""
        name = item.key.removeprefix(LIST_PREFIX)
        try:
            await self.listing_relay.install(name, item.version, item.value)
        except (MsgspecError, UnicodeDecodeError, RecursionError):
            self.events.emit(CHANGE_UNREADABLE, list=name, version=item.version)

    def report_reachability(self, reachable: bool) -> None:
        """Emit an event when the store becomes reachable or unreachable."""
        if reachable != self.is_store_reachable:
            self.is_store_reachable = reachable
            self.events.emit(STORE_REACHED if reachable else STORE_LOST)
