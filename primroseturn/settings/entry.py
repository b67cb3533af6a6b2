"""Typed settings of an entry VM's proxy, independent of the file format."""

from msgspec import Struct

from primroseturn.settings.models import Address, Identity, LogSettings


class FleetBounds(Struct, frozen=True):
    """Bounds that the platform sets for all VMs together.

    Attributes
    ----------
    revoked_key_limit_s
        Longest time in seconds for which a withdrawn (revoked) key may still be
        accepted.
    stop_limit_s
        Time in seconds between SIGTERM and SIGKILL.
    repeat_ratio, repeat_window_s, repeat_extra
        In each window of `repeat_window_s` seconds, a service may receive
        `repeat_ratio` times its requests plus `repeat_extra` as retries and hedges.
    stable_s
        Time in seconds without a disruption after which a VM is bound by the limits on
        configurations and leaving targets again.
    version_limit_s
        Longest time in seconds from the acknowledgement of a version of the
        configuration until all requests that are sent later are handled by it.
    leaving_limit_s
        Longest time in seconds from the acknowledgement that a target is leaving or
        gone until no request reaches it.
    evacuation_limit_s
        Longest time in seconds from the acknowledgement of the evacuation of a data
        centre until no request reaches its targets; None if there are no evacuations.
    cold_overage, cold_slack
        In any second, all VMs together send a cold target at most `cold_overage` times
        the rate that it tolerates plus `cold_slack` requests; None if targets have no
        such bound.
    quota_window_s, quota_overage, quota_slack
        In each window of `quota_window_s` seconds, a workspace may get its rate times
        that time and its burst; imprecision may exceed this by the part
        `quota_overage` and by `quota_slack` requests.
    """

    revoked_key_limit_s: float
    stop_limit_s: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_extra: float
    stable_s: float = 3.0
    version_limit_s: float = 2.0
    leaving_limit_s: float = 2.0
    evacuation_limit_s: float | None = None
    cold_overage: float | None = None
    cold_slack: float | None = None
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


class EntrySettings(Struct, frozen=True):
    """Settings of the proxy that `primroseturn entry` runs on an entry VM.

    Attributes
    ----------
    identity
        Name and location of the VM.
    logs
        Event log and trace recording.
    callers
        Address that callers connect to.
    readiness
        Address on which the load balancer checks readiness.
    peers
        Address that other VMs connect to.
    metrics
        Address that metrics are served on.
    seed_hosts
        IP addresses of VMs to contact while the store is unreachable.
    regions_by_data_center
        Region of each data centre.
    store_url
        Base URL of the platform's object API.
    reads_per_s, writes_per_s
        Calls per second that all VMs together may make to the store.
    bounds
        Bounds that hold for all VMs together.
    heartbeat_s
        Seconds between two writes of a target to its entry in the store.
    memory_bytes
        Memory of the VM, beyond which the platform ends the process.
    is_first_start
        Whether the whole system starts for the first time.
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
    heartbeat_s: float = 1.5
    memory_bytes: int = 300_000_000
    is_first_start: bool = False
