"""Reads optional fields of the configuration whose faults must not refuse all of it.

A fault in one of these fields is replaced by a safe value and reported.
"""

from typing import Any

from primroseturn.entry.models import FieldProblem
from primroseturn.routing.models import ColdLimits

# Characters of a value that are quoted in a problem.
MAX_QUOTED_CHARACTERS = 60
# Values beyond these are faults of the writer.
MAX_COLD_START_S = 3_600.0
MIN_COLD_PER_S, MAX_COLD_PER_S = 0.01, 10_000.0
# Used in place of a missing or invalid value. The rate is below and the time above
# those that are known of services (4.7 per second).
DEFAULT_COLD_START_S = 30.0
DEFAULT_COLD_PER_S = 4.0


def quote(value: Any) -> str:
    """Return the start of a value's representation."""
    return repr(value)[:MAX_QUOTED_CHARACTERS]


def read_regions(
    value: Any, place: str, problems: list[FieldProblem]
) -> frozenset[str] | None:
    """Return the allowed regions, None without a restriction.

    A value that can't be read allows no region, and an item that can't be read none
    either, so that a fault never widens a restriction.

    Parameters
    ----------
    problems
        Problems are appended to it.
    """
    if value is None or value == []:
        return None
    if not isinstance(value, list):
        detail = f"{quote(value)} is not a list of regions"
        problems.append(FieldProblem("regions-mistyped", place, detail))
        return frozenset()
    for item in value:
        if not isinstance(item, str):
            detail = f"{quote(item)} is not the name of a region"
            problems.append(FieldProblem("regions-mistyped", place, detail))
    return frozenset(item for item in value if isinstance(item, str))


def read_cold_limits(
    start_s: Any, per_s: Any, place: str, problems: list[FieldProblem]
) -> ColdLimits | None:
    """Return what the targets of a service tolerate, None if nothing is stated.

    A missing or invalid value of the two is replaced by a default.
    """
    if start_s is None and per_s is None:
        return None
    if not is_number_in(start_s, 0.0, MAX_COLD_START_S):
        detail = f"cold_start_s is {quote(start_s)}, {DEFAULT_COLD_START_S:g} is used"
        problems.append(FieldProblem("cold-start-invalid", place, detail))
        start_s = DEFAULT_COLD_START_S
    if not is_number_in(per_s, MIN_COLD_PER_S, MAX_COLD_PER_S):
        detail = f"cold_per_s is {quote(per_s)}, {DEFAULT_COLD_PER_S:g} is used"
        problems.append(FieldProblem("cold-rate-invalid", place, detail))
        per_s = DEFAULT_COLD_PER_S
    return ColdLimits(float(start_s), float(per_s))


def is_number_in(value: Any, least: float, most: float) -> bool:
    """Return whether a value is a number within bounds."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and least <= value <= most
