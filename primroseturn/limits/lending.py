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

WAIT_FOR_LEDGER_S = 0.01
LONGEST_WAIT_S = 0.1


def holders(ledger: Ledger | None) -> tuple[str, ...]:
    """Return the VMs that hold units."""
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
        self.numbers = count(1)

    async def answer(self, sender: Sender, request: LoanRequest) -> LoanGrant | None:
        """Debit and grant what is free, and extend earlier loans."""
        share = self.find_share(request.workspace)
        if share is None:
            return None
        now = self.clock.now()
        share.used_at = now
        if not share.view.known:
            share.ledger_woken.set()
        peer = f"{sender.vm}/{sender.incarnation}"
        ends_at = now + self.loan_s * CLOCK_MARGIN
        extended = tuple(
            key for key in request.extend if share.extend_lent(key, peer, ends_at, now)
        )
        offer, tokens = self.offer(share, request, now)
        key = ""
        if tokens > 0 or offer.rate > 0:
            key = f"{self.name}-{next(self.numbers)}"
            share.lend(key, Loan(peer, *offer, ends_at), tokens, now)
            LOANS.labels("granted").inc()
        wait_s = self.wait_hint(share, request.tokens, now)
        owners = holders(share.view.ledger)
        return LoanGrant(
            request.request_id, key, tokens, *offer, extended, owners, wait_s
        )

    def offer(
        self, share: Share, request: LoanRequest, now: float
    ) -> tuple[Limits, float]:
        """Return what can be lent. Only owned capacity is lent on, never a loan."""
        share.refill(now)
        owned = share.owned(now)
        wanted = share.targets(now)
        spare_rate = max(0.0, owned.rate - wanted.rate)
        spare_burst = max(0.0, owned.burst - min(wanted.burst, owned.burst / 2))
        burst = min(max(0.0, request.burst), spare_burst)
        spare_tokens = max(0.0, share.tokens - share.waiting)
        tokens = min(max(0.0, request.tokens), spare_tokens, burst)
        rate = min(max(0.0, request.rate), spare_rate) if burst > 0 else 0.0
        return Limits(rate, burst), tokens

    def wait_hint(self, share: Share, tokens: float, now: float) -> float:
        """Return after what time this VM may have tokens to lend."""
        rate = share.owned(now).rate
        if rate <= 0:
            return WAIT_FOR_LEDGER_S if not share.view.known else LONGEST_WAIT_S
        return min(LONGEST_WAIT_S, max(0.0, tokens - share.tokens) / rate)

    async def take_back(self, sender: Sender, message: LoanReturn) -> None:
        """Regain a loan that the borrower gave back."""
        share = self.find_share(message.workspace)
        if share is not None:
            peer = f"{sender.vm}/{sender.incarnation}"
            tokens = max(0.0, message.tokens)
            share.regain(message.loan_id, peer, tokens, self.clock.now())
            LOANS.labels("returned").inc()
