"""Which repeats a VM spends its budget on, judged by their value.

The budget of a VM (`RepeatBudget`) is the bound. Within it, repeats of less urgent
ranks leave a part of it to more urgent ones, and none is sent that is not likely to be
served in time or whose caller can as well come back later.
"""

from enum import Enum
from typing import NamedTuple

from primroseturn.retries.repeats import RepeatBudget

# Fraction of the budget beyond one repeat that must be left for a rank, per position
# after the most urgent rank of the service, and its limit.
RESERVE_PER_RANK = 0.25
MAX_RESERVE = 0.75
# The same in addition for a hedge: the first attempt may still succeed.
HEDGE_RESERVE = 0.25
# Fraction of the reserve after a failure, whose caller can't be told that nothing ran.
FAILED_RESERVE_FRACTION = 0.5
# Fraction of the expected duration that must be left, as durations vary, in addition to
# the wait in the queues of targets.
MIN_LEFT_FRACTION = 0.8
# Share of refused attempts from which most targets of the service refuse.
MOST_REFUSED_SHARE = 0.6
# Multiple of the expected duration that is left to a caller who can come back later.
COME_BACK_DURATIONS = 2.5


class DenialReason(Enum):
    """Why a repeat is denied."""

    TIME = "time"
    # Most targets refuse, and the caller can come back later.
    REFUSING = "targets-refuse"
    # A hedge would add load to a service that has less capacity than requests.
    LOADED = "service-loaded"
    # What is left of the budget is kept for more urgent ranks.
    RESERVED = "reserved"
    BUDGET = "budget"


class RepeatCase(NamedTuple):
    """What is known when a repeat may be sent.

    Attributes
    ----------
    position
        Position of the request's rank among those of the service; 0 is the most urgent.
    is_hedge
        Whether another attempt is still running.
    has_not_run
        Whether all attempts so far were refused, so that the caller can be told so.
    left_s, expected_s
        Seconds until the deadline, and the expected duration of an attempt.
    queue_s
        Expected wait in the queues of targets in seconds.
    refused_share
        Share of the service's attempts that targets refuse.
    level
        Level of load of the service; 0 if it has enough capacity.
    """

    service: str
    position: int
    is_hedge: bool
    has_not_run: bool
    left_s: float
    expected_s: float
    queue_s: float
    refused_share: float
    level: float


def judge_repeat(
    case: RepeatCase, budget: RepeatBudget, now: float
) -> DenialReason | None:
    """Return why a repeat is denied; None if it may be charged to the budget."""
    if case.left_s < MIN_LEFT_FRACTION * case.expected_s + case.queue_s:
        return DenialReason.TIME
    if (
        case.position > 0
        and case.has_not_run
        and case.refused_share >= MOST_REFUSED_SHARE
        and case.left_s >= COME_BACK_DURATIONS * case.expected_s
    ):
        return DenialReason.REFUSING
    if case.is_hedge and case.position > 0 and case.level > 0.0:
        return DenialReason.LOADED
    available = budget.available(case.service, now)
    if available < 1.0:
        return DenialReason.BUDGET
    kept = reserve_fraction(case) * max(0.0, budget.allowed(case.service, now) - 1.0)
    return DenialReason.RESERVED if available < 1.0 + kept else None


def reserve_fraction(case: RepeatCase) -> float:
    """Return the fraction of the budget that must be left after a repeat.

    It is under 1, so that an unused budget allows a repeat of any rank.
    """
    fraction = RESERVE_PER_RANK * case.position
    if case.is_hedge:
        fraction += HEDGE_RESERVE
    elif not case.has_not_run:
        fraction *= FAILED_RESERVE_FRACTION
    return min(MAX_RESERVE, fraction)
