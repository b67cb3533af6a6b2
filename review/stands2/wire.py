"""Reads and writes HTTP/1.1 messages over asyncio streams."""

import asyncio
from typing import NamedTuple

Headers = dict[str, str]


class Message(NamedTuple):
    """The first line, headers by lower-case name and body of a message."""

    line: str
    headers: Headers
    body: bytes

    @property
    def status(self) -> int:
        return int(self.line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Return the first line and the headers, None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *fields = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes | None:
    """Return the body, None if the connection ends before it."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
            return body
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole message, None if the connection ends before its end."""
    head = await read_head(reader)
    if head is None:
        return None
    body = await read_body(reader, head[1])
    return None if body is None else Message(head[0], head[1], body)


def response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return a response with the length of its body."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request(method: str, path: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return a request, with the length of its body if it has one."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join([*lines, "", ""])).encode("latin-1") + body
