"""Sends evidence digests to peers and pools those that arrive."""

from collections.abc import Callable
from typing import NamedTuple

from anyio import current_time, sleep

from primroseturn.control.bus import Bus, Sender
from primroseturn.detection.digests import EvidenceDigest
from primroseturn.detection.monitor import HealthMonitor
from primroseturn.limits.bucket import TokenBucket

NEAR_INTERVAL_S = 0.25
# Good evidence is sent less often than bad evidence, which is sent at once.
FULL_EVERY = 4
FAR_EVERY = 8
BYTES_PER_S = 4_096.0
ENVELOPE_BYTES = 48


class Peers(NamedTuple):
    """VMs that get digests: in the own data centre, and elsewhere."""

    near: list[str]
    far: list[str]


class DigestExchange:
    """Sends this VM's digests within the byte budget.

    Parameters
    ----------
    find_peers
        Returns the present peers.
    """

    def __init__(
        self, bus: Bus, monitor: HealthMonitor, find_peers: Callable[[], Peers]
    ) -> None:
        self.bus = bus
        self.monitor = monitor
        self.find_peers = find_peers
        now = current_time()
        self.budget = TokenBucket(BYTES_PER_S, BYTES_PER_S, BYTES_PER_S, now)
        self.rounds = 0
        self.sent_bytes = 0
        self.unsent = 0
        self.starts_by_kind: dict[str, int] = {}
        bus.register_handler(EvidenceDigest, self.receive)

    async def receive(self, sender: Sender, digest: EvidenceDigest) -> None:
        """Pool the evidence of a peer."""
        now = current_time()
        self.monitor.receive(sender.vm, sender.incarnation, digest, now)

    async def run(self) -> None:
        """Send digests for ever."""
        while True:
            await sleep(NEAR_INTERVAL_S)
            await self.send_round()

    async def send_round(self) -> None:
        """Send one digest to the peers that are due."""
        self.rounds += 1
        writer = self.monitor.writer
        near, far = self.find_peers()
        keys = writer.take(urgent=self.rounds % FULL_EVERY != 0)
        if keys:
            sent = False
            try:
                sent = await self.send_to(near, "near", writer.pack(keys))
            finally:
                # Evidence may run dry once peers eject, so what was not sent to all
                # is sent again.
                if not sent:
                    writer.mark(keys)
        if self.rounds % FAR_EVERY == 0:
            bad = self.monitor.unhealthy_keys(current_time())
            if bad:
                await self.send_to(far, "far", writer.pack(bad))

    async def send_to(
        self, peers: list[str], kind: str, digest: EvidenceDigest
    ) -> bool:
        """Send a digest to peers while the budget lasts.

        The next round starts with the first peer that was left out, so that all
        are served in turn. Returns whether all were served.
        """
        size = ENVELOPE_BYTES + len(digest.entries)
        start = self.starts_by_kind.get(kind, 0)
        for index, peer in enumerate(rotate(peers, start)):
            if not self.budget.try_consume(size, current_time()):
                self.unsent += len(peers) - index
                self.starts_by_kind[kind] = (start + index) % len(peers)
                return False
            self.sent_bytes += size
            await self.bus.send(peer, digest)
        return True


def rotate(peers: list[str], start: int) -> list[str]:
    """Return the peers in turn, beginning at a start."""
    if not peers:
        return []
    first = start % len(peers)
    return peers[first:] + peers[:first]
