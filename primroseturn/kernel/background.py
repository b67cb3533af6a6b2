"""Background tasks whose errors end neither the process nor other tasks.

In a plain task group, the first error cancels all tasks of the group, including those
that serve callers.
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

# Delay before a failed task is restarted. It doubles with each failure, so that a
# lasting error costs little.
FIRST_RESTART_DELAY_S = 0.05
MAX_RESTART_DELAY_S = 1.0
# Running time after which a failed task is restarted with the first delay again.
HEALTHY_AFTER_S = 10.0

TASK_FAILURES = Counter(
    "primroseturn_task_failures_total",
    "Background tasks that ended with an error.",
    ["task"],
)

TaskFunction = Callable[..., Awaitable[Any]]


class Background:
    """Starts tasks that run in the background until their context ends.

    A cancellation of the task that opened the context does not end them, only the end
    of the context does: requests in flight need them until the kernel service that
    handles the requests has stopped.
    """

    def __init__(self, tasks: TaskGroup, events: EventLog) -> None:
        self.tasks = tasks
        self.events = events
        self.scopes: set[CancelScope] = set()
        self.ended = False

    def start_soon(self, function: TaskFunction, *arguments: Any) -> None:
        """Start a task that runs once; an error is logged and ends only this task."""
        self.tasks.start_soon(self.run_shielded, self.run_task, function, *arguments)

    def keep_running(self, function: TaskFunction, *arguments: Any) -> None:
        """Start a task that is restarted after each error, until the context ends."""
        self.tasks.start_soon(
            self.run_shielded, self.run_with_restarts, function, *arguments
        )

    async def run_shielded(self, function: TaskFunction, *arguments: Any) -> None:
        """Call a function; only the end of the context cancels the call."""
        if self.ended:
            return
        with CancelScope(shield=True) as scope:
            self.scopes.add(scope)
            try:
                await function(*arguments)
            finally:
                self.scopes.discard(scope)

    def cancel_tasks(self) -> None:
        """Cancel all tasks and start no more."""
        self.ended = True
        for scope in self.scopes:
            scope.cancel()

    async def run_task(self, function: TaskFunction, *arguments: Any) -> bool:
        """Call a function, log an error, and return whether there was no error."""
        return await self.call_once(partial(function, *arguments), None)

    async def run_with_restarts(self, function: TaskFunction, *arguments: Any) -> None:
        """Call a function until it ends without an error.

        The delay between calls grows with each error, up to a bound, and starts anew
        once the function has run for `HEALTHY_AFTER_S`.
        """
        restart_delay_s = FIRST_RESTART_DELAY_S
        started_at = current_time()
        while not await self.call_once(partial(function, *arguments), restart_delay_s):
            await sleep(restart_delay_s)
            was_healthy = current_time() - started_at >= HEALTHY_AFTER_S
            restart_delay_s = (
                FIRST_RESTART_DELAY_S
                if was_healthy
                else min(MAX_RESTART_DELAY_S, 2 * restart_delay_s)
            )
            started_at = current_time()

    async def call_once(
        self, call: partial[Awaitable[Any]], restart_delay_s: float | None
    ) -> bool:
        """Call a function once, log an error, and return whether there was no error.

        Parameters
        ----------
        restart_delay_s
            Seconds after which the function is called again, or None if it is not.
        """
        try:
            await call()
        except BaseException as error:
            if not is_error(error):
                raise
            self.report_error(call.func, error, restart_delay_s)
            return False
        return True

    def report_error(
        self,
        function: TaskFunction,
        error: BaseException,
        restart_delay_s: float | None,
    ) -> None:
        """Log and count an error."""
        task = getattr(function, "__qualname__", repr(function))
        TASK_FAILURES.labels(task).inc()
        for description in describe_error(error):
            self.events.emit(
                TASK_FAILED,
                task=task,
                again_after_s=restart_delay_s,
                **description._asdict(),
            )


def is_cancelled() -> bool:
    """Return whether the running task or its scope was cancelled.

    The exception of a cancellation may also be raised without either, when a library
    cancels only the operation that a task waits for, for example on a socket that is
    closed.
    """
    if current_effective_deadline() == -inf:
        return True
    task = current_task()
    return task is not None and task.cancelling() > 0


def is_error(raised: BaseException) -> bool:
    """Return whether an exception is an error rather than a request to end the task.

    A cancellation is an error if the running task itself was not cancelled.
    """
    if isinstance(raised, Exception):
        return True
    return isinstance(raised, get_cancelled_exc_class()) and not is_cancelled()


class CancelledByLibrary(Exception):
    """A library cancelled the operation that a task waited for, but not the task."""


@contextmanager
def raise_library_cancellation() -> Iterator[None]:
    """Raise `CancelledByLibrary` for a cancellation by a library.

    Raises
    ------
    CancelledByLibrary
        If the running task itself was not cancelled. The cancellation would end the
        task without an error for those that wait for it.
    """
    try:
        yield
    except get_cancelled_exc_class() as error:
        if is_cancelled():
            raise
        raise CancelledByLibrary from error


@contextmanager
def contain_errors(events: EventLog, part: str) -> Iterator[None]:
    """Log and count an error of the enclosed code instead of raising it."""
    try:
        yield
    except BaseException as error:
        if not is_error(error):
            raise
        PART_FAILURES.labels(part).inc()
        for description in describe_error(error):
            events.emit(PART_FAILED, part=part, **description._asdict())


@asynccontextmanager
async def run_background(events: EventLog) -> AsyncIterator[Background]:
    """Run background tasks until the context ends, then cancel them."""
    async with create_task_group() as tasks:
        background = Background(tasks, events)
        try:
            yield background
        finally:
            background.cancel_tasks()
