"""Caller keys: creation, salted hashes and verification."""

from hashlib import sha256
from hmac import compare_digest
from secrets import token_hex, token_urlsafe
from typing import NamedTuple

from primroseturn.configuration.models import CallerKey

KEY_PREFIX = "pt"
SECRET_BYTES = 24


class IssuedKey(NamedTuple):
    """A new key.

    Attributes
    ----------
    stored
        The stored form of the key, with the salted hash of its secret part.
    text
        The whole key, which is shown to the operator once.
    """

    stored: CallerKey
    text: str


def hash_secret(salt: str, secret: str) -> str:
    """Return the salted hash (hex) of the secret part of a key.

    The secret has 192 random bits, so a fast hash suffices.
    """
    return sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def create_key(workspace: str) -> IssuedKey:
    """Return a new random key of a workspace."""
    key_id, salt = token_hex(8), token_hex(16)
    secret = token_urlsafe(SECRET_BYTES)
    stored = CallerKey(key_id, workspace, salt, hash_secret(salt, secret))
    return IssuedKey(stored, f"{KEY_PREFIX}_{key_id}_{secret}")


def verify_key(presented: str, keys_by_id: dict[str, CallerKey]) -> CallerKey | None:
    """Return the stored key that a caller's key matches, or None."""
    fields = presented.split("_", 2)
    if len(fields) != 3 or fields[0] != KEY_PREFIX:
        return None
    stored = keys_by_id.get(fields[1])
    if stored is None:
        return None
    digest = hash_secret(stored.salt, fields[2])
    return stored if compare_digest(digest, stored.digest) else None
