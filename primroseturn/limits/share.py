"""Units, loans and tokens by which one VM admits requests of one workspace.

Used by `primroseturn daemon`.
"""

from math import exp, inf
from typing import NamedTuple

from anyio import Event

from primroseturn.limits.ledger import Ledger, LedgerView
from primroseturn.limits.sessions import OwnerSession

# Number of equal parts into which the rate and burst of a workspace are divided.
UNITS = 1000
DEMAND_TIME_CONSTANT_S = 1.0
# Fraction of the burst that VMs keep in proportion to their demand. The owners keep the
# rest of the burst and lend single tokens of it. A VM whose part in proportion to
# demand is below one token keeps none and borrows single tokens only.
DEMAND_BURST_FRACTION = 0.4
# Absorbs rounding of sums of fractions of a token.
ROUNDING = 1e-9


class Limits(NamedTuple):
    """Rate (tokens per second) and burst (tokens)."""

    rate: float
    burst: float


class Loan(NamedTuple):
    """A loan, as recorded by the lender or the borrower.

    `ends_at` is on the monotonic clock of the VM that has this record.
    """

    peer: str
    rate: float
    burst: float
    ends_at: float


class DemandRate:
    """Exponentially weighted rate of arriving requests."""

    def __init__(self, now: float) -> None:
        self.value = 0.0
        self.updated_at = now

    def record_arrival(self, now: float) -> None:
        """Count one arrival."""
        self.value = self.rate(now) + 1.0 / DEMAND_TIME_CONSTANT_S
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return arrivals per second."""
        return self.value * exp((self.updated_at - now) / DEMAND_TIME_CONSTANT_S)


class Share:
    """Token bucket over this VM's units less what it lends plus what it borrows.

    The bucket's size and rate change when a loan ends and when the owner session's
    lease ends. `refill` advances from one such change to the next.

    Attributes
    ----------
    next_change_at
        Monotonic time in seconds at which rate and burst change next.
    known_validity
        Validity of the session for which rate and burst were computed last.
    waiting
        Number of requests that wait for a token.
    known_owners
        VMs that own units, as the last grant stated.
    tokens_changed
        Event on which waiting requests try again to consume a token.
    borrower_woken, ledger_woken
        Events that start the next round of the borrower and of the ledger's update.
    is_borrower_started, is_ledger_update_started
        Whether the loops of the borrower and of the ledger's update were started.
    """

    def __init__(
        self, name: str, limits: Limits, session: OwnerSession, now: float
    ) -> None:
        self.name = name
        self.limits = limits
        self.session = session
        self.view = LedgerView(name)
        self.demand = DemandRate(now)
        self.lent_by_id: dict[str, Loan] = {}
        self.borrowed_by_id: dict[str, Loan] = {}
        self.tokens = 0.0
        self.rate = 0.0
        self.burst = 0.0
        self.updated_at = now
        self.next_change_at = inf
        self.known_validity: tuple[float, float] = (0.0, 0.0)
        self.waiting = 0
        self.used_at = now
        self.known_owners: tuple[str, ...] = ()
        self.tokens_changed = Event()
        self.borrower_woken = Event()
        self.ledger_woken = Event()
        self.is_borrower_started = False
        self.is_ledger_update_started = False

    def effective_limits(self) -> Limits:
        """Return the limits that all owners in the ledger apply: the smallest ones."""
        entries = self.view.other_entries(self.session.name)
        return Limits(
            min([self.limits.rate, *(entry.rate for entry in entries)]),
            min([self.limits.burst, *(entry.burst for entry in entries)]),
        )

    def recompute(self, now: float) -> None:
        """Compute rate, burst and the time of their next change as of `now`."""
        self.borrowed_by_id = self.active_loans(self.borrowed_by_id, now)
        self.lent_by_id = self.active_loans(self.lent_by_id, now)
        rate = sum(loan.rate for loan in self.borrowed_by_id.values())
        burst = sum(loan.burst for loan in self.borrowed_by_id.values())
        own = self.owned_limits(now)
        self.rate, self.burst = rate + own.rate, burst + own.burst
        self.tokens = min(self.tokens, self.burst)
        ends = [loan.ends_at for loan in self.borrowed_by_id.values()]
        ends += [loan.ends_at for loan in self.lent_by_id.values()]
        ends += [at for at in self.session.validity() if at > now]
        self.next_change_at = min(ends, default=inf)
        self.known_validity = self.session.validity()

    @staticmethod
    def active_loans(loans_by_id: dict[str, Loan], now: float) -> dict[str, Loan]:
        """Return the loans that have not ended."""
        return {
            loan_id: loan for loan_id, loan in loans_by_id.items() if loan.ends_at > now
        }

    def owned_limits(self, now: float) -> Limits:
        """Return what this VM owns and has not lent."""
        units = self.view.usable_units(self.session.name)
        if not units or not self.session.is_valid_at(now):
            return Limits(0.0, 0.0)
        limits = self.effective_limits()
        lent = self.lent_by_id.values()
        return Limits(
            max(0.0, limits.rate * units / UNITS - sum(loan.rate for loan in lent)),
            max(0.0, limits.burst * units / UNITS - sum(loan.burst for loan in lent)),
        )

    def refill(self, now: float) -> None:
        """Bring tokens, rate and burst up to `now`."""
        if self.known_validity != self.session.validity():
            self.recompute(self.updated_at)
        while self.updated_at < now:
            end = min(now, self.next_change_at)
            added = self.rate * max(0.0, end - self.updated_at)
            self.tokens = min(self.burst, self.tokens + added)
            self.updated_at = max(end, self.updated_at)
            if end >= self.next_change_at:
                self.recompute(end)

    def try_consume(self, now: float) -> bool:
        """Consume one token if there is one. Returns whether there was."""
        self.refill(now)
        if self.tokens < 1.0 - ROUNDING:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True

    def time_until_token(self, now: float) -> float:
        """Return the seconds until this VM has one token without further loans."""
        self.refill(now)
        if self.tokens >= 1.0 - ROUNDING:
            return 0.0
        if self.rate <= 0.0 or self.burst < 1.0:
            return inf
        return (1.0 - self.tokens) / self.rate

    def desired_limits(self, now: float) -> Limits:
        """Return the rate and burst that the current demand needs."""
        demand = self.demand.rate(now)
        # The burst is in proportion to demand: if VMs kept more, the first ones would
        # use up the burst and the other VMs could not keep a single token.
        burst = DEMAND_BURST_FRACTION * self.limits.burst * demand / self.limits.rate
        if burst < 1.0:
            return Limits(0.0, 0.0)
        return Limits(demand, min(burst, 2.0 + demand))

    def lend(self, loan_id: str, loan: Loan, tokens: float, now: float) -> None:
        """Subtract a loan before it is sent."""
        self.refill(now)
        self.lent_by_id[loan_id] = loan
        self.tokens -= tokens
        self.recompute(now)

    def extend_lent(self, loan_id: str, peer: str, ends_at: float, now: float) -> bool:
        """Extend a lent loan that has not ended. Returns whether it was extended."""
        self.refill(now)
        loan = self.lent_by_id.get(loan_id)
        if loan is None or loan.peer != peer or not self.session.is_valid_at(now):
            return False
        self.lent_by_id[loan_id] = loan._replace(ends_at=ends_at)
        self.recompute(now)
        return True

    def record_return(self, loan_id: str, peer: str, tokens: float, now: float) -> None:
        """Add the capacity of a lent loan that the borrower has returned."""
        self.refill(now)
        loan = self.lent_by_id.get(loan_id)
        if loan is None or loan.peer != peer:
            return
        del self.lent_by_id[loan_id]
        self.recompute(now)
        self.tokens = min(self.burst, self.tokens + min(tokens, loan.burst))
        self.notify_waiters()

    def borrow(self, loan_id: str, loan: Loan, tokens: float, now: float) -> None:
        """Add a borrowed loan unless it has ended already."""
        self.refill(now)
        if loan.ends_at <= now or loan_id in self.borrowed_by_id:
            return
        self.borrowed_by_id[loan_id] = loan
        self.recompute(now)
        self.tokens = min(self.burst, self.tokens + min(tokens, loan.burst))
        self.notify_waiters()

    def extend_borrowed(self, loan_id: str, ends_at: float, now: float) -> None:
        """Extend a borrowed loan that has not ended."""
        self.refill(now)
        loan = self.borrowed_by_id.get(loan_id)
        if loan is not None:
            ends_at = max(loan.ends_at, ends_at)
            self.borrowed_by_id[loan_id] = loan._replace(ends_at=ends_at)
            self.recompute(now)

    def drop_borrowed(self, loan_id: str, now: float) -> tuple[Loan, float] | None:
        """Remove a borrowed loan. Returns it with the tokens to return."""
        self.refill(now)
        loan = self.borrowed_by_id.pop(loan_id, None)
        if loan is None:
            return None
        before = self.tokens
        self.recompute(now)
        return loan, min(before - self.tokens, loan.burst)

    # The methods below first refill at the rate and burst before their change: units
    # that another VM owned until now must not add tokens for the time before.

    def adopt(self, version: int, ledger: Ledger | None, now: float) -> None:
        """Apply ledger content that was read or written."""
        self.refill(now)
        fresh = self.view.adopt(version, ledger)
        self.recompute(now)
        added = fresh * self.effective_limits().burst / UNITS
        self.tokens = min(self.burst, self.tokens + added)
        self.notify_waiters()

    def begin_write(self, units: int, now: float) -> None:
        """Use at most `units` from now on, before a write that may leave this many."""
        self.refill(now)
        self.view.record_pending_write(units)
        self.recompute(now)

    def set_limits(self, limits: Limits, now: float) -> None:
        """Apply the limits of a configuration if they changed."""
        if limits != self.limits:
            self.refill(now)
            self.limits = limits
            self.recompute(now)
            self.ledger_woken.set()

    def notify_waiters(self) -> None:
        """Make the waiting requests try again to consume a token."""
        self.tokens_changed.set()
        self.tokens_changed = Event()
