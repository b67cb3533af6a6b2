"""Configuration objects that operators create, and listed VMs."""

from typing import Annotated, Literal

from msgspec import field, Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=120, pattern=r"^[A-Za-z0-9._-]+$")]
RouteClass = Annotated[str, Meta(min_length=1, max_length=40)]
Kind = Literal["workspace", "key", "route", "service", "preset", "preset-in-force"]


class Workspace(Struct, frozen=True, forbid_unknown_fields=True):
    """A customer's workspace and its agreed share of the fleet.

    Attributes
    ----------
    rate
        Requests per second over all VMs together.
    burst
        Largest number of requests admitted at once over all VMs together.
    share
        Weight in the fair queue.
    """

    name: Name
    rate: Annotated[float, Meta(gt=0)]
    burst: Annotated[float, Meta(ge=1)]
    share: Annotated[float, Meta(gt=0)] = 1.0


class CallerKey(Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's key, kept as a salted hash (hex)."""

    key_id: Name
    workspace: Name
    salt: str
    digest: str
    withdrawn: bool = False


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """A route from a path prefix to a service.

    Attributes
    ----------
    open
        Whether the route needs no key.
    repeatable
        Whether a request may run more than once (idempotent work).
    download
        Whether answers may be resumed by Range.
    deadline_s
        Longest total time of a request; downloads are bounded by progress only.
    """

    name: Name
    path_prefix: Annotated[str, Meta(pattern=r"^/", max_length=1024)]
    service: Name
    methods: tuple[str, ...] = ("GET", "HEAD")
    open: bool = False
    repeatable: bool = True
    download: bool = False
    route_class: RouteClass = "default"
    deadline_s: Annotated[float, Meta(gt=0)] = 10.0
    hedge: bool = False


class Service(Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream service and the capacity of each of its targets."""

    name: Name
    slots_per_target: Annotated[int, Meta(ge=1)] = 6
    connections_per_target: Annotated[int, Meta(ge=1)] = 330


class Preset(Struct, frozen=True, forbid_unknown_fields=True):
    """Operating parameters for ordinary days, peaks or maintenance.

    Attributes
    ----------
    floor
        Fraction of a service's slots that must stay in rotation.
    retry_ratio
        Retries and hedges allowed as a share of recent successes.
    """

    name: Name
    profile: Literal["fast", "careful"] = "fast"
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.6
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    queue_limit: Annotated[int, Meta(ge=0)] = 200
    paid_link_bytes_per_s: Annotated[float, Meta(ge=0)] = 1_000_000.0
    shares_by_workspace: dict[str, float] = field(default_factory=dict)


class PresetInForce(Struct, frozen=True, forbid_unknown_fields=True):
    """Names the one preset that is in force."""

    preset: Name


class Change(Struct, frozen=True):
    """One accepted change: the content of the object ``config/log/<version>``.

    Attributes
    ----------
    operation_id
        Chosen by the operator's client; makes a repeat idempotent.
    expected_version
        Version of the change that last touched this object, 0 for none, or
        None when the operator did not state one.
    body
        JSON of the object; None deletes it.
    """

    version: int
    operation_id: str
    author: str
    kind: Kind
    name: str
    body: dict | None
    expected_version: int | None = None
    at_unix_s: float = 0.0


class Target(Struct, frozen=True):
    """A listed upstream VM."""

    name: str
    service: str
    url: str
    data_center: str
    region: str
    state: Literal["live", "leaving"] = "live"


class EntryVm(Struct, frozen=True):
    """A listed entry VM."""

    vm: str
    host: str
    control_port: int
    data_center: str
    region: str
    state: Literal["live", "leaving"] = "live"
    public_key: str | None = None


types_by_kind: dict[str, type[Struct]] = {
    "workspace": Workspace,
    "key": CallerKey,
    "route": Route,
    "service": Service,
    "preset": Preset,
    "preset-in-force": PresetInForce,
}
