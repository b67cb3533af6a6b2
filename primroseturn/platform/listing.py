"""Decodes the entries that targets write about themselves."""

from typing import Literal

from expression import Error, Ok, Result
from msgspec import convert, Struct, ValidationError

from primroseturn.entry.models import Target
from primroseturn.failures import Failure
from primroseturn.platform.boot import split_address


class EntryInvalid(Failure):
    """An entry of the target list cannot be used."""

    code = "entry-invalid"


class TargetWire(Struct, frozen=True):
    """A target's entry."""

    service: str
    address: str
    # The data centre.
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    # Time for which the target stays slow after its start.
    cold_left_s: float = 0.0
    born: int = 0


def decode_target(name: str, spec: object) -> Result[Target, EntryInvalid]:
    """Return the target that an entry names."""
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
            born_ms=wire.born,
        )
    )
