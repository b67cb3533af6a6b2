"""Determines whether the load balancer should send requests to this VM."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from anyio import current_time

from primroseturn.configuration.replica import Replica
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service


class Readiness:
    """A VM is ready while it has a configuration and is neither isolated nor draining.

    Parameters
    ----------
    find_isolation
        Returns the service that determines whether this VM is isolated, or None before
        that service has started.
    """

    def __init__(self, replica: Replica, find_isolation: Callable[[], Any]) -> None:
        self.replica = replica
        self.find_isolation = find_isolation
        self.draining = False

    def begin_drain(self) -> None:
        """Make this VM not ready because it is about to stop."""
        self.draining = True

    def is_configured(self) -> bool:
        """Return whether a configuration is installed."""
        return self.replica.state.version > 0

    def reasons(self) -> list[str]:
        """Return why this VM is not ready; the list is empty if it is ready."""
        reasons = []
        if self.draining:
            reasons.append("draining")
        if not self.is_configured():
            reasons.append("not-configured")
        isolation = self.find_isolation()
        if isolation is not None and isolation.check(current_time()).is_error():
            reasons.append("isolated")
        return reasons


@service("readiness", needs=("replica",))
@asynccontextmanager
async def provide_readiness(kernel: Kernel) -> AsyncIterator[Readiness]:
    """Provide the readiness of this VM."""
    services = kernel.services_by_name
    yield Readiness(kernel.find("replica"), lambda: services.get("isolation"))
