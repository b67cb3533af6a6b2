"""Reads and writes the headers that the platform gives a meaning."""

from typing import NamedTuple

from primroseturn.entry.models import Target
from primroseturn.platform.wire import (
    ATTEMPT_ID,
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECTED_TARGET,
    KEY_SCHEME,
    LOAD,
    MISDIRECTED_STATUS,
    NOT_RUN,
    SIGNATURE,
    WORKSPACE,
)
from primroseturn.requestpath.headers import (
    connection_options,
    CONTENT_LENGTH,
    HeaderList,
    HOP_BY_HOP,
    TRANSFER_ENCODING,
    values_of,
)

# Written anew for each attempt, or meant for this VM only.
REPLACED = frozenset((AUTHORIZATION, DEADLINE_MS, WORKSPACE, EXPECTED_TARGET))
CONTENT_ENCODING = b"content-encoding"
DEADLINE_DIGITS = 9


class CallerHeaders(NamedTuple):
    """What a caller states in its headers.

    Attributes
    ----------
    key
        The caller's key, if it sent one.
    timeout_s
        Time in seconds that it still waits, if it said so.
    forwarded
        The headers that targets get unchanged.
    """

    attempt_id: bytes
    key: str | None
    timeout_s: float | None
    forwarded: HeaderList


class ResponseHead(NamedTuple):
    """The start of a target's answer.

    Attributes
    ----------
    attempt_id
        Id of the attempt that it answers, if it states one.
    signed
        Whether it carries the target's signature.
    encoded
        Whether the body is not the target's own bytes.
    not_run
        Whether the target states that it did not run the request.
    misdirected
        Whether another target has the address.
    load
        Requests that the target runs or holds, if it tells.
    length
        Stated length of the body in bytes; None if its end is shown otherwise.
    """

    status: int
    attempt_id: bytes | None
    signed: bool
    encoded: bool
    not_run: bool
    misdirected: bool
    load: int | None
    length: int | None
    headers: HeaderList


def read_caller_headers(headers: HeaderList) -> CallerHeaders:
    """Return what a caller states, and the headers to pass on."""
    dropped = HOP_BY_HOP | REPLACED | connection_options(headers)
    dropped -= {ATTEMPT_ID, CONTENT_LENGTH}
    ids = values_of(headers, ATTEMPT_ID)
    return CallerHeaders(
        attempt_id=ids[0] if ids else b"",
        key=read_key(headers),
        timeout_s=read_timeout(headers),
        forwarded=[item for item in headers if item[0] not in dropped],
    )


def read_key(headers: HeaderList) -> str | None:
    """Return the key that a caller presents."""
    values = values_of(headers, AUTHORIZATION)
    if len(values) != 1 or values[0][: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return None
    return values[0][len(KEY_SCHEME) :].decode("latin-1").strip()


def read_timeout(headers: HeaderList) -> float | None:
    """Return how long the caller waits in seconds, if it states a number."""
    values = values_of(headers, DEADLINE_MS)
    if not values or not values[0].isdigit() or len(values[0]) > DEADLINE_DIGITS:
        return None
    return int(values[0]) / 1000


def attempt_headers(
    caller: CallerHeaders,
    target: Target,
    workspace: str | None,
    left_s: float,
    chunked: bool,
) -> HeaderList:
    """Return the headers of one attempt at a target."""
    headers = [*caller.forwarded]
    headers.append((DEADLINE_MS, str(max(1, int(left_s * 1000))).encode()))
    headers.append((EXPECTED_TARGET, target.id.encode()))
    if workspace is not None:
        headers.append((WORKSPACE, workspace.encode()))
    if chunked:
        headers.append((TRANSFER_ENCODING, b"chunked"))
    return headers


def read_response_head(status: int, raw: HeaderList) -> ResponseHead:
    """Return what a target states in the head of its answer."""
    headers = [(name.lower(), value) for name, value in raw]
    ids = values_of(headers, ATTEMPT_ID)
    encodings = values_of(headers, CONTENT_ENCODING)
    lengths = values_of(headers, CONTENT_LENGTH)
    misdirected = status == MISDIRECTED_STATUS
    return ResponseHead(
        status=status,
        attempt_id=ids[0] if ids else None,
        signed=bool(values_of(headers, SIGNATURE)),
        encoded=any(value.strip().lower() != b"identity" for value in encodings),
        not_run=misdirected or bool(values_of(headers, NOT_RUN)),
        misdirected=misdirected,
        load=read_load(headers),
        length=int(lengths[0]) if len(lengths) == 1 else None,
        headers=headers,
    )


def read_load(headers: HeaderList) -> int | None:
    """Return the requests that a target runs or holds, if it tells."""
    values = values_of(headers, LOAD)
    if not values:
        return None
    numbers = values[0].split(b",")
    if len(numbers) != 3 or not all(item.strip().isdigit() for item in numbers):
        return None
    return int(numbers[0]) + int(numbers[1])


def forwarded_response_headers(head: ResponseHead) -> HeaderList:
    """Return the headers of an answer that the caller gets."""
    dropped = HOP_BY_HOP | connection_options(head.headers) | {CONTENT_LENGTH}
    return [item for item in head.headers if item[0] not in dropped]
