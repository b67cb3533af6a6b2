"""Types of the admission under load."""

from enum import Enum
from typing import NamedTuple


class Verdict(Enum):
    """What is to be done with a request."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


class RefusalReason(Enum):
    """Why a request is refused."""

    # It can't be served within its deadline at the present load.
    DEADLINE = "deadline"
    # Requests of its rank are withheld in favour of more urgent ones.
    RANK = "rank"
    # Its workspace sends more than its fair share of the requests of its rank.
    WORKSPACE = "workspace-share"


class Decision(NamedTuple):
    """A decision on one request.

    Attributes
    ----------
    ticket
        The request's random number, to be passed when it is decided again.
    level
        Level of load of the service; 0 while nothing is withheld.
    age_s
        Mean age in seconds of the load reports in use, None without recent ones.
    wait_s
        Seconds after which a request that waits is to be decided again.
    retry_after_s
        Seconds after which a refused request should be sent again.
    """

    verdict: Verdict
    ticket: float
    level: float
    age_s: float | None
    wait_s: float = 0.0
    retry_after_s: float = 0.0
    reason: RefusalReason | None = None
