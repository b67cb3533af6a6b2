"""This VM's part of the byte budget of the metered link between regions."""

from primroseturn.limits.bucket import TokenBucket

# Downloads may use the link only while more than this fraction of the burst is unused,
# so that all other traffic comes first.
DOWNLOAD_RESERVE = 0.5
BURST_S = 2.0
TYPICAL_REQUEST_BYTES = 8_192
TYPICAL_DOWNLOAD_BYTES = 1_048_576


class MeteredLink:
    """Limits requests over the metered link by the typical bytes of their exchanges.

    The bytes that are sent and received are not counted.
    """

    def __init__(self, bytes_per_s: float, now: float) -> None:
        burst = bytes_per_s * BURST_S
        self.bucket = TokenBucket(bytes_per_s, burst, burst, now)

    def set_rate(self, bytes_per_s: float, now: float) -> None:
        """Set this VM's part of the byte rate."""
        if bytes_per_s == self.bucket.rate:
            return
        self.bucket.refill(now)
        self.bucket.rate = bytes_per_s
        self.bucket.burst = bytes_per_s * BURST_S
        self.bucket.tokens = min(self.bucket.tokens, self.bucket.burst)

    def consume(self, download: bool, now: float) -> bool:
        """Consume the bytes of a typical request or download if the budget allows it.

        Returns
        -------
        bool
            Whether the request may use the link.
        """
        self.bucket.refill(now)
        if not download:
            return self.bucket.try_consume(TYPICAL_REQUEST_BYTES, now)
        # A download may exceed the burst. It is allowed when the bucket is full enough
        # and may leave it with negative tokens, which delay later requests.
        if self.bucket.tokens <= DOWNLOAD_RESERVE * self.bucket.burst:
            return False
        self.bucket.tokens -= TYPICAL_DOWNLOAD_BYTES
        return True
