"""Rules for headers: hop-by-hop fields, locations of keys, and forwarding."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
KEY_HEADER = b"x-api-key"
AUTHORIZATION = b"authorization"
KEY_HEADERS = frozenset((KEY_HEADER, AUTHORIZATION))
BEARER_PREFIX = b"bearer "

HOST = b"host"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
IDEMPOTENCY_KEY = b"idempotency-key"
DEADLINE = b"x-request-deadline-ms"
REQUEST_ID = b"x-request-id"
# An upstream that refuses a request without running it responds with the value "no".
RAN = b"x-request-ran"

# Headers that the daemon sets for each attempt, in place of the caller's.
SET_PER_ATTEMPT = frozenset((HOST, DEADLINE, REQUEST_ID))
# Dropping one of these because Connection names it would change the request's meaning.
NEVER_HOP_BY_HOP = frozenset(
    (HOST, CONTENT_LENGTH, IDEMPOTENCY_KEY, DEADLINE, KEY_HEADER, AUTHORIZATION)
)


def connection_options(headers: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the header names that the Connection header makes hop-by-hop."""
    return {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }


def values_of(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> list[bytes]:
    """Return all values of a header by its lower-case name."""
    return [value for key, value in headers if key == name]


def presented_keys(headers: Iterable[tuple[bytes, bytes]]) -> list[str]:
    """Return the keys that a request presents in any of the accepted locations."""
    keys = []
    for name, value in headers:
        if name == KEY_HEADER:
            keys.append(value.decode("latin-1").strip())
        elif (
            name == AUTHORIZATION
            and value[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX
        ):
            keys.append(value[len(BEARER_PREFIX) :].decode("latin-1").strip())
    return keys


def forwarded_request_headers(
    headers: HeaderList, secrets: Iterable[bytes] = ()
) -> HeaderList:
    """Return the headers to forward to an upstream.

    Hop-by-hop fields, headers for keys and the headers that are set for each attempt
    are dropped, and so is every other header whose value contains one of `secrets`.
    """
    dropped = HOP_BY_HOP | KEY_HEADERS | SET_PER_ATTEMPT | connection_options(headers)
    kept = [(name, value) for name, value in headers if name not in dropped]
    for secret in secrets:
        kept = [item for item in kept if secret not in item[1]]
    return kept


def forwarded_response_headers(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Return the headers to forward to the caller, without hop-by-hop fields."""
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = HOP_BY_HOP | connection_options(lowered)
    return [(name, value) for name, value in lowered if name not in dropped]


def has_body(headers: HeaderList) -> bool:
    """Return whether a request has a body."""
    return any(
        name == TRANSFER_ENCODING or (name == CONTENT_LENGTH and value != b"0")
        for name, value in headers
    )
