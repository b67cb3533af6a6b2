"""Counts invalid objects of the store, and logs each of them once."""

from prometheus_client import Counter

from primroseturn.observation.catalogue import Event
from primroseturn.observation.events import EventLog
from primroseturn.platform.listing import EntryInvalid
from primroseturn.platform.pages import StoredValue, StoreRevision

# Invalid objects that are remembered so that each is logged once.
MAX_REMEMBERED_SKIPS = 1_000


class SkippedObjects:
    """Counts invalid objects, and logs each once for each of its revisions.

    Attributes
    ----------
    revisions_by_name
        Revisions of the invalid objects that were logged.
    """

    def __init__(self, events: EventLog, event: Event, counter: Counter) -> None:
        self.events = events
        self.event = event
        self.counter = counter
        self.revisions_by_name: dict[str, StoreRevision] = {}

    def record(self, stored: StoredValue, failure: EntryInvalid) -> None:
        """Record an invalid object."""
        self.counter.labels(failure.reason).inc()
        known = self.revisions_by_name
        if known.get(stored.name) == stored.revision:
            return
        known.pop(stored.name, None)
        if len(known) >= MAX_REMEMBERED_SKIPS:
            del known[next(iter(known))]
        known[stored.name] = stored.revision
        self.events.emit(self.event, kind=failure.reason, reason=str(failure))

    def forget(self, name: str) -> None:
        """Forget an object that has become valid."""
        self.revisions_by_name.pop(name, None)
