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

REQUEST_LIMIT_S = 0.1
# Pause between rounds while requests wait, doubled after each fruitless round: an
# overloaded workspace must not flood its owners.
FIRST_PAUSE_S = 0.01
LAST_PAUSE_S = 0.25
# How often loans are renewed, as a part of their life: twice, so that one lost
# message does not end them.
RENEWAL_PART = 0.4
RETURN_PART = 0.05
PEER_PAUSE_S = 1.0
LEAST_SHORTAGE = 1e-3


class Borrower:
    """Keeps enough rate and tokens on loan for the demand at this VM."""

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
        self.numbers = count(1)
        self.avoid_until_by_peer: dict[str, float] = {}

    async def keep(self, share: Share) -> None:
        """Borrow, extend and return loans of one workspace, for ever."""
        pause_s = FIRST_PAUSE_S
        while True:
            share.woken = Event()
            fruitful, hint_s = await self.run_round(share)
            pause_s = FIRST_PAUSE_S if fruitful else min(LAST_PAUSE_S, 2 * pause_s)
            await self.trim(share)
            if share.waiting:
                await self.clock.sleep(max(pause_s, hint_s))
                continue
            # With loans in hand, what the demand no longer calls for goes back soon.
            part = RETURN_PART if share.borrowed_by_id else RENEWAL_PART
            await self.clock.wait(share.woken, self.loan_s * part)

    async def run_round(self, share: Share) -> tuple[bool, float]:
        """Ask the owners in turn until nothing is short.

        Returns
        -------
        tuple
            Whether anything was lent, and the shortest time that an owner named.
        """
        hints: list[float] = []
        fruitful = False
        for peer in self.lenders_of(share):
            now = self.clock.now()
            if self.avoid_until_by_peer.get(peer, now) > now:
                continue
            request = self.form_request(share, peer, now)
            if request is None:
                continue
            grant = await self.ask(share, peer, request)
            if grant is not None:
                share.owners = grant.owners or share.owners
                fruitful = fruitful or bool(grant.loan_id)
                hints.append(grant.wait_s)
        return fruitful, min(hints, default=0.0)

    def form_request(self, share: Share, peer: str, now: float) -> LoanRequest | None:
        """Return the request for a peer, None if it is not needed."""
        share.refill(now)
        wanted = share.targets(now)
        soon = now + 2 * self.loan_s * RENEWAL_PART
        extend = tuple(
            key
            for key, loan in share.borrowed_by_id.items()
            if loan.peer == peer and loan.ends_at < soon and wanted.rate > 0
        )
        tokens = max(0.0, share.waiting - share.tokens)
        if tokens > 0:
            tokens += sqrt(wanted.rate) / 2
        rate = max(0.0, wanted.rate - share.rate)
        burst = max(0.0, wanted.burst - share.burst, tokens)
        burst = max(burst, share.tokens + tokens - share.burst)
        if not extend and tokens < LEAST_SHORTAGE and rate <= wanted.rate / 10:
            return None
        request_id = f"{self.bus.vm}/{self.bus.incarnation}/{next(self.numbers)}"
        return LoanRequest(request_id, share.name, tokens, rate, burst, extend)

    async def ask(
        self, share: Share, peer: str, request: LoanRequest
    ) -> LoanGrant | None:
        """Send a request and take over what is granted."""
        # A loan's life counts from here, which is never after the owner's grant.
        sent_at = self.clock.now()
        result = await self.bus.request(peer, request, REQUEST_LIMIT_S)
        if result.is_error():
            self.avoid_until_by_peer[peer] = self.clock.now() + PEER_PAUSE_S
            return None
        grant = result.ok
        if not isinstance(grant, LoanGrant) or grant.request_id != request.request_id:
            return None
        self.accept(share, peer, request, grant, sent_at)
        return grant

    def accept(
        self,
        share: Share,
        peer: str,
        request: LoanRequest,
        grant: LoanGrant,
        sent_at: float,
    ) -> None:
        """Add a granted loan and lengthen the extended ones."""
        ends_at = sent_at + self.loan_s
        now = self.clock.now()
        for key in grant.extended:
            if key in request.extend:
                share.extend_borrowed(key, ends_at, now)
        if grant.loan_id:
            loan = Loan(peer, grant.rate, grant.burst, ends_at)
            share.borrow(grant.loan_id, loan, grant.tokens, now)
            LOANS.labels("taken").inc()

    async def trim(self, share: Share) -> None:
        """Return the loans that the demand does not call for."""
        if share.waiting:
            return
        now = self.clock.now()
        share.refill(now)
        wanted = share.targets(now)
        for key, loan in list(share.borrowed_by_id.items()):
            rate_left = share.rate - loan.rate
            burst_left = share.burst - loan.burst
            if rate_left >= wanted.rate and burst_left >= wanted.burst:
                await self.give_back(share, key)

    async def give_back(self, share: Share, key: str) -> None:
        """Return one loan. It is given up here before the owner can regain it."""
        dropped = share.drop(key, self.clock.now())
        if dropped is not None:
            loan, tokens = dropped
            message = LoanReturn(share.name, key, tokens)
            await self.bus.send(loan.peer, message)
