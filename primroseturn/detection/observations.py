"""Outcome and times of one exchange with a target."""

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
    """Outcome and times of one exchange, in seconds.

    Attributes
    ----------
    latency_s
        Time until the response was complete or failed.
    first_byte_s
        Time until the first byte of the response; equals `latency_s` without one.
    connection_age_s
        Age of the connection when the request was sent.
    at
        Monotonic time in seconds at which the exchange ended.
    """

    service: str
    target: str
    route_class: str
    outcome: Outcome
    latency_s: float
    first_byte_s: float
    connection_age_s: float
    at: float
