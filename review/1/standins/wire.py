"""A small HTTP/1.1 reader and writer for the stand-ins."""

import asyncio
from typing import NamedTuple

CRLF = b"\r\n"


class Message(NamedTuple):
    """Start line, headers (names in lower case) and body of a message."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the start line and the headers, or None at the end of the connection."""
    try:
        data = await reader.readuntil(CRLF + CRLF)
    except (asyncio.IncompleteReadError, OSError):
        return None
    start, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that has a length or is sent in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(CRLF)).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole message, or None if the connection ends before its end."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        return Message(*head, await read_body(reader, head[1]))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None


def encode_message(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + CRLF + CRLF + body


async def close_quietly(writer: asyncio.StreamWriter) -> None:
    """Close a connection that may be closed already."""
    try:
        writer.close()
        await writer.wait_closed()
    except OSError:
        pass
