"""Starts services in the order of their needs and stops them in reverse."""

from collections.abc import AsyncIterator, Container, Iterable
from contextlib import asynccontextmanager, AsyncExitStack
from typing import Any

from primroseturn.failures import ServiceCycle, ServiceMissing
from primroseturn.kernel.registry import entries_by_name


class Kernel:
    """Holds the running services of one process by name."""

    def __init__(self) -> None:
        self.services_by_name: dict[str, Any] = {}

    def find(self, name: str) -> Any:
        """Return the running service called `name`.

        Raises
        ------
        ServiceMissing
            If no such service runs.
        """
        try:
            return self.services_by_name[name]
        except KeyError:
            raise ServiceMissing(name) from None


def order_services(names: Iterable[str], provided: Container[str] = ()) -> list[str]:
    """Return `names` and all that they need, each after its needs.

    Services in `provided` are left out together with what they need.

    Raises
    ------
    ServiceMissing
        If a needed service is not registered.
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
    """Run the named services and their needs for the life of the context.

    Parameters
    ----------
    names
        Services to start.
    provided
        Ready-made services by name, used instead of their factories.
    """
    kernel = Kernel()
    kernel.services_by_name.update(provided or {})
    async with AsyncExitStack() as stack:
        for name in order_services(names, kernel.services_by_name):
            factory = entries_by_name[name].factory
            running = await stack.enter_async_context(factory(kernel))
            kernel.services_by_name[name] = running
        yield kernel
