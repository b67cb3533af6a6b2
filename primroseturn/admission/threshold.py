"""The level of load of a service, and which share of a rank is withheld at it.

The level rises with the load above one request per slot, and further while the load
stays above a set point, so that in a lasting overload the queues at the targets stay
short. The shares of the ranks rise linearly and overlap, so that small differences in
the knowledge of VMs give small differences in their decisions.
"""

from collections.abc import Sequence

# Load per slot at which the level starts. A report counts the attempt that has just
# ended, so it is somewhat above one request per slot.
LEVEL_START = 1.3
# Load per slot above the start that stands for one level at once. Load reports are some
# tenths of a second old; a narrower width makes the load oscillate.
LEVEL_WIDTH = 1.0
# Load per slot that is kept in an overload, and the time in which a load of one request
# per slot above it raises the level by one.
SET_POINT = 1.2
RISE_TIME_S = 2.0
# Largest part of the level that comes from a lasting overload.
MAX_LASTING_LEVEL = 3.0
# Longest time between two samples that is counted; a VM that did not sample for longer
# has missed what happened meanwhile.
MAX_STEP_S = 0.3
# Load per slot below which a former overload has no effect; it fades in up to a load of
# one request per slot.
FADE_START = 0.7
# Level that a refused share of 1 above the usual one stands for.
REFUSED_SHARE_LEVEL = 1.3
# Highest level for refusals alone.
MAX_REFUSED_LEVEL = 1.0
# Targets that refuse at a low load do so whatever the load is, and a withheld request
# frees nothing for others. Refusals count from the first of these loads per slot on,
# and in full from the second.
IDLE_LOAD, BUSY_LOAD = 0.3, 0.8
# Levels between the starts of two successive ranks.
RANK_DISTANCE = 0.8
# Least admitted share of a rank or workspace as a multiple of that of all requests of
# the service, for each attempt of a caller. A refused caller tries about three times
# or more while it has time, so that a quarter of the share is kept for requests. A
# floor of 0.3 for each attempt left urgent requests too few slots.
FLOOR_FACTOR = 0.12


class LastingLevel:
    """The part of the level that comes from a lasting overload."""

    def __init__(self) -> None:
        self.value = 0.0

    def update(self, load: float, elapsed_s: float) -> None:
        """Add the effect of a load per slot that lasted for some seconds."""
        step_s = min(MAX_STEP_S, elapsed_s)
        value = self.value + step_s * (load - SET_POINT) / RISE_TIME_S
        self.value = min(MAX_LASTING_LEVEL, max(0.0, value))


def level_of(load: float, lasting_level: float, refused_excess: float) -> float:
    """Return the level of load; 0 while nothing is withheld.

    Parameters
    ----------
    load
        Requests per slot.
    refused_excess
        Share of the attempts that targets refuse, above the usual one. Targets with
        short queues refuse requests at a low load.
    """
    present = (load - LEVEL_START) / LEVEL_WIDTH
    faded = lasting_level * ramp((load - FADE_START) / (1.0 - FADE_START))
    weight = ramp((load - IDLE_LOAD) / (BUSY_LOAD - IDLE_LOAD))
    refused = min(MAX_REFUSED_LEVEL, REFUSED_SHARE_LEVEL * refused_excess * weight)
    return max(0.0, max(0.0, present) + faded, refused)


def withheld_share(level: float, rank: int, ranks: Sequence[int]) -> float:
    """Return the share of a rank's requests that is withheld, without the floor.

    Rank 0 is never withheld.
    """
    if rank <= 0:
        return 0.0
    less_urgent = sum(other > rank for other in ranks)
    return ramp(level - RANK_DISTANCE * less_urgent)


def ramp(value: float) -> float:
    """Return the value, limited to 0 to 1."""
    return min(1.0, max(0.0, value))
