"""State of one request on its way through an entry VM."""

from typing import Any, NamedTuple

from anyio import current_time

from primroseturn.entry.models import Route, Workspace
from primroseturn.platform.headers import CallerHeaders
from primroseturn.requestpath.body import RequestBody
from primroseturn.routing.placement import RequestTraits
from primroseturn.serving.protocol import CallerLink

# Part of the time that callers state or routes allow which is left for the answer's
# way back, in seconds.
ANSWER_MARGIN_S = 0.01
# Part of the objective that an attempt is taken to need while nothing is known.
USUAL_SHARE = 0.35


class RequestLine(NamedTuple):
    """Method and target of a request, as the caller sent them."""

    method: str
    target: bytes


class EntryRequest:
    """One request of a caller.

    Attributes
    ----------
    service
        Service that gets the request.
    deadline_at
        Monotonic time in seconds at which the caller gets its final answer.
    sent_attempts
        Attempts by which an upstream may have run the request, or may still do so.
    tried
        Ids of the targets that it was sent to.
    """

    def __init__(
        self,
        line: RequestLine,
        headers: CallerHeaders,
        body: RequestBody,
        route: Route,
        service: str,
        workspace: Workspace | None,
        link: CallerLink,
    ) -> None:
        self.line = line
        self.headers = headers
        self.body = body
        self.route = route
        self.service = service
        self.workspace = workspace
        self.link = link
        self.started_at = current_time()
        limit_s = route.timeout_s
        if headers.timeout_s is not None:
            limit_s = min(limit_s, headers.timeout_s)
        self.deadline_at = self.started_at + limit_s - ANSWER_MARGIN_S
        self.sent_attempts: set[object] = set()
        self.gone = False
        self.tried: set[str] = set()

    @property
    def id(self) -> str:
        """Return the caller's id of this attempt."""
        return self.headers.attempt_id.decode("latin-1")

    @property
    def traits(self) -> RequestTraits:
        """Return what is asked of a target."""
        route = self.route
        return RequestTraits(
            self.service,
            route.name,
            route.repeatable,
            route.download,
            USUAL_SHARE * route.objective_s,
        )

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request."""
        return bool(self.sent_attempts)

    def left_s(self) -> float:
        """Return the time in seconds until the final answer is due."""
        return self.deadline_at - current_time()

    def log_fields(self) -> dict[str, Any]:
        """Return the fields that each event about this request has."""
        return {
            "request": self.id,
            "route": self.route.name,
            "service": self.service,
            "workspace": self.workspace.name if self.workspace else None,
            "age_s": round(current_time() - self.started_at, 4),
        }
