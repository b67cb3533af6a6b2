"""At-most-once operations and what is recorded of them."""

from hashlib import sha256
from typing import NamedTuple

from msgspec import Struct

from primroseturn.failures import Failure

OUTCOME_BODY_LIMIT_BYTES = 4096


class Operation(NamedTuple):
    """An operation and the attempt that is to run it.

    Attributes
    ----------
    workspace, key
        Together they identify the operation (the Idempotency-Key of a workspace).
    attempt
        Unique id of this attempt (VM, incarnation, request).
    fingerprint
        Hash of method, path and the start of the body, to refuse a different request
        with the same key.
    """

    workspace: str
    key: str
    attempt: str
    fingerprint: str

    @property
    def operation_id(self) -> str:
        """Return the fixed-length id under which the operation is recorded."""
        digest = sha256(f"{self.workspace}\0{self.key}".encode())
        return digest.hexdigest()[:32]


class RecordedOutcome(Struct, frozen=True):
    """The response of an operation that ran."""

    status: int
    content_type: str
    body: bytes
    truncated: bool = False


class ClaimGranted(NamedTuple):
    """The attempt may forward the operation once."""

    operation: Operation


class ClaimUnavailable(Failure):
    """It is not known that the claim was recorded; this attempt did not run."""

    code = "claim-unavailable"

    def __init__(self) -> None:
        super().__init__(
            "the claim could not be recorded and this request did not run; an earlier "
            "request with the same Idempotency-Key may have run"
        )


class ClaimInDoubt(Failure):
    """Another attempt holds the claim and its outcome is not known."""

    code = "operation-in-doubt"

    def __init__(self) -> None:
        super().__init__(
            "an earlier request with this Idempotency-Key may have run; "
            "its outcome is not known"
        )


class OutcomeNotKept(Failure):
    """The operation ran, but its response was too large to be recorded."""

    code = "outcome-not-kept"

    def __init__(self, status: int) -> None:
        super().__init__(
            f"the operation ran and was answered with status {status}; "
            "the answer was too large to be kept"
        )
        self.status = status


class ClaimMismatch(Failure):
    """The Idempotency-Key was used for a different request."""

    code = "idempotency-key-reused"

    def __init__(self) -> None:
        super().__init__("the Idempotency-Key was used for a different request")
