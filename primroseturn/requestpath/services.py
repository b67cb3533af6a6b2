"""What the request path needs from the other concerns."""

from typing import Any, NamedTuple, Protocol

from expression import Ok, Result

from primroseturn.claims.direct import DirectClaims
from primroseturn.configuration.replica import Replica
from primroseturn.failures import Failure
from primroseturn.limits.admission import Admission
from primroseturn.observation.events import EventLog
from primroseturn.requestpath.pool import Pools
from primroseturn.routing.dispatcher import Dispatcher
from primroseturn.routing.router import Router
from primroseturn.serving.readiness import Readiness
from primroseturn.settings.models import DaemonSettings


class Retries(Protocol):
    """Budget of retries and hedged requests."""

    def take(self, service: str, now: float) -> bool:
        """Return whether another attempt fits the budget."""

    def note_success(self, service: str, now: float) -> None:
        """Count a success, of which the budget is a share."""


class Hedging(Protocol):
    """Knows when a second attempt is worth its cost."""

    def delay_s(self, service: str, route_class: str) -> float | None:
        """Return the delay before a hedged request, or None for no hedge."""


class Isolation(Protocol):
    """Knows whether this VM may have missed a withdrawal of a key."""

    def check(self, now: float) -> Result[None, Failure]:
        """Return why keyed requests must be refused now."""


class UnlimitedRetries:
    """Stands in where no budget runs."""

    def take(self, service: str, now: float) -> bool:
        """Grant every retry."""
        return True

    def note_success(self, service: str, now: float) -> None:
        """Do nothing."""


class NoHedging:
    """Stands in where hedging does not run."""

    def delay_s(self, service: str, route_class: str) -> float | None:
        """Return that no request is hedged."""
        return None


class NeverIsolated:
    """Stands in where no membership runs."""

    def check(self, now: float) -> Result[None, Failure]:
        """Let every request pass."""
        return Ok(None)


class Services(NamedTuple):
    """What the application needs from the kernel."""

    settings: DaemonSettings
    replica: Replica
    router: Router
    admission: Admission
    dispatcher: Dispatcher
    claims: DirectClaims
    events: EventLog
    pools: Pools
    readiness: Readiness
    retries: Retries
    hedging: Hedging
    isolation: Isolation


def collect_services(find: Any, optional: Any, pools: Pools) -> Services:
    """Return the services of a kernel.

    Parameters
    ----------
    find, optional
        Look a service up by name; `optional` returns None if it does not run.
    """
    return Services(
        find("settings"),
        find("replica"),
        find("router"),
        find("admission"),
        find("dispatcher"),
        find("claims"),
        find("events"),
        pools,
        find("readiness"),
        optional("retries") or UnlimitedRetries(),
        optional("hedging") or NoHedging(),
        optional("isolation") or NeverIsolated(),
    )
