"""Decodes the entries of the target list and the evacuations in the store."""

from collections.abc import Collection
from ipaddress import ip_address
from typing import Annotated, Literal

from expression import Error, Ok, Result
from msgspec import convert, Meta, Struct, ValidationError

from primroseturn.failures import Failure
from primroseturn.platform.boot import split_address
from primroseturn.platform.pages import UnreadableValue
from primroseturn.routing.models import Target
from primroseturn.settings.models import Address

MAX_NAME_CHARACTERS = 255
# Requests that a target may run concurrently, and seconds for which it may be slow
# after its start. Larger numbers are faults of the writer.
MAX_SLOTS = 100_000
MAX_COLD_S = 86_400.0
# Largest integer that all JSON decoders represent exactly.
MAX_UNIX_MS = 2**53
# Characters of an entry's name and of an error that are quoted in a failure.
MAX_QUOTED_CHARACTERS = 60
MAX_DETAIL_CHARACTERS = 200

WireName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]


class EntryInvalid(Failure):
    """An entry of the target list or an evacuation is invalid.

    Attributes
    ----------
    reason
        ``unreadable`` if the entry could not be decoded at all, ``mistyped`` if a field
        is missing or has another type or range, ``bad-address`` if its address names no
        IP address and port, ``bad-name`` if its name can't be an id, or
        ``unknown-data-center``.
    """

    code = "entry-invalid"

    def __init__(self, name: str, reason: str, detail: object) -> None:
        quoted = repr(name[:MAX_QUOTED_CHARACTERS])
        super().__init__(f"entry {quoted}: {str(detail)[:MAX_DETAIL_CHARACTERS]}")
        self.reason = reason


class TargetWire(Struct, frozen=True):
    """The entry of a target."""

    service: WireName
    # As ``HOST:PORT``.
    address: WireName
    # Name of the data centre, which the platform calls a zone.
    zone: WireName
    # Number of requests that the target runs at once.
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Seconds for which the target will still be slow after its start.
    cold_left_s: Annotated[float, Meta(ge=0, le=MAX_COLD_S)]
    # Version of the target's software and number of its last write. They are not used,
    # but an entry without them comes from another writer and may name a service that
    # the target does not belong to.
    version: str
    seq: Annotated[int, Meta(ge=0)]
    # Unix time of the target's start in milliseconds.
    born: Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)] = 0


def decode_target(
    name: str, spec: object, data_centers: Collection[str] = ()
) -> Result[Target, EntryInvalid]:
    """Decode the entry of a target.

    Parameters
    ----------
    data_centers
        The known data centres; any is accepted if it is empty.
    """
    if isinstance(spec, UnreadableValue):
        return Error(EntryInvalid(name, "unreadable", spec.reason))
    if not is_target_id(name):
        return Error(EntryInvalid(name, "bad-name", "the name can't be a target's id"))
    try:
        wire = convert(spec, TargetWire)
    except (ValidationError, ValueError, RecursionError) as error:
        return Error(EntryInvalid(name, "mistyped", error))
    if data_centers and wire.zone not in data_centers:
        detail = f"{wire.zone!r} is not a known data centre"
        return Error(EntryInvalid(name, "unknown-data-center", detail))
    try:
        address = read_target_address(wire.address)
    except ValueError as error:
        return Error(EntryInvalid(name, "bad-address", error))
    return Ok(
        Target(
            id=name,
            service=wire.service,
            host=address.host,
            port=address.port,
            data_center=wire.zone,
            slots=wire.slots,
            leaving=wire.state == "draining",
            cold_s=wire.cold_left_s,
            start_unix_ms=wire.born,
        )
    )


def decode_evacuation(
    name: str, spec: object, data_centers: Collection[str]
) -> Result[str, EntryInvalid]:
    """Return the data centre that an object of the store evacuates.

    Unknown fields of the object are ignored.

    Parameters
    ----------
    data_centers
        The known data centres; any is accepted if it is empty.
    """
    if isinstance(spec, UnreadableValue):
        return Error(EntryInvalid(name, "unreadable", spec.reason))
    if not isinstance(spec, dict):
        return Error(EntryInvalid(name, "mistyped", "an evacuation is an object"))
    if data_centers and name not in data_centers:
        detail = "no data centre has this name"
        return Error(EntryInvalid(name, "unknown-data-center", detail))
    return Ok(name)


def is_target_id(name: str) -> bool:
    """Return whether a name can be sent in a header as the id of a target."""
    return (
        0 < len(name) <= MAX_NAME_CHARACTERS
        and name.isascii()
        and name.isprintable()
        and name.strip() == name
    )


def read_target_address(text: str) -> Address:
    """Return the IP address and the port of a target.

    Raises
    ------
    ValueError
        If the text is not of the form ``HOST:PORT`` with an IP address and a port that
        a target can listen on.
    """
    address = split_address(text)
    ip_address(address.host)
    if address.port == 0:
        raise ValueError("port 0 is not a port to connect to")
    return address
