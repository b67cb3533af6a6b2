"""Chooses when callers whose request was refused should come back.

Answers the load of a service that has less room than requests for some time. Callers
come back spread over the time in which room is expected, the urgent ones first, and
early enough to be served within the time that they have left.
"""

from random import Random

# Shortest and longest time in seconds after which a caller should come back.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Part of the time left that a wait may take, so that the request can still be served.
LEFT_SHARE = 0.3
# Width of the spread as a multiple of the expected wait.
SPREAD = 0.5


def retry_after_s(expected_wait_s: float, left_s: float, random: Random) -> float:
    """Return the time after which a refused caller should come back, in seconds.

    Parameters
    ----------
    expected_wait_s
        Time until room is expected.
    left_s
        Time that the caller still waits for an answer.
    """
    wait_s = expected_wait_s * (1.0 + SPREAD * random.random())
    useful_s = max(MIN_RETRY_AFTER_S, LEFT_SHARE * left_s)
    return round(min(MAX_RETRY_AFTER_S, useful_s, max(MIN_RETRY_AFTER_S, wait_s)), 3)
