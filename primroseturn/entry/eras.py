"""Decides whether the store holds the newest configuration in its present era.

A store that has come back from an older copy may lack versions that it acknowledged,
until the operator writes them again. In such an era a reading shows what the copy holds
and not what is newest, unless there is evidence from outside that reading.
"""

from collections.abc import Callable
from enum import Enum
from math import inf

from anyio import Event

from primroseturn.entry.events import STORE_TRUSTED
from primroseturn.observation.events import EventLog

# Seconds after the begin of an era in which the operator writes lost versions again.
VERSION_RETURN_S = 10.0
# Largest age in seconds of a confirmed view with which a VM has seen an era begin: two
# readings and an absence of the store for a moment. A version that was acknowledged
# meanwhile may be unknown to this VM, so it must be short.
MAX_WITNESS_AGE_S = 2.0


class Evidence(Enum):
    """Why the store is trusted to hold the newest configuration."""

    # This VM had a recently confirmed view when it learned of the era.
    VIEW = "view"
    # A VM that has evidence states so.
    VM = "vm"
    # The operator has written the configuration in this era.
    REWRITTEN = "rewritten"
    # The operator has had the time to do so.
    TIME = "time"
    # The store holds a record that was written in this era.
    RECORD = "record"
    # The store has never held anything of this system.
    FIRST_START = "first-start"


class EraMemory:
    """What a VM knows of the store's objects from before the present era.

    A VM that had lists when the era began knows what the store's older copy lacks. One
    that starts later gets that from it.

    Attributes
    ----------
    era
        The newest era whose begin the lists remember, 0 for none.
    begun_at
        Monotonic time in seconds when this VM learned of the present era.
    """

    def __init__(self) -> None:
        self.era = 0
        self.begun_at = -inf

    def begin(self, era: int, now: float, knows_former: bool) -> None:
        """Let an era begin.

        Parameters
        ----------
        knows_former
            Whether this VM knows the newest lists of the era before.
        """
        self.begun_at = now
        if knows_former:
            self.era = era

    def is_recent(self, now: float) -> bool:
        """Return whether other VMs' lists may lack what this VM remembers.

        After `VERSION_RETURN_S` the objects that the copy lacked are written again.
        """
        return now - self.begun_at < VERSION_RETURN_S


class EraTrust:
    """Whether readings of the store in its present era show the newest configuration.

    An era is *trusted* once there is evidence that versions below those that are known
    here are not the newest ones. It is *settled* once that no longer depends on what
    this VM or another one remembers. Era 0, that of a store that states none, is both.
    All times are seconds since boot.

    Attributes
    ----------
    era
        The present era.
    begun_at
        When this VM learned of it.
    trusted_era, settled_era
        The newest era that is trusted, and that is settled.
    listeners
        Called when the present era becomes trusted.
    changed
        Set when one of the eras has changed.
    """

    def __init__(self, events: EventLog) -> None:
        self.events = events
        self.era = 0
        self.begun_at = 0.0
        self.trusted_era = self.settled_era = 0
        self.listeners: list[Callable[[], None]] = []
        self.changed = Event()

    @property
    def is_trusted(self) -> bool:
        """Return whether the present era is trusted."""
        return self.trusted_era >= self.era

    @property
    def is_settled(self) -> bool:
        """Return whether the present era is settled."""
        return self.settled_era >= self.era

    def begin(self, era: int, view_age_s: float, now: float) -> None:
        """Let an era begin.

        Parameters
        ----------
        view_age_s
            Age of this VM's view, counted from its last confirmation.
        """
        self.era, self.begun_at = era, now
        if view_age_s <= MAX_WITNESS_AGE_S:
            self.trust(era, Evidence.VIEW)
        self.notify()

    def trust(self, era: int, evidence: Evidence) -> None:
        """Record evidence that holds as long as a VM remembers the newest version."""
        if era < self.era or self.is_trusted:
            return
        self.trusted_era = self.era
        self.events.emit(STORE_TRUSTED, era=self.era, evidence=evidence.value)
        for listener in self.listeners:
            listener()
        self.notify()

    def settle(self, era: int, evidence: Evidence) -> None:
        """Record evidence that holds for the rest of the era."""
        if era < self.era or self.is_settled:
            return
        self.settled_era = self.era
        self.trust(era, evidence)
        self.notify()

    def settle_by_time(self, now: float) -> None:
        """Settle the era if the operator has had the time to write again."""
        if now - self.begun_at >= VERSION_RETURN_S:
            self.settle(self.era, Evidence.TIME)

    def notify(self) -> None:
        """Wake what waits for a change."""
        self.changed.set()
        self.changed = Event()
