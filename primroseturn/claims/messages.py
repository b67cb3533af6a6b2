"""Messages by which VMs commit claims through one VM."""

from typing import Literal

from primroseturn.claims.models import RecordedOutcome
from primroseturn.control.messages import Message, message

Action = Literal["claim", "record", "release"]
VerdictKind = Literal[
    "granted", "recorded", "in-doubt", "mismatch", "unavailable", "done"
]


@message("claim-request")
class ClaimRequest(Message, frozen=True, array_like=True):
    """Requests one change of a claim slot from its committer.

    It may arrive repeatedly without further effect.
    """

    action: Action
    operation_id: str
    attempt: str
    fingerprint: str
    outcome: RecordedOutcome | None = None


@message("claim-reply")
class ClaimReply(Message, frozen=True, array_like=True):
    """Result of the change of `attempt` after the commit."""

    attempt: str
    verdict: VerdictKind
    outcome: RecordedOutcome | None = None
