"""Stand-in of the store client in one process, with seeded faults."""

from random import Random

from anyio import sleep
from msgspec import Struct

from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.store.client import StoredObject


class ObjectFaults(Struct):
    """Faults in force. Shares are probabilities per call.

    Attributes
    ----------
    outage
        Whether all calls fail.
    lost_answer_share
        Share of writes that take effect but whose response is lost.
    late_share, late_s
        Share of writes that time out and take effect up to `late_s` afterwards.
    delay_s, jitter_s
        Fixed delay of a call, and upper bound of the random delay that is added in
        each direction.
    """

    outage: bool = False
    lost_answer_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 4.0
    delay_s: float = 0.002
    jitter_s: float = 0.0


class MemoryObjects:
    """Objects with revisions and conditional updates; has the methods of `StoreClient`.

    Attributes
    ----------
    reads, writes, written_bytes
        Number of reads and writes so far, and the bytes of the written values.
    """

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
        await self.transfer(key, False)
        found = self.objects_by_key.get(key)
        await self.transfer(key, False)
        return found

    async def create(self, key: str, value: bytes) -> int:
        """Create an object that does not exist, and return its version."""
        return await self.write(key, value, 0)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the object that is at `version` and return its new version."""
        return await self.write(key, value, version)

    async def write(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object at the expected version, with the faults in force."""
        self.writes += 1
        self.written_bytes += len(value)
        await self.transfer(key, False)
        if self.random.random() < self.faults.late_share:
            self.tasks.start_soon(self.apply_late, key, value, expected_version)
            raise StoreUnavailable(f"PUT {key}", "no response in time", True)
        version = self.apply(key, value, expected_version)
        await self.transfer(key, True)
        if self.random.random() < self.faults.lost_answer_share:
            raise StoreUnavailable(f"PUT {key}", "the response was lost", True)
        if version is None:
            raise VersionConflict(key, expected_version)
        return version

    async def transfer(self, key: str, maybe_applied: bool) -> None:
        """Wait for the delay of one direction, or fail during an outage."""
        faults = self.faults
        await sleep(faults.delay_s / 2 + self.random.random() * faults.jitter_s)
        if faults.outage:
            raise StoreUnavailable(key, "outage", maybe_applied)

    async def apply_late(self, key: str, value: bytes, expected_version: int) -> None:
        """Apply a write after its caller has timed out."""
        await sleep(self.random.random() * self.faults.late_s)
        self.apply(key, value, expected_version)

    def apply(self, key: str, value: bytes, expected_version: int) -> int | None:
        """Apply a write and return the version, or None if it is not as expected."""
        current = self.objects_by_key.get(key)
        if (current.version if current else 0) != expected_version:
            return None
        self.revision += 1
        self.objects_by_key[key] = StoredObject(key, self.revision, value)
        return self.revision
