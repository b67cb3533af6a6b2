"""Observations: what one exchange with a target showed."""

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """How an exchange with a target ended."""

    OK = "ok"
    ERROR = "error"
    RESET = "reset"
    STALL = "stall"
    CUT = "cut"
    SHED = "shed"
    TIMEOUT = "timeout"


class Observation(NamedTuple):
    """Evidence from one exchange.

    Attributes
    ----------
    latency_s
        Time until the answer was complete or failed.
    first_byte_s
        Time until the first byte of the answer; equals `latency_s` without one.
    connection_age_s
        Age of the connection when the request was sent.
    at
        Monotonic time of the end, in seconds.
    """

    service: str
    target: str
    route_class: str
    outcome: Outcome
    latency_s: float
    first_byte_s: float
    connection_age_s: float
    at: float
