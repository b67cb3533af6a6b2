"""The ledger of a workspace: how many units each owner session has.

A unit is an equal part of the rate and the burst of the workspace.
"""

from msgspec import field, Struct

LEDGER_PREFIX = "limits/"


class LedgerEntry(Struct, frozen=True):
    """The units of one session and the limits that it applies.

    `rate` is in tokens per second, `burst` in tokens.
    """

    units: int
    rate: float
    burst: float


class Ledger(Struct, frozen=True):
    """Content of the object ``limits/<workspace>``.

    Attributes
    ----------
    write
        Unique id of the write that created this content.
    fresh
        Units that no session has ever owned. Only these start with tokens.
    shares
        Entries by session name.
    """

    write: str
    fresh: int
    shares: dict[str, LedgerEntry] = field(default_factory=dict)

    def free(self, total: int) -> int:
        """Return the units that no session owns."""
        return total - sum(entry.units for entry in self.shares.values())


class LedgerView:
    """State of a ledger as far as one VM knows it.

    A write whose response was lost may still take effect as long as the object is at
    the version that the write expects. Until a newer version is seen, this VM may use
    the smaller of the recorded units and those after the write.

    Attributes
    ----------
    is_current
        Whether the ledger need not be read before the next write.
    pending_units_by_base
        Units of this session after writes that may still take effect, by the version
        that they expect.
    fresh_by_write
        Fresh units that a write gives to this VM, by the id of the write.
    """

    def __init__(self, workspace: str) -> None:
        self.key = LEDGER_PREFIX + workspace
        self.is_current = False
        self.version = 0
        self.ledger: Ledger | None = None
        self.pending_units_by_base: dict[int, int] = {}
        self.fresh_by_write: dict[str, int] = {}

    def usable_units(self, session: str) -> int:
        """Return the smallest number of units that `session` may own."""
        return min([self.recorded_units(session), *self.pending_units_by_base.values()])

    def recorded_units(self, session: str) -> int:
        """Return the units of `session` in the last content seen."""
        entry = self.ledger.shares.get(session) if self.ledger else None
        return entry.units if entry else 0

    def other_entries(self, session: str) -> list[LedgerEntry]:
        """Return the entries of the other sessions."""
        shares = self.ledger.shares if self.ledger else {}
        return [entry for name, entry in shares.items() if name != session]

    def record_pending_write(self, units: int) -> None:
        """Record that a write that leaves `units` to this session will be sent."""
        earlier = self.pending_units_by_base.get(self.version, units)
        self.pending_units_by_base[self.version] = min(units, earlier)

    def adopt(self, version: int, ledger: Ledger | None) -> int:
        """Apply content that was read or written.

        Returns
        -------
        int
            Fresh units that this content gave to this VM.
        """
        self.is_current = True
        if version < self.version:
            return 0
        self.version, self.ledger = version, ledger
        self.pending_units_by_base = {
            base: units
            for base, units in self.pending_units_by_base.items()
            if base >= version
        }
        return self.fresh_by_write.pop(ledger.write, 0) if ledger else 0
