"""Keeps the calls of the whole fleet to the store within the platform's limits.

Each daemon is guaranteed the fleet's rate divided by the number of daemons. Demand is
uneven, so a daemon may exceed this rate while the store refuses no calls: its rate
grows with each accepted call and falls back to the guaranteed one after a refusal. The
daemons need not know each other's rates.
"""

from anyio import current_time, sleep

# Growth of the rate per accepted call, as a fraction of the guaranteed rate. It is slow
# for some time after the store has refused a call.
FAST_GROWTH = 0.2
SLOW_GROWTH = 0.005
SLOW_GROWTH_DURATION_S = 10.0
# Calls that may be sent at once after an idle time, as seconds of the rate.
BURST_S = 1.0
MIN_BURST_CALLS = 5.0


class CallBudget:
    """Token bucket that limits one kind of call of this daemon.

    Attributes
    ----------
    fleet_calls_per_s
        Calls per second that all daemons may make together.
    guaranteed_calls_per_s
        Calls per second that each daemon is guaranteed: an even part of the fleet's.
    calls_per_s
        Calls per second that this daemon may make now.
    tokens
        Number of calls that may be made now; negative while calls wait.
    """

    def __init__(self, fleet_calls_per_s: float) -> None:
        self.fleet_calls_per_s = fleet_calls_per_s
        self.guaranteed_calls_per_s = fleet_calls_per_s
        self.calls_per_s = fleet_calls_per_s
        self.tokens = self.burst_calls()
        self.refilled_at: float | None = None
        self.refused_at = float("-inf")

    def set_fleet_size(self, daemon_count: int) -> None:
        """Set the guaranteed rate for a new number of daemons."""
        guaranteed_calls_per_s = self.fleet_calls_per_s / max(daemon_count, 1)
        if guaranteed_calls_per_s != self.guaranteed_calls_per_s:
            self.guaranteed_calls_per_s = guaranteed_calls_per_s
            self.calls_per_s = guaranteed_calls_per_s
            self.tokens = min(self.tokens, self.burst_calls())

    def burst_calls(self) -> float:
        """Return the number of calls that may be sent at once."""
        return max(self.calls_per_s * BURST_S, MIN_BURST_CALLS)

    def refill(self) -> None:
        """Add the tokens for the time since the last refill."""
        now = current_time()
        if self.refilled_at is not None:
            self.tokens += (now - self.refilled_at) * self.calls_per_s
        self.tokens = min(self.tokens, self.burst_calls())
        self.refilled_at = now

    async def acquire(self, max_wait_s: float) -> bool:
        """Wait for a token for a call.

        Returns
        -------
        bool
            Whether the call may be made; False at once if the wait would be longer
            than `max_wait_s`.
        """
        self.refill()
        # Waiting calls make the number of tokens negative: this puts them in order and
        # bounds their number.
        if self.tokens < 1 - max_wait_s * self.calls_per_s:
            return False
        self.tokens -= 1
        if self.tokens < 0:
            await sleep(-self.tokens / self.calls_per_s)
        return True

    def record_response(self, refused: bool) -> None:
        """Adapt the rate to the response to a call."""
        now = current_time()
        if refused:
            self.refused_at = now
            self.calls_per_s = self.guaranteed_calls_per_s
            self.tokens = min(self.tokens, 0.0)
            return
        refused_recently = now - self.refused_at < SLOW_GROWTH_DURATION_S
        growth = SLOW_GROWTH if refused_recently else FAST_GROWTH
        self.calls_per_s = min(
            self.fleet_calls_per_s,
            self.calls_per_s + growth * self.guaranteed_calls_per_s,
        )
