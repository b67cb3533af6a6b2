"""Starts kernel services after those that they need, and stops them in reverse."""

from collections.abc import AsyncIterator, Container, Iterable
from contextlib import asynccontextmanager, AsyncExitStack
from typing import Any

from primroseturn.failures import ServiceCycle, ServiceMissing
from primroseturn.kernel.registry import entries_by_name


class Kernel:
    """The running kernel services of one process by name."""

    def __init__(self) -> None:
        self.services_by_name: dict[str, Any] = {}

    def find(self, name: str) -> Any:
        """Return the running kernel service with a name.

        Raises
        ------
        ServiceMissing
            If no service with this name runs.
        """
        try:
            return self.services_by_name[name]
        except KeyError:
            raise ServiceMissing(name) from None


def order_services(names: Iterable[str], provided: Container[str] = ()) -> list[str]:
    """Return the named kernel services and all they need, each after those it needs.

    Services in `provided` are left out, and so are services that only they need.

    Raises
    ------
    ServiceMissing
        If a named or needed service is not registered.
    ServiceCycle
        If services need each other in a cycle.
    """
    ordered: list[str] = []
    path: list[str] = []

    def visit(name: str) -> None:
        if name in ordered or name in provided:
            return
        if name in path:
            raise ServiceCycle([*path[path.index(name) :], name])
        if name not in entries_by_name:
            raise ServiceMissing(name)
        path.append(name)
        for need in entries_by_name[name].needs:
            visit(need)
        path.pop()
        ordered.append(name)

    for name in names:
        visit(name)
    return ordered


@asynccontextmanager
async def run_kernel(
    names: Iterable[str], provided: dict[str, Any] | None = None
) -> AsyncIterator[Kernel]:
    """Run the named kernel services and those they need until the context ends.

    Parameters
    ----------
    names
        Names of the services to start.
    provided
        Services by name that run already; their factories are not called.
    """
    kernel = Kernel()
    kernel.services_by_name.update(provided or {})
    async with AsyncExitStack() as stack:
        for name in order_services(names, kernel.services_by_name):
            factory = entries_by_name[name].factory
            started = await stack.enter_async_context(factory(kernel))
            kernel.services_by_name[name] = started
        yield kernel
