"""The borrower's side of loans."""

from collections.abc import Callable
from itertools import count
from math import sqrt

from anyio import Event

from primroseturn.clock import Clock
from primroseturn.control.bus import Bus
from primroseturn.limits.messages import LoanGrant, LoanRequest, LoanReturn
from primroseturn.limits.metrics import LOANS
from primroseturn.limits.share import Loan, Share

REQUEST_TIMEOUT_S = 0.1
# Pause between rounds while requests wait. It is doubled after each round without a
# grant, so that an overloaded workspace does not flood its owners.
MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 0.25
# Interval between renewals of a loan as a fraction of the loan's duration. Two renewals
# fit into the duration, so that one lost message does not end the loan.
RENEWAL_FRACTION = 0.4
RETURN_CHECK_FRACTION = 0.05
# A peer that did not reply gets no request for this time.
PEER_BACKOFF_S = 1.0
MIN_SHORTAGE_TOKENS = 1e-3


class Borrower:
    """Borrows enough rate and tokens for the demand at this VM."""

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        loan_s: float,
        lenders_of: Callable[[Share], list[str]],
    ) -> None:
        self.clock = clock
        self.bus = bus
        self.loan_s = loan_s
        self.lenders_of = lenders_of
        self.sequence = count(1)
        self.backoff_until_by_peer: dict[str, float] = {}

    async def keep(self, share: Share) -> None:
        """Borrow, extend and return loans of one workspace until cancelled."""
        pause_s = MIN_PAUSE_S
        while True:
            share.borrower_woken = Event()
            any_granted, wait_s = await self.run_round(share)
            pause_s = MIN_PAUSE_S if any_granted else min(MAX_PAUSE_S, 2 * pause_s)
            await self.return_surplus(share)
            if share.waiting:
                await self.clock.sleep(max(pause_s, wait_s))
                continue
            # A short interval returns loans soon after the demand no longer needs them.
            interval_fraction = (
                RETURN_CHECK_FRACTION if share.borrowed_by_id else RENEWAL_FRACTION
            )
            await self.clock.wait(share.borrower_woken, self.loan_s * interval_fraction)

    async def run_round(self, share: Share) -> tuple[bool, float]:
        """Request loans from the owners in turn until the demand is covered.

        Returns
        -------
        tuple
            Whether anything was lent, and the shortest wait in seconds that an owner
            stated.
        """
        waits: list[float] = []
        any_granted = False
        for peer in self.lenders_of(share):
            now = self.clock.now()
            if self.backoff_until_by_peer.get(peer, now) > now:
                continue
            request = self.make_request(share, peer, now)
            if request is None:
                continue
            grant = await self.request_loan(share, peer, request)
            if grant is not None:
                share.known_owners = grant.owners or share.known_owners
                any_granted = any_granted or bool(grant.loan_id)
                waits.append(grant.wait_s)
        return any_granted, min(waits, default=0.0)

    def make_request(self, share: Share, peer: str, now: float) -> LoanRequest | None:
        """Return the request for a peer, or None if none is needed."""
        share.refill(now)
        desired = share.desired_limits(now)
        renew_before = now + 2 * self.loan_s * RENEWAL_FRACTION
        extend = tuple(
            loan_id
            for loan_id, loan in share.borrowed_by_id.items()
            if loan.peer == peer and loan.ends_at < renew_before and desired.rate > 0
        )
        tokens = max(0.0, share.waiting - share.tokens)
        if tokens > 0:
            tokens += sqrt(desired.rate) / 2
        rate = max(0.0, desired.rate - share.rate)
        burst = max(0.0, desired.burst - share.burst, tokens)
        burst = max(burst, share.tokens + tokens - share.burst)
        if not extend and tokens < MIN_SHORTAGE_TOKENS and rate <= desired.rate / 10:
            return None
        request_id = f"{self.bus.vm}/{self.bus.incarnation}/{next(self.sequence)}"
        return LoanRequest(request_id, share.name, tokens, rate, burst, extend)

    async def request_loan(
        self, share: Share, peer: str, request: LoanRequest
    ) -> LoanGrant | None:
        """Send a request and accept the grant."""
        # The loan's duration is counted from here, which is never after the owner's
        # grant.
        sent_at = self.clock.now()
        result = await self.bus.request(peer, request, REQUEST_TIMEOUT_S)
        if result.is_error():
            self.backoff_until_by_peer[peer] = self.clock.now() + PEER_BACKOFF_S
            return None
        grant = result.ok
        if not isinstance(grant, LoanGrant) or grant.request_id != request.request_id:
            return None
        self.accept_grant(share, peer, request, grant, sent_at)
        return grant

    def accept_grant(
        self,
        share: Share,
        peer: str,
        request: LoanRequest,
        grant: LoanGrant,
        sent_at: float,
    ) -> None:
        """Add the granted loan and extend the earlier ones."""
        ends_at = sent_at + self.loan_s
        now = self.clock.now()
        for loan_id in grant.extended:
            if loan_id in request.extend:
                share.extend_borrowed(loan_id, ends_at, now)
        if grant.loan_id:
            loan = Loan(peer, grant.rate, grant.burst, ends_at)
            share.borrow(grant.loan_id, loan, grant.tokens, now)
            LOANS.labels("taken").inc()

    async def return_surplus(self, share: Share) -> None:
        """Return the loans that the demand does not need."""
        if share.waiting:
            return
        now = self.clock.now()
        share.refill(now)
        desired = share.desired_limits(now)
        for loan_id, loan in list(share.borrowed_by_id.items()):
            rate_left = share.rate - loan.rate
            burst_left = share.burst - loan.burst
            if rate_left >= desired.rate and burst_left >= desired.burst:
                await self.return_loan(share, loan_id)

    async def return_loan(self, share: Share, loan_id: str) -> None:
        """Return one loan. It ends here before the owner can lend it again."""
        returned = share.drop_borrowed(loan_id, self.clock.now())
        if returned is not None:
            loan, tokens = returned
            message = LoanReturn(share.name, loan_id, tokens)
            await self.bus.send(loan.peer, message)
