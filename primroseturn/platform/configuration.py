"""Decodes the operators' configuration object."""

from typing import Literal

from expression import Error, Ok, Result
from msgspec import convert, field, Struct, ValidationError

from primroseturn.entry.models import (
    CallerLimits,
    Configuration,
    Route,
    WeightedService,
    Workspace,
)
from primroseturn.failures import Failure

DEFAULT_CONNECTIONS = 330
DEFAULT_TIMEOUT_S = 10.0


class ConfigurationInvalid(Failure):
    """The operators' configuration cannot be decoded."""

    code = "configuration-invalid"


class PartWire(Struct, frozen=True):
    """One part of a split route."""

    service: str
    weight: float = 1.0


class PathWire(Struct, frozen=True):
    """One route of a host."""

    name: str
    path_prefix: str
    # What may be repeated; downloads may be, too.
    type: Literal["idempotent", "non_idempotent", "download"] | str = "non_idempotent"
    service: str | None = None
    traffic_split: list[PartWire] = []
    timeout_s: float = DEFAULT_TIMEOUT_S
    slo_latency_s: float = DEFAULT_TIMEOUT_S
    priority: int = 0
    attempts: int = 1
    public: bool = False


class HostWire(Struct, frozen=True):
    """The routes of one host."""

    host: str
    paths: list[PathWire] = []


class WorkspaceWire(Struct, frozen=True):
    """A workspace."""

    name: str
    api_keys: list[str] = []
    # 0 or absent is no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None


class ServiceWire(Struct, frozen=True):
    """An upstream service."""

    name: str
    # Connections of one target, from all VMs together.
    max_conns: int = DEFAULT_CONNECTIONS


class LimitsWire(Struct, frozen=True):
    """Limits for callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ConfigurationWire(Struct, frozen=True):
    """The whole configuration."""

    version: str
    virtual_hosts: list[HostWire] = []
    services: list[ServiceWire] = []
    tenants: list[WorkspaceWire] = []
    limits: LimitsWire = field(default_factory=LimitsWire)


def decode_configuration(spec: object) -> Result[Configuration, ConfigurationInvalid]:
    """Return the configuration that an object holds."""
    try:
        wire = convert(spec, ConfigurationWire, strict=False)
        return Ok(translate(wire))
    except (ValidationError, ValueError) as error:
        return Error(ConfigurationInvalid(str(error)))


def translate(wire: ConfigurationWire) -> Configuration:
    """Return the project's type for a decoded configuration."""
    workspaces = [
        Workspace(item.name, item.rate_per_s, item.burst, item.priority)
        for item in wire.tenants
    ]
    by_name = {item.name: item for item in workspaces}
    limits = wire.limits
    return Configuration(
        version=parse_version(wire.version),
        requires_key=bool(wire.tenants),
        routes_by_host=translate_routes(wire.virtual_hosts),
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
    )


def translate_routes(hosts: list[HostWire]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, the longest prefix first."""
    found: dict[str, list[Route]] = {}
    for host in hosts:
        routes = found.setdefault(host.host.lower(), [])
        routes.extend(translate_route(path) for path in host.paths)
    return {
        host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in found.items()
    }


def translate_route(path: PathWire) -> Route:
    """Return a route."""
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
        # An unknown type is treated as work that must not repeat.
        repeatable=path.type in ("idempotent", "download"),
        download=path.type == "download",
        timeout_s=path.timeout_s,
        objective_s=path.slo_latency_s,
        rank=path.priority,
        open=path.public,
        attempt_limit=max(1, path.attempts),
    )


def parse_version(text: str) -> int:
    """Return the number of a version such as ``r12``.

    Raises
    ------
    ValueError
        If there is none.
    """
    return int(text.removeprefix("r"))
