"""Unwraps results whose failure is sent as the response to a call."""

from typing import TypeVar

from expression import Result

from primroseturn.failures import Failure

T = TypeVar("T")


def unwrap(result: Result[T, Failure]) -> T:
    """Return the value of a result or raise its failure."""
    if result.is_error():
        raise result.error
    return result.ok
