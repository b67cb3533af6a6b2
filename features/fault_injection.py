"""Breaks parts of a running process while a caller waits for its answer."""

import json
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

from anyio import create_task_group, current_time, fail_after, sleep

from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import entries_by_name, service

ERROR_TEXT = "broken part"
ARRIVAL_TIMEOUT_S = 5.0
LOG_TIMEOUT_S = 2.0


class Fault(NamedTuple):
    """A method that a background task calls.

    Attributes
    ----------
    owner
        Name of the service that has it, or a path of names from there, or the class
        or module.
    fails_for
        Returns whether a call with these arguments fails; by default all do.
    """

    owner: Any
    method: str
    fails_for: Callable[..., bool] = lambda *arguments, **options: True


def find_owner(kernel: Kernel, owner: Any) -> Any:
    """Return the object that has a part."""
    if not isinstance(owner, str):
        return owner
    name, *path = owner.split(".")
    found = kernel.find(name)
    for step in path:
        found = getattr(found, step)
    return found


class InjectedFault:
    """Makes a method raise until it is mended, and counts the failures."""

    def __init__(self, kernel: Kernel, part: Fault, error: BaseException) -> None:
        self.owner = find_owner(kernel, part.owner)
        self.part = part
        self.error = error
        self.calls = 0
        self.usual = getattr(self.owner, part.method)
        setattr(self.owner, part.method, self.call)

    def call(self, *arguments, **options):
        if not self.part.fails_for(*arguments, **options):
            return self.usual(*arguments, **options)
        self.calls += 1
        raise self.error

    def remove(self) -> None:
        """Let the method do its work again."""
        setattr(self.owner, self.part.method, self.usual)


async def request_during_fault(
    ask: Callable[[], Awaitable[Any]],
    is_at_target: Callable[[], Any],
    kernel: Kernel,
    part: Fault,
    error: BaseException,
    provoke: Callable[[InjectedFault], Awaitable[None]] | None = None,
) -> Any:
    """Break a part while a caller waits and return the caller's answer.

    Parameters
    ----------
    is_at_target
        Returns whether the target is at work; only then the part breaks.
    provoke
        Run after the breaking.
    """
    answers = []

    async def call() -> None:
        answers.append(await ask())

    async with create_task_group() as tasks:
        tasks.start_soon(call)
        with fail_after(ARRIVAL_TIMEOUT_S):
            while not is_at_target():
                assert not answers, answers[0].text
                await sleep(0.01)
        fault = InjectedFault(kernel, part, error)
        if provoke is not None:
            await provoke(fault)
    fault.remove()
    assert fault.calls, f"{part.method} was not called"
    return answers[0]


def add_failing_service(context, is_time: Callable[[], bool]) -> str:
    """Register a service whose task raises as soon as it is time; return its name."""
    name = "failing"

    @service(name)
    @asynccontextmanager
    async def provide_failing(kernel):
        async with create_task_group() as tasks:
            tasks.start_soon(fail_task)
            yield
            tasks.cancel_scope.cancel()

    async def fail_task():
        while not is_time():
            await sleep(0.01)
        raise LookupError(ERROR_TEXT)

    context.cleanups.append(lambda: entries_by_name.pop(name))
    return name


def read_events(path: Path) -> list[dict[str, Any]]:
    """Return the events of a log file."""
    return [json.loads(line) for line in path.read_text().splitlines()]


async def wait_for_events(
    path: Path, name: str, is_wanted: Callable[[dict[str, Any]], bool]
) -> list[dict[str, Any]]:
    """Return the wanted events of a name, once there are some."""
    until = current_time() + LOG_TIMEOUT_S
    while True:
        events = [item for item in read_events(path) if item["message_type"] == name]
        wanted = [item for item in events if is_wanted(item)]
        if wanted:
            return wanted
        assert current_time() < until, f"no such event {name}: {events}"
        await sleep(0.02)


async def wait_for_failed_task(path: Path, task: str) -> None:
    """Wait until the log names a failed task and the places of its errors."""
    failed = await wait_for_events(path, "task-failed", lambda e: e["task"] == task)
    assert all(item["places"] for item in failed), failed
