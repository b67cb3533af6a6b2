"""Matches requests to routes by the longest path prefix."""

from expression import Error, Ok, Result

from primroseturn.configuration.models import Route
from primroseturn.failures import Failure


class RouteMissing(Failure):
    """No route matches the path."""

    code = "route-missing"

    def __init__(self, path: str) -> None:
        super().__init__(f"no route matches {path!r}")


class MethodNotAllowed(Failure):
    """The route does not allow the method."""

    code = "method-not-allowed"

    def __init__(self, method: str, route: str) -> None:
        super().__init__(f"route {route!r} does not allow {method}")


class Router:
    """Finds the route of a request in a time that is independent of the route count."""

    def __init__(self) -> None:
        self.routes_by_prefix: dict[str, Route] = {}

    def install(self, routes_by_name: dict[str, Route]) -> None:
        """Replace the routes."""
        self.routes_by_prefix = {
            route.path_prefix.rstrip("/"): route for route in routes_by_name.values()
        }

    def match(self, method: str, path: str) -> Result[Route, Failure]:
        """Return the route whose prefix is the longest match in whole segments."""
        prefix = path.rstrip("/")
        while prefix not in self.routes_by_prefix:
            if not prefix:
                return Error(RouteMissing(path))
            prefix = prefix.rpartition("/")[0]
        route = self.routes_by_prefix[prefix]
        if method not in route.methods:
            return Error(MethodNotAllowed(method, route.name))
        return Ok(route)
