"""Sends and receives evidence digests."""

from collections.abc import Callable
from typing import NamedTuple

from anyio import current_time, sleep

from primroseturn.control.bus import Bus, Sender
from primroseturn.detection.digests import EvidenceDigest
from primroseturn.detection.monitor import HealthMonitor
from primroseturn.limits.bucket import TokenBucket

ROUND_INTERVAL_S = 0.25
# One of this many rounds has a digest of all changed keys; the digests of the other
# rounds have only the urgent keys.
ROUNDS_PER_FULL_DIGEST = 4
# One of this many rounds has a digest to VMs of other data centres.
ROUNDS_PER_FAR_DIGEST = 8
BUDGET_BYTES_PER_S = 4_096.0
ENVELOPE_BYTES = 48


class Peers(NamedTuple):
    """Other VMs that get evidence digests.

    Attributes
    ----------
    near, far
        Names of VMs of this VM's data centre, and of VMs of other data centres.
    """

    near: list[str]
    far: list[str]


class DigestExchange:
    """Sends evidence digests within the byte budget, and receives those of peers.

    Parameters
    ----------
    find_peers
        Returns the current peers.
    """

    def __init__(
        self, bus: Bus, monitor: HealthMonitor, find_peers: Callable[[], Peers]
    ) -> None:
        self.bus = bus
        self.monitor = monitor
        self.find_peers = find_peers
        now = current_time()
        self.budget = TokenBucket(
            BUDGET_BYTES_PER_S, BUDGET_BYTES_PER_S, BUDGET_BYTES_PER_S, now
        )
        self.rounds = 0
        self.sent_bytes = 0
        self.unsent_digests = 0
        self.first_index_by_group: dict[str, int] = {}
        bus.register_handler(EvidenceDigest, self.receive)

    async def receive(self, sender: Sender, digest: EvidenceDigest) -> None:
        """Add the evidence in a digest of a peer."""
        now = current_time()
        self.monitor.receive_digest(sender.vm, sender.incarnation, digest, now)

    async def run(self) -> None:
        """Send digests until cancelled."""
        while True:
            await sleep(ROUND_INTERVAL_S)
            await self.send_round()

    async def send_round(self) -> None:
        """Send a digest to the near peers, and in some rounds one to the far peers."""
        self.rounds += 1
        writer = self.monitor.writer
        near, far = self.find_peers()
        keys = writer.pop_due_keys(
            only_urgent=self.rounds % ROUNDS_PER_FULL_DIGEST != 0
        )
        if keys:
            sent = False
            try:
                sent = await self.send_to(near, "near", writer.pack(keys))
            finally:
                # The keys are sent again if not all peers got them. New evidence, which
                # also makes keys due, is rare at VMs that have ejected the target.
                if not sent:
                    writer.mark_urgent(keys)
        if self.rounds % ROUNDS_PER_FAR_DIGEST == 0:
            unhealthy_keys = self.monitor.unhealthy_keys(current_time())
            if unhealthy_keys:
                await self.send_to(far, "far", writer.pack(unhealthy_keys))

    async def send_to(
        self, peers: list[str], group: str, digest: EvidenceDigest
    ) -> bool:
        """Send a digest to peers while the byte budget lasts.

        The next round starts with the first peer that was left out, so that all
        peers get digests in turn.

        Returns
        -------
        bool
            Whether the digest was sent to all peers.
        """
        size = ENVELOPE_BYTES + len(digest.entries)
        start = self.first_index_by_group.get(group, 0)
        for index, peer in enumerate(rotate(peers, start)):
            if not self.budget.try_consume(size, current_time()):
                self.unsent_digests += len(peers) - index
                self.first_index_by_group[group] = (start + index) % len(peers)
                return False
            self.sent_bytes += size
            await self.bus.send(peer, digest)
        return True


def rotate(peers: list[str], start: int) -> list[str]:
    """Return the peers in cyclic order from an index."""
    if not peers:
        return []
    first = start % len(peers)
    return peers[first:] + peers[:first]
