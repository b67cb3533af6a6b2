"""Logs and counts values of the configuration that can't be used as they are."""

from collections.abc import Collection, Iterator

from primroseturn.entry.events import FIELD_INVALID
from primroseturn.entry.metrics import INVALID_FIELDS
from primroseturn.entry.models import Configuration, FieldProblem
from primroseturn.observation.events import EventLog

# Characters of a region's name that are logged.
MAX_LOGGED_CHARACTERS = 60


class ConfigurationChecks:
    """Reports the problems of each configuration that is put in force.

    Parameters
    ----------
    regions
        The regions of the data centres.
    """

    def __init__(self, events: EventLog, regions: Collection[str]) -> None:
        self.events = events
        self.regions = frozenset(regions)

    def report(self, configuration: Configuration) -> None:
        """Count and log the problems of a configuration."""
        for problem in (
            *configuration.problems,
            *self.find_unknown_regions(configuration),
        ):
            INVALID_FIELDS.labels(problem.reason).inc()
            self.events.emit(
                FIELD_INVALID,
                reason=problem.reason,
                place=problem.place,
                detail=problem.detail,
                version=configuration.version,
            )

    def find_unknown_regions(
        self, configuration: Configuration
    ) -> Iterator[FieldProblem]:
        """Yield the allowed regions that no data centre belongs to."""
        restrictions = [
            (f"route {route.name!r}", route.allowed_regions)
            for routes in configuration.routes_by_host.values()
            for route in routes
        ]
        restrictions += [
            (f"workspace {item.name!r}", item.allowed_regions)
            for item in configuration.workspaces_by_name.values()
        ]
        for place, allowed in restrictions:
            for region in sorted((allowed or frozenset()) - self.regions):
                detail = f"no data centre is in {region[:MAX_LOGGED_CHARACTERS]!r}"
                yield FieldProblem("region-unknown", place, detail)
