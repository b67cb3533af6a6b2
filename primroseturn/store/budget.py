"""Keeps the calls of the whole fleet to the store within the platform's limits.

Each daemon is sure of an even share of the fleet's rate. Demand is uneven, so a daemon
may use more while the store refuses nothing: its rate grows with each answered call
and falls back to the share with a refusal. No daemon has to know what the others use.
"""

from anyio import current_time, sleep

# Growth per answered call, in shares: quick until the store has refused a call, slow
# for some time afterwards.
QUICK_GROWTH = 0.2
SLOW_GROWTH = 0.005
SLOW_TIME_S = 10.0
# Calls that may be sent at once after a quiet time, in seconds of the rate.
BURST_S = 1.0
MIN_BURST_CALLS = 5.0


class CallBudget:
    """Token bucket for one kind of call.

    Attributes
    ----------
    rate
        Calls per second that this daemon allows itself now.
    """

    def __init__(self, fleet_rate: float) -> None:
        self.fleet_rate = fleet_rate
        self.share = fleet_rate
        self.rate = fleet_rate
        self.tokens = self.burst()
        self.filled_at: float | None = None
        self.refused_at = float("-inf")

    def set_fleet_size(self, daemons: int) -> None:
        """Divide the fleet's rate by a new number of daemons."""
        share = self.fleet_rate / max(daemons, 1)
        if share != self.share:
            self.share = share
            self.rate = share
            self.tokens = min(self.tokens, self.burst())

    def burst(self) -> float:
        """Return the number of calls that may be sent at once."""
        return max(self.rate * BURST_S, MIN_BURST_CALLS)

    def refill(self) -> None:
        """Add the tokens for the time that has passed."""
        now = current_time()
        if self.filled_at is not None:
            self.tokens += (now - self.filled_at) * self.rate
        self.tokens = min(self.tokens, self.burst())
        self.filled_at = now

    async def acquire(self, limit_s: float) -> bool:
        """Wait for the right to make a call; False if that takes too long."""
        self.refill()
        # The debt orders the waiting calls and bounds their number.
        if self.tokens < 1 - limit_s * self.rate:
            return False
        self.tokens -= 1
        if self.tokens < 0:
            await sleep(-self.tokens / self.rate)
        return True

    def record_response(self, refused: bool) -> None:
        """Adapt the rate to the answer of a call."""
        now = current_time()
        if refused:
            self.refused_at = now
            self.rate = self.share
            self.tokens = min(self.tokens, 0.0)
            return
        slow = now - self.refused_at < SLOW_TIME_S
        growth = SLOW_GROWTH if slow else QUICK_GROWTH
        self.rate = min(self.fleet_rate, self.rate + growth * self.share)
