"""Reads and writes the headers that the platform defines."""

from re import compile
from typing import NamedTuple

from primroseturn.platform.wire import (
    ATTEMPT_ID,
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECTED_TARGET,
    KEY_SCHEME,
    LEAVING,
    LOAD,
    MISDIRECTED_STATUS,
    NOT_RUN,
    NOT_RUN_STATUSES,
    RETRY_AFTER,
    SIGNATURE,
    UNAVAILABLE_STATUS,
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
from primroseturn.routing.models import Target

# Headers of callers that are not forwarded: each attempt has its own ones, or they are
# meant for this VM only.
REPLACED_HEADERS = frozenset((AUTHORIZATION, DEADLINE_MS, WORKSPACE, EXPECTED_TARGET))
CONTENT_ENCODING = b"content-encoding"
# Longer values of the deadline header are ignored.
MAX_DEADLINE_DIGITS = 9
# Seconds, with fractions, as the platform states delays. Dates are not used there.
DELAY = compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?")
MAX_LENGTH_DIGITS = 18
# Digits of a number of requests that a target may state.
MAX_LOAD_DIGITS = 9


class CallerHeaders(NamedTuple):
    """Content of a caller's headers.

    Attributes
    ----------
    attempt_id
        Id that the caller gave its attempt; empty unless it gave exactly one.
    key
        The caller's key, if it sent one.
    timeout_s
        Seconds that the caller still waits for the response, if it states them.
    forwarded
        Headers that are forwarded to targets unchanged.
    """

    attempt_id: bytes
    key: str | None
    timeout_s: float | None
    forwarded: HeaderList


class ResponseHead(NamedTuple):
    """Status and headers of a target's response.

    Attributes
    ----------
    attempt_id
        Id of the attempt that it responds to, if it states one.
    signed
        Whether it has the signature header, which is not verified.
    encoded
        Whether the body has a content encoding other than identity.
    not_run
        Whether the target states that it did not run the request.
    misdirected
        Whether a target other than the expected one uses the address now.
    load
        Number of requests that the target runs or queues, if it states them.
    length
        Length of the body in bytes from the header; None without exactly one.
    leaving
        Whether the target states that it is leaving.
    retry_after
        Value of the header with which a target that refuses a request states for how
        long it wants no further ones; None without it.
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
    leaving: bool = False
    retry_after: bytes | None = None

    @property
    def has_false_status(self) -> bool:
        """Return whether its status would tell the caller that the request did not run.

        The target does not state that, so the request may have run.
        """
        return self.status in NOT_RUN_STATUSES and not self.not_run


def read_caller_headers(headers: HeaderList) -> CallerHeaders:
    """Parse a caller's headers and select those to forward."""
    dropped = HOP_BY_HOP | REPLACED_HEADERS | connection_options(headers)
    dropped -= {ATTEMPT_ID, CONTENT_LENGTH}
    ids = values_of(headers, ATTEMPT_ID)
    return CallerHeaders(
        attempt_id=ids[0] if len(ids) == 1 else b"",
        key=read_key(headers),
        timeout_s=read_timeout(headers),
        forwarded=[item for item in headers if item[0] not in dropped],
    )


def read_key(headers: HeaderList) -> str | None:
    """Return the caller's key, or None without exactly one of the right scheme."""
    values = values_of(headers, AUTHORIZATION)
    if len(values) != 1 or values[0][: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return None
    return values[0][len(KEY_SCHEME) :].decode("latin-1").strip()


def read_timeout(headers: HeaderList) -> float | None:
    """Return the caller's timeout in seconds, if it states a number."""
    values = values_of(headers, DEADLINE_MS)
    if not values or not values[0].isdigit() or len(values[0]) > MAX_DEADLINE_DIGITS:
        return None
    return int(values[0]) / 1000


def attempt_headers(
    caller: CallerHeaders,
    target: Target,
    workspace: str | None,
    left_s: float,
    chunked: bool,
) -> HeaderList:
    """Return the headers of one attempt at a target.

    Parameters
    ----------
    left_s
        Seconds left until the caller's deadline.
    chunked
        Whether the body is sent in chunks.
    """
    headers = [*caller.forwarded]
    headers.append((DEADLINE_MS, str(max(1, int(left_s * 1000))).encode()))
    headers.append((EXPECTED_TARGET, target.id.encode()))
    if workspace is not None:
        headers.append((WORKSPACE, workspace.encode()))
    if chunked:
        headers.append((TRANSFER_ENCODING, b"chunked"))
    return headers


def read_response_head(status: int, raw: HeaderList) -> ResponseHead:
    """Parse the status and the headers of a target's response."""
    headers = [(name.lower(), value) for name, value in raw]
    ids = values_of(headers, ATTEMPT_ID)
    encodings = values_of(headers, CONTENT_ENCODING)
    lengths = values_of(headers, CONTENT_LENGTH)
    delays = values_of(headers, RETRY_AFTER)
    misdirected = status == MISDIRECTED_STATUS
    return ResponseHead(
        status=status,
        attempt_id=ids[0] if len(ids) == 1 else None,
        signed=bool(values_of(headers, SIGNATURE)),
        encoded=any(value.strip().lower() != b"identity" for value in encodings),
        not_run=misdirected or bool(values_of(headers, NOT_RUN)),
        misdirected=misdirected,
        load=read_load(headers),
        length=read_length(lengths),
        headers=headers,
        leaving=values_of(headers, LEAVING) == [b"1"],
        retry_after=delays[0] if delays and status == UNAVAILABLE_STATUS else None,
    )


def read_length(values: list[bytes]) -> int | None:
    """Return the length that exactly one header states, otherwise None."""
    if len(values) != 1 or not values[0].isdigit():
        return None
    return int(values[0]) if len(values[0]) <= MAX_LENGTH_DIGITS else None


def parse_delay(value: bytes) -> float | None:
    """Return the seconds in the value of a Retry-After header, None if it has none."""
    return float(value) if DELAY.fullmatch(value.strip()) else None


def read_load(headers: HeaderList) -> int | None:
    """Return the number of requests that a target runs or queues, if it states it."""
    values = values_of(headers, LOAD)
    if not values:
        return None
    numbers = values[0].split(b",")
    if len(numbers) != 3 or not all(
        item.strip().isdigit() and len(item) <= MAX_LOAD_DIGITS for item in numbers
    ):
        return None
    return int(numbers[0]) + int(numbers[1])


def forwarded_response_headers(head: ResponseHead) -> HeaderList:
    """Return the headers of a response that are forwarded to the caller."""
    dropped = HOP_BY_HOP | connection_options(head.headers) | {CONTENT_LENGTH}
    return [item for item in head.headers if item[0] not in dropped]
