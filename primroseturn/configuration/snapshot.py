"""Splits a configuration state into parts and joins them again.

The parts hold the packed buckets of the tables as they are, so that neither side
encodes objects one by one.
"""

from collections.abc import Iterable
from zlib import error as zlib_error

from expression import Error, Ok, Result
from msgspec import MsgspecError, Struct
from msgspec.msgpack import decode, encode

from primroseturn.configuration.models import Preset
from primroseturn.configuration.state import ConfigurationState, FIELDS_BY_KIND
from primroseturn.configuration.table import decode_bucket, ObjectTable
from primroseturn.failures import Failure

STORE_PART_BYTES = 1_000_000
MESSAGE_PART_BYTES = 200_000


class SnapshotInvalid(Failure):
    """The parts of a snapshot do not make up a state."""

    code = "snapshot-invalid"

    def __init__(self, reason: str) -> None:
        super().__init__(f"snapshot refused: {reason}")


class SnapshotPart(Struct, frozen=True, array_like=True):
    """One part of a snapshot.

    Attributes
    ----------
    buckets_by_kind
        Number of buckets of each table, in every part.
    buckets
        Kind, position and packed content.
    """

    version: int
    preset_in_force: Preset
    preset_in_force_version: int
    buckets_by_kind: dict[str, int]
    buckets: list[tuple[str, int, bytes]]


def table_of(state: ConfigurationState, kind: str) -> ObjectTable:
    """Return the table of a kind."""
    return getattr(state, FIELDS_BY_KIND[kind])


def group_buckets(
    state: ConfigurationState, limit_bytes: int
) -> list[list[tuple[str, int, bytes]]]:
    """Return all buckets in groups of bounded size; at least one group."""
    groups: list[list[tuple[str, int, bytes]]] = [[]]
    used = 0
    for kind in FIELDS_BY_KIND:
        for place, bucket in enumerate(table_of(state, kind).buckets):
            cost = len(bucket) + len(kind) + 16
            if groups[-1] and used + cost > limit_bytes:
                groups.append([])
                used = 0
            groups[-1].append((kind, place, bucket))
            used += cost
    return groups


def encode_group(
    state: ConfigurationState, group: list[tuple[str, int, bytes]]
) -> bytes:
    """Return the part that holds a group of buckets."""
    tables = {kind: table_of(state, kind) for kind in FIELDS_BY_KIND}
    return encode(
        SnapshotPart(
            state.version,
            state.preset_in_force,
            state.preset_in_force_version,
            {kind: len(table.buckets) for kind, table in tables.items()},
            group,
        )
    )


def join_table(
    head: SnapshotPart, kind: str, found: dict[tuple[str, int], bytes]
) -> ObjectTable:
    """Return a table of a snapshot after decoding each of its buckets once.

    Raises
    ------
    KeyError
        If a bucket is missing.
    MsgspecError, zlib.error
        If a bucket does not decode. Without this check, lookups would fail later.
    """
    count = head.buckets_by_kind[kind]
    buckets = tuple(found[kind, place] for place in range(count))
    size = sum(len(decode_bucket(kind, bucket)) for bucket in buckets)
    return ObjectTable(kind, buckets, size)


def join_parts(contents: Iterable[bytes]) -> Result[ConfigurationState, Failure]:
    """Return the state that the parts of one snapshot make up."""
    try:
        parts = [decode(content, type=SnapshotPart) for content in contents]
    except (MsgspecError, RecursionError) as error:
        return Error(SnapshotInvalid(str(error)))
    if not parts or len({part.version for part in parts}) != 1:
        return Error(SnapshotInvalid("the parts are of different versions"))
    head = parts[0]
    if set(head.buckets_by_kind) != set(FIELDS_BY_KIND):
        return Error(SnapshotInvalid("a kind of object is missing or unknown"))
    found = {
        (kind, place): bucket for part in parts for kind, place, bucket in part.buckets
    }
    if len(found) != sum(head.buckets_by_kind.values()):
        return Error(SnapshotInvalid("a bucket is missing"))
    try:
        tables = [join_table(head, kind, found) for kind in FIELDS_BY_KIND]
    except KeyError:
        return Error(SnapshotInvalid("a bucket is missing"))
    except (MsgspecError, zlib_error) as error:
        return Error(SnapshotInvalid(str(error)))
    return Ok(
        ConfigurationState(
            head.version, *tables, head.preset_in_force, head.preset_in_force_version
        )
    )
