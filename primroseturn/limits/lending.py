"""The owner's side of loans."""

from collections.abc import Callable
from itertools import count

from primroseturn.clock import Clock, CLOCK_MARGIN
from primroseturn.control.bus import Sender
from primroseturn.limits.ledger import Ledger
from primroseturn.limits.messages import LoanGrant, LoanRequest, LoanReturn
from primroseturn.limits.metrics import LOANS
from primroseturn.limits.sessions import owner_of
from primroseturn.limits.share import Limits, Loan, Share

# Wait that this VM states to borrowers until it has read the ledger.
LEDGER_WAIT_S = 0.01
# Longest wait that this VM states to borrowers.
MAX_WAIT_S = 0.1


def unit_owners(ledger: Ledger | None) -> tuple[str, ...]:
    """Return the VMs that own units."""
    names = ledger.shares if ledger else ()
    return tuple(owner_of(name).partition("@")[0] for name in names)


class Lender:
    """Grants loans of units that this VM owns."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        loan_s: float,
        find_share: Callable[[str], Share | None],
    ) -> None:
        self.clock = clock
        self.name = name
        self.loan_s = loan_s
        self.find_share = find_share
        self.sequence = count(1)

    async def reply_to_request(
        self, sender: Sender, request: LoanRequest
    ) -> LoanGrant | None:
        """Grant what can be lent, and extend earlier loans."""
        share = self.find_share(request.workspace)
        if share is None:
            return None
        now = self.clock.now()
        share.used_at = now
        if not share.view.is_current:
            share.ledger_woken.set()
        peer = f"{sender.vm}/{sender.incarnation}"
        ends_at = now + self.loan_s * CLOCK_MARGIN
        extended = tuple(
            loan_id
            for loan_id in request.extend
            if share.extend_lent(loan_id, peer, ends_at, now)
        )
        offer, tokens = self.compute_offer(share, request, now)
        loan_id = ""
        if tokens > 0 or offer.rate > 0:
            loan_id = f"{self.name}-{next(self.sequence)}"
            share.lend(loan_id, Loan(peer, *offer, ends_at), tokens, now)
            LOANS.labels("granted").inc()
        wait_s = self.expected_wait_s(share, request.tokens, now)
        owners = unit_owners(share.view.ledger)
        return LoanGrant(
            request.request_id, loan_id, tokens, *offer, extended, owners, wait_s
        )

    def compute_offer(
        self, share: Share, request: LoanRequest, now: float
    ) -> tuple[Limits, float]:
        """Return what can be lent: only owned capacity, never borrowed capacity."""
        share.refill(now)
        owned = share.owned_limits(now)
        desired = share.desired_limits(now)
        spare_rate = max(0.0, owned.rate - desired.rate)
        spare_burst = max(0.0, owned.burst - min(desired.burst, owned.burst / 2))
        burst = min(max(0.0, request.burst), spare_burst)
        spare_tokens = max(0.0, share.tokens - share.waiting)
        tokens = min(max(0.0, request.tokens), spare_tokens, burst)
        rate = min(max(0.0, request.rate), spare_rate) if burst > 0 else 0.0
        return Limits(rate, burst), tokens

    def expected_wait_s(self, share: Share, tokens: float, now: float) -> float:
        """Return the seconds until this VM may have tokens to lend."""
        rate = share.owned_limits(now).rate
        if rate <= 0:
            return LEDGER_WAIT_S if not share.view.is_current else MAX_WAIT_S
        return min(MAX_WAIT_S, max(0.0, tokens - share.tokens) / rate)

    async def handle_return(self, sender: Sender, message: LoanReturn) -> None:
        """Add the capacity of a returned loan to the share again."""
        share = self.find_share(message.workspace)
        if share is not None:
            peer = f"{sender.vm}/{sender.incarnation}"
            tokens = max(0.0, message.tokens)
            share.record_return(message.loan_id, peer, tokens, self.clock.now())
            LOANS.labels("returned").inc()
