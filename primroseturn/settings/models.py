"""Typed settings of a daemon process, decoded from JSON."""

from typing import Annotated, Literal

from msgspec import field, Meta, Struct

OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"

Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=120)]
IpAddress = Annotated[str, Meta(pattern=rf"^{OCTET}(\.{OCTET}){{3}}$")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
HttpUrl = Annotated[str, Meta(pattern=r"^https?://[^/\s]+/?$", max_length=300)]


class Address(Struct, frozen=True, forbid_unknown_fields=True):
    """An IP address and a port.

    Attributes
    ----------
    host
        IPv4 address, not a host name.
    port
        TCP port; 0 lets the operating system choose a free one.
    """

    host: IpAddress = "127.0.0.1"
    port: Port = 0


class Identity(Struct, frozen=True, forbid_unknown_fields=True):
    """Name and location of this VM.

    Attributes
    ----------
    vm
        Name of the VM in the VM list. It stays the same after a restart.
    data_center
        Data centre of the VM.
    region
        Region of the VM.
    """

    vm: Name
    data_center: Name = "dc1"
    region: Name = "region1"


class TlsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate files of a listener.

    Attributes
    ----------
    certificate_file
        PEM file with the certificate and its chain.
    key_file
        PEM file with the private key.
    """

    certificate_file: str
    key_file: str


class CallerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Listener for callers.

    Attributes
    ----------
    address
        Address that callers connect to.
    tls
        Certificate files; null serves plain HTTP.
    header_limit_bytes
        Largest size of a request's path, query and headers, in bytes.
    drain_delay_s
        Time between the report that the VM is not ready and the refusal of
        new connections.
    drain_limit_s
        Longest time to wait for requests in flight to finish.
    """

    address: Address = field(default_factory=Address)
    tls: TlsSettings | None = None
    header_limit_bytes: Annotated[int, Meta(ge=1024, le=1_048_576)] = 16_384
    drain_delay_s: Seconds = 1.0
    drain_limit_s: Seconds = 300.0


class UpstreamSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Connections to upstreams.

    Attributes
    ----------
    idle_limit_s
        Idle time after which a connection is closed.
    old_connection_s
        Idle time after which a connection is old: `old_first_byte_limit_s` applies.
    old_first_byte_limit_s
        Timeout for the first byte of a response on an old connection.
    progress_limit_s
        Time without progress after which an exchange is treated as stalled.
    load_path
        Path of the targets' load endpoint; with null, targets are not asked for
        their load.
    load_interval_s
        Time between two requests for the load of a target.
    ca_file
        PEM file of the certificate authority that is trusted for https
        targets; null trusts the authorities of the system.
    """

    idle_limit_s: Seconds = 20.0
    old_connection_s: Seconds = 2.0
    old_first_byte_limit_s: Seconds = 0.5
    progress_limit_s: Seconds = 10.0
    load_path: str | None = "/load"
    load_interval_s: Annotated[float, Meta(gt=0)] = 1.0
    ca_file: str | None = None


class StoreSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's object API.

    Attributes
    ----------
    url
        Base URL.
    call_limit_s
        Timeout of a call.
    fleet_writes_per_s
        Writes per second that the whole fleet may make.
    fleet_reads_per_s
        Reads and watches per second that the whole fleet may make.
    """

    url: HttpUrl
    call_limit_s: Seconds = 2.0
    fleet_writes_per_s: Annotated[float, Meta(gt=0)] = 300.0
    fleet_reads_per_s: Annotated[float, Meta(gt=0)] = 2000.0


class PeerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """A daemon that is contacted while the VM list is unknown.

    Attributes
    ----------
    vm
        Name of the VM.
    address
        Control address of the VM.
    public_key
        CURVE public key (Z85) of the VM; null without CURVE.
    """

    vm: Name
    address: Address
    public_key: str | None = None


class ControlSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Control messages between daemons.

    Attributes
    ----------
    address
        Address that peers connect to. With a fixed port, binding it proves
        that the former process on this VM has ended.
    seeds
        Peers that a starting daemon requests the VM lists and the
        configuration from.
    heartbeat_interval_s
        Time between two heartbeats to a peer.
    curve_secret_key
        CURVE secret key (Z85) of this VM; null sends messages unencrypted.
    curve_public_key
        CURVE public key (Z85) of this VM.
    allowed_public_keys
        CURVE public keys that may connect in addition to those of the VM
        list.
    """

    address: Address = field(default_factory=Address)
    seeds: tuple[PeerSettings, ...] = ()
    heartbeat_interval_s: Annotated[float, Meta(gt=0)] = 0.5
    curve_secret_key: str | None = None
    curve_public_key: str | None = None
    allowed_public_keys: tuple[str, ...] = ()


class AdminSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Administration API and its credentials (SHA-256 hex digests of tokens).

    Attributes
    ----------
    address
        Address that operators connect to.
    tls
        Certificate files; null serves plain HTTP.
    reader_digests
        SHA-256 (lower-case hex) of each read-only token.
    writer_digests
        SHA-256 (lower-case hex) of each read-write token.
    """

    address: Address = field(default_factory=Address)
    tls: TlsSettings | None = None
    reader_digests: tuple[Digest, ...] = ()
    writer_digests: tuple[Digest, ...] = ()


class MetricsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Metrics and health endpoints.

    Attributes
    ----------
    address
        Address that serves /metrics, /live and /ready.
    """

    address: Address = field(default_factory=Address)


class KeySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """When a VM that may have missed a withdrawal refuses requests with a key.

    Attributes
    ----------
    isolation_limit_s
        Time without contact either to the store or to most of the fleet, after
        which a VM is isolated and refuses requests with a key.
    isolation_policy
        strict refuses requests with a key on every isolated VM; region serves
        them while most VMs of its region are reachable, so a withdrawal may take
        effect there later.
    """

    isolation_limit_s: Seconds = 4.0
    isolation_policy: Literal["strict", "region"] = "strict"


class LimitSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Enforcement of the workspaces' rates and bursts over the whole fleet.

    Attributes
    ----------
    wait_limit_s
        Longest time that a request waits for a token before it is refused.
    loan_s
        Duration of a loan of tokens between VMs.
    owner_lease_s
        Duration of the lease of a VM's session as an owner of units.
    owners_per_workspace
        Number of VMs that own the units of a workspace.
    """

    wait_limit_s: Seconds = 0.2
    loan_s: Annotated[float, Meta(gt=0)] = 5.0
    owner_lease_s: Annotated[float, Meta(gt=0)] = 21_600.0
    owners_per_workspace: Annotated[int, Meta(ge=1, le=64)] = 8


class ClaimSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Claims of at-most-once operations.

    Attributes
    ----------
    slots
        Number of claim slots in a new store.
    commit_interval_s
        Time for which claims are collected for one commit.
    retention_s
        Time for which the outcomes of operations are stored.
    """

    slots: Annotated[int, Meta(ge=1, le=65536)] = 16
    commit_interval_s: Seconds = 0.01
    retention_s: Annotated[float, Meta(gt=0)] = 86_400.0


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Event log and trace recording.

    Attributes
    ----------
    events_file
        File of events (JSON lines); null writes to a standard stream.
    standard_output
        Whether events without a file are written to standard output instead
        of standard error.
    record_file
        File of a trace for `primroseturn replay`; null records no trace.
    """

    events_file: str | None = None
    standard_output: bool = False
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
