"""Freshness stamps: when the store last confirmed a version of the configuration."""

from typing import NamedTuple


class Stamp(NamedTuple):
    """Version that includes all changes accepted before a time.

    Attributes
    ----------
    version
        Version of the configuration.
    confirmed_at
        Time up to which all accepted changes are included, in seconds on this
        process's monotonic clock.
    """

    version: int
    confirmed_at: float


class Freshness:
    """Keeps the newest stamp, and the newest stamp whose version is applied."""

    def __init__(self) -> None:
        self.newest: Stamp | None = None
        self.applied: Stamp | None = None

    def record_stamp(self, stamp: Stamp, version_in_force: int) -> None:
        """Keep a stamp if it is newer than the newest or the newest applied one."""
        if self.newest is None or stamp.confirmed_at > self.newest.confirmed_at:
            self.newest = stamp
        self.advance(version_in_force)
        applied = self.applied
        if stamp.version <= version_in_force and (
            applied is None or stamp.confirmed_at > applied.confirmed_at
        ):
            self.applied = stamp

    def advance(self, version_in_force: int) -> None:
        """Treat the newest stamp as applied if the version in force has reached it."""
        if self.newest is not None and self.newest.version <= version_in_force:
            self.applied = self.newest

    def is_fresh(self, now: float, limit_s: float) -> bool:
        """Return whether the newest applied stamp is at most `limit_s` old."""
        return self.applied is not None and now - self.applied.confirmed_at <= limit_s

    def has_recent_stamp(self, now: float, limit_s: float) -> bool:
        """Return whether the newest stamp is at most `limit_s` old, applied or not."""
        return self.newest is not None and now - self.newest.confirmed_at <= limit_s
