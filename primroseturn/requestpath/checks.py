"""Rules that a request must keep before it is matched to a route.

Upstreams may read an unusual path or an ambiguous length in another way than the
router does, so that a request could pass as one thing and run as another.
"""

import re
from typing import Any
from urllib.parse import unquote_to_bytes

from primroseturn.failures import Refusal
from primroseturn.requestpath.headers import (
    connection_options,
    CONTENT_LENGTH,
    DEADLINE,
    HeaderList,
    NEVER_HOP_BY_HOP,
    TRANSFER_ENCODING,
    values_of,
)
from primroseturn.requestpath.refusals import RequestRefused

PATH_LIMIT_BYTES = 8192
PATH = re.compile(rb"(?:/(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})*)+")
ENCODED_SEPARATOR = re.compile(rb"%(?:2f|5c|00)", re.IGNORECASE)
CONTROL = re.compile(rb"[\x00-\x1f\x7f]")
DEADLINE_DIGITS = 9


def refused(kind: str, status: int, detail: str) -> RequestRefused:
    """Return the exception for a request that breaks a rule."""
    return RequestRefused(Refusal(kind, status, detail))


def check_request(scope: dict[str, Any], header_limit_bytes: int) -> None:
    """Check version, path and headers of a request.

    Raises
    ------
    RequestRefused
        If a rule is broken.
    """
    if scope["http_version"] != "1.1":
        # HTTP/1.0 callers cannot notice that a body without length was cut.
        raise refused("version-unsupported", 505, "only HTTP/1.1 is supported")
    check_path(scope["raw_path"])
    headers = scope["headers"]
    size = len(scope["raw_path"]) + len(scope["query_string"])
    size += sum(len(name) + len(value) + 4 for name, value in headers)
    if size > header_limit_bytes:
        detail = f"the request head exceeds {header_limit_bytes} bytes"
        raise refused("headers-too-large", 431, detail)
    check_headers(headers)


def check_path(path: bytes) -> None:
    """Check that router and upstream read the path in the same way."""
    if len(path) > PATH_LIMIT_BYTES:
        raise refused("path-too-long", 414, "the path is too long")
    decoded = unquote_to_bytes(path)
    segments = decoded.split(b"/")
    if (
        not PATH.fullmatch(path)
        or ENCODED_SEPARATOR.search(path)
        or CONTROL.search(decoded)
        or b"" in segments[1:-1]
        or b"." in segments
        or b".." in segments
    ):
        raise refused("path-invalid", 400, "the path is not in its plain form")


def check_headers(headers: HeaderList) -> None:
    """Check lengths and hop-by-hop fields."""
    names = [name for name, _ in headers]
    lengths = names.count(CONTENT_LENGTH)
    encodings = values_of(headers, TRANSFER_ENCODING)
    if lengths + len(encodings) > 1:
        raise refused("length-ambiguous", 400, "the body's length is ambiguous")
    if encodings and encodings[0].strip().lower() != b"chunked":
        raise refused("encoding-unsupported", 501, "the transfer coding is not known")
    if connection_options(headers) & NEVER_HOP_BY_HOP:
        detail = "Connection names a field that must reach the upstream"
        raise refused("header-invalid", 400, detail)


def stated_deadline_s(headers: HeaderList) -> float | None:
    """Return the seconds that the caller still waits, or None if it states none."""
    values = values_of(headers, DEADLINE)
    if not values:
        return None
    if len(values) > 1 or not values[0].isdigit() or len(values[0]) > DEADLINE_DIGITS:
        detail = "X-Request-Deadline-Ms needs one number of milliseconds"
        raise refused("deadline-invalid", 400, detail)
    return int(values[0]) / 1000
