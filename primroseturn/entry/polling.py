"""Polls the configuration in the store, and pauses while another VM does so."""

from random import uniform
from typing import NamedTuple

from anyio import current_time, Event, move_on_after, sleep

from primroseturn.clock import time_since_boot
from primroseturn.entry.confirmations import ConfirmationLog, STORE_SOURCE
from primroseturn.entry.eras import EraTrust, Evidence
from primroseturn.entry.events import CONFIGURATION_APPLIED, CONFIGURATION_UNREADABLE
from primroseturn.entry.view import VmView
from primroseturn.entry.watch_position import WatchPosition
from primroseturn.failures import StoreUnavailable
from primroseturn.observation.events import EventLog
from primroseturn.platform.configuration import decode_configuration
from primroseturn.platform.objects import (
    CallTiming,
    HistoryLost,
    ObjectClient,
    path_of,
)
from primroseturn.platform.pages import NO_REVISION, StoredValue, StoreRevision
from primroseturn.platform.wire import CONFIGURATION_KIND, CONFIGURATION_NAME

# Seconds between the starts of two readings of the configuration, and the shortest
# pause between them where responses are slow.
CONFIGURATION_INTERVAL_S = 0.7
MIN_CONFIGURATION_PAUSE_S = 0.35
# Seconds in which the configuration arrives, and its size, from which it is only read
# when it has changed: reading it all the time would fill the link, and a change just
# after the begin of a reading would wait for two of them. A VM without processor time
# also receives small ones late.
SLOW_TRANSFER_S, LARGE_BYTES = 0.2, 65_536
# Bytes of a response from which another VM waits for the configuration that it holds.
ARRIVING_BYTES = 32_768
# Longest wait in seconds of a request for changes, and the shortest time between the
# starts of two of them.
CHANGES_WAIT_S = 0.35
# Bounds in seconds of the timeout of a request for the configuration. The lower one
# suffices for a store in another region; slow responses and failures raise the timeout.
MIN_READ_TIMEOUT_S, MAX_READ_TIMEOUT_S = 0.4, 1.6
# Timeout of the next read as a multiple of the time until the last response began.
READ_TIMEOUT_FACTOR = 3.0
# Bounds in seconds of the random pause after a failed call. The pause doubles with each
# further failure, since rejected calls count towards the store's limits too, and is at
# most MAX_DOUBLED_PAUSE_S, so that a VM notices within a second that the store responds
# again.
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S, MAX_DOUBLED_PAUSE_S = 0.15, 0.4, 1.0
MAX_RETRY_DOUBLINGS = 3
# Stands for the response to a call that was not made.
NO_CALL = CallTiming(0.0, 0.0, 0)


class PollingPause:
    """Pause of this VM's polling of the store while another VM's replies are recent.

    The pauses after failed calls are separate.
    """

    def __init__(self) -> None:
        self.ends_at = 0.0
        self.ended = Event()

    def is_active(self) -> bool:
        """Return whether the pause has not ended."""
        return current_time() < self.ends_at

    def extend(self, seconds: float) -> None:
        """Let the pause last for at least a number of seconds from now."""
        self.ends_at = max(self.ends_at, current_time() + seconds)

    def end(self) -> None:
        """End the pause at once."""
        self.ends_at = 0.0
        self.ended.set()
        self.ended = Event()

    async def wait_end(self) -> None:
        """Wait until the pause has ended."""
        while (remaining_s := self.ends_at - current_time()) > 0:
            with move_on_after(remaining_s):
                await self.ended.wait()


class ReadVersion(NamedTuple):
    """Store revision and version of a configuration that was read."""

    revision: StoreRevision
    version: int


class UnconfirmedReading(NamedTuple):
    """A reading of the store that does not confirm the view yet.

    Attributes
    ----------
    requested_at
        Time since boot in seconds.
    """

    era: int
    version: int
    requested_at: float


class ConfigurationPoller:
    """Keeps the configuration of the view up to date from the store.

    Parameters
    ----------
    confirmations
        Logs from whom confirmations of the configuration come.
    trust
        Whether readings of the store show the newest configuration.

    Attributes
    ----------
    unconfirmed
        The last reading in an era that was not trusted.
    first_revision
        Revision of the configuration that was seen first in the present era.
    last_read
        The last configuration that this VM has read from the store.
    newest_version
        The newest version that another VM has stated.
    believed_until
        Monotonic time in seconds until which other VMs' versions are believed against
        the store.
    received
        The response by which the configuration was last received.
    is_large
        Whether the configuration takes long to read as a whole, at this VM or at the
        one on which it relies.
    is_current
        Whether that configuration could be put in force, so that only a change of it
        matters.
    position
        Where the next request for changes starts.
    """

    def __init__(
        self,
        store: ObjectClient,
        view: VmView,
        events: EventLog,
        confirmations: ConfirmationLog,
        polling_pause: PollingPause,
        trust: EraTrust,
    ) -> None:
        self.store = store
        self.view = view
        self.events = events
        self.confirmations = confirmations
        self.trust = trust
        trust.listeners.append(self.confirm_reading)
        self.unconfirmed: UnconfirmedReading | None = None
        self.first_revision = NO_REVISION
        self.polling_pause = polling_pause
        self.read_timeout_s = MIN_READ_TIMEOUT_S
        self.newest_version = 0
        self.believed_until = 0.0
        self.last_read = ReadVersion(NO_REVISION, 0)
        self.received = NO_CALL
        self.is_large = False
        self.is_current = False
        self.position = WatchPosition()

    async def follow_configuration(self) -> None:
        """Poll the configuration, except while polling is paused."""
        failures = 0
        while True:
            if self.polling_pause.is_active():
                await self.polling_pause.wait_end()
                # The store may have recovered while this VM made no calls.
                failures, self.read_timeout_s = 0, MIN_READ_TIMEOUT_S
            began_at = current_time()
            if await self.poll_configuration():
                failures = 0
                await sleep(self.pause_s(current_time() - began_at))
            else:
                pause_s = uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S) * 2**failures
                failures = min(failures + 1, MAX_RETRY_DOUBLINGS)
                # A call that got no response has waited already. The time between the
                # starts of two calls bounds how long a VM does not notice the return.
                waited_s = current_time() - began_at
                pause_s = min(MAX_DOUBLED_PAUSE_S, pause_s) - waited_s
                await sleep(max(MIN_RETRY_PAUSE_S, pause_s))

    def pause_s(self, elapsed_s: float) -> float:
        """Return the pause in seconds after a poll that took a number of seconds."""
        if self.reads_changes:
            return max(0.0, CHANGES_WAIT_S - elapsed_s)
        return max(MIN_CONFIGURATION_PAUSE_S, CONFIGURATION_INTERVAL_S - elapsed_s)

    @property
    def reads_changes(self) -> bool:
        """Return whether the configuration is only read when it has changed."""
        return (
            self.is_current
            and self.is_large
            and not self.view.must_repeat_configuration
        )

    async def poll_configuration(self) -> bool:
        """Poll the configuration once and return whether a valid one is known."""
        try:
            if not self.reads_changes:
                return await self.read_whole()
            if self.position.revision == NO_REVISION:
                return await self.read_listed()
            return await self.read_changes()
        except StoreUnavailable:
            # StoreContact has logged the failure if it is the first one.
            self.read_timeout_s = min(MAX_READ_TIMEOUT_S, 2 * self.read_timeout_s)
            return False

    async def read_whole(self) -> bool:
        """Read the configuration and put it in force."""
        # The response holds what was in force at some time after the request.
        requested_at = time_since_boot()
        stored = await self.store.read(
            CONFIGURATION_KIND, CONFIGURATION_NAME, self.read_timeout_s
        )
        timing = self.timing_of(path_of(CONFIGURATION_KIND, CONFIGURATION_NAME))
        self.adapt_timeout(timing.response_s)
        is_valid = self.receive(stored, requested_at, timing)
        if stored is None or not self.reads_changes:
            self.position.restart(NO_REVISION, current_time())
        elif self.position.revision < stored.revision:
            # The store may still have the history since the last change.
            self.position.restart(stored.revision, current_time())
        return is_valid

    async def read_listed(self) -> bool:
        """Read the configuration with the revision from which its changes follow."""
        requested_at = time_since_boot()
        revision, values = await self.store.list_values(CONFIGURATION_KIND)
        timing = self.timing_of(path_of(CONFIGURATION_KIND))
        self.adapt_timeout(timing.response_s)
        self.position.restart(revision, current_time())
        found = [stored for stored in values if stored.name == CONFIGURATION_NAME]
        return self.receive(found[0] if found else None, requested_at, timing)

    async def read_changes(self) -> bool:
        """Wait shortly for a change of the configuration, and put it in force."""
        requested_at = time_since_boot()
        try:
            revision, changes = await self.store.watch(
                CONFIGURATION_KIND,
                self.position.revision,
                CHANGES_WAIT_S,
                self.read_timeout_s,
            )
        except HistoryLost:
            return await self.read_listed()
        timing = self.timing_of(path_of(CONFIGURATION_KIND))
        self.adapt_timeout(timing.response_s - CHANGES_WAIT_S)
        if changes:
            self.note_revision(self.position.revision)
            self.position.restart(revision, current_time())
        else:
            self.position.advance(revision, current_time())
        for change in reversed(changes):
            if change.stored.name == CONFIGURATION_NAME:
                stored = None if change.deleted else change.stored
                return self.receive(stored, requested_at, timing)
        self.confirm(self.last_read.version, requested_at, STORE_SOURCE)
        return True

    @property
    def is_receiving(self) -> bool:
        """Return whether a large response for the configuration is arriving."""
        paths = (
            path_of(CONFIGURATION_KIND),
            path_of(CONFIGURATION_KIND, CONFIGURATION_NAME),
        )
        arriving = self.store.arriving_bytes_by_path
        return any(arriving.get(path, 0) >= ARRIVING_BYTES for path in paths)

    def stated_position(self) -> StoreRevision:
        """Return from where other VMs with the version in force may follow changes."""
        if self.reads_changes and self.last_read.version == self.view.version:
            return self.position.revision
        return NO_REVISION

    def adopt_position(self, version: int, revision: StoreRevision) -> None:
        """Follow changes from where another VM does that has the same version.

        If this VM has to read the store itself, it need not read the whole, which many
        VMs would do at the same time when their store poller fails.

        Parameters
        ----------
        version
            The version that is in force at the other VM.
        revision
            What that VM states; `NO_REVISION` changes nothing.
        """
        if revision.number and version == self.view.version:
            self.is_large = self.is_current = True
            self.last_read = ReadVersion(NO_REVISION, version)
            self.position.restart(revision, current_time())

    def timing_of(self, path: str) -> CallTiming:
        """Return the times of the last response to a read of a path."""
        return self.store.read_timings_by_path.get(path, NO_CALL)

    def adapt_timeout(self, response_s: float) -> None:
        """Set the timeout of the next read after a response that began in time."""
        self.read_timeout_s = max(MIN_READ_TIMEOUT_S, READ_TIMEOUT_FACTOR * response_s)

    def receive(
        self, stored: StoredValue | None, requested_at: float, timing: CallTiming
    ) -> bool:
        """Put a received configuration in force, unless it was decoded before.

        Parameters
        ----------
        stored
            The configuration, or None if the store has none.
        requested_at
            Time since boot in seconds at which it was requested.

        Returns
        -------
        bool
            Whether it is valid.
        """
        self.received = timing
        self.is_large = (
            timing.transfer_s >= SLOW_TRANSFER_S and timing.size_bytes >= LARGE_BYTES
        )
        if stored is not None:
            self.note_revision(stored.revision)
        if stored is None:
            self.is_current = False
        elif (
            stored.revision.number
            and stored.revision == self.last_read.revision
            and not self.view.must_repeat_configuration
        ):
            # Decoding a large value again takes time.
            self.confirm(self.last_read.version, requested_at, STORE_SOURCE)
            self.is_current = True
        else:
            self.is_current = self.apply_configuration(
                stored.value, requested_at, stored.revision
            )
        return self.is_current

    def apply_configuration(
        self, spec: object, requested_at: float, revision: StoreRevision = NO_REVISION
    ) -> bool:
        """Put a configuration from the store in force and confirm its version.

        Parameters
        ----------
        spec
            The configuration as stored.
        requested_at
            Time since boot in seconds at which it was requested.
        revision
            Revision of its last change in the store; `NO_REVISION` if it is not known.

        Returns
        -------
        bool
            Whether it could be decoded.
        """
        decoded = decode_configuration(spec)
        if decoded.is_error():
            self.events.emit(CONFIGURATION_UNREADABLE, reason=str(decoded.error))
            return False
        version = decoded.ok.version
        previous = self.view.version
        if self.view.apply_configuration(decoded.ok, spec):
            self.events.emit(
                CONFIGURATION_APPLIED,
                version=version,
                previous=previous,
                source=STORE_SOURCE,
                transfer_s=round(self.received.transfer_s, 3),
                size_bytes=self.received.size_bytes,
            )
        self.last_read = ReadVersion(revision, version)
        self.confirm(version, requested_at, STORE_SOURCE)
        return True

    def apply_peer_configuration(self, spec: object, peer: str) -> None:
        """Put a configuration in force that another VM has read from the store.

        Parameters
        ----------
        peer
            Name of that VM.
        """
        decoded = decode_configuration(spec)
        if decoded.is_error():
            self.events.emit(CONFIGURATION_UNREADABLE, reason=str(decoded.error))
            return
        previous = self.view.version
        if self.view.apply_configuration(decoded.ok, spec):
            self.events.emit(
                CONFIGURATION_APPLIED,
                version=decoded.ok.version,
                previous=previous,
                source="vm",
                peer=peer,
            )

    def note_revision(self, revision: StoreRevision) -> None:
        """Note a revision of the configuration, the first one of an era."""
        if revision.era == self.trust.era != self.first_revision.era:
            self.first_revision = revision

    def settle_era(self, version: int) -> None:
        """Settle the present era if a version that the store holds gives evidence.

        It gives none while this VM or another one is known to have a newer version: the
        operator has not yet written that one again.
        """
        if version < max(self.newest_version, self.view.version):
            return
        first, last = self.first_revision, self.last_read.revision
        if first.era == last.era == self.trust.era and first < last:
            # The operator writes the newest version only.
            self.trust.settle(last.era, Evidence.REWRITTEN)
        self.trust.settle_by_time(time_since_boot())

    def confirm_reading(self) -> None:
        """Confirm the view by the last reading, now that its era is trusted."""
        reading, self.unconfirmed = self.unconfirmed, None
        if reading is not None and reading.era == self.trust.era:
            self.confirm(reading.version, reading.requested_at, STORE_SOURCE)

    def confirm(self, version: int, requested_at: float, source: str) -> None:
        """Record and log that `version` was the newest one when it was requested.

        A store that has come back from an older copy confirms no version before its era
        is trusted, and for some time none below one that another VM has stated.

        Parameters
        ----------
        requested_at
            Time since boot in seconds.
        source
            Name of the VM that states so, or `STORE_SOURCE`.
        """
        self.view.record_reading(requested_at)
        if source == STORE_SOURCE:
            self.settle_era(version)
            if not self.trust.is_trusted:
                self.unconfirmed = UnconfirmedReading(
                    self.trust.era, version, requested_at
                )
                return
        if version < self.newest_version and current_time() < self.believed_until:
            return
        age_s = self.view.age_s(time_since_boot())
        if self.view.confirm(version, requested_at):
            self.confirmations.record(source, version, age_s)
