"""The revision at which the next watch of a rarely changing kind starts."""

from primroseturn.platform.pages import NO_REVISION, StoreRevision

# Seconds by which a watch reaches back at least. While the store drops its history, a
# watch may miss changes for a second; the history goes back 20 s.
OVERLAP_S = 5.0


class WatchPosition:
    """Follows the store's revision at a distance of some seconds.

    A change that a watch has missed is shown by a later one, since that starts before
    the change. The revision still moves on, since a watch from one that the store no
    longer has would require a new list.

    Attributes
    ----------
    revision
        Revision at which the next watch starts; `NO_REVISION` requires a list first.
    next_revision, stated_at
        Revision that follows it, and the monotonic time in seconds at which a response
        stated that one.
    """

    def __init__(self) -> None:
        self.revision = self.next_revision = NO_REVISION
        self.stated_at = 0.0

    def restart(self, revision: StoreRevision, now: float) -> None:
        """Start the next watch at a revision up to which all changes are known."""
        self.revision = self.next_revision = revision
        self.stated_at = now

    def advance(self, revision: StoreRevision, now: float) -> None:
        """Record the revision that a response without changes has stated."""
        if now - self.stated_at >= OVERLAP_S:
            self.revision = self.next_revision
            self.next_revision, self.stated_at = revision, now
