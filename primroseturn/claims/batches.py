"""Gathers changes of the same slot and commits them together."""

from anyio import Event

from primroseturn.claims.commit import SlotCommitter, SlotMoved
from primroseturn.claims.messages import ClaimReply, ClaimRequest
from primroseturn.clock import Clock
from primroseturn.failures import StoreUnavailable
from primroseturn.kernel.background import Background

BATCH_CHANGES = 32


class Waiting:
    """A change in a batch and the reply to it."""

    def __init__(self, change: ClaimRequest) -> None:
        self.change = change
        self.answered = Event()
        self.reply = ClaimReply(change.attempt, "unavailable")


class Batches:
    """One task per slot with waiting changes."""

    def __init__(
        self,
        committer: SlotCommitter,
        clock: Clock,
        interval_s: float,
        background: Background,
    ) -> None:
        self.committer = committer
        self.clock = clock
        self.interval_s = interval_s
        self.background = background
        self.waiting_by_prefix: dict[str, list[Waiting]] = {}
        self.closed = False

    def close(self) -> None:
        """Answer whatever waits; messages may still arrive while the daemon stops."""
        self.closed = True
        for batch in self.waiting_by_prefix.values():
            for item in batch:
                item.answered.set()

    async def submit(self, change: ClaimRequest) -> ClaimReply:
        """Commit a change with others of its slot and return the reply.

        The verdict `unavailable` says that no reply was had from the store; the
        change may still have been applied.
        """
        while True:
            try:
                prefix = await self.committer.locate(change.operation_id)
            except StoreUnavailable:
                return ClaimReply(change.attempt, "unavailable")
            if self.closed:
                return ClaimReply(change.attempt, "unavailable")
            waiting = Waiting(change)
            if prefix in self.waiting_by_prefix:
                self.waiting_by_prefix[prefix].append(waiting)
            else:
                self.waiting_by_prefix[prefix] = [waiting]
                self.background.start_soon(self.run, prefix)
            await waiting.answered.wait()
            if prefix not in self.committer.split_prefixes:
                return waiting.reply
            if waiting.reply.verdict != "unavailable":
                return waiting.reply

    async def run(self, prefix: str) -> None:
        """Commit batches of one slot until nothing waits."""
        try:
            while self.waiting_by_prefix[prefix]:
                await self.clock.sleep(self.interval_s)
                batch = self.waiting_by_prefix[prefix][:BATCH_CHANGES]
                del self.waiting_by_prefix[prefix][:BATCH_CHANGES]
                await self.background.run_task(self.commit, prefix, batch)
        finally:
            # The next change of the slot starts another task.
            for item in self.waiting_by_prefix.pop(prefix):
                item.answered.set()

    async def commit(self, prefix: str, batch: list[Waiting]) -> None:
        """Commit one batch and answer its changes."""
        changes = [item.change for item in batch]
        try:
            replies = await self.committer.commit(prefix, changes)
            for item, reply in zip(batch, replies, strict=True):
                item.reply = reply
        except (StoreUnavailable, SlotMoved):
            return
        finally:
            for item in batch:
                item.answered.set()
