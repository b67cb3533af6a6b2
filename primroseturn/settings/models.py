"""Typed settings of a daemon process, decoded from JSON."""

from typing import Annotated, Literal

from msgspec import field, Meta, Struct

Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=120)]


class Address(Struct, frozen=True, forbid_unknown_fields=True):
    """An IP address and a port. Port 0 lets the system choose a free one."""

    host: str = "127.0.0.1"
    port: Port = 0


class Identity(Struct, frozen=True, forbid_unknown_fields=True):
    """Who this VM is and where it stands."""

    vm: Name
    data_center: Name = "dc1"
    region: Name = "region1"


class TlsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate files of a listener."""

    certificate_file: str
    key_file: str


class CallerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Listener towards callers."""

    address: Address = field(default_factory=Address)
    tls: TlsSettings | None = None
    header_limit_bytes: Annotated[int, Meta(ge=1024, le=1_048_576)] = 16_384
    drain_delay_s: Seconds = 1.0
    drain_limit_s: Seconds = 300.0


class UpstreamSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Connections towards upstreams."""

    idle_limit_s: Seconds = 20.0
    old_connection_s: Seconds = 2.0
    old_first_byte_limit_s: Seconds = 0.5
    progress_limit_s: Seconds = 10.0
    ca_file: str | None = None


class StoreSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's object API."""

    url: str
    call_limit_s: Seconds = 2.0
    fleet_writes_per_s: Annotated[float, Meta(gt=0)] = 300.0
    fleet_reads_per_s: Annotated[float, Meta(gt=0)] = 2000.0


class PeerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """A daemon that is contacted before the VM list is known."""

    vm: Name
    address: Address
    public_key: str | None = None


class ControlSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Control messages between daemons."""

    address: Address = field(default_factory=Address)
    seeds: tuple[PeerSettings, ...] = ()
    heartbeat_interval_s: Annotated[float, Meta(gt=0)] = 0.5
    curve_secret_key: str | None = None
    curve_public_key: str | None = None
    allowed_public_keys: tuple[str, ...] = ()


class AdminSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Administration API and its credentials (SHA-256 hex digests of tokens)."""

    address: Address = field(default_factory=Address)
    tls: TlsSettings | None = None
    reader_digests: tuple[str, ...] = ()
    writer_digests: tuple[str, ...] = ()


class MetricsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Metrics and health endpoints."""

    address: Address = field(default_factory=Address)


class KeySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Caller keys and what an isolated VM does with them."""

    isolation_limit_s: Seconds = 4.0
    isolation_policy: Literal["strict", "region"] = "strict"


class LimitSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Rate and burst over the fleet."""

    wait_limit_s: Seconds = 0.2
    loan_s: Annotated[float, Meta(gt=0)] = 5.0
    owner_lease_s: Annotated[float, Meta(gt=0)] = 21_600.0
    owners_per_workspace: Annotated[int, Meta(ge=1, le=64)] = 8


class ClaimSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Claims of operations that must not repeat."""

    slots: Annotated[int, Meta(ge=1, le=65536)] = 16
    commit_interval_s: Seconds = 0.01
    retention_s: Annotated[float, Meta(gt=0)] = 86_400.0


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Event log and trace recording. Without a file, events go to standard error."""

    events_file: str | None = None
    record_file: str | None = None


class DaemonSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon."""

    identity: Identity
    store: StoreSettings
    callers: CallerSettings = field(default_factory=CallerSettings)
    upstreams: UpstreamSettings = field(default_factory=UpstreamSettings)
    control: ControlSettings = field(default_factory=ControlSettings)
    admin: AdminSettings = field(default_factory=AdminSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    keys: KeySettings = field(default_factory=KeySettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    logs: LogSettings = field(default_factory=LogSettings)
