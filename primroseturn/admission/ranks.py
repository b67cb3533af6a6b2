"""Reads the ranks that a configuration states."""

from math import isfinite
from typing import NamedTuple

# Least urgent rank. Each rank has its own counts and metrics, so their number is
# bounded.
MAX_RANK = 9


class RankReading(NamedTuple):
    """A rank, and what was wrong with the stated value ("" if nothing)."""

    rank: int
    problem: str = ""


def read_rank(value: object) -> RankReading:
    """Return the rank that a value states, clamped to 0 to `MAX_RANK`.

    A missing rank and a value that is not a number give 0, as no request is to lose
    its urgency by an error in the configuration.
    """
    if value is None:
        return RankReading(0, "missing")
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError, OverflowError):
        return RankReading(0, "not-a-number")
    if isinstance(value, bool) or number != number:
        return RankReading(0, "not-a-number")
    if number < 0:
        return RankReading(0, "negative")
    if number > MAX_RANK or not isfinite(number):
        return RankReading(MAX_RANK, "huge")
    return RankReading(int(number), "" if number == int(number) else "not-a-number")
