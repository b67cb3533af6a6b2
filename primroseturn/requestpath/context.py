"""State of a request while the daemon serves it."""

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
from primroseturn.routing.dispatcher import SlotRequest
from primroseturn.serving.protocol import CallerLink

# Long enough for a caller on a slow line to receive one part of a body.
CALLER_WRITE_TIMEOUT_S = 60.0


class RequestContext:
    """A request, its caller, and what was sent to the upstream and the caller.

    Attributes
    ----------
    headers
        Request headers that are forwarded, without those added for each attempt.
    deadline_at
        Monotonic time in seconds at which the request is cancelled. None for downloads
        whose caller states no deadline; they are cancelled when they stall.
    queue_deadline_at
        Monotonic time in seconds until which the request may wait for a slot.
    sent
        Whether any byte may have reached an upstream that might run the request.
    response_started
        Whether the start of a response was sent to the caller.
    caller_left
        Whether the caller closed its connection before it had a whole response.
    has_selected_attempt
        Whether one attempt of a hedged request was selected and the other cancelled.
    path_and_query
        Target of the request in the HTTP request line.
    upstream_s
        Time in seconds that complete exchanges with targets took.
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
        self.path_and_query: bytes = scope["raw_path"]
        if scope["query_string"]:
            self.path_and_query += b"?" + scope["query_string"]
        self.headers = headers
        self.route = route
        self.caller = caller
        self.body = body
        self.send = send
        self.link = CallerLink()
        self.started_at = current_time()
        time_limit_s = route.deadline_s
        if stated_deadline_s is not None:
            time_limit_s = min(time_limit_s, stated_deadline_s)
        self.queue_deadline_at = self.started_at + time_limit_s
        self.deadline_at: float | None = self.queue_deadline_at
        if route.download:
            self.deadline_at = None
            if stated_deadline_s is not None:
                self.deadline_at = self.started_at + stated_deadline_s
        self.sent = False
        self.response_started = False
        self.caller_left = False
        self.has_selected_attempt = False
        self.status = 0
        self.target_name = ""
        self.upstream_s = 0.0

    def note_sent(self) -> None:
        """Record that an upstream may receive a part of the request from now on."""
        self.sent = True

    def is_expired(self) -> bool:
        """Return whether the deadline has passed."""
        return self.deadline_at is not None and current_time() >= self.deadline_at

    def slot_request(
        self, excluded: frozenset[str], deadline_at: float = 0.0
    ) -> SlotRequest:
        """Return the request for a slot that is passed to the dispatcher."""
        workspace, route = self.caller.workspace, self.route
        return SlotRequest(
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
        """Return the headers of an attempt, with the remaining time of the deadline."""
        headers = [
            (HOST, host),
            *self.headers,
            (REQUEST_ID, self.request_id.encode()),
        ]
        if self.deadline_at is not None:
            remaining_ms = max(0, int((self.deadline_at - current_time()) * 1000))
            headers.append((DEADLINE, str(remaining_ms).encode()))
        if self.body.is_present and not self.has_length():
            headers.append((TRANSFER_ENCODING, b"chunked"))
        return headers

    def has_length(self) -> bool:
        """Return whether the caller stated the length of the body."""
        return any(name == CONTENT_LENGTH for name, _ in self.headers)

    async def start_response(self, status: int, headers: HeaderList) -> None:
        """Send the start of the response to the caller."""
        self.response_started = True
        self.status = status
        message = {"type": "http.response.start", "status": status, "headers": headers}
        await self.send_message(message)

    async def send_whole_response(
        self, status: int, headers: HeaderList, body: bytes
    ) -> None:
        """Send a whole response, its head together with the body."""
        self.link.hold_head = True
        await self.start_response(status, headers)
        await self.send_message({"type": "http.response.body", "body": body})

    async def send_part(self, part: bytes) -> None:
        """Send a part of the response's body to the caller."""
        message = {"type": "http.response.body", "body": part, "more_body": True}
        await self.send_message(message)

    async def end_response(self) -> None:
        """Send the end of the response's body to the caller."""
        await self.send_message({"type": "http.response.body", "body": b""})

    async def send_message(self, message: dict[str, Any]) -> None:
        """Send an ASGI message to the caller.

        Raises
        ------
        ResponseBroken
            If a caller without a deadline does not receive it within
            `CALLER_WRITE_TIMEOUT_S`.
        """
        if self.deadline_at is not None:
            await self.send(message)
            return
        try:
            with fail_after(CALLER_WRITE_TIMEOUT_S):
                await self.send(message)
        except TimeoutError as error:
            raise ResponseBroken("caller-stalled") from error
