"""Logs from whom a VM learns that its configuration is the newest one, and how late."""

from math import isfinite

from primroseturn.entry.events import VIEW_SOURCE_CHANGED, VIEW_WAS_STALE
from primroseturn.entry.metrics import VIEW_AGE_SECONDS
from primroseturn.observation.events import EventLog

# Source of what this VM has read itself. Other sources are names of VMs.
STORE_SOURCE = "store"


class ConfirmationLog:
    """Logs the sources of confirmations and the ages that the configuration reached.

    Parameters
    ----------
    version_limit_s
        Longest time in seconds until a new version must be in force.

    Attributes
    ----------
    source
        Source of the last confirmation, None before the first.
    """

    def __init__(self, events: EventLog, version_limit_s: float) -> None:
        self.events = events
        self.version_limit_s = version_limit_s
        self.source: str | None = None

    def record(self, source: str, version: int, age_s: float) -> None:
        """Record a confirmation.

        Parameters
        ----------
        source
            Name of the VM that has confirmed the version, or `STORE_SOURCE`.
        age_s
            Age in seconds of the confirmation before this one; infinity without one.
        """
        kind = STORE_SOURCE if source == STORE_SOURCE else "vm"
        if isfinite(age_s):
            VIEW_AGE_SECONDS.labels(kind).observe(age_s)
            fields = {"source": source, "previous": self.source, "version": version}
            if source != self.source:
                self.events.emit(VIEW_SOURCE_CHANGED, age_s=round(age_s, 3), **fields)
            if age_s > self.version_limit_s:
                self.events.emit(VIEW_WAS_STALE, age_s=round(age_s, 3), **fields)
        self.source = source
