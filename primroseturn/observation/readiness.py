"""Readiness of a daemon for the load balancer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from expression import Result

from primroseturn.failures import ServiceMissing
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.observation.catalogue import DAEMON_DRAINING, Event


class Readiness:
    """Tells whether the daemon may get new requests, and why not.

    Attributes
    ----------
    draining
        True from the event `daemon-draining` on.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.draining = False

    def note_event(self, event: Event, fields: dict[str, Any]) -> None:
        """Listen to the event log for the start of the drain."""
        if event is DAEMON_DRAINING:
            self.draining = True

    def find_reasons(self, now: float) -> list[str]:
        """Return why the daemon is not ready; none means that it is ready."""
        reasons = []
        if self.kernel.find("replica").state.version == 0:
            reasons.append("no-configuration")
        if self.draining:
            reasons.append("draining")
        if self.is_isolated(now):
            reasons.append("isolated")
        return reasons

    def is_isolated(self, now: float) -> bool:
        """Ask the kernel service `isolation`, if it runs."""
        try:
            isolation = self.kernel.find("isolation")
        except ServiceMissing:
            return False
        checked = isolation.check(now)
        if isinstance(checked, Result):
            return checked.is_error()
        return not checked


@service("readiness", needs=("replica", "events"))
@asynccontextmanager
async def provide_readiness(kernel: Kernel) -> AsyncIterator[Readiness]:
    """Provide the readiness of this daemon."""
    readiness = Readiness(kernel)
    kernel.find("events").listeners.append(readiness.note_event)
    yield readiness
