"""Content of claim slots and the changes that apply to it."""

from typing import Literal

from msgspec import field, Struct
from msgspec.msgpack import decode, Encoder

from primroseturn.claims.messages import ClaimReply, ClaimRequest
from primroseturn.claims.models import RecordedOutcome

SLOT_PREFIX = "claims/"
LAYOUT_KEY = "claims/layout"
MAX_RELEASED_ATTEMPTS = 8

encoder = Encoder()


class ClaimEntry(Struct, frozen=True, array_like=True):
    """What is recorded of one operation.

    Attributes
    ----------
    attempt
        Holder of the claim; empty after a release.
    released
        Latest attempts that released the operation. A delayed copy of their request
        must not claim it, because the attempt would not run it.
    """

    attempt: str
    fingerprint: str
    at_unix_s: int
    outcome: RecordedOutcome | None = None
    released: tuple[str, ...] = ()


class ClaimSlot(Struct, frozen=True):
    """Content of the object ``claims/<prefix>``.

    `splitting` freezes the entries until both children exist; `split` is final.
    """

    state: Literal["open", "splitting", "split"] = "open"
    entries_by_id: dict[str, ClaimEntry] = field(default_factory=dict)


class Layout(Struct, frozen=True):
    """Content of ``claims/layout``: number of bits of the initial slots' prefixes.

    It is created once. If each VM used its own settings, an operation could be in two
    claim slots.
    """

    depth: int


def encode_slot(slot: ClaimSlot) -> bytes:
    """Return the stored form of a claim slot."""
    return encoder.encode(slot)


def decode_slot(value: bytes) -> ClaimSlot:
    """Return the claim slot of a stored value."""
    return decode(value, type=ClaimSlot)


def bits_of(operation_id: str) -> str:
    """Return the id of an operation, which is a hash, as a string of bits."""
    return f"{int(operation_id, 16):0{4 * len(operation_id)}b}"


def apply_change(
    entry: ClaimEntry | None, change: ClaimRequest, now_unix_s: int
) -> tuple[ClaimEntry | None, ClaimReply]:
    """Return the entry after a change and the reply to it."""
    if change.action == "claim":
        return apply_claim(entry, change, now_unix_s)
    done = ClaimReply(change.attempt, "done")
    if change.action == "record":
        if entry and entry.attempt == change.attempt and entry.outcome is None:
            return add_outcome(entry, change.outcome), done
        return entry, done
    return apply_release(entry, change, now_unix_s), done


def apply_claim(
    entry: ClaimEntry | None, change: ClaimRequest, now_unix_s: int
) -> tuple[ClaimEntry | None, ClaimReply]:
    """Grant an unclaimed operation, or reply with what is recorded of it."""
    attempt = change.attempt
    released = entry.released if entry else ()
    if attempt in released:
        return entry, ClaimReply(attempt, "unavailable")
    if entry is None or not entry.attempt:
        claimed = ClaimEntry(attempt, change.fingerprint, now_unix_s, None, released)
        return claimed, ClaimReply(attempt, "granted")
    if entry.fingerprint != change.fingerprint:
        return entry, ClaimReply(attempt, "mismatch")
    if entry.outcome is not None:
        return entry, ClaimReply(attempt, "recorded", entry.outcome)
    verdict = "granted" if entry.attempt == attempt else "in-doubt"
    return entry, ClaimReply(attempt, verdict)


def apply_release(
    entry: ClaimEntry | None, change: ClaimRequest, now_unix_s: int
) -> ClaimEntry | None:
    """Release the claim of an attempt that certainly did not run its operation."""
    attempt = change.attempt
    released = entry.released if entry else ()
    if attempt in released:
        return entry
    latest = (*released, attempt)[-MAX_RELEASED_ATTEMPTS:]
    if entry is None or not entry.attempt:
        return ClaimEntry("", change.fingerprint, now_unix_s, None, latest)
    if entry.outcome is not None:
        return entry
    if entry.attempt != attempt:
        # The release is remembered although another attempt holds the operation: the
        # holder may release it before the delayed request of this attempt arrives.
        return ClaimEntry(
            entry.attempt, entry.fingerprint, entry.at_unix_s, None, latest
        )
    return ClaimEntry("", change.fingerprint, now_unix_s, None, latest)


def add_outcome(entry: ClaimEntry, outcome: RecordedOutcome | None) -> ClaimEntry:
    """Return a copy of an entry with an outcome."""
    return ClaimEntry(
        entry.attempt, entry.fingerprint, entry.at_unix_s, outcome, entry.released
    )
