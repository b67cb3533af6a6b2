"""Admits requests of a workspace within this VM's tokens."""

from anyio import current_time, sleep
from expression import Error, Ok, Result

from primroseturn.configuration.models import Workspace
from primroseturn.failures import Failure
from primroseturn.limits.bucket import TokenBucket


class RateExceeded(Failure):
    """The workspace has no tokens left."""

    code = "rate-exceeded"

    def __init__(self, workspace: str, retry_after_s: float) -> None:
        super().__init__(f"workspace {workspace!r} exceeds its rate")
        self.retry_after_s = retry_after_s


class Admission:
    """Local buckets by workspace, each a static share of the fleet's rate."""

    def __init__(self, fraction: float = 1.0) -> None:
        self.fraction = fraction
        self.buckets_by_workspace: dict[str, TokenBucket] = {}

    async def admit(
        self, workspace: Workspace, wait_s: float
    ) -> Result[None, RateExceeded]:
        """Take one token, waiting at most `wait_s` for it."""
        bucket = self.bucket_of(workspace)
        deadline = current_time() + wait_s
        while not bucket.take(1.0, current_time()):
            delay = bucket.time_until(1.0, current_time())
            if current_time() + delay > deadline:
                return Error(RateExceeded(workspace.name, delay))
            await sleep(delay)
        return Ok(None)

    def bucket_of(self, workspace: Workspace) -> TokenBucket:
        """Return the bucket of a workspace, new after a change of its limits."""
        bucket = self.buckets_by_workspace.get(workspace.name)
        rate = workspace.rate * self.fraction
        burst = workspace.burst * self.fraction
        if bucket is None:
            bucket = TokenBucket(rate, burst, burst, current_time())
            self.buckets_by_workspace[workspace.name] = bucket
        elif (bucket.rate, bucket.burst) != (rate, burst):
            bucket.refill(current_time())
            bucket.rate, bucket.burst = rate, burst
        return bucket
