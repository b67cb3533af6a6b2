"""Sends refusals and maps failures to them."""

from math import ceil, isfinite
from typing import Any

from expression import Result
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
# An earlier request under the same operation id may have run.
CODES_OF_UNKNOWN = frozenset(("operation-in-doubt",))
# After these the next bytes may be the rest of the body or another request.
CODES_OF_UNKNOWN_END = frozenset(("length-ambiguous",))
RETRY_AFTER_S = 1
RETRY_AFTER_LIMIT_S = 3600


class RequestRefused(Exception):
    """Carries a refusal up to the place that sends it."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.kind)
        self.refusal = refusal


class ResponseBroken(Exception):
    """A started answer cannot be completed; the caller's connection is aborted."""


def refuse(failure: Failure) -> Refusal:
    """Return the refusal for a failure."""
    status = STATUS_BY_CODE.get(failure.code, 503)
    retry_after = None
    if status in (429, 503):
        delay = getattr(failure, "retry_after_s", RETRY_AFTER_S)
        delay = delay if isfinite(delay) else RETRY_AFTER_LIMIT_S
        retry_after = max(1, ceil(delay))
    ran = "unknown" if failure.code in CODES_OF_UNKNOWN else "no"
    return Refusal(failure.code, status, str(failure), ran, retry_after)


def unwrap(result: Result[Any, Failure]) -> Any:
    """Return the value of a result or raise its failure as a refusal."""
    if result.is_error():
        raise RequestRefused(refuse(result.error))
    return result.ok


def refusal_message(refusal: Refusal) -> tuple[list[tuple[bytes, bytes]], bytes]:
    """Return the headers and the JSON body of a refusal."""
    body = encode({"type": refusal.kind, "detail": refusal.detail, "ran": refusal.ran})
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"cache-control", b"no-store"),
    ]
    retry_after = refusal.retry_after_s
    if refusal.status in (429, 503) and retry_after is None:
        retry_after = RETRY_AFTER_S
    if retry_after is not None:
        headers.append((b"retry-after", str(retry_after).encode()))
    if refusal.kind in CODES_OF_UNKNOWN_END:
        headers.append((b"connection", b"close"))
    return headers, body


async def send_refusal(send: Any, refusal: Refusal, prefix: str = "http") -> None:
    """Send a refusal as JSON. `prefix` is that of the ASGI messages."""
    headers, body = refusal_message(refusal)
    start = {
        "type": f"{prefix}.response.start",
        "status": refusal.status,
        "headers": headers,
    }
    await send(start)
    await send({"type": f"{prefix}.response.body", "body": body})
