"""Maps failures to refusals and sends refusals."""

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
# Codes of refusals for which an earlier request with the same Idempotency-Key may have
# run.
RAN_UNKNOWN_CODES = frozenset(("operation-in-doubt",))
# Codes of refusals after which the next bytes on the connection may belong to the body
# or to another request.
CONNECTION_CLOSING_CODES = frozenset(("length-ambiguous",))
DEFAULT_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 3600


class RequestRefused(Exception):
    """The request is refused; the application sends the refusal to the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.kind)
        self.refusal = refusal


class ResponseBroken(Exception):
    """A started response cannot be completed; the caller's connection is aborted."""


def refusal_for(failure: Failure) -> Refusal:
    """Return the refusal for a failure."""
    status = STATUS_BY_CODE.get(failure.code, 503)
    retry_after = None
    if status in (429, 503):
        delay_s = getattr(failure, "retry_after_s", DEFAULT_RETRY_AFTER_S)
        delay_s = delay_s if isfinite(delay_s) else MAX_RETRY_AFTER_S
        retry_after = max(1, ceil(delay_s))
    ran = "unknown" if failure.code in RAN_UNKNOWN_CODES else "no"
    return Refusal(failure.code, status, str(failure), ran, retry_after)


def unwrap(result: Result[Any, Failure]) -> Any:
    """Return the value of a result, or raise its failure as a refusal."""
    if result.is_error():
        raise RequestRefused(refusal_for(result.error))
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
        retry_after = DEFAULT_RETRY_AFTER_S
    if retry_after is not None:
        headers.append((b"retry-after", str(retry_after).encode()))
    if refusal.kind in CONNECTION_CLOSING_CODES:
        headers.append((b"connection", b"close"))
    return headers, body


async def send_refusal(send: Any, refusal: Refusal, prefix: str = "http") -> None:
    """Send a refusal as JSON. `prefix` is the prefix of the ASGI message types."""
    headers, body = refusal_message(refusal)
    start = {
        "type": f"{prefix}.response.start",
        "status": refusal.status,
        "headers": headers,
    }
    await send(start)
    await send({"type": f"{prefix}.response.body", "body": body})
