"""Helpers for ASGI applications."""

from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qsl

from msgspec.json import encode

CLOSE_HEADER = (b"connection", b"close")

Headers = Iterable[tuple[bytes, bytes]]


async def read_body(receive: Any) -> bytes:
    """Return the request body, or its start if the caller disconnects."""
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return bytes(body)
        body += event.get("body", b"")
        if not event.get("more_body", False):
            return bytes(body)


async def send_response(
    send: Any, status: int, body: bytes = b"", headers: Headers = ()
) -> None:
    """Send a whole response with its length."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [length, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Any, status: int, value: Any) -> None:
    """Send a JSON response."""
    await send_response(
        send, status, encode(value), [(b"content-type", b"application/json")]
    )


def query_of(scope: dict[str, Any]) -> dict[str, str]:
    """Return the query parameters of a request."""
    return dict(parse_qsl(scope["query_string"].decode("latin-1")))


def header_of(scope: dict[str, Any], name: bytes) -> str | None:
    """Return a request header by its lower-case name."""
    for key, value in scope["headers"]:
        if key == name:
            return value.decode("latin-1")
    return None


def closing_sender(send: Any, is_stopping: Callable[[], bool]) -> Any:
    """Return a `send` that adds "connection: close" to responses during a stop.

    Callers then connect to another VM.
    """

    async def send_message(message: dict[str, Any]) -> None:
        if is_stopping() and message["type"] == "http.response.start":
            message["headers"] = [*message["headers"], CLOSE_HEADER]
        await send(message)

    return send_message
