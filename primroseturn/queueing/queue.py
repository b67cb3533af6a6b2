"""Bounded queue that serves workspaces in proportion to their weights.

The weight of a workspace is its setting `share`. Used by `primroseturn daemon`.

The algorithm is start-time fair queueing (Goyal, Vin, Cheng, 1996).
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from typing import Any

from expression import Error, Ok, Result

from primroseturn.failures import Failure

# The expected wait follows from the rate at which slots were granted over this time.
GRANT_RATE_WINDOW_S = 2.0


class QueueRefused(Failure):
    """The queue cannot serve a request in time."""

    code = "queue-refused"

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(f"the request cannot be served in time: {reason}")
        self.reason = reason
        self.retry_after_s = retry_after_s


class Waiter:
    """A request in the queue.

    Attributes
    ----------
    weight
        Weight of the request's workspace.
    refusal
        Why the request was evicted from the queue, if it was.
    payload
        Data of the code that queued the request; the queue ignores it.
    """

    def __init__(self, workspace: str, weight: float, deadline_at: float) -> None:
        self.workspace = workspace
        self.weight = weight
        self.deadline_at = deadline_at
        self.start_tag = 0.0
        self.is_waiting = True
        self.refusal: QueueRefused | None = None
        self.payload: Any = None


class FairQueue:
    """Requests of one service that wait for a slot."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.virtual_time = 0.0
        self.heap: list[tuple[float, int, Waiter]] = []
        self.sequence = count()
        self.finish_tag_by_workspace: dict[str, float] = {}
        self.waiters_by_workspace: dict[str, deque[Waiter]] = {}
        self.size = 0
        self.granted_at: deque[float] = deque()

    def enqueue(
        self, waiter: Waiter, now: float, service_s: float = 0.0
    ) -> Result[Waiter | None, QueueRefused]:
        """Put a request into the queue.

        Parameters
        ----------
        service_s
            Seconds that the request needs after it got a slot.

        Returns
        -------
        Result
            The waiter that was evicted to make room, if any, or why the request
            was refused.
        """
        wait = self.expected_wait_s(waiter, now)
        if now + wait + service_s > waiter.deadline_at:
            return Error(QueueRefused("its deadline would pass", max(wait, 1.0)))
        evicted = None
        if self.size >= self.limit:
            evicted = self.choose_waiter_to_evict(waiter)
            if evicted is None:
                return Error(QueueRefused("the queue is full", max(wait, 1.0)))
            self.remove(evicted)
            evicted.refusal = QueueRefused(
                "others are owed its place",
                1.0,
            )
        last_finish_tag = self.finish_tag_by_workspace.get(waiter.workspace, 0.0)
        waiter.start_tag = max(self.virtual_time, last_finish_tag)
        self.finish_tag_by_workspace[waiter.workspace] = (
            waiter.start_tag + 1.0 / waiter.weight
        )
        waiters = self.waiters_by_workspace.setdefault(waiter.workspace, deque())
        waiters.append(waiter)
        heappush(self.heap, (waiter.start_tag, next(self.sequence), waiter))
        self.size += 1
        return Ok(evicted)

    def expected_wait_s(self, waiter: Waiter, now: float) -> float:
        """Return the wait in seconds at the recent rate of granted slots."""
        while self.granted_at and self.granted_at[0] < now - GRANT_RATE_WINDOW_S:
            self.granted_at.popleft()
        if not self.granted_at or not self.size:
            return 0.0
        rate = len(self.granted_at) / max(now - self.granted_at[0], 0.05)
        own = len(self.waiters_by_workspace.get(waiter.workspace, ())) + 1
        ahead = sum(
            min(len(waiters), own * waiters[0].weight / waiter.weight)
            for name, waiters in self.waiters_by_workspace.items()
            if waiters and name != waiter.workspace
        )
        return (own + ahead) / rate

    def choose_waiter_to_evict(self, waiter: Waiter) -> Waiter | None:
        """Return the waiter to evict for `waiter`, or None.

        It is the newest one of the workspace with the most waiters for its weight, if
        that has more of them for its weight than the workspace of `waiter` would have.
        """
        by_workspace = self.waiters_by_workspace
        worst = max(
            (name for name, waiters in by_workspace.items() if waiters),
            key=lambda name: len(by_workspace[name]) / by_workspace[name][0].weight,
            default=None,
        )
        if worst is None or worst == waiter.workspace:
            return None
        waiters = by_workspace[worst]
        own = len(by_workspace.get(waiter.workspace, ())) + 1
        if len(waiters) / waiters[0].weight <= own / waiter.weight:
            return None
        return waiters[-1]

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gets no slot; do nothing if it no longer waits."""
        if not waiter.is_waiting:
            return
        waiter.is_waiting = False
        waiters = self.waiters_by_workspace[waiter.workspace]
        if waiters[-1] is waiter:
            # A request that got no slot does not delay the next one of its workspace.
            self.finish_tag_by_workspace[waiter.workspace] = waiter.start_tag
        self.remove_from_workspace(waiter)

    def peek(self, limit: int) -> list[Waiter]:
        """Return the next waiters, at most `limit`, without removing them."""
        while self.heap and not self.heap[0][2].is_waiting:
            heappop(self.heap)
        waiters: list[Waiter] = []
        popped = []
        while self.heap and len(waiters) < limit:
            entry = heappop(self.heap)
            if entry[2].is_waiting:
                popped.append(entry)
                waiters.append(entry[2])
        for entry in popped:
            heappush(self.heap, entry)
        return waiters

    def dequeue(self, waiter: Waiter, now: float) -> None:
        """Remove a waiter that gets a slot."""
        self.virtual_time = max(self.virtual_time, waiter.start_tag)
        waiter.is_waiting = False
        self.remove_from_workspace(waiter)
        self.granted_at.append(now)

    def remove_from_workspace(self, waiter: Waiter) -> None:
        """Remove a waiter from those of its workspace."""
        waiters = self.waiters_by_workspace[waiter.workspace]
        waiters.remove(waiter)
        if not waiters:
            del self.waiters_by_workspace[waiter.workspace]
        self.size -= 1
        if self.size == 0:
            # Tags order waiters only, so an empty queue starts again from zero.
            self.heap.clear()
            self.finish_tag_by_workspace.clear()
            self.virtual_time = 0.0
