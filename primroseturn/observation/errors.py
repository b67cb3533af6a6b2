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

# Number of innermost calls of a traceback that the log line of an error states.
MAX_SHOWN_CALLS = 6


class ErrorDescription(NamedTuple):
    """An error and the calls that led to it.

    Attributes
    ----------
    reason
        Type and message of the error.
    places
        Function name and line of each call, the innermost last.
    """

    reason: str
    places: list[str]


def describe_error(error: BaseException) -> Iterator[ErrorDescription]:
    """Yield the description of an error, or those of all errors in a group.

    The traceback of a group ends before the calls in which its errors were raised,
    so that each error is described by itself.
    """
    if isinstance(error, BaseExceptionGroup):
        for member in error.exceptions:
            yield from describe_error(member)
        return
    frames = extract_tb(error.__traceback__)[-MAX_SHOWN_CALLS:]
    places = [f"{frame.name}:{frame.lineno}" for frame in frames]
    yield ErrorDescription(f"{type(error).__name__}: {error}", places)
