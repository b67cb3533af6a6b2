"""Builds the refusals of requests of callers."""

from random import Random

from anyio import current_time

from primroseturn.entry.attempt import AttemptOutcome, AttemptResult
from primroseturn.entry.memory import STALL_S
from primroseturn.entry.request import EntryRequest
from primroseturn.failures import Refusal
from primroseturn.queueing.retry_after import retry_after_quiet_s, retry_after_s
from primroseturn.requestpath.refusals import RequestRefused
from primroseturn.routing.choices import NoTargetReason
from primroseturn.routing.placement import Placement

# Expected time in seconds until a VM without recent keys or targets has received them.
VIEW_REFRESH_S = 0.5
# Expected time in seconds until a target in an allowed region, or one that is not cold,
# can be used. Targets return seconds after a fault at the earliest.
TARGET_RETURN_S = 1.0
DETAILS_BY_REASON = {
    NoTargetReason.REGION: "no target in the allowed regions can be used",
    NoTargetReason.COLD: "all targets that can be used are cold",
}
# Statuses of refusals. The platform takes 503 and 429 to mean that the request did not
# run.
SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS = 503, 429
BAD_GATEWAY, GATEWAY_TIMEOUT = 502, 504
# Kind of the refusals of requests for which there is no memory.
MEMORY_EXHAUSTED = "memory-exhausted"


class RefusalBuilder:
    """Builds refusals, with the delay after which callers should retry."""

    def __init__(self, placement: Placement, random: Random) -> None:
        self.placement = placement
        self.random = random

    def retryable(
        self,
        kind: str,
        detail: str,
        wait_s: float = VIEW_REFRESH_S,
        left_s: float = 10.0,
    ) -> RequestRefused:
        """Return the refusal of a request that has not run and may be sent again.

        Parameters
        ----------
        wait_s
            Time in seconds after which a retry is expected to succeed.
        left_s
            Time in seconds until the request's deadline.
        """
        delay_s = retry_after_s(wait_s, left_s, self.random)
        return RequestRefused(Refusal(kind, SERVICE_UNAVAILABLE, detail, "no", delay_s))

    def timeout(self, request: EntryRequest, is_stopping: bool) -> RequestRefused:
        """Return the refusal of a request whose time has passed, or that of this VM."""
        kind, detail = "deadline-exceeded", "the request's time has passed"
        if request.left_s() > 0 and is_stopping:
            kind, detail = "stopping", "this VM stops before the request has ended"
        if request.may_have_run:
            return RequestRefused(Refusal(kind, GATEWAY_TIMEOUT, detail, "unknown"))
        return self.retryable(kind, detail, left_s=max(0.0, request.left_s()))

    def no_target(self, request: EntryRequest) -> RequestRefused:
        """Return the refusal of a request that was sent to no target."""
        left_s = request.left_s()
        quiet_s = self.placement.shortest_quiet_s(request.traits, current_time())
        if quiet_s is not None:
            detail = f"all targets of the service want no requests for {quiet_s:.2f} s"
            delay_s = retry_after_quiet_s(quiet_s, self.random)
            return RequestRefused(
                Refusal("targets-quiet", SERVICE_UNAVAILABLE, detail, "no", delay_s)
            )
        obstacle = self.placement.find_obstacle(request.traits, current_time())
        if obstacle is not None:
            return self.obstacle(request, obstacle)
        detail = "no target of the service can take the request"
        wait_s = self.placement.typical_duration_s(request.traits)
        return self.retryable("no-target", detail, wait_s, left_s)

    def obstacle(self, request: EntryRequest, reason: NoTargetReason) -> RequestRefused:
        """Return the refusal of a request for a reason that the placement states."""
        detail = DETAILS_BY_REASON[reason]
        return self.retryable(reason.value, detail, TARGET_RETURN_S, request.left_s())

    def no_response(
        self, request: EntryRequest, result: AttemptResult, wait_s: float
    ) -> RequestRefused:
        """Return the refusal of a request whose attempts gave no valid response.

        Parameters
        ----------
        wait_s
            Expected time in seconds until the targets have room.
        """
        if result.end is AttemptOutcome.ERROR and not request.may_have_run:
            refusal = Refusal("internal-error", 500, "internal error", "no")
            return RequestRefused(refusal)
        if not request.may_have_run:
            detail = "the targets had no room for the request"
            return self.retryable("no-room", detail, wait_s, request.left_s())
        detail = "the target gave no whole answer"
        refusal = Refusal("upstream-failed", BAD_GATEWAY, detail, "unknown")
        return RequestRefused(refusal)

    def memory(self, request: EntryRequest) -> RequestRefused:
        """Return the refusal of a request for which there is no memory."""
        detail = "the requests under way hold all memory of this VM"
        return self.retryable(MEMORY_EXHAUSTED, detail, STALL_S, request.left_s())
