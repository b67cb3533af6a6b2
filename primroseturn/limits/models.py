"""Workspaces and their limits, as `primroseturn entry` uses them."""

from enum import Enum
from math import isfinite
from typing import Any, NamedTuple

# Larger than the requests per second of any deployment; a larger rate or burst is an
# error of input, and counts of it do not fit a digest.
MAX_RATE = 1_000_000.0


class LimitProblem(Enum):
    """What is wrong with a limit of a workspace.

    Attributes
    ----------
    NO_RATE
        There is no rate, or it is 0: the workspace is not limited.
    RATE_INVALID
        The rate is negative, absurd or no number: the workspace is not limited, since
        the customer is not to pay for an error of the operators.
    BURST_INVALID
        The burst is negative, absurd or no number: the rate of one second is used.
    """

    NO_RATE = "no-rate"
    RATE_INVALID = "rate-invalid"
    BURST_INVALID = "burst-invalid"


class Workspace(NamedTuple):
    """A workspace and its limits.

    Attributes
    ----------
    rate
        Requests per second that all VMs together admit; 0 means no limit.
    burst
        Requests that all VMs together admit at once.
    priority
        Priority of the requests; None means that of the route.
    allowed_regions
        Regions whose targets may get the requests; None means all, an empty set none.
    problem
        What is wrong with the stated limits, if anything.
    """

    name: str
    rate: float
    burst: float
    priority: int | None
    allowed_regions: frozenset[str] | None = None
    problem: LimitProblem | None = None


def check_workspace(
    name: str,
    rate: Any,
    burst: Any,
    priority: int | None,
    allowed_regions: frozenset[str] | None = None,
) -> Workspace:
    """Return a workspace with valid limits for stated ones of any type."""
    valid_rate, valid_burst = valid_number(rate), valid_number(burst)
    problem = None
    if valid_rate is None:
        problem = LimitProblem.RATE_INVALID
        return Workspace(name, 0.0, 0.0, priority, allowed_regions, problem)
    if valid_rate == 0.0:
        problem = LimitProblem.NO_RATE
    if valid_burst is None:
        valid_burst, problem = valid_rate, LimitProblem.BURST_INVALID
    return Workspace(name, valid_rate, valid_burst, priority, allowed_regions, problem)


def valid_number(value: Any) -> float | None:
    """Return a stated number, 0 if there is none, and None if it can't be used."""
    if value is None:
        return 0.0
    try:
        number = float(value)
    except (OverflowError, TypeError, ValueError):
        return None
    is_valid = isfinite(number) and 0.0 <= number <= MAX_RATE
    return number if is_valid and not isinstance(value, bool) else None
