"""Types of the operators' configuration, as an entry VM uses them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from primroseturn.limits.models import Workspace
from primroseturn.routing.models import ColdLimits, Route

# Ranks from which a configuration asks for admission by rank.
MIN_RANKS = 3


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_limit_s: float
    idle_limit_s: float


class FieldProblem(NamedTuple):
    """A value in the configuration that can't be used as it is.

    Attributes
    ----------
    reason
        Stable name of the problem, such as ``regions-mistyped``.
    place
        Where the value is, such as ``route 'lookup'``.
    detail
        What is wrong with it.
    """

    reason: str
    place: str
    detail: str


class RankProblem(NamedTuple):
    """A rank that was clamped, and the route or workspace that states it."""

    owner: str
    problem: str
    rank: int


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    Attributes
    ----------
    requires_key
        Whether requests need a key, except on open routes.
    connections_by_service
        Connections that each target of a service accepts from all VMs together.
    cold_limits_by_service
        What cold targets tolerate, for the services for which it is stated.
    problems
        Values that were replaced by safe ones.
    rank_problems
        Ranks of routes and workspaces that were clamped.
    """

    version: int
    requires_key: bool
    routes_by_host: dict[str, tuple[Route, ...]]
    workspaces_by_key: dict[str, Workspace]
    workspaces_by_name: dict[str, Workspace]
    connections_by_service: dict[str, int]
    limits: CallerLimits
    cold_limits_by_service: Mapping[str, ColdLimits] = MappingProxyType({})
    problems: tuple[FieldProblem, ...] = ()
    rank_problems: tuple[RankProblem, ...] = ()

    @property
    def has_ranks(self) -> bool:
        """Return whether the routes distinguish at least `MIN_RANKS` ranks."""
        ranks = {
            route.priority
            for routes in self.routes_by_host.values()
            for route in routes
        }
        return len(ranks) >= MIN_RANKS
