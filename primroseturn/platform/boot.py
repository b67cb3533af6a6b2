"""Reads the platform's settings file and returns the settings of an entry VM."""

from pathlib import Path
from tomllib import loads, TOMLDecodeError
from typing import Annotated, Any

from expression import Error, Ok, Result
from msgspec import convert, Meta, Struct, ValidationError

from primroseturn.failures import SettingsInvalid
from primroseturn.settings.entry import EntrySettings, FleetBounds
from primroseturn.settings.load import describe_mismatch
from primroseturn.settings.models import Address, Identity, LogSettings

Port = int


MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


class LimitsTable(Struct, frozen=True):
    """Table ``self.limits``, which describes the machine."""

    # Memory in millions of bytes.
    memory_mb: float = 300.0


class SelfTable(Struct, frozen=True):
    """Table ``self``, which describes this VM."""

    # Name of the VM.
    node: str
    ip: str
    # Name of the data centre, which the platform calls a zone.
    zone: str
    region: str
    limits: LimitsTable = LimitsTable()
    # Whether the whole system starts for the first time.
    bootstrap: bool = False


class ListenTable(Struct, frozen=True):
    """Table ``network.listen``."""

    # Address on which callers connect, as ``HOST:PORT``.
    front: str
    # Address of the readiness endpoint, as ``HOST:PORT``.
    readiness: str


class NetworkTable(Struct, frozen=True):
    """Table ``network``, which describes ports and the fleet."""

    # First and last port that may be used for traffic between VMs.
    internal_ports: tuple[Port, Port]
    listen: ListenTable
    # Regions by data centre (the platform calls data centres zones).
    zones: dict[str, str]
    # Addresses of a few VMs of the fleet, as ``HOST:PORT``; only the hosts are used.
    seeds: list[str] = []


class StoreTable(Struct, frozen=True):
    """Table ``platform.platform``, which describes the store."""

    # Address of the object API, as ``HOST:PORT``.
    address: str
    # Calls that the whole fleet may make.
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


class PlatformTable(Struct, frozen=True):
    """Table ``platform``, whose only table is named ``platform`` as well."""

    platform: StoreTable
    # Time between two writes of a target to its entry.
    heartbeat_s: float = 1.5


class BoundsTable(Struct, frozen=True):
    """Table ``timing_terms.bounds``; the defaults are those of the platform."""

    # Longest time for which a withdrawn key may still work.
    revoke_s: float = 5.0
    # Time between SIGTERM and SIGKILL.
    grace_s: float = 6.0
    # Repeats (retries and hedges) of a service per request, within a window.
    budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    # Repeats that a service may get in a window independently of its load.
    budget_extra: float = 50.0
    # Time without a disruption after which a machine counts as in touch.
    stable_s: float = 3.0
    # Time from the acknowledgement of a version until it is in force.
    config_apply_s: float = 2.0
    # Time from the acknowledgement that a target leaves until no request reaches it.
    drain_s: float = 2.0
    # Time from the acknowledgement of the evacuation of a data centre until no request
    # reaches its targets; absent where data centres are not evacuated.
    evacuate_s: float | None = None
    # Requests that a cold target may get in any second, relative to the rate that it
    # tolerates and in addition to it; absent where targets state no such rate.
    cold_overage: float | None = None
    cold_slack: float | None = None
    # Length of the windows in which limits of workspaces are measured, and the part and
    # the number of requests by which imprecision may exceed them.
    quota_window_s: Annotated[float, Meta(ge=1.0, le=600.0)] = 5.0
    quota_overage: Annotated[float, Meta(ge=0.0)] = 0.1
    quota_slack: Annotated[float, Meta(ge=0.0)] = 20.0


class TermsTable(Struct, frozen=True):
    """Table ``timing_terms``: time limits and the budget of repeats."""

    bounds: BoundsTable = BoundsTable()


class PlatformSettings(Struct, frozen=True, rename={"own": "self"}):
    """The whole settings file. Unknown fields are ignored."""

    own: SelfTable
    network: NetworkTable
    platform: PlatformTable
    timing_terms: TermsTable = TermsTable()


def read_platform_settings(
    path: Path, metrics_port: int
) -> Result[EntrySettings, SettingsInvalid]:
    """Read the platform's settings file.

    Parameters
    ----------
    metrics_port
        Port of the metrics, which the deploy file sets.
    """
    try:
        document = loads(path.read_text())
    except OSError as error:
        expected = f"a readable file ({error.strerror})"
        return Error(SettingsInvalid("$", str(path), expected))
    except (TOMLDecodeError, UnicodeDecodeError) as error:
        return Error(SettingsInvalid("$", "<document>", f"valid TOML ({error})"))
    return decode_platform_settings(document, metrics_port)


def decode_platform_settings(
    document: dict[str, Any], metrics_port: int
) -> Result[EntrySettings, SettingsInvalid]:
    """Validate the tables of a settings file and translate them."""
    try:
        platform_settings = convert(document, PlatformSettings, strict=False)
        return Ok(translate(platform_settings, metrics_port))
    except ValidationError as error:
        return Error(describe_mismatch(document, error))
    except ValueError as error:
        return Error(SettingsInvalid("$.network.listen", "<address>", str(error)))


def translate(platform_settings: PlatformSettings, metrics_port: int) -> EntrySettings:
    """Return the settings of an entry VM for those of the platform."""
    bounds = platform_settings.timing_terms.bounds
    store = platform_settings.platform.platform
    own = platform_settings.own
    return EntrySettings(
        identity=Identity(own.node, own.zone, own.region),
        logs=LogSettings(standard_output=True),
        callers=split_address(platform_settings.network.listen.front),
        readiness=split_address(platform_settings.network.listen.readiness),
        peers=Address(own.ip, platform_settings.network.internal_ports[0]),
        metrics=Address(own.ip, metrics_port),
        seed_hosts=tuple(
            split_address(seed).host for seed in platform_settings.network.seeds
        ),
        regions_by_data_center=platform_settings.network.zones,
        store_url=f"http://{store.address}",
        reads_per_s=store.reads_per_s,
        writes_per_s=store.writes_per_s,
        bounds=FleetBounds(
            revoked_key_limit_s=bounds.revoke_s,
            stop_limit_s=bounds.grace_s,
            repeat_ratio=bounds.budget_ratio,
            repeat_window_s=bounds.budget_window_s,
            repeat_extra=bounds.budget_extra,
            stable_s=bounds.stable_s,
            version_limit_s=bounds.config_apply_s,
            leaving_limit_s=bounds.drain_s,
            evacuation_limit_s=bounds.evacuate_s,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            quota_window_s=bounds.quota_window_s,
            quota_overage=bounds.quota_overage,
            quota_slack=bounds.quota_slack,
        ),
        heartbeat_s=platform_settings.platform.heartbeat_s,
        memory_bytes=int(own.limits.memory_mb * 1_000_000),
        is_first_start=own.bootstrap,
    )


def split_address(text: str) -> Address:
    """Return the host and the port of an address.

    Raises
    ------
    ValueError
        If the text is not of the form ``HOST:PORT``.
    """
    host, separator, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not separator or not host or not is_number or int(port) > MAX_PORT:
        raise ValueError(f"an address of the form HOST:PORT, not {text!r}")
    return Address(host, int(port))
