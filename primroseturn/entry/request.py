"""State of one request on its way through an entry VM."""

from typing import Any, NamedTuple

from anyio import CancelScope, current_time

from primroseturn.entry.memory import Holding, Phase
from primroseturn.entry.view import ViewBasis
from primroseturn.limits.models import Workspace
from primroseturn.platform.headers import CallerHeaders
from primroseturn.requestpath.body import RequestBody
from primroseturn.requestpath.headers import CONTENT_LENGTH, values_of
from primroseturn.routing.choices import RequestTraits
from primroseturn.routing.eligibility import combine_regions
from primroseturn.routing.models import Route
from primroseturn.serving.heads import HeadSize
from primroseturn.serving.protocol import CallerLink

# Seconds that are reserved for the transit of the response to the caller, out of the
# timeout that the caller or the route sets.
RESPONSE_MARGIN_S = 0.01
# Fraction of a route's latency objective that an attempt is assumed to take while the
# typical duration is unknown.
DEFAULT_DURATION_SHARE = 0.35


class RequestLine(NamedTuple):
    """Method, and path with query, of a request, as the caller sent them."""

    method: str
    path_and_query: bytes


class EntryRequest:
    """One request of a caller.

    Attributes
    ----------
    service
        Service to which the request is forwarded.
    allowed_regions
        Regions whose targets may get the request; None means all.
    basis
        Version of the configuration by which the request is handled.
    link
        Reports when the caller closes the connection.
    deadline_at
        Monotonic time in seconds by which the final response is sent to the caller.
    sent_attempts
        Attempts by which an upstream may have run the request, or may still run it.
    caller_left
        Whether the caller has closed its connection.
    tried_targets
        Ids of the targets to which the request was sent.
    holding
        The bytes that the request holds, None before it is admitted.
    scope
        The scope that is cancelled at the deadline.
    is_evicted
        Whether the request was ended since others needed its memory.
    """

    def __init__(
        self,
        line: RequestLine,
        headers: CallerHeaders,
        body: RequestBody,
        route: Route,
        service: str,
        workspace: Workspace | None,
        basis: ViewBasis,
        link: CallerLink,
    ) -> None:
        self.line = line
        self.headers = headers
        self.body = body
        self.route = route
        self.service = service
        self.workspace = workspace
        self.allowed_regions = allowed_regions_of(route, workspace)
        self.basis = basis
        self.link = link
        self.started_at = current_time()
        timeout_s = route.timeout_s
        if headers.timeout_s is not None:
            timeout_s = min(timeout_s, headers.timeout_s)
        self.deadline_at = self.started_at + timeout_s - RESPONSE_MARGIN_S
        self.sent_attempts: set[object] = set()
        self.caller_left = False
        self.tried_targets: set[str] = set()
        self.holding: Holding | None = None
        self.scope: CancelScope | None = None
        self.is_evicted = False

    def body_bytes(self) -> int | None:
        """Return the stated length of the body in bytes, None without one."""
        if not self.body.is_present:
            return 0
        lengths = values_of(self.headers.forwarded, CONTENT_LENGTH)
        return int(lengths[0]) if lengths else None

    def enter_phase(self, phase: Phase) -> None:
        """Record what the request does from now on with the bytes that it holds."""
        if self.holding is not None:
            self.holding.enter(phase)

    def record_progress(self) -> None:
        """Record that bytes of the request or the response went on."""
        if self.holding is not None:
            self.holding.record_progress()

    def try_buffer(self, size: int) -> bool:
        """Return whether further bytes of a response may be buffered."""
        return self.holding is None or self.holding.try_grow(size)

    def try_hold_head(self, head: HeadSize) -> bool:
        """Return whether the head of a response may be kept."""
        size = head.unusual_bytes()
        return not size or self.holding is None or self.holding.try_hold_head(size)

    def evict(self) -> None:
        """End the request, since it makes no progress and others need its memory.

        A caller that does not read its response can't be told; any other gets a
        refusal.
        """
        self.is_evicted = True
        if self.holding is not None and self.holding.phase is Phase.DELIVERING:
            self.link.abort()
        if self.scope is not None:
            self.scope.cancel()

    @property
    def id(self) -> str:
        """Return the id that the caller has given to its attempt.

        All attempts of this VM for the request have this id, also in the log.
        """
        return self.headers.attempt_id.decode("latin-1")

    @property
    def traits(self) -> RequestTraits:
        """Return what the placement needs to know of the request."""
        route = self.route
        return RequestTraits(
            self.service,
            route.name,
            route.repeatable,
            route.download,
            DEFAULT_DURATION_SHARE * route.objective_s,
            self.allowed_regions,
        )

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request."""
        return bool(self.sent_attempts)

    def left_s(self) -> float:
        """Return the time in seconds until the deadline."""
        return self.deadline_at - current_time()

    def log_fields(self) -> dict[str, Any]:
        """Return the fields that all events about this request share."""
        return {
            "request": self.id,
            "route": self.route.name,
            "service": self.service,
            "workspace": self.workspace.name if self.workspace else None,
            "age_s": round(current_time() - self.started_at, 4),
            "version": self.basis.version,
            "version_age_s": self.basis.age_s,
        }


def allowed_regions_of(
    route: Route, workspace: Workspace | None
) -> frozenset[str] | None:
    """Return the regions that both the route and the workspace allow."""
    return combine_regions(
        route.allowed_regions, workspace.allowed_regions if workspace else None
    )
