"""Owner sessions: leases during which VMs may use their units."""

from math import inf
from typing import NamedTuple

from msgspec import Struct
from msgspec.json import decode, encode

from primroseturn.clock import Clock, CLOCK_MARGIN
from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.store.client import StoreClient

SESSION_PREFIX = "owners/"
RENEWALS_PER_LEASE = 36
OBSERVATION_INTERVAL_S = 10.0
MAX_OBSERVATIONS = 1000


class SessionRecord(Struct, frozen=True):
    """Content of the object ``owners/<owner>``.

    Attributes
    ----------
    beat
        Number of the renewal; shows which renewal a read confirms.
    ended
        Whether the session no longer uses its units.
    quiet
        Whether all loans of the session and of its predecessor had ended when the
        session ended.
    """

    session: str
    beat: int
    ended: bool = False
    quiet: bool = False


def owner_of(session: str) -> str:
    """Return the owner name that a session name contains."""
    return session.rpartition("#")[0]


class OwnerSession:
    """The session of this VM.

    Parameters
    ----------
    owner
        Owner name of this VM (see `Identity`). Two running processes must not share it;
        the daemon includes its control address, whose port only one process can bind.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        owner: str,
        incarnation: str,
        lease_s: float,
        loan_s: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.owner = owner
        self.incarnation = incarnation
        self.lease_s = lease_s
        self.loan_s = loan_s
        self.epoch = 0
        self.restart()

    def restart(self) -> None:
        """Begin a new session without units."""
        self.epoch += 1
        self.name = f"{self.owner}#{self.incarnation}.{self.epoch}"
        self.started_at = self.clock.now()
        self.usable_from = inf
        self.lease_ends_at = -inf
        self.version = 0
        self.beat = 0
        self.sent_at_by_beat: dict[int, float] = {}
        self.is_recorded = False

    def validity(self) -> tuple[float, float]:
        """Return the times from which and until which units may be used."""
        return self.usable_from, self.lease_ends_at

    def is_valid_at(self, now: float) -> bool:
        """Return whether units may be used at `now`."""
        return self.usable_from <= now < self.lease_ends_at

    async def open(self) -> bool:
        """Record the session in the store unless it is recorded already. Returns True.

        Raises
        ------
        StoreUnavailable, VersionConflict
            If it is not known to be recorded; the call must be repeated.
        """
        if self.is_recorded:
            return True
        key = SESSION_PREFIX + self.owner
        stored = await self.store.read(key)
        if stored is None:
            usable_from, version = self.started_at, 0
        else:
            record = decode(stored.value, type=SessionRecord)
            if record.session == self.name:
                self.confirm_renewal(record, stored.version)
                return True
            # Loans of the predecessor may be valid for one more loan duration.
            delay = 0.0 if record.quiet else self.loan_s * CLOCK_MARGIN
            usable_from, version = self.started_at + delay, stored.version
        self.usable_from = usable_from
        await self.write_renewal(version)
        return True

    async def write_renewal(self, version: int) -> None:
        """Write the next renewal."""
        self.beat += 1
        record = SessionRecord(self.name, self.beat)
        self.sent_at_by_beat[self.beat] = self.clock.now()
        key = SESSION_PREFIX + self.owner
        if version:
            version = await self.store.update(key, encode(record), version)
        else:
            version = await self.store.create(key, encode(record))
        self.confirm_renewal(record, version)

    def confirm_renewal(self, record: SessionRecord, version: int) -> None:
        """Extend the lease from the time at which the confirmed renewal was sent."""
        self.is_recorded = True
        self.version = version
        self.beat = max(self.beat, record.beat)
        sent_at = self.sent_at_by_beat.get(record.beat, -inf)
        self.lease_ends_at = max(self.lease_ends_at, sent_at + self.lease_s)
        self.sent_at_by_beat = {
            beat: at for beat, at in self.sent_at_by_beat.items() if beat > record.beat
        }

    async def renew(self) -> bool:
        """Renew the lease. Returns False only if the session is known to have ended.

        The result is True if the store did not respond.

        A session whose lease has expired, or that another VM has marked as ended, never
        becomes valid again; any owner may acquire its units.
        """
        if self.clock.now() >= self.lease_ends_at:
            return False
        try:
            await self.write_renewal(self.version)
        except (VersionConflict, StoreUnavailable) as failure:
            if isinstance(failure, StoreUnavailable) and not failure.maybe_applied:
                return True
            return await self.verify()
        return self.clock.now() < self.lease_ends_at

    async def verify(self) -> bool:
        """Read the session. Returns False only if it is known to have ended.

        The result is True if the store did not respond.
        """
        try:
            stored = await self.store.read(SESSION_PREFIX + self.owner)
        except StoreUnavailable:
            return True
        record = decode(stored.value, type=SessionRecord) if stored else None
        if record is None or record.session != self.name or record.ended:
            self.lease_ends_at = -inf
            return False
        self.confirm_renewal(record, stored.version)
        return self.clock.now() < self.lease_ends_at

    async def end(self, has_lent: bool) -> None:
        """Release all units in one write, after they are no longer used."""
        quiet = not has_lent and self.clock.now() >= self.usable_from
        self.lease_ends_at = -inf
        if not self.is_recorded:
            return
        record = SessionRecord(self.name, self.beat + 1, ended=True, quiet=quiet)
        try:
            key = SESSION_PREFIX + self.owner
            await self.store.update(key, encode(record), self.version)
        except (VersionConflict, StoreUnavailable):
            # The next incarnation on this VM or the end of the lease frees the units.
            return


class Observation(NamedTuple):
    """The session object of another owner as last read.

    Attributes
    ----------
    since
        Time at which this version was first read.
    """

    version: int
    record: SessionRecord
    since: float
    read_at: float


class SessionObserver:
    """Finds out when the units of other sessions may be acquired."""

    def __init__(
        self, store: StoreClient, clock: Clock, lease_s: float, loan_s: float
    ) -> None:
        self.store = store
        self.clock = clock
        self.lease_s = lease_s
        self.loan_s = loan_s
        self.observations_by_session: dict[str, Observation] = {}

    async def has_ended(self, session: str) -> bool:
        """Return whether `session` and all loans that it granted have ended.

        Raises
        ------
        StoreUnavailable
            If the session object could not be read.
        """
        seen = await self.observe(session)
        if seen is None:
            return False
        age = self.clock.now() - seen.since
        if seen.record.session == session and not seen.record.ended:
            if age >= self.lease_s * CLOCK_MARGIN:
                await self.fence(session, seen)
            return False
        if seen.record.session == session and seen.record.quiet:
            return True
        return age >= self.loan_s * CLOCK_MARGIN

    async def observe(self, session: str) -> Observation | None:
        """Return the session object of an owner, read at most every few seconds.

        What was read before `session` was known does not apply to it: the object may
        have named a predecessor, which must not be mistaken for a successor. So the
        first call for each session reads the object.
        """
        seen = self.observations_by_session.get(session)
        now = self.clock.now()
        if seen is not None:
            # Once a later session of the owner, or the end of this one, was read, this
            # one never becomes valid again.
            is_final = seen.record.session != session or seen.record.ended
            if is_final or now - seen.read_at < OBSERVATION_INTERVAL_S:
                return seen
        stored = await self.store.read(SESSION_PREFIX + owner_of(session))
        if stored is None:
            return None
        # The time is counted from the end of the read, the earliest time at which this
        # VM knows that the version was in force.
        now = self.clock.now()
        if seen is None or seen.version != stored.version:
            record = decode(stored.value, type=SessionRecord)
            seen = Observation(stored.version, record, now, now)
        else:
            seen = seen._replace(read_at=now)
        self.observations_by_session.pop(session, None)
        self.observations_by_session[session] = seen
        if len(self.observations_by_session) > MAX_OBSERVATIONS:
            del self.observations_by_session[next(iter(self.observations_by_session))]
        return seen

    async def fence(self, session: str, seen: Observation) -> None:
        """End a session that was not renewed for its full lease."""
        record = SessionRecord(session, seen.record.beat, ended=True)
        try:
            key = SESSION_PREFIX + owner_of(session)
            await self.store.update(key, encode(record), seen.version)
        except VersionConflict:
            pass
        self.observations_by_session.pop(session, None)

    async def end_session_of(self, owner: str) -> bool:
        """End the session of an owner whose VM an operator knows to be off.

        Returns
        -------
        bool
            Whether there was a session to end.
        """
        stored = await self.store.read(SESSION_PREFIX + owner)
        if stored is None:
            return False
        record = decode(stored.value, type=SessionRecord)
        ended = SessionRecord(record.session, record.beat, ended=True)
        key = SESSION_PREFIX + owner
        await self.store.update(key, encode(ended), stored.version)
        return True
