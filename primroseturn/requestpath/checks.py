"""Checks of a request before it is matched to a route.

Upstreams may interpret an unusual path or an ambiguous length differently from the
router, so that a request could be checked as one request and run as another.
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

MAX_PATH_BYTES = 8192
PLAIN_PATH = re.compile(rb"(?:/(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})*)+")
ENCODED_SEPARATOR = re.compile(rb"%(?:2f|5c|00)", re.IGNORECASE)
CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f\x7f]")
MAX_DEADLINE_DIGITS = 9


def refusal_error(kind: str, status: int, detail: str) -> RequestRefused:
    """Return the exception that refuses an invalid request."""
    return RequestRefused(Refusal(kind, status, detail))


def check_request(scope: dict[str, Any], header_limit_bytes: int) -> None:
    """Check the HTTP version, path and headers of a request.

    Raises
    ------
    RequestRefused
        If a check fails.
    """
    if scope["http_version"] != "1.1":
        # HTTP/1.0 callers cannot detect that a body without a length was cut off.
        raise refusal_error("version-unsupported", 505, "only HTTP/1.1 is supported")
    check_path(scope["raw_path"])
    headers = scope["headers"]
    size = len(scope["raw_path"]) + len(scope["query_string"])
    size += sum(len(name) + len(value) + 4 for name, value in headers)
    if size > header_limit_bytes:
        detail = f"the request head exceeds {header_limit_bytes} bytes"
        raise refusal_error("headers-too-large", 431, detail)
    check_headers(headers)


def check_path(path: bytes) -> None:
    """Check that router and upstreams interpret the path in the same way."""
    if len(path) > MAX_PATH_BYTES:
        raise refusal_error("path-too-long", 414, "the path is too long")
    decoded = unquote_to_bytes(path)
    segments = decoded.split(b"/")
    if (
        not PLAIN_PATH.fullmatch(path)
        or ENCODED_SEPARATOR.search(path)
        or CONTROL_CHARACTER.search(decoded)
        or b"" in segments[1:-1]
        or b"." in segments
        or b".." in segments
    ):
        raise refusal_error("path-invalid", 400, "the path is not in its plain form")


def check_headers(headers: HeaderList) -> None:
    """Check the fields that state the body's length, and the fields of Connection."""
    names = [name for name, _ in headers]
    lengths = names.count(CONTENT_LENGTH)
    encodings = values_of(headers, TRANSFER_ENCODING)
    if lengths + len(encodings) > 1:
        raise refusal_error("length-ambiguous", 400, "the body's length is ambiguous")
    if encodings and encodings[0].strip().lower() != b"chunked":
        raise refusal_error(
            "encoding-unsupported", 501, "the transfer coding is not known"
        )
    if connection_options(headers) & NEVER_HOP_BY_HOP:
        detail = "Connection names a field that must reach the upstream"
        raise refusal_error("header-invalid", 400, detail)


def stated_deadline_s(headers: HeaderList) -> float | None:
    """Return the stated deadline in seconds from now, or None without one."""
    values = values_of(headers, DEADLINE)
    if not values:
        return None
    if (
        len(values) > 1
        or not values[0].isdigit()
        or len(values[0]) > MAX_DEADLINE_DIGITS
    ):
        detail = "X-Request-Deadline-Ms needs one number of milliseconds"
        raise refusal_error("deadline-invalid", 400, detail)
    return int(values[0]) / 1000
