"""Bounded queue, fair between workspaces by their shares.

Source: start-time fair queueing (Goyal, Vin, Cheng, 1996).
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from typing import Any

from expression import Error, Ok, Result

from primroseturn.failures import Failure

DRAIN_SPAN_S = 2.0


class QueueRefused(Failure):
    """The queue cannot serve a request in time."""

    code = "queue-refused"

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(f"the request cannot be served in time: {reason}")
        self.reason = reason
        self.retry_after_s = retry_after_s


class Waiter:
    """A request in the queue. `grant` holds what it was given."""

    def __init__(self, workspace: str, share: float, deadline_at: float) -> None:
        self.workspace = workspace
        self.share = share
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
        self.numbers = count()
        self.finish_by_workspace: dict[str, float] = {}
        self.waiters_by_workspace: dict[str, deque[Waiter]] = {}
        self.size = 0
        self.grants: deque[float] = deque()

    def enqueue(
        self, waiter: Waiter, now: float, service_s: float = 0.0
    ) -> Result[Waiter | None, QueueRefused]:
        """Put a request into the queue.

        Parameters
        ----------
        service_s
            Time that the request needs after it got a slot.

        Returns
        -------
        Result
            A waiter that was pushed out to make room, if any, or why the
            request was refused.
        """
        wait = self.expected_wait_s(waiter, now)
        if now + wait + service_s > waiter.deadline_at:
            return Error(QueueRefused("its deadline would pass", max(wait, 1.0)))
        pushed = None
        if self.size >= self.limit:
            pushed = self.choose_victim(waiter)
            if pushed is None:
                return Error(QueueRefused("the queue is full", max(wait, 1.0)))
            self.remove(pushed)
            pushed.refusal = QueueRefused("others are owed its place", 1.0)
        finish = self.finish_by_workspace.get(waiter.workspace, 0.0)
        waiter.start_tag = max(self.virtual_time, finish)
        self.finish_by_workspace[waiter.workspace] = (
            waiter.start_tag + 1.0 / waiter.share
        )
        line = self.waiters_by_workspace.setdefault(waiter.workspace, deque())
        line.append(waiter)
        heappush(self.heap, (waiter.start_tag, next(self.numbers), waiter))
        self.size += 1
        return Ok(pushed)

    def expected_wait_s(self, waiter: Waiter, now: float) -> float:
        """Return the wait that the recent rate of grants leads one to expect."""
        while self.grants and self.grants[0] < now - DRAIN_SPAN_S:
            self.grants.popleft()
        if not self.grants or not self.size:
            return 0.0
        rate = len(self.grants) / max(now - self.grants[0], 0.05)
        own = len(self.waiters_by_workspace.get(waiter.workspace, ())) + 1
        ahead = sum(
            min(len(line), own * line[0].share / waiter.share)
            for name, line in self.waiters_by_workspace.items()
            if line and name != waiter.workspace
        )
        return (own + ahead) / rate

    def choose_victim(self, waiter: Waiter) -> Waiter | None:
        """Return the newest waiter of the workspace that holds most for its share."""
        lines = self.waiters_by_workspace
        worst = max(
            (name for name, line in lines.items() if line),
            key=lambda name: len(lines[name]) / lines[name][0].share,
            default=None,
        )
        if worst is None or worst == waiter.workspace:
            return None
        line = lines[worst]
        own = len(lines.get(waiter.workspace, ())) + 1
        if len(line) / line[0].share <= own / waiter.share:
            return None
        return line[-1]

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out, because it was pushed out or gave up."""
        if not waiter.is_waiting:
            return
        waiter.is_waiting = False
        line = self.waiters_by_workspace[waiter.workspace]
        if line[-1] is waiter:
            # The workspace does not pay for a place that it did not use.
            self.finish_by_workspace[waiter.workspace] = waiter.start_tag
        self.drop_from_line(waiter)

    def peek(self, limit: int) -> list[Waiter]:
        """Return the waiters that are next, at most `limit`, without taking them."""
        while self.heap and not self.heap[0][2].is_waiting:
            heappop(self.heap)
        found: list[Waiter] = []
        popped = []
        while self.heap and len(found) < limit:
            entry = heappop(self.heap)
            if entry[2].is_waiting:
                popped.append(entry)
                found.append(entry[2])
        for entry in popped:
            heappush(self.heap, entry)
        return found

    def dequeue(self, waiter: Waiter, now: float) -> None:
        """Take a waiter out of the queue because it gets its slot."""
        self.virtual_time = max(self.virtual_time, waiter.start_tag)
        waiter.is_waiting = False
        self.drop_from_line(waiter)
        self.grants.append(now)

    def drop_from_line(self, waiter: Waiter) -> None:
        """Take a waiter off its workspace's line."""
        line = self.waiters_by_workspace[waiter.workspace]
        line.remove(waiter)
        if not line:
            del self.waiters_by_workspace[waiter.workspace]
        self.size -= 1
        if self.size == 0:
            # Nobody waits, so nobody is ahead of anybody.
            self.heap.clear()
            self.finish_by_workspace.clear()
            self.virtual_time = 0.0
