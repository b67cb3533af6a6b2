"""Kernel services that the request path uses."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from expression import Ok, Result

from primroseturn.claims.claims import Claims
from primroseturn.configuration.replica import Replica
from primroseturn.failures import Failure
from primroseturn.kernel.kernel import Kernel
from primroseturn.limits.admission import Admission
from primroseturn.observation.events import EventLog
from primroseturn.requestpath.pool import Pools
from primroseturn.routing.dispatcher import Dispatcher
from primroseturn.routing.router import Router
from primroseturn.serving.readiness import Readiness
from primroseturn.settings.models import DaemonSettings


class Retries(Protocol):
    """Budget of retries and hedged requests."""

    def try_consume(self, service: str, now: float) -> bool:
        """Consume one attempt from the budget and return whether there was one."""

    def record_success(self, service: str, now: float) -> None:
        """Count a success; the budget is a fraction of the successes."""


class Hedging(Protocol):
    """Determines when a second attempt is worth its cost."""

    def delay_s(self, service: str, route_class: str) -> float | None:
        """Return the delay in seconds before a hedge, or None for no hedge."""


class Isolation(Protocol):
    """Determines whether this VM may have missed the withdrawal of a key."""

    def check(self, now: float) -> Result[None, Failure]:
        """Return an error if keyed requests must be refused now."""


class LazyIsolation:
    """Forwards to the isolation service, which may start after this one.

    Until it runs, this VM is not considered isolated.
    """

    def __init__(self, find_service: Callable[[str], Isolation | None]) -> None:
        self.find_service = find_service

    def check(self, now: float) -> Result[None, Failure]:
        """Return an error if keyed requests must be refused now."""
        isolation = self.find_service("isolation")
        return Ok(None) if isolation is None else isolation.check(now)


class Services(NamedTuple):
    """Kernel services that the application uses."""

    settings: DaemonSettings
    replica: Replica
    router: Router
    admission: Admission
    dispatcher: Dispatcher
    claims: Claims
    events: EventLog
    pools: Pools
    readiness: Readiness
    retries: Retries
    hedging: Hedging
    isolation: Isolation


def collect_services(kernel: Kernel, pools: Pools) -> Services:
    """Return the services of a kernel that the application uses."""
    return Services(
        kernel.find("settings"),
        kernel.find("replica"),
        kernel.find("router"),
        kernel.find("admission"),
        kernel.find("dispatcher"),
        kernel.find("claims"),
        kernel.find("events"),
        pools,
        kernel.find("readiness"),
        kernel.find("retries"),
        kernel.find("hedging"),
        LazyIsolation(kernel.services_by_name.get),
    )
