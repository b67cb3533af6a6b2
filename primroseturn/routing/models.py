"""Routes and targets, as the placement of `primroseturn entry` uses them."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service that receives a part of a route's requests, by weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route from a host and a path prefix to one or more services.

    Attributes
    ----------
    prefix
        Path prefix.
    repeatable
        Whether requests are idempotent, so that they may run more than once.
    download
        Whether responses are large.
    timeout_s
        Longest time in seconds that a caller waits for a response.
    objective_s
        Latency objective of the responses in seconds.
    priority
        Priority of the requests; 0 is the highest.
    open
        Whether requests need no key.
    max_targets
        Largest number of targets to which one request may be sent.
    allowed_regions
        Regions whose targets may get the requests; None means all, an empty set none.
    """

    name: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    repeatable: bool
    download: bool
    timeout_s: float
    objective_s: float
    priority: int
    open: bool
    max_targets: int
    allowed_regions: frozenset[str] | None = None


class ColdLimits(NamedTuple):
    """What the targets of a service tolerate after their start.

    Attributes
    ----------
    start_s
        Time in seconds for which a target stays cold after its start.
    per_s
        Requests per second that a cold target tolerates.
    """

    start_s: float
    per_s: float


class Target(NamedTuple):
    """A listed target.

    Attributes
    ----------
    cold_s
        Time in seconds for which the target stays cold, when its entry was written.
    start_unix_ms
        Unix time of its start in milliseconds, by which a restart under the same id is
        recognised.
    leaving
        Whether it receives no new requests.
    slots
        Requests that it runs concurrently.
    """

    id: str
    service: str
    host: str
    port: int
    data_center: str
    slots: int
    leaving: bool
    cold_s: float
    start_unix_ms: int
