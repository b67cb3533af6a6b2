"""Measures the head of an HTTP message while it arrives in parts."""

import re

# Header fields of one message, with its first line. Each takes many times its bytes
# once it is parsed, and processor time in each step of a request.
MAX_HEADER_LINES = 256
# Objects of one parsed header field, without its bytes.
LINE_BYTES = 256
# Copies of a head: as received, as parsed, and as sent on.
HEAD_COPIES = 3
# What a usual head takes. It is part of the bytes of each request.
USUAL_HEAD_BYTES = 24_576
END_OF_HEAD = re.compile(rb"\n\r?\n")
# Bytes before a part that may belong to the end of the head.
OVERLAP_BYTES = 2


class HeadSize:
    """Counts the bytes and lines of a head.

    Attributes
    ----------
    received_bytes
        Bytes of the head.
    lines
        Lines of the head that have ended.
    """

    def __init__(self) -> None:
        self.received_bytes = 0
        self.lines = 0
        self.tail = b""

    def add(self, data: bytes) -> None:
        """Count the next part, up to the end of the head."""
        joined = self.tail + data
        end = END_OF_HEAD.search(joined)
        size = len(joined) if end is None else end.end()
        self.received_bytes += max(0, size - len(self.tail))
        self.lines += max(0, joined.count(b"\n", 0, size) - self.tail.count(b"\n"))
        self.tail = joined[-OVERLAP_BYTES:]

    def has_too_many_lines(self) -> bool:
        """Return whether the head has more lines than may be parsed."""
        return self.lines > MAX_HEADER_LINES

    def unusual_bytes(self) -> int:
        """Return the bytes that the head takes beyond those of a usual one."""
        size = HEAD_COPIES * self.received_bytes + LINE_BYTES * self.lines
        return max(0, size - USUAL_HEAD_BYTES)
