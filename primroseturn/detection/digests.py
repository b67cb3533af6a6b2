"""Evidence digests: cumulative counts per target and route class.

A digest carries sums since the sender's start modulo 2**16, so that a lost digest
loses no evidence and a duplicated or reordered one adds none.
"""

from collections.abc import Iterator
from struct import Struct as Layout
from typing import NamedTuple
from zlib import crc32

from primroseturn.control.messages import Message, message
from primroseturn.detection.evidence import Counts, EvidenceKey, NO_COUNTS

ENTRY = Layout("<IHHHH")
MODULUS = 65_536
# After a longer silence the sums may have wrapped, so they only set a new base.
GAP_LIMIT_S = 5.0
# More new exchanges of one VM with one target within that time mean that the sender
# started its sums anew, for instance because the target was not listed for a while.
GROWTH_LIMIT = 20_000
# A larger digest could exceed what the byte budget saves up.
ENTRIES_LIMIT = 80


@message("ed")
class EvidenceDigest(Message, frozen=True, array_like=True):
    """Evidence of one VM; evidence only, never a command.

    Attributes
    ----------
    number
        Counts the sender's digests; older ones are ignored.
    entries
        Packed key hash, exchanges, failed, late and very late ones (see `ENTRY`).
    """

    number: int
    entries: bytes


def hash_key(key: EvidenceKey) -> int:
    """Return the hash that stands for a key in digests."""
    return crc32("\0".join(key).encode())


class DigestWriter:
    """Sums up own evidence and packs what changed."""

    def __init__(self) -> None:
        self.sums_by_key: dict[EvidenceKey, Counts] = {}
        self.changed: dict[EvidenceKey, bool] = {}
        self.number = 0

    def add(self, key: EvidenceKey, counts: Counts) -> None:
        """Add evidence on a key."""
        self.sums_by_key[key] = self.sums_by_key.get(key, NO_COUNTS).plus(counts)
        self.changed[key] = self.changed.get(key, False) or counts.is_bad()

    def take(self, urgent: bool) -> list[EvidenceKey]:
        """Return the changed keys that are due, the bad ones first.

        Parameters
        ----------
        urgent
            Whether only keys with new bad evidence are due.
        """
        due = [key for key, bad in self.changed.items() if bad or not urgent]
        # Bad evidence first, in case the digest is full.
        due.sort(key=lambda key: not self.changed[key])
        due = due[:ENTRIES_LIMIT]
        for key in due:
            del self.changed[key]
        return due

    def mark(self, keys: list[EvidenceKey]) -> None:
        """Let keys be due in the next round."""
        self.changed.update(dict.fromkeys(keys, True))

    def pack(self, keys: list[EvidenceKey]) -> EvidenceDigest:
        """Return a digest of the sums of some keys."""
        self.number += 1
        parts = []
        for key in keys:
            sums = self.sums_by_key[key]
            parts.append(ENTRY.pack(hash_key(key), *(part % MODULUS for part in sums)))
        return EvidenceDigest(self.number, b"".join(parts))

    def forget(self, key: EvidenceKey) -> None:
        """Drop a key."""
        self.sums_by_key.pop(key, None)
        self.changed.pop(key, None)


class LastSums(NamedTuple):
    """The newest sums of a peer on one key, and when they came."""

    sums: Counts
    at: float


class PeerState:
    """What was received from one start of a peer's process."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.number = 0
        self.last_by_key: dict[EvidenceKey, LastSums] = {}


class DigestReader:
    """Turns the sums in peers' digests into new evidence."""

    def __init__(self) -> None:
        self.keys_by_hash: dict[int, EvidenceKey] = {}
        self.peers_by_vm: dict[str, PeerState] = {}
        self.unknown_keys = 0
        self.malformed = 0

    def read(
        self, vm: str, incarnation: str, digest: EvidenceDigest, now: float
    ) -> Iterator[tuple[EvidenceKey, Counts]]:
        """Yield the evidence that a digest adds."""
        if len(digest.entries) % ENTRY.size:
            self.malformed += 1
            return
        peer = self.peers_by_vm.get(vm)
        if peer is None or peer.incarnation != incarnation:
            peer = PeerState(incarnation)
            self.peers_by_vm[vm] = peer
        if digest.number <= peer.number:
            return
        peer.number = digest.number
        for hashed, *sums in ENTRY.iter_unpack(digest.entries):
            key = self.keys_by_hash.get(hashed)
            if key is None:
                self.unknown_keys += 1
                continue
            last = peer.last_by_key.get(key)
            peer.last_by_key[key] = LastSums(Counts(*sums), now)
            if last is None or now - last.at > GAP_LIMIT_S:
                continue
            parts = zip(sums, last.sums, strict=True)
            counts = Counts(*((new - old) % MODULUS for new, old in parts))
            if counts != NO_COUNTS and max(counts) <= GROWTH_LIMIT:
                yield key, counts

    def forget(self, key: EvidenceKey) -> None:
        """Drop what is known of a key."""
        self.keys_by_hash.pop(hash_key(key), None)
        for peer in self.peers_by_vm.values():
            peer.last_by_key.pop(key, None)
