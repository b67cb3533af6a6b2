"""The fixed test document of the upstream stand-in, and byte ranges of it."""

import re
from typing import Any

from primroseturn.serving.http import header_of

PART_BYTES = 65_536
RANGE = re.compile(r"bytes=(\d+)-(\d*)")
PATTERN = bytes(range(251))


def document_part(start: int, end: int) -> bytes:
    """Return the bytes of the document from `start` up to, not including, `end`."""
    first = start % len(PATTERN)
    repeats = (end - start) // len(PATTERN) + 2
    return (PATTERN * repeats)[first : first + end - start]


def parse_range(scope: Any, size: int, tag: str | None) -> tuple[int, int, int]:
    """Return the first and last byte to send, and the status.

    Parameters
    ----------
    size
        Size of the document in bytes.
    tag
        Entity tag that is compared with If-Range; None ignores If-Range.
    """
    match = RANGE.fullmatch(header_of(scope, b"range") or "")
    condition = header_of(scope, b"if-range")
    has_changed = tag is not None and condition not in (None, tag)
    if match is None or has_changed or int(match[1]) >= size:
        return 0, size - 1, 200
    last = min(int(match[2]), size - 1) if match[2] else size - 1
    return int(match[1]), last, 206
