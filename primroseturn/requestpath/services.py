"""What the request path needs from the other concerns."""

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
        """Return whether another attempt fits the budget."""

    def record_success(self, service: str, now: float) -> None:
        """Count a success, of which the budget is a share."""


class Hedging(Protocol):
    """Knows when a second attempt is worth its cost."""

    def delay_s(self, service: str, route_class: str) -> float | None:
        """Return the delay before a hedged request, or None for no hedge."""


class Isolation(Protocol):
    """Knows whether this VM may have missed a withdrawal of a key."""

    def check(self, now: float) -> Result[None, Failure]:
        """Return why keyed requests must be refused now."""


class LateIsolation:
    """Asks the isolation service once that runs, as it may start after callers."""

    def __init__(self, look_up: Callable[[str], Isolation | None]) -> None:
        self.look_up = look_up

    def check(self, now: float) -> Result[None, Failure]:
        """Return why keyed requests must be refused now."""
        isolation = self.look_up("isolation")
        return Ok(None) if isolation is None else isolation.check(now)


class Services(NamedTuple):
    """What the application needs from the kernel."""

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
    """Return the services of a kernel."""
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
        LateIsolation(kernel.services_by_name.get),
    )
