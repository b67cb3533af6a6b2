"""Decodes the entries of the target list, which the store holds as objects."""

from typing import Literal

from expression import Error, Ok, Result
from msgspec import convert, Struct, ValidationError

from primroseturn.entry.models import Target
from primroseturn.failures import Failure
from primroseturn.platform.boot import split_address


class EntryInvalid(Failure):
    """An entry of the target list is invalid."""

    code = "entry-invalid"


class TargetWire(Struct, frozen=True):
    """The entry of a target."""

    service: str
    # As ``HOST:PORT``.
    address: str
    # Name of the data centre, which the platform calls a zone.
    zone: str
    # Number of requests that the target runs at once.
    slots: int
    state: Literal["ready", "draining"]
    # Seconds for which the target will still be slow after its start.
    cold_left_s: float = 0.0
    # Unix time of the target's start in milliseconds.
    born: int = 0


def decode_target(name: str, spec: object) -> Result[Target, EntryInvalid]:
    """Decode the entry of a target."""
    try:
        wire = convert(spec, TargetWire)
        address = split_address(wire.address)
    except (ValidationError, ValueError) as error:
        return Error(EntryInvalid(f"entry {name!r}: {error}"))
    return Ok(
        Target(
            id=name,
            service=wire.service,
            host=address.host,
            port=address.port,
            data_center=wire.zone,
            slots=max(1, wire.slots),
            leaving=wire.state == "draining",
            cold_s=wire.cold_left_s,
            start_unix_ms=wire.born,
        )
    )
