"""Decides which targets a request may be sent to at all, whatever their state."""

from collections.abc import Iterable

from primroseturn.routing.models import Target
from primroseturn.routing.target_state import TargetState


def combine_regions(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that two restrictions allow, None if neither restricts."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


class Eligibility:
    """Selects the targets that a request may be sent to.

    Attributes
    ----------
    evacuated
        Data centres whose targets get no further requests.
    """

    def __init__(self, regions_by_data_center: dict[str, str]) -> None:
        self.regions_by_data_center = regions_by_data_center
        self.evacuated: frozenset[str] = frozenset()

    def is_usable(self, target: Target) -> bool:
        """Return whether a target may get requests, whatever its state."""
        return not target.leaving and target.data_center not in self.evacuated

    def is_allowed(
        self, target: Target, allowed_regions: frozenset[str] | None
    ) -> bool:
        """Return whether a target is in an allowed region.

        A data centre whose region is not known is in none.
        """
        if allowed_regions is None:
            return True
        return self.regions_by_data_center.get(target.data_center) in allowed_regions

    def select(
        self,
        states: Iterable[TargetState],
        allowed_regions: frozenset[str] | None,
        excluded: frozenset[str] = frozenset(),
    ) -> list[TargetState]:
        """Return the usable targets in an allowed region that are not excluded."""
        return [
            state
            for state in states
            if self.is_usable(state.target)
            and state.target.id not in excluded
            and self.is_allowed(state.target, allowed_regions)
        ]
