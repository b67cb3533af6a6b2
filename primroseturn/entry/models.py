"""What an entry VM knows of the operators' configuration and of the targets."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route from a host and a path prefix to one or more services.

    Attributes
    ----------
    repeatable
        Whether a request may run more than once (idempotent work).
    download
        Whether answers are large.
    timeout_s
        Longest time in seconds that a caller is kept waiting.
    objective_s
        Time in seconds within which an answer has its full value.
    rank
        Urgency; 0 is the most urgent.
    open
        Whether the route needs no key.
    attempt_limit
        Largest number of targets that one request may be sent to.
    """

    name: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    repeatable: bool
    download: bool
    timeout_s: float
    objective_s: float
    rank: int
    open: bool
    attempt_limit: int


class Workspace(NamedTuple):
    """A workspace and its agreed share of the fleet.

    Attributes
    ----------
    rate
        Requests per second over all VMs together; 0 is no limit.
    burst
        Requests admitted at once over all VMs together.
    rank
        Urgency; None leaves it to the route.
    """

    name: str
    rate: float
    burst: float
    rank: int | None


class CallerLimits(NamedTuple):
    """What callers may send, and how long they may take."""

    header_bytes: int
    body_bytes: int
    header_limit_s: float
    idle_limit_s: float


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    Attributes
    ----------
    requires_key
        Whether requests need a key at all.
    connections_by_service
        Connections that one target of a service accepts from all VMs together.
    """

    version: int
    requires_key: bool
    routes_by_host: dict[str, tuple[Route, ...]]
    workspaces_by_key: dict[str, Workspace]
    workspaces_by_name: dict[str, Workspace]
    connections_by_service: dict[str, int]
    limits: CallerLimits


class Target(NamedTuple):
    """A listed target.

    Attributes
    ----------
    cold_s
        Time in seconds for which it stays slow after its start.
    born_ms
        Unix time of its start in milliseconds; tells a restart under the same id.
    leaving
        Whether it gets no new work.
    """

    id: str
    service: str
    host: str
    port: int
    data_center: str
    slots: int
    leaving: bool
    cold_s: float
    born_ms: int
