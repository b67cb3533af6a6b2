"""State of one request on its way through the daemon."""

from typing import Any

from anyio import current_time, fail_after

from primroseturn.configuration.models import Route
from primroseturn.requestpath.body import RequestBody
from primroseturn.requestpath.headers import (
    CONTENT_LENGTH,
    DEADLINE,
    HeaderList,
    HOST,
    REQUEST_ID,
    TRANSFER_ENCODING,
)
from primroseturn.requestpath.identify import Caller
from primroseturn.requestpath.refusals import ResponseBroken
from primroseturn.routing.dispatcher import Demand
from primroseturn.serving.protocol import CallerLink

# Long enough for a caller on a slow line to take one part of a body.
CALLER_TAKE_LIMIT_S = 60.0


class RequestContext:
    """One request, its caller and what has been sent to either side.

    Attributes
    ----------
    headers
        Request headers as they are forwarded, without those of an attempt.
    deadline_at
        Monotonic time in seconds after which the answer is of no use; None for
        downloads, which progress bounds, if the caller states no deadline.
    queue_deadline_at
        Latest time for the start of an exchange.
    sent
        Whether any byte may have reached an upstream that might run the request.
    answer_started
        Whether the caller has received the start of an answer.
    gone, superseded
        Whether the caller has left, and whether another attempt of a hedged request
        has won.
    upstream_s
        Time that whole exchanges with targets took.
    """

    def __init__(
        self,
        request_id: str,
        scope: dict[str, Any],
        headers: HeaderList,
        route: Route,
        caller: Caller,
        body: RequestBody,
        send: Any,
        stated_deadline_s: float | None,
    ) -> None:
        self.request_id = request_id
        self.method: str = scope["method"]
        self.target: bytes = scope["raw_path"]
        if scope["query_string"]:
            self.target += b"?" + scope["query_string"]
        self.headers = headers
        self.route = route
        self.caller = caller
        self.body = body
        self.send = send
        self.link = CallerLink()
        self.started_at = current_time()
        limit_s = route.deadline_s
        if stated_deadline_s is not None:
            limit_s = min(limit_s, stated_deadline_s)
        self.queue_deadline_at = self.started_at + limit_s
        self.deadline_at: float | None = self.queue_deadline_at
        if route.download:
            self.deadline_at = None
            if stated_deadline_s is not None:
                self.deadline_at = self.started_at + stated_deadline_s
        self.sent = False
        self.answer_started = False
        self.gone = False
        self.superseded = False
        self.status = 0
        self.target_name = ""
        self.upstream_s = 0.0

    def note_sent(self) -> None:
        """Note that an upstream may get a part of the request from now on."""
        self.sent = True

    def expired(self) -> bool:
        """Return whether the deadline has passed."""
        return self.deadline_at is not None and current_time() >= self.deadline_at

    def demand(self, excluded: frozenset[str], deadline_at: float = 0.0) -> Demand:
        """Return what is asked of the dispatcher."""
        workspace, route = self.caller.workspace, self.route
        return Demand(
            workspace.name,
            workspace.share,
            route.service,
            route.route_class,
            deadline_at or self.queue_deadline_at,
            excluded,
            route.repeatable,
            route.download,
        )

    def attempt_headers(self, host: bytes) -> HeaderList:
        """Return the headers of an attempt with what is left of the deadline."""
        headers = [
            (HOST, host),
            *self.headers,
            (REQUEST_ID, self.request_id.encode()),
        ]
        if self.deadline_at is not None:
            left_ms = max(0, int((self.deadline_at - current_time()) * 1000))
            headers.append((DEADLINE, str(left_ms).encode()))
        if self.body.present and not self.has_length():
            headers.append((TRANSFER_ENCODING, b"chunked"))
        return headers

    def has_length(self) -> bool:
        """Return whether the caller stated the body's length."""
        return any(name == CONTENT_LENGTH for name, _ in self.headers)

    async def start_answer(self, status: int, headers: HeaderList) -> None:
        """Send the start of the answer to the caller."""
        self.answer_started = True
        self.status = status
        message = {"type": "http.response.start", "status": status, "headers": headers}
        await self.take(message)

    async def send_whole(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send an answer at once."""
        self.link.hold_head = True
        await self.start_answer(status, headers)
        await self.take({"type": "http.response.body", "body": body})

    async def send_part(self, part: bytes) -> None:
        """Send a part of the answer's body to the caller."""
        message = {"type": "http.response.body", "body": part, "more_body": True}
        await self.take(message)

    async def end_answer(self) -> None:
        """Send the end of the answer's body to the caller."""
        await self.take({"type": "http.response.body", "body": b""})

    async def take(self, message: dict[str, Any]) -> None:
        """Pass a message on, at most as long as a slow caller may take for it."""
        if self.deadline_at is not None:
            await self.send(message)
            return
        try:
            with fail_after(CALLER_TAKE_LIMIT_S):
                await self.send(message)
        except TimeoutError as error:
            raise ResponseBroken("caller-stalled") from error
