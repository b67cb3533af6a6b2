"""Decodes the operators' configuration, which the store holds as one object."""

from collections.abc import Iterator
from typing import Any, Literal

from expression import Error, Ok, Result
from msgspec import convert, field, Struct, ValidationError

from primroseturn.admission.ranks import read_rank
from primroseturn.entry.models import (
    CallerLimits,
    Configuration,
    FieldProblem,
    RankProblem,
)
from primroseturn.failures import Failure
from primroseturn.limits.models import check_workspace
from primroseturn.platform.optional_fields import quote, read_cold_limits, read_regions
from primroseturn.routing.models import ColdLimits, Route, WeightedService

DEFAULT_MAX_CONNECTIONS = 330
DEFAULT_TIMEOUT_S = 10.0
# A version must fit the 64 bits of an integer in a control message.
MAX_VERSION_DIGITS = 18


class ConfigurationInvalid(Failure):
    """The operators' configuration cannot be decoded."""

    code = "configuration-invalid"


class TrafficSplitWire(Struct, frozen=True):
    """Weight of one service in a split route."""

    service: str
    weight: float = 1.0


class PathWire(Struct, frozen=True):
    """One route of a host."""

    name: str
    path_prefix: str
    # "idempotent" and "download" requests may be repeated; others are at-most-once.
    type: Literal["idempotent", "non_idempotent", "download"] | str = "non_idempotent"
    service: str | None = None
    traffic_split: list[TrafficSplitWire] = []
    timeout_s: float = DEFAULT_TIMEOUT_S
    # Latency objective.
    slo_latency_s: float = DEFAULT_TIMEOUT_S
    # A value that is not a rank must not make the whole configuration invalid.
    priority: Any = None
    # Number of targets that a request may be sent to.
    attempts: int = 1
    # Whether requests need no key.
    public: bool = False
    # Names of the regions whose targets may get the requests; of any type, since a
    # fault in it must not refuse the whole configuration.
    allowed_regions: Any = None


class HostWire(Struct, frozen=True):
    """The routes of one host."""

    host: str
    paths: list[PathWire] = []


class WorkspaceWire(Struct, frozen=True):
    """A workspace, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = []
    # Requests per second over all VMs; 0 or absent is no limit. Both are checked by
    # `check_workspace`, so that one workspace makes no configuration unreadable.
    rate_per_s: Any = None
    burst: Any = None
    priority: Any = None
    # As in `PathWire`.
    allowed_regions: Any = None


class ServiceWire(Struct, frozen=True):
    """An upstream service."""

    name: str
    # Connections to one target, from all VMs together.
    max_conns: int = DEFAULT_MAX_CONNECTIONS
    # Seconds for which a target stays cold after its start, and requests per second
    # that it tolerates then; of any type, as in `PathWire`.
    cold_start_s: Any = None
    cold_per_s: Any = None


class LimitsWire(Struct, frozen=True):
    """Limits for requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ConfigurationWire(Struct, frozen=True):
    """The whole configuration."""

    # Such as ``r12``.
    version: str
    virtual_hosts: list[HostWire] = []
    services: list[ServiceWire] = []
    tenants: list[WorkspaceWire] = []
    limits: LimitsWire = field(default_factory=LimitsWire)


def decode_configuration(spec: object) -> Result[Configuration, ConfigurationInvalid]:
    """Decode the configuration in the value of an object."""
    try:
        wire = convert(spec, ConfigurationWire, strict=False)
        return Ok(translate(wire))
    except (ValidationError, ValueError, RecursionError) as error:
        return Error(ConfigurationInvalid(str(error)))


def translate(wire: ConfigurationWire) -> Configuration:
    """Convert a decoded configuration to the type that entry VMs use."""
    problems: list[FieldProblem] = []
    workspaces = [
        check_workspace(
            item.name,
            item.rate_per_s,
            item.burst,
            None if item.priority is None else read_rank(item.priority).rank,
            read_regions(
                item.allowed_regions, f"workspace {quote(item.name)}", problems
            ),
        )
        for item in wire.tenants
    ]
    by_name = {item.name: item for item in workspaces}
    routes_by_host = translate_routes(wire.virtual_hosts, problems)
    cold_limits_by_service = translate_cold_limits(wire.services, problems)
    limits = wire.limits
    return Configuration(
        version=parse_version(wire.version),
        requires_key=bool(wire.tenants),
        routes_by_host=routes_by_host,
        workspaces_by_key={
            key: by_name[item.name] for item in wire.tenants for key in item.api_keys
        },
        workspaces_by_name=by_name,
        connections_by_service={item.name: item.max_conns for item in wire.services},
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
        cold_limits_by_service=cold_limits_by_service,
        problems=tuple(problems),
        rank_problems=tuple(find_rank_problems(wire)),
    )


def find_rank_problems(wire: ConfigurationWire) -> Iterator[RankProblem]:
    """Yield the ranks that are missing or were clamped."""
    stated = [
        (f"route {path.name}", path.priority)
        for host in wire.virtual_hosts
        for path in host.paths
    ]
    stated += [
        (f"workspace {item.name}", item.priority)
        for item in wire.tenants
        if item.priority is not None
    ]
    for owner, value in stated:
        reading = read_rank(value)
        if reading.problem:
            yield RankProblem(owner, reading.problem, reading.rank)


def translate_cold_limits(
    services: list[ServiceWire], problems: list[FieldProblem]
) -> dict[str, ColdLimits]:
    """Return what cold targets tolerate, for the services that state it."""
    limits_by_service = {}
    for item in services:
        place = f"service {quote(item.name)}"
        limits = read_cold_limits(item.cold_start_s, item.cold_per_s, place, problems)
        if limits is not None:
            limits_by_service[item.name] = limits
    return limits_by_service


def translate_routes(
    hosts: list[HostWire], problems: list[FieldProblem]
) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, the longest prefix first."""
    found: dict[str, list[Route]] = {}
    for host in hosts:
        routes = found.setdefault(host.host.lower(), [])
        routes.extend(translate_route(path, problems) for path in host.paths)
    return {
        host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in found.items()
    }


def translate_route(path: PathWire, problems: list[FieldProblem]) -> Route:
    """Convert a decoded route."""
    if path.traffic_split:
        parts = [
            WeightedService(item.service, item.weight) for item in path.traffic_split
        ]
    else:
        parts = [WeightedService(path.service or "", 1.0)]
    return Route(
        name=path.name,
        prefix=path.path_prefix,
        weighted_services=tuple(parts),
        # Requests of an unknown type are treated as at-most-once.
        repeatable=path.type in ("idempotent", "download"),
        download=path.type == "download",
        timeout_s=path.timeout_s,
        objective_s=path.slo_latency_s,
        priority=read_rank(path.priority).rank,
        open=path.public,
        max_targets=max(1, path.attempts),
        allowed_regions=read_regions(
            path.allowed_regions, f"route {quote(path.name)}", problems
        ),
    )


def parse_version(text: str) -> int:
    """Return the number in a version such as ``r12``.

    Raises
    ------
    ValueError
        If the text is not a number with an optional prefix ``r``.
    """
    digits = text.removeprefix("r")
    if len(digits) > MAX_VERSION_DIGITS:
        raise ValueError(f"the version has {len(digits)} digits")
    return int(digits)
