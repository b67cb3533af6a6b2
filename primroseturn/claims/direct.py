"""Claims with one store object per operation."""

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.json import decode, encode

from primroseturn.claims.models import (
    ClaimGranted,
    ClaimInDoubt,
    ClaimMismatch,
    ClaimUnavailable,
    Operation,
    RecordedOutcome,
)
from primroseturn.failures import Failure, StoreUnavailable, VersionConflict
from primroseturn.store.client import StoreClient


class ClaimRecord(Struct, frozen=True):
    """Content of a claim object."""

    attempt: str
    fingerprint: str
    outcome: RecordedOutcome | None = None


class DirectClaims:
    """Records each claim by a conditional create."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.versions_by_attempt: dict[str, int] = {}

    async def claim(
        self, operation: Operation
    ) -> Result[ClaimGranted | RecordedOutcome, Failure]:
        """Claim an operation for its attempt, or return what is recorded of it."""
        key = f"claims/{operation.operation_id}"
        record = ClaimRecord(operation.attempt, operation.fingerprint)
        try:
            version = await self.store.create(key, encode(record))
        except (VersionConflict, StoreUnavailable) as failure:
            if isinstance(failure, StoreUnavailable) and not failure.maybe_applied:
                return Error(ClaimUnavailable())
            return await self.resolve(operation, key)
        self.versions_by_attempt[operation.attempt] = version
        return Ok(ClaimGranted(operation))

    async def resolve(
        self, operation: Operation, key: str
    ) -> Result[ClaimGranted | RecordedOutcome, Failure]:
        """Read who holds the operation."""
        try:
            stored = await self.store.read(key)
        except StoreUnavailable:
            return Error(ClaimUnavailable())
        if stored is None:
            return Error(ClaimUnavailable())
        record = decode(stored.value, type=ClaimRecord)
        if record.attempt == operation.attempt:
            self.versions_by_attempt[operation.attempt] = stored.version
            return Ok(ClaimGranted(operation))
        if record.fingerprint != operation.fingerprint:
            return Error(ClaimMismatch())
        return Ok(record.outcome) if record.outcome else Error(ClaimInDoubt())

    async def record(self, operation: Operation, outcome: RecordedOutcome) -> None:
        """Record the outcome of an operation that this attempt ran."""
        version = self.versions_by_attempt.pop(operation.attempt, 0)
        record = ClaimRecord(operation.attempt, operation.fingerprint, outcome)
        await self.store.update(
            f"claims/{operation.operation_id}", encode(record), version
        )

    async def release(self, operation: Operation) -> None:
        """Give up a claim whose operation certainly did not run."""
        version = self.versions_by_attempt.pop(operation.attempt, 0)
        await self.store.delete(f"claims/{operation.operation_id}", version)
