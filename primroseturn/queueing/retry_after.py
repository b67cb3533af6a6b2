"""Chooses the delay after which callers should retry a refused request.

Used by `primroseturn entry`. It applies while a service has less capacity than
requests. Retries are spread over the time in which capacity is expected. Callers with
little time left retry early, so that they can be served while they still wait.
"""

from random import Random

# Shortest and longest delay before a retry.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Fraction of the time left that the delay may use, so that the request can still be
# served.
MAX_TIME_LEFT_FRACTION = 0.3
# Width of the random spread as a multiple of the expected wait.
SPREAD = 0.5


def retry_after_quiet_s(quiet_s: float, random: Random) -> float:
    """Return the delay in seconds after which a caller should retry.

    No target takes requests before `quiet_s` seconds have passed, so an earlier retry
    is refused again whatever time the caller has left. Retries are spread over a part
    of the same time, in which the targets return one after the other.
    """
    return round(max(MIN_RETRY_AFTER_S, quiet_s * (1.0 + SPREAD * random.random())), 3)


def retry_after_s(expected_wait_s: float, left_s: float, random: Random) -> float:
    """Return the delay in seconds after which the caller should retry.

    Parameters
    ----------
    expected_wait_s
        Seconds until capacity is expected.
    left_s
        Seconds that the caller still waits for a response.
    """
    wait_s = expected_wait_s * (1.0 + SPREAD * random.random())
    useful_s = max(MIN_RETRY_AFTER_S, MAX_TIME_LEFT_FRACTION * left_s)
    return round(min(MAX_RETRY_AFTER_S, useful_s, max(MIN_RETRY_AFTER_S, wait_s)), 3)
