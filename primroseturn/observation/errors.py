"""Describes unexpected errors for the log."""

from collections.abc import Iterator
from traceback import extract_tb
from typing import NamedTuple

from prometheus_client import Counter

PART_FAILURES = Counter(
    "primroseturn_part_failures_total",
    "Errors of parts that ended neither a request nor a task.",
    ["part"],
)

# Innermost calls of an error in its log line.
SHOWN_CALLS = 6


class ErrorDescription(NamedTuple):
    """An error and the calls that led to it, the innermost last."""

    reason: str
    places: list[str]


def describe_error(error: BaseException) -> Iterator[ErrorDescription]:
    """Yield descriptions of an error, or of all errors that a group holds.

    The trace of a group of errors is cut before its innermost ones.
    """
    if isinstance(error, BaseExceptionGroup):
        for part in error.exceptions:
            yield from describe_error(part)
        return
    frames = extract_tb(error.__traceback__)[-SHOWN_CALLS:]
    places = [f"{frame.name}:{frame.lineno}" for frame in frames]
    yield ErrorDescription(f"{type(error).__name__}: {error}", places)
