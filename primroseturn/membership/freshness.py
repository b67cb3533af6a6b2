"""Freshness stamps: how old is the newest configuration that the store confirmed."""

from typing import NamedTuple


class Stamp(NamedTuple):
    """All changes accepted before `contact_at` have a version up to `version`.

    `contact_at` is in seconds on this process's monotonic clock.
    """

    version: int
    contact_at: float


class Freshness:
    """Keeps the newest stamp, and the newest one whose version is applied."""

    def __init__(self) -> None:
        self.newest: Stamp | None = None
        self.applied: Stamp | None = None

    def record_stamp(self, stamp: Stamp, version_in_force: int) -> None:
        """Take over a stamp if it is newer than what is known."""
        if self.newest is None or stamp.contact_at > self.newest.contact_at:
            self.newest = stamp
        self.advance(version_in_force)
        known = self.applied
        if stamp.version <= version_in_force and (
            known is None or stamp.contact_at > known.contact_at
        ):
            self.applied = stamp

    def advance(self, version_in_force: int) -> None:
        """Note that the version in force has grown."""
        if self.newest is not None and self.newest.version <= version_in_force:
            self.applied = self.newest

    def is_fresh(self, now: float, limit_s: float) -> bool:
        """Return whether an applied stamp is young enough."""
        return self.applied is not None and now - self.applied.contact_at <= limit_s

    def has_recent_stamp(self, now: float, limit_s: float) -> bool:
        """Return whether any young stamp exists, applied or not."""
        return self.newest is not None and now - self.newest.contact_at <= limit_s
