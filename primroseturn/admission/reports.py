"""Bounds the reports that one VM contributes to the knowledge of the others.

A faulty VM may report any number of loads and refusals. Its reports are limited to what
the requests of one VM can give, so that those of the other VMs outweigh them.
"""

# Load reports and refusals per second that one VM may contribute. A VM receives at most
# 14 requests per second; retries and waiting digests add some.
MAX_REPORTS_PER_S = 20.0
# Reports that may come together after a pause, such as a lost link.
MAX_REPORTS_AT_ONCE = 20.0


class ReportLimit:
    """Token buckets for the reports of each VM."""

    def __init__(self) -> None:
        self.tokens_by_key: dict[str, tuple[float, float]] = {}

    def allow(self, key: str, count: int, now: float) -> int:
        """Return how many of `count` reports are used.

        Parameters
        ----------
        key
            The VM, and the kind of reports if it has several.
        """
        tokens, updated_at = self.tokens_by_key.get(key, (MAX_REPORTS_AT_ONCE, now))
        tokens += max(0.0, now - updated_at) * MAX_REPORTS_PER_S
        tokens = min(MAX_REPORTS_AT_ONCE, tokens)
        allowed = min(count, int(tokens))
        self.tokens_by_key[key] = (tokens - allowed, now)
        return allowed
