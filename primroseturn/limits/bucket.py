"""Token bucket on the monotonic clock."""


class TokenBucket:
    """Admits at most ``burst + rate x (t2 - t1)`` requests between times t1 and t2.

    Parameters
    ----------
    rate
        Tokens per second.
    burst
        Largest number of tokens in the bucket.
    tokens
        Tokens at the start.
    now
        Monotonic time in seconds.
    """

    def __init__(self, rate: float, burst: float, tokens: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = min(tokens, burst)
        self.updated_at = now

    def refill(self, now: float) -> None:
        """Add the tokens since the last call. An earlier `now` adds none."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated_at = max(now, self.updated_at)

    def try_consume(self, count: float, now: float) -> bool:
        """Consume `count` tokens if there are as many. Returns whether there were."""
        self.refill(now)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def seconds_until(self, count: float, now: float) -> float:
        """Return the seconds until there are `count` tokens, if none are consumed."""
        self.refill(now)
        if self.tokens >= count:
            return 0.0
        if self.rate <= 0 or count > self.burst:
            return float("inf")
        return (count - self.tokens) / self.rate
