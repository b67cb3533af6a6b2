"""Injects faults into a running process while a caller waits for its response."""

import json
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

from anyio import create_task_group, current_time, fail_after, sleep

from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import entries_by_name, service

ERROR_TEXT = "injected fault"
# Longest time until a request is at its target.
ARRIVAL_TIMEOUT_S = 5.0
# Longest time until an event is in the log.
LOG_TIMEOUT_S = 2.0


class Fault(NamedTuple):
    """A method that raises while the fault is injected.

    Attributes
    ----------
    owner
        Owner of the method: the name of a service, which may be followed by the names
        of attributes and dots, or a class or module.
    fails_for
        Returns whether a call with these arguments fails; by default all calls fail.
    """

    owner: Any
    method: str
    fails_for: Callable[..., bool] = lambda *arguments, **options: True


def find_owner(kernel: Kernel, owner: Any) -> Any:
    """Return the object whose method a fault replaces (see `Fault.owner`)."""
    if not isinstance(owner, str):
        return owner
    name, *path = owner.split(".")
    found = kernel.find(name)
    for attribute in path:
        found = getattr(found, attribute)
    return found


class InjectedFault:
    """Makes a method raise until the fault is removed, and counts the failed calls."""

    def __init__(self, kernel: Kernel, fault: Fault, error: BaseException) -> None:
        self.owner = find_owner(kernel, fault.owner)
        self.fault = fault
        self.error = error
        self.calls = 0
        self.original = getattr(self.owner, fault.method)
        setattr(self.owner, fault.method, self.call)

    def call(self, *arguments, **options):
        if not self.fault.fails_for(*arguments, **options):
            return self.original(*arguments, **options)
        self.calls += 1
        raise self.error

    def remove(self) -> None:
        """Restore the method."""
        setattr(self.owner, self.fault.method, self.original)


async def request_during_fault(
    send_request: Callable[[], Awaitable[Any]],
    is_at_target: Callable[[], Any],
    kernel: Kernel,
    fault: Fault,
    error: BaseException,
    provoke: Callable[[InjectedFault], Awaitable[None]] | None = None,
) -> Any:
    """Inject a fault while a caller waits and return the caller's response.

    Parameters
    ----------
    is_at_target
        Returns whether the target has received the request; the fault is injected after
        that.
    provoke
        Called after the fault was injected, to cause a failing call.
    """
    responses = []

    async def call() -> None:
        responses.append(await send_request())

    async with create_task_group() as tasks:
        tasks.start_soon(call)
        with fail_after(ARRIVAL_TIMEOUT_S):
            while not is_at_target():
                assert not responses, responses[0].text
                await sleep(0.01)
        injected = InjectedFault(kernel, fault, error)
        if provoke is not None:
            await provoke(injected)
    injected.remove()
    assert injected.calls, f"{fault.method} was not called"
    return responses[0]


def add_failing_service(context, must_fail: Callable[[], bool]) -> str:
    """Register a service that raises once `must_fail` returns true; return its name."""
    name = "failing"

    @service(name)
    @asynccontextmanager
    async def provide_failing(kernel):
        async with create_task_group() as tasks:
            tasks.start_soon(fail_task)
            yield
            tasks.cancel_scope.cancel()

    async def fail_task():
        while not must_fail():
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
    """Wait until the log has wanted events of this name and return them."""
    until = current_time() + LOG_TIMEOUT_S
    while True:
        events = [item for item in read_events(path) if item["message_type"] == name]
        wanted = [item for item in events if is_wanted(item)]
        if wanted:
            return wanted
        assert current_time() < until, f"no matching {name} event in the log: {events}"
        await sleep(0.02)


async def wait_for_failed_task(path: Path, task: str) -> None:
    """Wait for the event of a failed task and check that it states code locations."""
    failed = await wait_for_events(path, "task-failed", lambda e: e["task"] == task)
    assert all(item["places"] for item in failed), failed
