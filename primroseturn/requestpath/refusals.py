"""Sends refusals and maps failures to them."""

from math import ceil, isfinite
from typing import Any

from msgspec.json import encode

from primroseturn.failures import Failure, Refusal

STATUS_BY_CODE = {
    "route-missing": 404,
    "key-refused": 401,
    "method-not-allowed": 405,
    "rate-exceeded": 429,
    "operation-in-doubt": 409,
    "outcome-not-kept": 409,
    "idempotency-key-reused": 422,
}
RETRY_AFTER_S = 1
RETRY_AFTER_LIMIT_S = 3600


def refuse(failure: Failure, ran: str = "no") -> Refusal:
    """Return the refusal for a failure."""
    status = STATUS_BY_CODE.get(failure.code, 503)
    retry_after = None
    if status in (429, 503):
        delay = getattr(failure, "retry_after_s", RETRY_AFTER_S)
        delay = delay if isfinite(delay) else RETRY_AFTER_LIMIT_S
        retry_after = max(1, ceil(delay))
    return Refusal(failure.code, status, str(failure), ran, retry_after)


async def send_refusal(send: Any, refusal: Refusal) -> None:
    """Send a refusal as JSON."""
    body = encode({"type": refusal.kind, "detail": refusal.detail, "ran": refusal.ran})
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"cache-control", b"no-store"),
    ]
    if refusal.retry_after_s is not None:
        headers.append((b"retry-after", str(refusal.retry_after_s).encode()))
    start = {
        "type": "http.response.start",
        "status": refusal.status,
        "headers": headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": body})
