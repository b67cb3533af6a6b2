"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response.

    Attributes
    ----------
    start
        The words of the first line.
    headers
        Fields in their order, with lower-case names.
    body
        The whole body.
    complete
        Whether the message ended as its head states.
    """

    start: list[str]
    headers: list[tuple[str, str]]
    body: bytes
    complete: bool = True

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def has(self, name: str) -> bool:
        """Return whether a header is present."""
        return any(key == name for key, _ in self.headers)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0].split(" ", 2), headers, b"")


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body."""
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader: asyncio.StreamReader, head: Message) -> Message:
    """Return a message with its body; an early end is marked as incomplete."""
    try:
        if "chunked" in head.get("transfer-encoding").lower():
            return head._replace(body=await read_chunks(reader))
        length = int(head.get("content-length", "0") or 0)
        return head._replace(body=await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return head._replace(complete=False)


def encode(start: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
