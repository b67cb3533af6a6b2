"""The ledger of a workspace: which owner sessions hold how many units."""

from msgspec import field, Struct

LEDGER_PREFIX = "limits/"


class Entry(Struct, frozen=True):
    """The units of one session and the limits that it has applied."""

    units: int
    rate: float
    burst: float


class Ledger(Struct, frozen=True):
    """Content of the object ``limits/<workspace>``.

    Attributes
    ----------
    write
        Unique id of the write that made this content.
    fresh
        Units that no session has ever held. Only these start with tokens.
    shares
        Entries by session name.
    """

    write: str
    fresh: int
    shares: dict[str, Entry] = field(default_factory=dict)

    def free(self, whole: int) -> int:
        """Return the units that no session holds."""
        return whole - sum(entry.units for entry in self.shares.values())


class LedgerView:
    """What one VM knows of a ledger.

    A write whose answer was lost may still take effect as long as the object is at
    the version that the write expects. Until a newer version is seen, the smaller
    of both unit counts is in force.
    """

    def __init__(self, workspace: str) -> None:
        self.key = LEDGER_PREFIX + workspace
        self.known = False
        self.version = 0
        self.ledger: Ledger | None = None
        self.doubts_by_base: dict[int, int] = {}
        self.fresh_by_write: dict[str, int] = {}

    def usable_units(self, session: str) -> int:
        """Return the units of `session` that are certain."""
        return min([self.recorded_units(session), *self.doubts_by_base.values()])

    def recorded_units(self, session: str) -> int:
        """Return the units of `session` in the last content seen."""
        entry = self.ledger.shares.get(session) if self.ledger else None
        return entry.units if entry else 0

    def other_entries(self, session: str) -> list[Entry]:
        """Return the entries of the other sessions."""
        shares = self.ledger.shares if self.ledger else {}
        return [entry for name, entry in shares.items() if name != session]

    def begin(self, units: int) -> None:
        """Note that a write leaving this session `units` is about to be sent."""
        earlier = self.doubts_by_base.get(self.version, units)
        self.doubts_by_base[self.version] = min(units, earlier)

    def adopt(self, version: int, ledger: Ledger | None) -> int:
        """Take over content that was read or written.

        Returns
        -------
        int
            Fresh units that this content gave to this VM.
        """
        self.known = True
        if version < self.version:
            return 0
        self.version, self.ledger = version, ledger
        self.doubts_by_base = {
            base: units
            for base, units in self.doubts_by_base.items()
            if base >= version
        }
        return self.fresh_by_write.pop(ledger.write, 0) if ledger else 0
