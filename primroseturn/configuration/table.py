"""Persistent hash table of configuration objects of one kind.

The objects are stored in compressed buckets, selected by a hash of their name. A change
copies only one bucket and the list of references to the buckets, and former tables stay
valid. Linear hashing splits one bucket per growth step, so that no change has to
rearrange the whole table.

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

MEAN_BUCKET_ITEMS = 32
MAX_CACHED_BUCKETS = 256
COMPRESSION_LEVEL = 1

encoder = Encoder()
decoders_by_kind = {
    kind: Decoder(dict[str, tuple[int, object_type]])
    for kind, object_type in types_by_kind.items()
}


def encode_bucket(items: dict[str, tuple[int, Struct]]) -> bytes:
    """Return the compressed form of a bucket; equal contents have equal forms."""
    return compress(encoder.encode(dict(sorted(items.items()))), COMPRESSION_LEVEL)


def decode_bucket(kind: str, bucket: bytes) -> dict[str, tuple[int, Struct]]:
    """Return the versions and objects of a bucket by name."""
    return decoders_by_kind[kind].decode(decompress(bucket)) if bucket else {}


# Each request looks up a key and its workspace; the cache keeps the decoded buckets in
# use.
decode_bucket_cached = lru_cache(maxsize=MAX_CACHED_BUCKETS)(decode_bucket)


def bucket_index(name: str, bucket_count: int) -> int:
    """Return the index of a name's bucket in a table with `bucket_count` buckets."""
    digest = crc32(name.encode())
    size = 1 << (bucket_count - 1).bit_length()
    index = digest & (size - 1)
    return index if index < bucket_count else digest & (size // 2 - 1)


class ObjectTable(Mapping[str, T], Generic[T]):
    """Immutable mapping from names to objects; changes return a new table.

    Attributes
    ----------
    kind
        Kind of the objects.
    buckets
        Compressed buckets.
    size
        Number of objects.
    """

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
        """Iterate over the names in no particular order."""
        for bucket in self.buckets:
            yield from decode_bucket(self.kind, bucket)

    def __getitem__(self, name: str) -> T:
        """Return an object by name."""
        return self.entry(name)[1]

    def entry(self, name: str) -> tuple[int, T]:
        """Return the version of the latest change of an object, and the object.

        Raises
        ------
        KeyError
            If there is no such object.
        """
        bucket = self.buckets[bucket_index(name, len(self.buckets))]
        return decode_bucket_cached(self.kind, bucket)[name]

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
        index = bucket_index(name, len(self.buckets))
        entries = dict(decode_bucket_cached(self.kind, self.buckets[index]))
        size = self.size + (name not in entries)
        entries[name] = (version, item)
        buckets = list(self.buckets)
        buckets[index] = encode_bucket(entries)
        if size > len(buckets) * MEAN_BUCKET_ITEMS:
            split_bucket(self.kind, buckets)
        return ObjectTable(self.kind, tuple(buckets), size)

    def without_item(self, name: str) -> "ObjectTable[T]":
        """Return the table with an object removed."""
        index = bucket_index(name, len(self.buckets))
        entries = dict(decode_bucket_cached(self.kind, self.buckets[index]))
        if entries.pop(name, None) is None:
            return self
        buckets = list(self.buckets)
        buckets[index] = encode_bucket(entries)
        return ObjectTable(self.kind, tuple(buckets), self.size - 1)


def split_bucket(kind: str, buckets: list[bytes]) -> None:
    """Append a bucket and move to it the objects whose index is now its own."""
    new_index = len(buckets)
    source_index = new_index - (1 << (new_index.bit_length() - 1))
    entries = decode_bucket(kind, buckets[source_index])
    moved = {
        name: entry
        for name, entry in entries.items()
        if bucket_index(name, new_index + 1) == new_index
    }
    remaining = {name: entry for name, entry in entries.items() if name not in moved}
    buckets[source_index] = encode_bucket(remaining)
    buckets.append(encode_bucket(moved))


def build_table(kind: str, entries: dict[str, tuple[int, T]]) -> ObjectTable[T]:
    """Return a table of objects, given the version and object by name."""
    count = max(1, -(-len(entries) // MEAN_BUCKET_ITEMS))
    contents: list[dict[str, tuple[int, T]]] = [{} for _ in range(count)]
    for name, entry in entries.items():
        contents[bucket_index(name, count)][name] = entry
    return ObjectTable(kind, tuple(map(encode_bucket, contents)), len(entries))
