"""Tells the load balancer whether this VM should get requests."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from anyio import current_time

from primroseturn.configuration.replica import Replica
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service


class Readiness:
    """Ready while a configuration is installed, unless isolated or draining.

    Parameters
    ----------
    isolation
        Returns the service that knows whether this VM is isolated, or None.
    """

    def __init__(self, replica: Replica, isolation: Callable[[], Any]) -> None:
        self.replica = replica
        self.isolation = isolation
        self.draining = False

    def begin_drain(self) -> None:
        """Announce that this VM is about to stop."""
        self.draining = True

    def is_configured(self) -> bool:
        """Return whether a configuration is installed."""
        return self.replica.state.version > 0

    def reasons(self) -> list[str]:
        """Return why this VM is not ready; an empty list means ready."""
        found = []
        if self.draining:
            found.append("draining")
        if not self.is_configured():
            found.append("not-configured")
        isolation = self.isolation()
        if isolation is not None and isolation.check(current_time()).is_error():
            found.append("isolated")
        return found


@service("readiness", needs=("replica",))
@asynccontextmanager
async def provide_readiness(kernel: Kernel) -> AsyncIterator[Readiness]:
    """Provide this VM's readiness for callers."""
    services = kernel.services_by_name
    yield Readiness(kernel.find("replica"), lambda: services.get("isolation"))
