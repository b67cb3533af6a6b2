"""Follows the objects of one kind in the store: lists them, then watches them."""

from math import inf
from random import uniform

from anyio import CancelScope, current_time, move_on_after, sleep

from primroseturn.clock import time_since_boot
from primroseturn.entry.contact import StoreContact
from primroseturn.entry.polling import (
    MAX_RETRY_PAUSE_S,
    MIN_RETRY_PAUSE_S,
    PollingPause,
)
from primroseturn.failures import StoreUnavailable
from primroseturn.platform.objects import HistoryLost, ObjectClient
from primroseturn.platform.pages import (
    NO_REVISION,
    StoredValue,
    StoreRevision,
    ValueChange,
)

# Longest duration of a watch in seconds, after which a dead connection is noticed.
WATCH_LIMIT_S = 1.5
# Pause in seconds after a response with changes. Changes come in series, such as during
# a release, and each response costs a call.
WATCH_PAUSE_S = 0.15
# Longest wait in seconds until the store responds again; then the objects are listed
# anyway.
STORE_RETURN_TIMEOUT_S = 3.0
# Seconds after the response to a watch for which the list of objects is treated as up
# to date: the longest duration of a watch, the timeout of a call and a pause.
LIST_CURRENT_S = 3.0


class KindFollower:
    """Lists the objects of a kind, then watches them, except while polling is paused.

    Subclasses put the lists and changes in force.

    Attributes
    ----------
    kind
        The kind of the objects.
    revision
        Revision at which the next watch starts; `NO_REVISION` requires a list first.
    listed_at
        Time since boot in seconds of the last request for the list to which the store
        responded.
    polling_since
        Monotonic time in seconds since which this VM reads the objects from the store
        itself; infinity while polling is paused.
    applied_at
        Monotonic time in seconds at which a list was last put in force.
    watch_scope
        Cancelled to end the present watch.
    """

    kind: str

    def __init__(
        self, store: ObjectClient, contact: StoreContact, polling_pause: PollingPause
    ) -> None:
        self.store = store
        self.contact = contact
        self.polling_pause = polling_pause
        self.revision = NO_REVISION
        self.listed_at = 0.0
        self.polling_since = inf
        self.applied_at = -inf
        self.watch_scope = CancelScope()

    def has_current_list(self) -> bool:
        """Return whether the list is up to date if this VM reads it itself.

        It is treated as up to date while polling is paused, and for `LIST_CURRENT_S`
        after the VM has begun to read it.
        """
        latest = max(self.polling_since, self.applied_at)
        return current_time() - latest < LIST_CURRENT_S

    async def follow_forever(self) -> None:
        """List the objects, then watch them, except while polling is paused."""
        # After an error, changes of the last watch may not have been applied.
        self.revision = NO_REVISION
        failures = 0
        while True:
            if self.polling_pause.is_active():
                self.revision = NO_REVISION
                self.polling_since = inf
                await self.polling_pause.wait_end()
            self.polling_since = min(self.polling_since, current_time())
            try:
                if self.revision == NO_REVISION:
                    await self.read_list()
                await self.watch_changes()
                failures = 0
            except HistoryLost:
                self.revision = NO_REVISION
            except StoreUnavailable:
                failures += 1
                # StoreContact has logged the first failure. A new list shows what
                # changed while the store did not respond; the watch may have missed
                # changes.
                self.revision = NO_REVISION
                await sleep(self.retry_pause_s(failures))
                if self.contact.lost_at is not None:
                    # The requests for the configuration show when the store responds
                    # again. A watch that was cut proves no outage.
                    with move_on_after(STORE_RETURN_TIMEOUT_S):
                        await self.contact.regained.wait()

    def retry_pause_s(self, failures: int) -> float:
        """Return the pause in seconds after the last of a number of failed calls."""
        return uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S)

    async def read_list(self) -> None:
        """Read the whole list and put it in force."""
        requested_at = time_since_boot()
        revision, values = await self.store.list_values(self.kind)
        self.apply_list(values, revision)
        self.revision = revision
        self.listed_at = requested_at

    async def watch_changes(self) -> None:
        """Wait for changes of the list and apply them."""
        with CancelScope() as self.watch_scope:
            revision, changes = await self.store.watch(
                self.kind, self.revision, WATCH_LIMIT_S
            )
        if self.watch_scope.cancelled_caught:
            raise HistoryLost(self.revision)
        if changes:
            self.revision = revision
        # An empty response may come from a watch that missed a change. The next watch
        # starts at the same revision, and is replaced by a new list if the store no
        # longer has the history since then.
        self.apply_changes(changes, self.revision)
        if changes:
            await sleep(WATCH_PAUSE_S)

    def end_watch(self) -> None:
        """End the present watch, after which the objects are listed again."""
        self.watch_scope.cancel()

    def apply_list(self, values: list[StoredValue], revision: StoreRevision) -> None:
        """Put a list of all objects in force."""
        raise NotImplementedError

    def apply_changes(
        self, changes: list[ValueChange], revision: StoreRevision
    ) -> None:
        """Put changes in force, which may be none."""
        raise NotImplementedError
