"""Stand-in of the store client within one process, with seeded faults."""

from random import Random

from anyio import sleep
from msgspec import Struct

from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.store.client import StoredObject


class ObjectFaults(Struct):
    """Faults in force. Shares are probabilities per call.

    Attributes
    ----------
    lost_answer_share
        Writes that take effect without an answer.
    late_share, late_s
        Writes without an answer that arrive up to `late_s` after the caller gave up.
    """

    outage: bool = False
    lost_answer_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 4.0
    delay_s: float = 0.002
    jitter_s: float = 0.0


class MemoryObjects:
    """Objects with versions and conditional updates, as `StoreClient` shows them."""

    def __init__(self, tasks, seed: int) -> None:
        self.tasks = tasks
        self.random = Random(seed)
        self.faults = ObjectFaults()
        self.objects_by_key: dict[str, StoredObject] = {}
        self.revision = 0
        self.reads = 0
        self.writes = 0
        self.written_bytes = 0

    async def read(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        self.reads += 1
        await self.travel(key, False)
        found = self.objects_by_key.get(key)
        await self.travel(key, False)
        return found

    async def create(self, key: str, value: bytes) -> int:
        """Create an object and return its version."""
        return await self.write(key, value, 0)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the object that is at `version` and return its new version."""
        return await self.write(key, value, version)

    async def write(self, key: str, value: bytes, expected: int) -> int:
        """Write conditionally, as the faults in force say."""
        self.writes += 1
        self.written_bytes += len(value)
        await self.travel(key, False)
        if self.random.random() < self.faults.late_share:
            self.tasks.start_soon(self.apply_late, key, value, expected)
            raise StoreUnavailable(f"PUT {key}", "no answer in time", True)
        version = self.apply(key, value, expected)
        await self.travel(key, True)
        if self.random.random() < self.faults.lost_answer_share:
            raise StoreUnavailable(f"PUT {key}", "answer lost", True)
        if version is None:
            raise VersionConflict(key, expected)
        return version

    async def travel(self, key: str, maybe_applied: bool) -> None:
        """Take one way's time, or fail in an outage."""
        faults = self.faults
        await sleep(faults.delay_s / 2 + self.random.random() * faults.jitter_s)
        if faults.outage:
            raise StoreUnavailable(key, "outage", maybe_applied)

    async def apply_late(self, key: str, value: bytes, expected: int) -> None:
        """Apply a write after its caller gave up."""
        await sleep(self.random.random() * self.faults.late_s)
        self.apply(key, value, expected)

    def apply(self, key: str, value: bytes, expected: int) -> int | None:
        """Apply a write if its condition holds and return the version."""
        current = self.objects_by_key.get(key)
        if (current.version if current else 0) != expected:
            return None
        self.revision += 1
        self.objects_by_key[key] = StoredObject(key, self.revision, value)
        return self.revision
