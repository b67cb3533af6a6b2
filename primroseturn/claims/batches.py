"""Commits changes of the same claim slot together, in batches."""

from anyio import Event

from primroseturn.claims.commit import SlotCommitter, SlotSplit
from primroseturn.claims.messages import ClaimReply, ClaimRequest
from primroseturn.clock import Clock
from primroseturn.failures import StoreUnavailable
from primroseturn.kernel.background import Background

MAX_BATCH_CHANGES = 32


class PendingChange:
    """A change in a batch and the reply to it."""

    def __init__(self, change: ClaimRequest) -> None:
        self.change = change
        self.completed = Event()
        self.reply = ClaimReply(change.attempt, "unavailable")


class Batches:
    """Commits pending changes in batches, with one task per claim slot."""

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
        self.pending_by_prefix: dict[str, list[PendingChange]] = {}
        self.closed = False

    def close(self) -> None:
        """Reply `unavailable` to all pending changes, and accept no more.

        Messages may still arrive while the daemon stops.
        """
        self.closed = True
        for batch in self.pending_by_prefix.values():
            for item in batch:
                item.completed.set()

    async def submit(self, change: ClaimRequest) -> ClaimReply:
        """Commit a change with others of its slot and return the reply.

        The verdict `unavailable` does not state whether the change was applied: the
        store gave no usable result, this VM is stopping, or the attempt has released
        the operation before.
        """
        while True:
            try:
                prefix = await self.committer.locate(change.operation_id)
            except StoreUnavailable:
                return ClaimReply(change.attempt, "unavailable")
            if self.closed:
                return ClaimReply(change.attempt, "unavailable")
            pending = PendingChange(change)
            if prefix in self.pending_by_prefix:
                self.pending_by_prefix[prefix].append(pending)
            else:
                self.pending_by_prefix[prefix] = [pending]
                self.background.start_soon(self.run, prefix)
            await pending.completed.wait()
            if prefix not in self.committer.split_prefixes:
                return pending.reply
            if pending.reply.verdict != "unavailable":
                return pending.reply

    async def run(self, prefix: str) -> None:
        """Commit batches of one slot until no change is pending."""
        try:
            while self.pending_by_prefix[prefix]:
                await self.clock.sleep(self.interval_s)
                batch = self.pending_by_prefix[prefix][:MAX_BATCH_CHANGES]
                del self.pending_by_prefix[prefix][:MAX_BATCH_CHANGES]
                await self.background.run_task(self.commit, prefix, batch)
        finally:
            # The next change of the slot starts another task.
            for item in self.pending_by_prefix.pop(prefix):
                item.completed.set()

    async def commit(self, prefix: str, batch: list[PendingChange]) -> None:
        """Commit one batch and set the replies to its changes."""
        changes = [item.change for item in batch]
        try:
            replies = await self.committer.commit(prefix, changes)
            for item, reply in zip(batch, replies, strict=True):
                item.reply = reply
        except (StoreUnavailable, SlotSplit):
            return
        finally:
            for item in batch:
                item.completed.set()
