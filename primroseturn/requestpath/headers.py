"""Header rules: hop-by-hop fields, key locations and forwarding."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    (
        b"connection",
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
BEARER = b"bearer "


def connection_options(headers: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the header names that the Connection header makes hop-by-hop."""
    return {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }


def presented_keys(headers: Iterable[tuple[bytes, bytes]]) -> list[str]:
    """Return the keys that a request presents, from every accepted location."""
    found = []
    for name, value in headers:
        if name == KEY_HEADER:
            found.append(value.decode("latin-1").strip())
        elif name == AUTHORIZATION and value[: len(BEARER)].lower() == BEARER:
            found.append(value[len(BEARER) :].decode("latin-1").strip())
    return found


def forwarded_request_headers(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Return what goes upstream: no hop-by-hop fields, no keys, no Host."""
    headers = list(headers)
    dropped = HOP_BY_HOP | KEY_HEADERS | connection_options(headers) | {b"host"}
    return [(name, value) for name, value in headers if name not in dropped]


def forwarded_response_headers(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Return what goes to the caller: no hop-by-hop fields."""
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = HOP_BY_HOP | connection_options(lowered)
    return [(name, value) for name, value in lowered if name not in dropped]
