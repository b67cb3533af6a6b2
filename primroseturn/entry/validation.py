"""Validates requests of callers and finds their routes and workspaces."""

from random import Random
from typing import Any

from anyio import current_time

from primroseturn.clock import time_since_boot
from primroseturn.entry.models import CallerLimits, Configuration
from primroseturn.entry.refusals import RefusalBuilder
from primroseturn.entry.request import (
    allowed_regions_of,
    EntryRequest,
    RequestLine,
)
from primroseturn.entry.view import VmView
from primroseturn.failures import Refusal
from primroseturn.limits.models import Workspace
from primroseturn.platform.headers import read_caller_headers
from primroseturn.requestpath.body import body_too_large, RequestBody
from primroseturn.requestpath.checks import check_headers
from primroseturn.requestpath.headers import (
    CONTENT_LENGTH,
    HeaderList,
    HOST,
    values_of,
)
from primroseturn.requestpath.refusals import RequestRefused
from primroseturn.routing.models import Route
from primroseturn.routing.placement import Placement
from primroseturn.serving.heads import MAX_HEADER_LINES
from primroseturn.serving.protocol import CALLER_LINK

# Separators and end of a line in the head of a request.
HEADER_LINE_BYTES = 4


class RequestValidator:
    """Validates requests against the configuration that is in force."""

    def __init__(
        self,
        view: VmView,
        placement: Placement,
        refusals: RefusalBuilder,
        random: Random,
    ) -> None:
        self.view = view
        self.placement = placement
        self.refusals = refusals
        self.random = random

    def validate_request(
        self, scope: dict[str, Any], headers: HeaderList, body: RequestBody
    ) -> EntryRequest:
        """Validate a request, find its route and workspace, and choose its service.

        Raises
        ------
        RequestRefused
            If the request may not run.
        """
        check_headers(headers)
        configuration = self.view.configuration
        if configuration is None or not self.view.is_confirmed():
            raise self.refusals.retryable(
                "not-ready", "this VM does not know the newest configuration yet"
            )
        check_sizes(headers, body, configuration.limits)
        path_and_query = scope["raw_path"]
        if scope["query_string"]:
            path_and_query += b"?" + scope["query_string"]
        route = match_route(configuration, headers, scope["raw_path"])
        caller = read_caller_headers(headers)
        workspace = self.identify_workspace(configuration, route, caller.key)
        if not caller.attempt_id:
            # Without an id, no response can be attributed to the request.
            detail = "the request has no attempt id, or several"
            raise RequestRefused(Refusal("attempt-id-missing", 400, detail))
        return EntryRequest(
            RequestLine(scope["method"], path_and_query),
            caller,
            body,
            route,
            self.choose_service(route, allowed_regions_of(route, workspace)),
            workspace,
            self.view.basis(time_since_boot()),
            scope["extensions"][CALLER_LINK],
        )

    def identify_workspace(
        self, configuration: Configuration, route: Route, key: str | None
    ) -> Workspace | None:
        """Return the workspace to which a caller's key belongs.

        Returns
        -------
        Workspace | None
            None if the request needs no key and has no valid one.

        Raises
        ------
        RequestRefused
            If the key is missing or unknown, or if it may have been withdrawn.
        """
        workspace = configuration.workspaces_by_key.get(key) if key else None
        can_check_keys = self.view.can_check_keys(time_since_boot())
        if route.open or not configuration.requires_key:
            # A key that may have been withdrawn stands for no workspace.
            return workspace if can_check_keys else None
        if not can_check_keys:
            detail = "this VM can't check keys while the store is out of reach"
            raise self.refusals.retryable("keys-stale", detail)
        if workspace is None:
            detail = "the key is not known"
            raise RequestRefused(Refusal("key-refused", 401, detail))
        return workspace

    def choose_service(
        self, route: Route, allowed_regions: frozenset[str] | None
    ) -> str:
        """Choose a service of a route at random, by the weights of the route.

        Under a restriction to regions, it is one of those with a usable target there,
        or any if there is none: the request is then refused.
        """
        parts = route.weighted_services
        if len(parts) > 1 and allowed_regions is not None:
            now = current_time()
            usable = [
                item
                for item in parts
                if self.placement.has_usable_target(item.service, allowed_regions, now)
            ]
            parts = tuple(usable) or parts
        if len(parts) == 1:
            return parts[0].service
        weights = [item.weight for item in parts]
        return self.random.choices(parts, weights)[0].service


def check_sizes(headers: HeaderList, body: RequestBody, limits: CallerLimits) -> None:
    """Check the size of the headers and the stated length of the body.

    A body without a stated length is checked while it is read.

    Raises
    ------
    RequestRefused
        If one of them exceeds its limit.
    """
    if len(headers) > MAX_HEADER_LINES:
        detail = f"the request has more than {MAX_HEADER_LINES} header fields"
        raise RequestRefused(Refusal("headers-too-large", 431, detail))
    size_bytes = sum(
        len(name) + len(value) + HEADER_LINE_BYTES for name, value in headers
    )
    if size_bytes > limits.header_bytes:
        detail = f"the headers exceed {limits.header_bytes} bytes"
        raise RequestRefused(Refusal("headers-too-large", 431, detail))
    body.limit_bytes = limits.body_bytes
    lengths = values_of(headers, CONTENT_LENGTH)
    if lengths and lengths[0].isdigit() and int(lengths[0]) > limits.body_bytes:
        raise body_too_large(limits.body_bytes)


def match_route(
    configuration: Configuration, headers: HeaderList, path: bytes
) -> Route:
    """Return the route of the request's host with the longest matching path prefix.

    Raises
    ------
    RequestRefused
        If no route matches.
    """
    hosts = values_of(headers, HOST)
    host = hosts[0].decode("latin-1").lower() if hosts else ""
    routes = configuration.routes_by_host.get(host)
    if routes is None:
        routes = configuration.routes_by_host.get(host.rpartition(":")[0], ())
    decoded_path = path.decode("latin-1")
    for route in routes:
        if decoded_path.startswith(route.prefix):
            return route
    raise RequestRefused(Refusal("route-missing", 404, "no route has this path"))
