"""Randomised delays between attempts, so that daemons do not retry at the same time."""

from collections.abc import Iterator
from random import Random

FIRST_DELAY_BOUND_S = 0.2
DELAY_GROWTH = 2.0


def backoff_delays(random: Random, max_delay_s: float) -> Iterator[float]:
    """Yield random delays in seconds that grow exponentially up to a limit.

    Each delay is random between a tenth of its bound and the bound.

    Source: M. Brooker, Exponential Backoff And Jitter, AWS Architecture Blog, 2015.
    """
    delay_bound_s = FIRST_DELAY_BOUND_S
    while True:
        yield random.uniform(0.1, 1.0) * min(delay_bound_s, max_delay_s)
        delay_bound_s = min(delay_bound_s * DELAY_GROWTH, max_delay_s)
