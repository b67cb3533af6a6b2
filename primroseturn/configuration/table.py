"""Persistent table of configuration objects of one kind.

The objects are packed in compressed buckets found by a hash of their name. A change
copies one bucket and the list of references to the buckets, whatever the number of
objects, and former states stay valid. Linear hashing splits one bucket per growth
step, so that no change has to rearrange the whole table.

Source: W. Litwin, Linear hashing: a new tool for file and table addressing, 1980.
"""

from collections.abc import Iterable, Iterator, Mapping
from functools import lru_cache
from typing import Generic, TypeVar
from zlib import compress, crc32, decompress

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from primroseturn.configuration.models import types_by_kind

T = TypeVar("T", bound=Struct)

BUCKET_ITEMS = 32
CACHED_BUCKETS = 256
COMPRESSION_LEVEL = 1

encoder = Encoder()
decoders_by_kind = {
    name: Decoder(dict[str, tuple[int, kind]]) for name, kind in types_by_kind.items()
}


def encode_bucket(items: dict[str, tuple[int, Struct]]) -> bytes:
    """Return the packed form of a bucket; equal contents have equal forms."""
    return compress(encoder.encode(dict(sorted(items.items()))), COMPRESSION_LEVEL)


def decode_bucket(kind: str, bucket: bytes) -> dict[str, tuple[int, Struct]]:
    """Return versions and objects of a bucket by name."""
    return decoders_by_kind[kind].decode(decompress(bucket)) if bucket else {}


# Keys are looked up for each request; the few workspaces in use stay decoded.
read_bucket = lru_cache(maxsize=CACHED_BUCKETS)(decode_bucket)


def place_name(name: str, buckets: int) -> int:
    """Return the bucket of a name in a table of so many buckets."""
    digest = crc32(name.encode())
    size = 1 << (buckets - 1).bit_length()
    place = digest & (size - 1)
    return place if place < buckets else digest & (size // 2 - 1)


class ObjectTable(Mapping[str, T], Generic[T]):
    """Immutable mapping from names to objects; changes return a new table."""

    __slots__ = ("buckets", "kind", "size")

    def __init__(
        self, kind: str, buckets: tuple[bytes, ...] = (b"",), size: int = 0
    ) -> None:
        self.kind = kind
        self.buckets = buckets
        self.size = size

    def __len__(self) -> int:
        """Return the number of objects."""
        return self.size

    def __iter__(self) -> Iterator[str]:
        """Return the names in no particular order."""
        for bucket in self.buckets:
            yield from decode_bucket(self.kind, bucket)

    def __getitem__(self, name: str) -> T:
        """Return an object by name."""
        return self.entry(name)[1]

    def entry(self, name: str) -> tuple[int, T]:
        """Return an object and the version of the change that last touched it.

        Raises
        ------
        KeyError
            If there is no such object.
        """
        bucket = self.buckets[place_name(name, len(self.buckets))]
        return read_bucket(self.kind, bucket)[name]

    def items(self) -> Iterable[tuple[str, T]]:
        """Return names and objects, decoding each bucket once."""
        for bucket in self.buckets:
            for name, (_, item) in decode_bucket(self.kind, bucket).items():
                yield name, item

    def values(self) -> Iterable[T]:
        """Return the objects, decoding each bucket once."""
        return (item for _, item in self.items())

    def with_item(self, name: str, version: int, item: T) -> "ObjectTable[T]":
        """Return the table with an object added or replaced."""
        place = place_name(name, len(self.buckets))
        entries = dict(read_bucket(self.kind, self.buckets[place]))
        size = self.size + (name not in entries)
        entries[name] = (version, item)
        buckets = list(self.buckets)
        buckets[place] = encode_bucket(entries)
        if size > len(buckets) * BUCKET_ITEMS:
            split_bucket(self.kind, buckets)
        return ObjectTable(self.kind, tuple(buckets), size)

    def without_item(self, name: str) -> "ObjectTable[T]":
        """Return the table with an object removed."""
        place = place_name(name, len(self.buckets))
        entries = dict(read_bucket(self.kind, self.buckets[place]))
        if entries.pop(name, None) is None:
            return self
        buckets = list(self.buckets)
        buckets[place] = encode_bucket(entries)
        return ObjectTable(self.kind, tuple(buckets), self.size - 1)


def split_bucket(kind: str, buckets: list[bytes]) -> None:
    """Append a bucket and move the objects that belong to it from its source."""
    added = len(buckets)
    source = added - (1 << (added.bit_length() - 1))
    entries = decode_bucket(kind, buckets[source])
    moved = {
        name: entry
        for name, entry in entries.items()
        if place_name(name, added + 1) == added
    }
    left = {name: entry for name, entry in entries.items() if name not in moved}
    buckets[source] = encode_bucket(left)
    buckets.append(encode_bucket(moved))


def build_table(kind: str, entries: dict[str, tuple[int, T]]) -> ObjectTable[T]:
    """Return a table of many objects at once."""
    count = max(1, -(-len(entries) // BUCKET_ITEMS))
    contents: list[dict[str, tuple[int, T]]] = [{} for _ in range(count)]
    for name, entry in entries.items():
        contents[place_name(name, count)][name] = entry
    return ObjectTable(kind, tuple(map(encode_bucket, contents)), len(entries))
