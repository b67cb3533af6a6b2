"""Delays between attempts that do not synchronise the daemons."""

from collections.abc import Iterator
from random import Random

FIRST_DELAY_S = 0.2
GROWTH = 2.0


def backoff_delays(random: Random, limit_s: float) -> Iterator[float]:
    """Yield delays in seconds that grow up to a limit, each with full jitter.

    Source: M. Brooker, Exponential Backoff And Jitter, AWS Architecture Blog, 2015.
    """
    bound = FIRST_DELAY_S
    while True:
        yield random.uniform(0.1, 1.0) * min(bound, limit_s)
        bound = min(bound * GROWTH, limit_s)
