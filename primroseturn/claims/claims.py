"""Claims of at-most-once operations, for the request path."""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from random import Random
from typing import Any, NamedTuple

from anyio import Event
from expression import Error, Ok, Result

from primroseturn.claims.batches import Batches
from primroseturn.claims.commit import SlotCommitter
from primroseturn.claims.events import CLAIM_DROPPED, CLAIM_UNSETTLED
from primroseturn.claims.messages import ClaimReply, ClaimRequest
from primroseturn.claims.metrics import CLAIMS
from primroseturn.claims.models import (
    ClaimGranted,
    ClaimInDoubt,
    ClaimMismatch,
    ClaimUnavailable,
    Operation,
    OutcomeNotKept,
    RecordedOutcome,
)
from primroseturn.clock import Clock
from primroseturn.configuration.models import EntryVm
from primroseturn.control.bus import Bus, Sender
from primroseturn.failures import Failure, StoreUnavailable
from primroseturn.kernel.background import Background, run_background
from primroseturn.limits.owners import choose_owners
from primroseturn.observation.events import EventLog

COMMITTER_TIMEOUT_S = 0.25
COMMITTER_CACHE_S = 0.5
MAX_UNSETTLED_CHANGES = 2000
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 10.0


class ClaimDependencies(NamedTuple):
    """Dependencies of the claim protocol."""

    committer: SlotCommitter
    bus: Bus
    clock: Clock
    random: Random
    live_daemons: Callable[[], Mapping[str, EntryVm]]
    commit_interval_s: float
    events: EventLog


class CommitResult(NamedTuple):
    """The reply to a change, and whether the change was sent to a peer.

    Attributes
    ----------
    sent_to_peer
        Whether a delayed copy of the request may still reach the committer.
    """

    reply: ClaimReply
    sent_to_peer: bool


class Claims:
    """Claims operations through the committer of their claim slot, or directly.

    To settle a change is to commit a record or a release, repeatedly until the reply is
    `done`. At most `MAX_UNSETTLED_CHANGES` that are not settled yet are kept in memory.
    """

    def __init__(self, dependencies: ClaimDependencies, background: Background) -> None:
        self.committer = dependencies.committer
        self.bus = dependencies.bus
        self.clock = dependencies.clock
        self.random = dependencies.random
        self.live_daemons = dependencies.live_daemons
        self.events = dependencies.events
        self.background = background
        interval_s = dependencies.commit_interval_s
        self.batches = Batches(self.committer, self.clock, interval_s, background)
        self.unsettled_by_attempt: dict[str, ClaimRequest] = {}
        self.unsettled = Event()
        self.committers_by_prefix: dict[str, tuple[float, str]] = {}
        self.bus.register_handler(ClaimRequest, self.reply_to_change)

    async def claim(
        self, operation: Operation
    ) -> Result[ClaimGranted | RecordedOutcome, Failure]:
        """Claim an operation for its attempt, or return the recorded outcome.

        It must be called once per attempt: a grant allows one execution.
        """
        try:
            reply, sent_to_peer = await self.commit_change(
                make_change("claim", operation)
            )
        except BaseException:
            # Includes cancellations.
            self.release_later(operation)
            raise
        CLAIMS.labels(reply.verdict).inc()
        if reply.verdict == "granted":
            return Ok(ClaimGranted(operation))
        if reply.verdict == "recorded" and reply.outcome is not None:
            if reply.outcome.truncated:
                return Error(OutcomeNotKept(reply.outcome.status))
            return Ok(reply.outcome)
        if sent_to_peer or reply.verdict == "unavailable":
            self.release_later(operation)
        if reply.verdict == "in-doubt":
            return Error(ClaimInDoubt())
        if reply.verdict == "mismatch":
            return Error(ClaimMismatch())
        return Error(ClaimUnavailable())

    async def record(self, operation: Operation, outcome: RecordedOutcome) -> None:
        """Record the outcome of an operation that this attempt ran.

        While the store is unavailable, the record is retried as long as this process
        runs, unless more than `MAX_UNSETTLED_CHANGES` are pending (see `postpone`).
        """
        await self.settle(make_change("record", operation, outcome))

    async def release(self, operation: Operation) -> None:
        """Release a claim whose operation certainly did not run."""
        await self.settle(make_change("release", operation))

    def release_later(self, operation: Operation) -> None:
        """Release an attempt in the background, as its claim may have been recorded.

        The attempt never runs. A write in flight, or a delayed copy of its request at
        the committer, could still claim the operation after its current holder has
        released it; all later requests would get the verdict `in-doubt` until the
        retention ends.
        """
        self.postpone(make_change("release", operation))

    async def commit_change(self, change: ClaimRequest) -> CommitResult:
        """Commit a change through its slot's committer, or directly if that fails."""
        try:
            prefix = await self.committer.locate(change.operation_id)
        except StoreUnavailable:
            return CommitResult(ClaimReply(change.attempt, "unavailable"), False)
        peer = self.committer_of(prefix)
        if peer != self.bus.vm:
            result = await self.bus.request(peer, change, COMMITTER_TIMEOUT_S)
            reply = result.default_value(None)
            if self.is_valid_reply(change, reply):
                return CommitResult(reply, True)
        return CommitResult(await self.batches.submit(change), peer != self.bus.vm)

    def committer_of(self, prefix: str) -> str:
        """Return the VM that commits the changes of a claim slot.

        Any VM may commit, but fewer writes are needed if only one does.
        """
        now = self.clock.now()
        cached_until, peer = self.committers_by_prefix.get(prefix, (now, ""))
        if now >= cached_until:
            chosen = choose_owners(prefix, self.live_daemons(), 1)
            peer = chosen[0] if chosen else self.bus.vm
            self.committers_by_prefix[prefix] = (now + COMMITTER_CACHE_S, peer)
        return peer

    @staticmethod
    def is_valid_reply(change: ClaimRequest, reply: Any) -> bool:
        """Return whether a reply belongs to a change and is not "unavailable"."""
        return (
            isinstance(reply, ClaimReply)
            and reply.attempt == change.attempt
            and (reply.verdict == "done") == (change.action != "claim")
            and reply.verdict != "unavailable"
        )

    async def reply_to_change(self, sender: Sender, change: ClaimRequest) -> ClaimReply:
        """Commit a change of a peer."""
        return await self.batches.submit(change)

    async def settle(self, change: ClaimRequest) -> None:
        """Commit a record or a release, or postpone it if that fails."""
        settled = False

        async def settle_now() -> None:
            nonlocal settled
            reply, _ = await self.commit_change(change)
            settled = reply.verdict == "done"

        try:
            # An error here does not change the response to the caller.
            await self.background.run_task(settle_now)
        finally:
            if not settled:
                self.postpone(change)

    def postpone(self, change: ClaimRequest) -> None:
        """Keep a change in memory to commit it later; drop the oldest if too many."""
        if len(self.unsettled_by_attempt) >= MAX_UNSETTLED_CHANGES:
            oldest = next(iter(self.unsettled_by_attempt))
            del self.unsettled_by_attempt[oldest]
            self.events.emit(CLAIM_DROPPED, attempt=oldest)
        self.unsettled_by_attempt[change.attempt] = change
        self.events.emit(CLAIM_UNSETTLED, attempt=change.attempt, action=change.action)
        self.unsettled.set()

    async def settle_for_ever(self) -> None:
        """Commit the postponed changes, with backoff until the store responds."""
        delay = MIN_RETRY_DELAY_S
        while True:
            await self.unsettled.wait()
            await self.clock.sleep(delay * (0.5 + self.random.random()))
            delay = min(2 * delay, MAX_RETRY_DELAY_S)
            for attempt, change in list(self.unsettled_by_attempt.items()):
                try:
                    reply, _ = await self.commit_change(change)
                except Exception:
                    # When this task restarts, it commits the other changes first.
                    self.unsettled_by_attempt.pop(attempt, None)
                    self.unsettled_by_attempt[attempt] = change
                    raise
                if reply.verdict != "done":
                    break
                self.unsettled_by_attempt.pop(attempt, None)
            if not self.unsettled_by_attempt:
                self.unsettled = Event()
                delay = MIN_RETRY_DELAY_S


def make_change(
    action: str, operation: Operation, outcome: RecordedOutcome | None = None
) -> ClaimRequest:
    """Return the request for a change by the attempt of an operation."""
    return ClaimRequest(
        action,
        operation.operation_id,
        operation.attempt,
        operation.fingerprint,
        outcome,
    )


@asynccontextmanager
async def run_claims(dependencies: ClaimDependencies) -> AsyncIterator[Claims]:
    """Run claims during the context."""
    async with run_background(dependencies.events) as background:
        claims = Claims(dependencies, background)
        background.keep_running(claims.settle_for_ever)
        try:
            yield claims
        finally:
            claims.batches.close()
