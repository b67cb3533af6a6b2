"""Evidence digests: cumulative counts per target and route class.

A digest carries sums modulo 2**16, counted since the start of its sender, so that a
lost digest loses no evidence and a duplicated or reordered one adds none.
"""

from collections.abc import Iterator
from struct import Struct as StructLayout
from typing import NamedTuple
from zlib import crc32

from primroseturn.control.messages import Message, message
from primroseturn.detection.evidence import Counts, EvidenceKey, NO_COUNTS

ENTRY_LAYOUT = StructLayout("<IHHHH")
MODULUS = 65_536
# Longest time between two digests of a VM whose sums of a key are compared. After a
# longer one the sums may have wrapped, so they add no evidence and are only the base of
# the next difference.
GAP_LIMIT_S = 5.0
# Largest number of new exchanges of one VM with one target between two digests. A
# larger one means that the sender reset its sums, for instance because the target was
# not listed for a while; it adds no evidence.
NEW_EXCHANGES_LIMIT = 20_000
# Most entries of a digest. A larger digest could exceed the burst of the byte budget.
ENTRIES_LIMIT = 80


@message("ed")
class EvidenceDigest(Message, frozen=True, array_like=True):
    """Evidence of one VM. A receiver treats it as evidence, never as a command.

    Attributes
    ----------
    number
        Sequence number of the sender's digests. A digest that is not newer than the
        last one received is ignored.
    entries
        Packed entries of key hash and counts of exchanges: all, failed, late and
        very late ones (see `ENTRY_LAYOUT`).
    """

    number: int
    entries: bytes


def hash_key(key: EvidenceKey) -> int:
    """Return the hash that identifies a key in digests."""
    return crc32("\0".join(key).encode())


class DigestWriter:
    """Sums up this VM's evidence and packs the sums that changed.

    Attributes
    ----------
    urgent_by_changed_key
        Whether each changed key is due in the next round: it has new bad evidence, or
        its last digest was not sent to all peers.
    """

    def __init__(self) -> None:
        self.sums_by_key: dict[EvidenceKey, Counts] = {}
        self.urgent_by_changed_key: dict[EvidenceKey, bool] = {}
        self.number = 0

    def add(self, key: EvidenceKey, counts: Counts) -> None:
        """Add evidence on a key."""
        self.sums_by_key[key] = self.sums_by_key.get(key, NO_COUNTS).combined_with(
            counts
        )
        self.urgent_by_changed_key[key] = (
            self.urgent_by_changed_key.get(key, False) or counts.is_bad()
        )

    def pop_due_keys(self, only_urgent: bool) -> list[EvidenceKey]:
        """Remove and return the changed keys that are due, urgent ones first.

        Parameters
        ----------
        only_urgent
            If True only urgent keys are due, otherwise all changed keys.
        """
        due = [
            key
            for key, is_urgent in self.urgent_by_changed_key.items()
            if is_urgent or not only_urgent
        ]
        # A digest at its limit leaves out the keys at the end.
        due.sort(key=lambda key: not self.urgent_by_changed_key[key])
        due = due[:ENTRIES_LIMIT]
        for key in due:
            del self.urgent_by_changed_key[key]
        return due

    def mark_urgent(self, keys: list[EvidenceKey]) -> None:
        """Make keys due in the next round."""
        self.urgent_by_changed_key.update(dict.fromkeys(keys, True))

    def pack(self, keys: list[EvidenceKey]) -> EvidenceDigest:
        """Return a digest with the sums of the given keys."""
        self.number += 1
        parts = []
        for key in keys:
            sums = self.sums_by_key[key]
            parts.append(
                ENTRY_LAYOUT.pack(hash_key(key), *(part % MODULUS for part in sums))
            )
        return EvidenceDigest(self.number, b"".join(parts))

    def forget(self, key: EvidenceKey) -> None:
        """Drop the sums of a key."""
        self.sums_by_key.pop(key, None)
        self.urgent_by_changed_key.pop(key, None)


class LastSums(NamedTuple):
    """The newest sums of a peer on one key, and when they were received."""

    sums: Counts
    at: float


class PeerState:
    """What was received from one incarnation of a peer's process."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.last_number = 0
        self.last_by_key: dict[EvidenceKey, LastSums] = {}


class DigestReader:
    """Turns the sums in evidence digests of other VMs (peers) into new evidence.

    Attributes
    ----------
    unknown_keys, malformed_digests
        Numbers of entries that were dropped because their key is not registered, and
        of digests that were dropped because they have an incomplete entry.
    """

    def __init__(self) -> None:
        self.keys_by_hash: dict[int, EvidenceKey] = {}
        self.peers_by_vm: dict[str, PeerState] = {}
        self.unknown_keys = 0
        self.malformed_digests = 0

    def read(
        self, vm: str, incarnation: str, digest: EvidenceDigest, now: float
    ) -> Iterator[tuple[EvidenceKey, Counts]]:
        """Yield the keys of a digest with the counts since the peer's previous sums."""
        if len(digest.entries) % ENTRY_LAYOUT.size:
            self.malformed_digests += 1
            return
        peer = self.peers_by_vm.get(vm)
        if peer is None or peer.incarnation != incarnation:
            peer = PeerState(incarnation)
            self.peers_by_vm[vm] = peer
        if digest.number <= peer.last_number:
            return
        peer.last_number = digest.number
        for key_hash, *sums in ENTRY_LAYOUT.iter_unpack(digest.entries):
            key = self.keys_by_hash.get(key_hash)
            if key is None:
                self.unknown_keys += 1
                continue
            last = peer.last_by_key.get(key)
            peer.last_by_key[key] = LastSums(Counts(*sums), now)
            if last is None or now - last.at > GAP_LIMIT_S:
                continue
            parts = zip(sums, last.sums, strict=True)
            counts = Counts(*((new - old) % MODULUS for new, old in parts))
            if counts != NO_COUNTS and max(counts) <= NEW_EXCHANGES_LIMIT:
                yield key, counts

    def forget(self, key: EvidenceKey) -> None:
        """Drop the key and the sums of all peers on it."""
        self.keys_by_hash.pop(hash_key(key), None)
        for peer in self.peers_by_vm.values():
            peer.last_by_key.pop(key, None)
