"""Byte budget of the metered link between regions, in this VM's share."""

from primroseturn.limits.bucket import TokenBucket

# Downloads may use the link only while this part of the budget is unused, so that
# all other traffic comes first.
DOWNLOAD_RESERVE = 0.5
BURST_S = 2.0
TYPICAL_REQUEST_BYTES = 8_192
TYPICAL_DOWNLOAD_BYTES = 1_048_576


class MeteredLink:
    """Grants bytes on the metered link."""

    def __init__(self, bytes_per_s: float, now: float) -> None:
        burst = bytes_per_s * BURST_S
        self.bucket = TokenBucket(bytes_per_s, burst, burst, now)

    def set_rate(self, bytes_per_s: float, now: float) -> None:
        """Take over a new share of the budget."""
        if bytes_per_s == self.bucket.rate:
            return
        self.bucket.refill(now)
        self.bucket.rate = bytes_per_s
        self.bucket.burst = bytes_per_s * BURST_S
        self.bucket.tokens = min(self.bucket.tokens, self.bucket.burst)

    def take(self, download: bool, now: float) -> bool:
        """Take the bytes of one typical request if the budget has them."""
        self.bucket.refill(now)
        if not download:
            return self.bucket.try_consume(TYPICAL_REQUEST_BYTES, now)
        # A download may exceed the burst; it is granted on a sufficiently full
        # bucket and paid off by waiting.
        if self.bucket.tokens <= DOWNLOAD_RESERVE * self.bucket.burst:
            return False
        self.bucket.tokens -= TYPICAL_DOWNLOAD_BYTES
        return True
