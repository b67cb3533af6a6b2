"""How much of a service's capacity the fleet uses, as one VM knows it."""

from collections.abc import Iterable
from math import exp
from statistics import fmean, median

from primroseturn.admission.counts import DecayingCount
from primroseturn.admission.threshold import LastingLevel, level_of
from primroseturn.routing.target_state import TargetState

# Time constant of the smoothed load.
LOAD_TIME_CONSTANT_S = 0.15
# Least time between two samples of the load.
SAMPLE_INTERVAL_S = 0.02
# Age from which a load report is not used. Targets under load respond several times in
# this time.
FRESH_REPORT_S = 1.0
# Largest load per slot that a report can state; a target queues about 4 per slot. A
# higher one is an error of the target or of a VM.
MAX_LOAD_PER_SLOT = 6.0
# Fraction of the usable targets that must have fresh reports for full weight. Loads of
# targets in other regions are not known.
FULL_COVERAGE = 0.25
# Time constant of the counts of answered and refused attempts.
OUTCOME_TIME_CONSTANT_S = 0.7
# Answered attempts that are assumed in addition, so that one refusal of few attempts
# shows little.
ASSUMED_ANSWERS = 3.0
# Share of refused attempts that is usual with short queues.
USUAL_REFUSED_SHARE = 0.1


class ServiceUse:
    """Load per slot and share of refused attempts of one service.

    Attributes
    ----------
    load
        Smoothed number of requests per slot at the targets.
    lasting_level
        The part of the level that comes from a lasting overload.
    age_s
        Mean age in seconds of the reports in the last sample, None without any.
    """

    def __init__(self) -> None:
        self.load = 0.0
        self.lasting_level = LastingLevel()
        self.age_s: float | None = None
        self.sampled_at = float("-inf")
        self.answered = DecayingCount(OUTCOME_TIME_CONSTANT_S)
        self.refused = DecayingCount(OUTCOME_TIME_CONSTANT_S)

    def record_outcomes(self, answered: int, refused: int, now: float) -> None:
        """Record attempts of this VM or of others that were answered or refused."""
        self.answered.add(answered, now)
        self.refused.add(refused, now)

    def refused_share(self, now: float) -> float:
        """Return the share of the attempts that targets refused."""
        refused = self.refused.at(now)
        return refused / (refused + self.answered.at(now) + ASSUMED_ANSWERS)

    def level(self, now: float) -> float:
        """Return the level of load; 0 while nothing is to be withheld."""
        excess = self.refused_share(now) - USUAL_REFUSED_SHARE
        return level_of(self.load, self.lasting_level.value, excess)

    def sample(self, states: Iterable[TargetState], now: float) -> None:
        """Update the smoothed load with what is known of the targets."""
        elapsed_s = now - self.sampled_at
        if elapsed_s < SAMPLE_INTERVAL_S:
            return
        self.sampled_at = now
        measured, self.age_s = measure_load(states, now)
        weight = 1.0 - exp(-elapsed_s / LOAD_TIME_CONSTANT_S)
        self.load += weight * (measured - self.load)
        self.lasting_level.update(self.load, elapsed_s)


def measure_load(
    states: Iterable[TargetState], now: float
) -> tuple[float, float | None]:
    """Return the load per slot of the usable targets and the age of the reports.

    The load is the mean of the middle half of the targets, so that neither a target
    that misreports nor one that stands still decides. With reports of few targets, a
    load above one request per slot counts for less.
    """
    usable = [
        state
        for state in states
        if not state.target.leaving and state.is_available(now)
    ]
    loads, ages = [], []
    for state in usable:
        reports = [
            count for at, count in state.recent_loads if now - at <= FRESH_REPORT_S
        ]
        if not reports:
            continue
        count = max(median(reports), len(state.started_by_attempt))
        loads.append(min(MAX_LOAD_PER_SLOT, count / max(1, state.target.slots)))
        ages.append(now - state.recent_loads[-1][0])
    if not loads:
        return 0.0, None
    loads.sort()
    quarter = len(loads) // 4
    load = fmean(loads[quarter : len(loads) - quarter])
    coverage = min(1.0, len(loads) / (FULL_COVERAGE * len(usable)))
    if load > 1.0:
        load = 1.0 + coverage * (load - 1.0)
    return load, fmean(ages)
