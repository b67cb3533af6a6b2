"""Caller keys: creation, salted hashes and verification."""

from hashlib import sha256
from hmac import compare_digest
from secrets import token_hex, token_urlsafe
from typing import NamedTuple

from primroseturn.configuration.models import CallerKey

KEY_PREFIX = "pt"
SECRET_BYTES = 24


class IssuedKey(NamedTuple):
    """A new key: what is stored and the secret that is shown once."""

    stored: CallerKey
    secret: str


def hash_secret(salt: str, secret: str) -> str:
    """Return the salted hash of a key's secret part, in hex.

    The secret has 192 random bits, so a fast hash suffices.
    """
    return sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def create_key(workspace: str) -> IssuedKey:
    """Create a key for a workspace."""
    key_id, salt = token_hex(8), token_hex(16)
    secret = token_urlsafe(SECRET_BYTES)
    stored = CallerKey(key_id, workspace, salt, hash_secret(salt, secret))
    return IssuedKey(stored, f"{KEY_PREFIX}_{key_id}_{secret}")


def verify_key(presented: str, keys_by_id: dict[str, CallerKey]) -> CallerKey | None:
    """Return the stored key that a presented key matches, or None."""
    parts = presented.split("_", 2)
    if len(parts) != 3 or parts[0] != KEY_PREFIX:
        return None
    stored = keys_by_id.get(parts[1])
    if stored is None:
        return None
    digest = hash_secret(stored.salt, parts[2])
    return stored if compare_digest(digest, stored.digest) else None
