"""Credentials of operators: read-only and read-write bearer tokens."""

from hashlib import sha256
from hmac import compare_digest
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from primroseturn.admin.failures import CredentialRefused
from primroseturn.serving.http import header_of
from primroseturn.settings.models import AdminSettings

BEARER = "bearer "
NAME_DIGITS = 8


class Credential(NamedTuple):
    """Identity and rights of an operator.

    Attributes
    ----------
    name
        First digits of the token's digest, which is not secret.
    can_write
        Whether the operator may make changes.
    """

    name: str
    can_write: bool


def identify_operator(
    scope: dict[str, Any], settings: AdminSettings
) -> Result[Credential, CredentialRefused]:
    """Return the credential of a call."""
    header = header_of(scope, b"authorization") or ""
    if not header.lower().startswith(BEARER):
        return Error(CredentialRefused())
    token = header[len(BEARER) :].strip()
    digest = sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    name = digest[:NAME_DIGITS]
    for digests, can_write in (
        (settings.writer_digests, True),
        (settings.reader_digests, False),
    ):
        # Compares all digests, so that the duration does not show which one matches.
        matches = [compare_digest(digest, known.lower()) for known in digests]
        if any(matches):
            return Ok(Credential(name, can_write))
    return Error(CredentialRefused())
