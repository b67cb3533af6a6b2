"""What one VM may admit for one workspace: its units, loans and tokens."""

from math import exp, inf
from typing import NamedTuple

from anyio import Event

from primroseturn.limits.ledger import Ledger, LedgerView
from primroseturn.limits.sessions import OwnerSession

UNITS = 1000
DEMAND_MEMORY_S = 1.0
# Part of the burst that VMs keep by demand. The rest stays with the owners for whoever
# needs single tokens; a VM whose part is below one token needs only these.
BURST_PART = 0.4
# Absorbs rounding of sums of fractions of a token.
ROUNDING = 1e-9


class Limits(NamedTuple):
    """Rate (tokens per second) and burst (tokens)."""

    rate: float
    burst: float


class Loan(NamedTuple):
    """A loan as the lender or the borrower sees it.

    `ends_at` is on the monotonic clock of the VM that holds this record.
    """

    peer: str
    rate: float
    burst: float
    ends_at: float


class Demand:
    """Exponentially weighted rate of arrivals."""

    def __init__(self, now: float) -> None:
        self.value = 0.0
        self.updated_at = now

    def note(self, now: float) -> None:
        """Count one arrival."""
        self.value = self.rate(now) + 1.0 / DEMAND_MEMORY_S
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return arrivals per second."""
        return self.value * exp((self.updated_at - now) / DEMAND_MEMORY_S)


class Share:
    """Token bucket over this VM's units less what it lends plus what it borrows.

    The bucket's size and rate change when a loan ends and when the owner session's
    lease ends, so that `refill` goes forward from change to change.
    """

    def __init__(
        self, name: str, limits: Limits, session: OwnerSession, now: float
    ) -> None:
        self.name = name
        self.limits = limits
        self.session = session
        self.view = LedgerView(name)
        self.demand = Demand(now)
        self.lent_by_id: dict[str, Loan] = {}
        self.borrowed_by_id: dict[str, Loan] = {}
        self.tokens = 0.0
        self.rate = 0.0
        self.burst = 0.0
        self.updated_at = now
        self.changes_at = inf
        self.session_seen: tuple[float, float] = (0.0, 0.0)
        self.waiting = 0
        self.used_at = now
        self.owners: tuple[str, ...] = ()
        self.changed = Event()
        self.woken = Event()
        self.ledger_woken = Event()
        self.serving = False
        self.owning = False

    def effective_limits(self) -> Limits:
        """Return the limits that every owner in the ledger has applied."""
        entries = self.view.other_entries(self.session.name)
        return Limits(
            min([self.limits.rate, *(entry.rate for entry in entries)]),
            min([self.limits.burst, *(entry.burst for entry in entries)]),
        )

    def recompute(self, now: float) -> None:
        """Set rate, burst and the time of their next change as of `now`."""
        self.borrowed_by_id = self.unfinished(self.borrowed_by_id, now)
        self.lent_by_id = self.unfinished(self.lent_by_id, now)
        rate = sum(loan.rate for loan in self.borrowed_by_id.values())
        burst = sum(loan.burst for loan in self.borrowed_by_id.values())
        own = self.owned(now)
        self.rate, self.burst = rate + own.rate, burst + own.burst
        self.tokens = min(self.tokens, self.burst)
        ends = [loan.ends_at for loan in self.borrowed_by_id.values()]
        ends += [loan.ends_at for loan in self.lent_by_id.values()]
        ends += [at for at in self.session.span() if at > now]
        self.changes_at = min(ends, default=inf)
        self.session_seen = self.session.span()

    @staticmethod
    def unfinished(loans_by_id: dict[str, Loan], now: float) -> dict[str, Loan]:
        """Return the loans that have not ended."""
        return {key: loan for key, loan in loans_by_id.items() if loan.ends_at > now}

    def owned(self, now: float) -> Limits:
        """Return what this VM owns and has not lent."""
        units = self.view.usable_units(self.session.name)
        if not units or not self.session.covers(now):
            return Limits(0.0, 0.0)
        whole = self.effective_limits()
        lent = self.lent_by_id.values()
        return Limits(
            max(0.0, whole.rate * units / UNITS - sum(loan.rate for loan in lent)),
            max(0.0, whole.burst * units / UNITS - sum(loan.burst for loan in lent)),
        )

    def refill(self, now: float) -> None:
        """Bring tokens, rate and burst up to `now`."""
        if self.session_seen != self.session.span():
            self.recompute(self.updated_at)
        while self.updated_at < now:
            end = min(now, self.changes_at)
            earned = self.rate * max(0.0, end - self.updated_at)
            self.tokens = min(self.burst, self.tokens + earned)
            self.updated_at = max(end, self.updated_at)
            if end >= self.changes_at:
                self.recompute(end)

    def take(self, now: float) -> bool:
        """Take one token if it is there."""
        self.refill(now)
        if self.tokens < 1.0 - ROUNDING:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True

    def time_until_token(self, now: float) -> float:
        """Return the seconds until this VM alone has one token."""
        self.refill(now)
        if self.tokens >= 1.0 - ROUNDING:
            return 0.0
        if self.rate <= 0.0 or self.burst < 1.0:
            return inf
        return (1.0 - self.tokens) / self.rate

    def targets(self, now: float) -> Limits:
        """Return the rate and burst that the present demand calls for."""
        demand = self.demand.rate(now)
        # Burst in proportion to demand: if every VM kept more, the burst would be
        # used up by the first VMs and the others could hold no token at all.
        burst = BURST_PART * self.limits.burst * demand / self.limits.rate
        if burst < 1.0:
            return Limits(0.0, 0.0)
        return Limits(demand, min(burst, 2.0 + demand))

    def lend(self, key: str, loan: Loan, tokens: float, now: float) -> None:
        """Debit a loan before it is sent."""
        self.refill(now)
        self.lent_by_id[key] = loan
        self.tokens -= tokens
        self.recompute(now)

    def extend_lent(self, key: str, peer: str, ends_at: float, now: float) -> bool:
        """Give a borrower more time for a loan that has not ended."""
        self.refill(now)
        loan = self.lent_by_id.get(key)
        if loan is None or loan.peer != peer or not self.session.covers(now):
            return False
        self.lent_by_id[key] = loan._replace(ends_at=ends_at)
        self.recompute(now)
        return True

    def regain(self, key: str, peer: str, tokens: float, now: float) -> None:
        """Take back a loan that the borrower no longer uses."""
        self.refill(now)
        loan = self.lent_by_id.get(key)
        if loan is None or loan.peer != peer:
            return
        del self.lent_by_id[key]
        self.recompute(now)
        self.tokens = min(self.burst, self.tokens + min(tokens, loan.burst))
        self.notify()

    def borrow(self, key: str, loan: Loan, tokens: float, now: float) -> None:
        """Add a loan unless it has ended on the way."""
        self.refill(now)
        if loan.ends_at <= now or key in self.borrowed_by_id:
            return
        self.borrowed_by_id[key] = loan
        self.recompute(now)
        self.tokens = min(self.burst, self.tokens + min(tokens, loan.burst))
        self.notify()

    def extend_borrowed(self, key: str, ends_at: float, now: float) -> None:
        """Lengthen a loan that has not ended."""
        self.refill(now)
        loan = self.borrowed_by_id.get(key)
        if loan is not None:
            ends_at = max(loan.ends_at, ends_at)
            self.borrowed_by_id[key] = loan._replace(ends_at=ends_at)
            self.recompute(now)

    def drop(self, key: str, now: float) -> tuple[Loan, float] | None:
        """Give up a borrowed loan. Returns it with the tokens to send back."""
        self.refill(now)
        loan = self.borrowed_by_id.pop(key, None)
        if loan is None:
            return None
        before = self.tokens
        self.recompute(now)
        return loan, min(before - self.tokens, loan.burst)

    # Each change below first refills under the old state: tokens must not be earned
    # backwards in time from units that another VM held until now.

    def adopt(self, version: int, ledger: Ledger | None, now: float) -> None:
        """Take over ledger content that was read or written."""
        self.refill(now)
        fresh = self.view.adopt(version, ledger)
        self.recompute(now)
        earned = fresh * self.effective_limits().burst / UNITS
        self.tokens = min(self.burst, self.tokens + earned)
        self.notify()

    def begin_write(self, units: int, now: float) -> None:
        """Use at most `units` from now on, before a write that may leave so many."""
        self.refill(now)
        self.view.begin(units)
        self.recompute(now)

    def set_limits(self, limits: Limits, now: float) -> None:
        """Apply limits of a newer configuration."""
        if limits != self.limits:
            self.refill(now)
            self.limits = limits
            self.recompute(now)
            self.ledger_woken.set()

    def notify(self) -> None:
        """Let the waiting requests look again."""
        self.changed.set()
        self.changed = Event()
