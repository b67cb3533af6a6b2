"""Splits a configuration state into parts and joins them again.

The parts contain the compressed buckets of the tables unchanged, so that neither side
has to encode or decode single objects.
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
    """The parts of a snapshot do not make a complete and valid state."""

    code = "snapshot-invalid"

    def __init__(self, reason: str) -> None:
        super().__init__(f"snapshot refused: {reason}")


class SnapshotPart(Struct, frozen=True, array_like=True):
    """One part of a snapshot.

    Attributes
    ----------
    version
        Version of the state.
    bucket_counts_by_kind
        Number of buckets of each table of the whole snapshot.
    buckets
        Kind, index in the table and compressed content of the buckets of this part.
    """

    version: int
    preset_in_force: Preset
    preset_in_force_version: int
    bucket_counts_by_kind: dict[str, int]
    buckets: list[tuple[str, int, bytes]]


def table_of(state: ConfigurationState, kind: str) -> ObjectTable:
    """Return the table with the objects of a kind."""
    return getattr(state, FIELDS_BY_KIND[kind])


def group_buckets(
    state: ConfigurationState, limit_bytes: int
) -> list[list[tuple[str, int, bytes]]]:
    """Return all buckets in groups of at most `limit_bytes`; at least one group.

    A single larger bucket makes a group of its own. Each bucket is a tuple of its kind,
    its index in the table and its content.
    """
    groups: list[list[tuple[str, int, bytes]]] = [[]]
    group_bytes = 0
    for kind in FIELDS_BY_KIND:
        for index, bucket in enumerate(table_of(state, kind).buckets):
            bucket_bytes = len(bucket) + len(kind) + 16
            if groups[-1] and group_bytes + bucket_bytes > limit_bytes:
                groups.append([])
                group_bytes = 0
            groups[-1].append((kind, index, bucket))
            group_bytes += bucket_bytes
    return groups


def encode_group(
    state: ConfigurationState, group: list[tuple[str, int, bytes]]
) -> bytes:
    """Return the encoded part with a group of buckets."""
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
    first_part: SnapshotPart,
    kind: str,
    buckets_by_position: dict[tuple[str, int], bytes],
) -> ObjectTable:
    """Return a table of a snapshot after decoding each of its buckets once.

    Parameters
    ----------
    buckets_by_position
        Compressed buckets by kind and index.

    Raises
    ------
    KeyError
        If a bucket is missing.
    MsgspecError, zlib.error
        If a bucket cannot be decoded. Without this check, lookups would fail later.
    """
    count = first_part.bucket_counts_by_kind[kind]
    buckets = tuple(buckets_by_position[kind, index] for index in range(count))
    size = sum(len(decode_bucket(kind, bucket)) for bucket in buckets)
    return ObjectTable(kind, buckets, size)


def join_parts(contents: Iterable[bytes]) -> Result[ConfigurationState, Failure]:
    """Return the state of which `contents` are the encoded parts."""
    try:
        parts = [decode(content, type=SnapshotPart) for content in contents]
    except (MsgspecError, RecursionError) as error:
        return Error(SnapshotInvalid(str(error)))
    if not parts or len({part.version for part in parts}) != 1:
        return Error(SnapshotInvalid("the parts are of different versions"))
    first_part = parts[0]
    if set(first_part.bucket_counts_by_kind) != set(FIELDS_BY_KIND):
        return Error(SnapshotInvalid("a kind of object is missing or unknown"))
    buckets_by_position = {
        (kind, index): bucket for part in parts for kind, index, bucket in part.buckets
    }
    if len(buckets_by_position) != sum(first_part.bucket_counts_by_kind.values()):
        return Error(SnapshotInvalid("a bucket is missing"))
    try:
        tables = [
            join_table(first_part, kind, buckets_by_position) for kind in FIELDS_BY_KIND
        ]
    except KeyError:
        return Error(SnapshotInvalid("a bucket is missing"))
    except (MsgspecError, zlib_error) as error:
        return Error(SnapshotInvalid(str(error)))
    return Ok(
        ConfigurationState(
            first_part.version,
            *tables,
            first_part.preset_in_force,
            first_part.preset_in_force_version,
        )
    )
