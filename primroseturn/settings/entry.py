"""Typed settings of an entry VM, whatever file they come from."""

from msgspec import Struct

from primroseturn.settings.models import Address, Identity, LogSettings


class FleetBounds(Struct, frozen=True):
    """Bounds that the platform sets for all VMs together.

    Attributes
    ----------
    revoked_key_limit_s
        Longest time in seconds for which a withdrawn key may still work.
    stop_limit_s
        Time in seconds between SIGTERM and SIGKILL.
    repeat_ratio, repeat_window_s, repeat_extra
        In each window, a service may get `repeat_ratio` times its requests plus
        `repeat_extra` arrivals beyond the first of each request.
    """

    revoked_key_limit_s: float
    stop_limit_s: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_extra: float


class EntrySettings(Struct, frozen=True):
    """Settings of an entry VM.

    Attributes
    ----------
    callers, readiness
        Where callers connect and where the load balancer asks for readiness.
    peers
        Where this VM listens for other VMs.
    metrics
        Where metrics are served.
    seed_hosts
        IP addresses of VMs that may answer while the store is away.
    regions_by_data_center
        Region of each data centre.
    store_url
        Base URL of the platform's object API.
    reads_per_s, writes_per_s
        Calls that all VMs together may make.
    bounds
        Bounds for the fleet.
    """

    identity: Identity
    logs: LogSettings
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    seed_hosts: tuple[str, ...]
    regions_by_data_center: dict[str, str]
    store_url: str
    reads_per_s: float
    writes_per_s: float
    bounds: FleetBounds
