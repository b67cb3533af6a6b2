"""Outcome and times of one exchange: a request to a target and its response."""

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """How an exchange with a target ended.

    Attributes
    ----------
    OK
        A response with a status below 500, or an exchange superseded by a hedge.
    ERROR
        A response with a status from 500, or one that must not be forwarded.
    RESET
        A network error before the head of the response, such as a refused connection.
    STALL
        A timeout while the request was sent or the response was received.
    CUT
        The connection was closed before the response was complete.
    SHED
        The target refused the request because it was full, or no connection was free.
    TIMEOUT
        The connection was not established in time, or the deadline passed.
    """

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
