"""Configuration objects that operators create, and entries of the VM lists."""

from typing import Annotated, Literal

from msgspec import field, Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=120, pattern=r"^[A-Za-z0-9._-]+$")]
RouteClass = Annotated[str, Meta(min_length=1, max_length=40)]
Kind = Literal["workspace", "key", "route", "service", "preset", "preset-in-force"]


class Workspace(Struct, frozen=True, forbid_unknown_fields=True):
    """A workspace, its limits over the whole fleet and its weight in the fair queue.

    Attributes
    ----------
    rate
        Requests per second that all VMs together admit.
    burst
        Largest number of requests that all VMs together admit at once.
    share
        Weight in the fair queue.
    """

    name: Name
    rate: Annotated[float, Meta(gt=0)]
    burst: Annotated[float, Meta(ge=1)]
    share: Annotated[float, Meta(gt=0)] = 1.0


class CallerKey(Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's key, stored as a salted hash.

    Attributes
    ----------
    salt, digest
        Salt and salted hash of the secret part (hex).
    withdrawn
        Whether requests with the key are refused.
    """

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
        Whether callers need no key.
    repeatable
        Whether requests are idempotent, so that they may run more than once.
    download
        Whether an interrupted response may be resumed with a Range request.
    deadline_s
        Longest total time of a request in seconds. Downloads have no such limit, but
        must make progress.
    hedge
        Whether a second attempt may be started beside a slow first one.
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
        Fraction of the slots of a service's live targets that must stay in rotation.
    retry_ratio
        Retries and hedges that are allowed, as a fraction of recent successes.
    queue_limit
        Largest number of requests of a service that a VM queues.
    paid_link_bytes_per_s
        Budget for metered links in bytes per second.
    shares_by_workspace
        Weights in the fair queue that replace those of the workspaces.
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
    """One entry of the change log, or a proposal for one.

    It is the content of the object ``config/log/<version>``.

    Attributes
    ----------
    version
        Version of the change. In a proposal it is the version that the proposal is
        based on; `propose_change` replaces it.
    operation_id
        Id that the operator's client chose; a repeated proposal with the same id is
        accepted only once.
    expected_version
        Version of the last change of this object as the operator knows it, 0 for
        none, or None if the operator stated no version.
    body
        JSON of the object; None deletes the object.
    at_unix_s
        Unix time of the acceptance in seconds; 0 in a proposal.
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
    """An upstream VM in the list of its service."""

    name: str
    service: str
    url: str
    data_center: str
    region: str
    state: Literal["live", "leaving"] = "live"


class EntryVm(Struct, frozen=True):
    """A VM that accepts callers' requests (entry VM), as listed in the store."""

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
