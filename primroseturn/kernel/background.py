"""Background tasks whose errors end neither the process nor other tasks.

In a plain task group the first error cancels all tasks within, also those that serve
callers.
"""

from asyncio import current_task
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from math import inf
from typing import Any

from anyio import (
    CancelScope,
    create_task_group,
    current_effective_deadline,
    current_time,
    get_cancelled_exc_class,
    sleep,
)
from anyio.abc import TaskGroup
from prometheus_client import Counter

from primroseturn.observation.catalogue import PART_FAILED, TASK_FAILED
from primroseturn.observation.errors import describe_error, PART_FAILURES
from primroseturn.observation.events import EventLog

# Pause in seconds before a failed task starts again. It doubles with each failure, so
# that an error which lasts costs little.
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
# A task that ran this long in seconds starts with the first pause again.
HEALTHY_S = 10.0

FAILURES = Counter(
    "primroseturn_task_failures_total",
    "Background tasks that ended with an error.",
    ["task"],
)

TaskFunction = Callable[..., Awaitable[Any]]


class Background:
    """Starts tasks that run beside those that serve callers.

    They run until the context ends, also when an error elsewhere cancels what runs in
    it: requests in flight need them until their own service has stopped.
    """

    def __init__(self, tasks: TaskGroup, events: EventLog) -> None:
        self.tasks = tasks
        self.events = events
        self.scopes: set[CancelScope] = set()
        self.ended = False

    def start_soon(self, function: TaskFunction, *arguments: Any) -> None:
        """Start a task that runs once. An error is logged and ends only this task."""
        self.tasks.start_soon(self.run_shielded, self.run_task, function, *arguments)

    def keep_running(self, function: TaskFunction, *arguments: Any) -> None:
        """Start a task that starts again after an error, until the context ends."""
        self.tasks.start_soon(
            self.run_shielded, self.run_with_restarts, function, *arguments
        )

    async def run_shielded(self, call: TaskFunction, *arguments: Any) -> None:
        """Make a call that only the end of the context cancels."""
        if self.ended:
            return
        with CancelScope(shield=True) as scope:
            self.scopes.add(scope)
            try:
                await call(*arguments)
            finally:
                self.scopes.discard(scope)

    def cancel_tasks(self) -> None:
        """Cancel all tasks."""
        self.ended = True
        for scope in self.scopes:
            scope.cancel()

    async def run_task(self, function: TaskFunction, *arguments: Any) -> bool:
        """Run a function and return whether it ended without an error."""
        return await self.call_once(partial(function, *arguments), None)

    async def run_with_restarts(self, function: TaskFunction, *arguments: Any) -> None:
        """Run a function until it ends without an error."""
        pause_s = FIRST_PAUSE_S
        started_at = current_time()
        while not await self.call_once(partial(function, *arguments), pause_s):
            await sleep(pause_s)
            healthy = current_time() - started_at >= HEALTHY_S
            pause_s = FIRST_PAUSE_S if healthy else min(LONGEST_PAUSE_S, 2 * pause_s)
            started_at = current_time()

    async def call_once(
        self, call: partial[Awaitable[Any]], pause_s: float | None
    ) -> bool:
        """Call a function once and log its error.

        Parameters
        ----------
        pause_s
            Time after which it starts again, or None.
        """
        try:
            await call()
        except BaseException as error:
            if not is_error(error):
                raise
            self.report(call.func, error, pause_s)
            return False
        return True

    def report(
        self, function: TaskFunction, error: BaseException, pause_s: float | None
    ) -> None:
        """Log and count an error."""
        task = getattr(function, "__qualname__", repr(function))
        FAILURES.labels(task).inc()
        for found in describe_error(error):
            self.events.emit(
                TASK_FAILED, task=task, again_after_s=pause_s, **found._asdict()
            )


def is_cancelled() -> bool:
    """Return whether the running task or its scope was cancelled.

    A library may also cancel only what a task waits for, such as a socket that is
    closed.
    """
    if current_effective_deadline() == -inf:
        return True
    task = current_task()
    return task is not None and task.cancelling() > 0


def is_error(raised: BaseException) -> bool:
    """Return whether something raised does not end the running task on purpose."""
    if isinstance(raised, Exception):
        return True
    return isinstance(raised, get_cancelled_exc_class()) and not is_cancelled()


class CancelledByLibrary(Exception):
    """A library cancelled what a task waited for, but not the task."""


@contextmanager
def report_foreign_cancellation() -> Iterator[None]:
    """Raise a cancellation that is not the running task's own as an error.

    Raises
    ------
    CancelledByLibrary
        The task would otherwise end without telling whoever waits for it.
    """
    try:
        yield
    except get_cancelled_exc_class() as error:
        if is_cancelled():
            raise
        raise CancelledByLibrary from error


@contextmanager
def contain_errors(events: EventLog, part: str) -> Iterator[None]:
    """Log and count an error of a part instead of raising it."""
    try:
        yield
    except BaseException as error:
        if not is_error(error):
            raise
        PART_FAILURES.labels(part).inc()
        for found in describe_error(error):
            events.emit(PART_FAILED, part=part, **found._asdict())


@asynccontextmanager
async def run_background(events: EventLog) -> AsyncIterator[Background]:
    """Run background tasks for the life of the context."""
    async with create_task_group() as tasks:
        background = Background(tasks, events)
        try:
            yield background
        finally:
            background.cancel_tasks()
