"""Polls the load endpoints of targets."""

from contextlib import suppress

from anyio import create_task_group, current_time, move_on_after, sleep
from httpx import AsyncClient, HTTPError
from msgspec import MsgspecError, Struct
from msgspec.json import Decoder

from primroseturn.configuration.models import Target
from primroseturn.kernel.background import Background
from primroseturn.routing.balancer import Balancer

POLL_TIMEOUT_S = 0.5
BODY_LIMIT_BYTES = 4_096


class LoadBody(Struct):
    """Response of a load endpoint; further fields are ignored."""

    busy: float


decoder = Decoder(LoadBody)


class LoadPoller:
    """Polls the loads of the nearest targets of each subset in turn.

    Parameters
    ----------
    path
        Path of the load endpoint on each target.
    interval_s
        Seconds between two polls of the same target.
    """

    def __init__(
        self,
        balancer: Balancer,
        http: AsyncClient,
        path: str,
        interval_s: float,
        background: Background,
    ) -> None:
        self.balancer = balancer
        self.http = http
        self.path = path
        self.interval_s = interval_s
        self.background = background

    def near_targets(self) -> list[Target]:
        """Return the local targets of each service, or else those of the region."""
        return [
            target
            for tiers in self.balancer.tiers_by_service.values()
            for target in tiers.local or tiers.region
        ]

    async def run(self) -> None:
        """Poll until cancelled, with the polls spread over the interval."""
        while True:
            targets = self.near_targets()
            async with create_task_group() as tasks:
                for target in targets:
                    tasks.start_soon(self.background.run_task, self.probe, target)
                    await sleep(self.interval_s / len(targets))
            if not targets:
                await sleep(self.interval_s)

    async def probe(self, target: Target) -> None:
        """Poll one target and record its load. A failed poll is ignored."""
        content = None
        # httpx limits only the time between bytes, so the whole poll has a timeout.
        with move_on_after(POLL_TIMEOUT_S), suppress(HTTPError):
            content = await self.fetch(f"{target.url}{self.path}")
        if content is None:
            return
        try:
            body = decoder.decode(content)
        except MsgspecError:
            return
        self.balancer.record_load(target.name, body.busy, current_time())

    async def fetch(self, url: str) -> bytes | None:
        """Return the body of a response with status 200, or None without one.

        A body that is too long is treated as none.
        """
        content = bytearray()
        async with self.http.stream("GET", url) as response:
            if response.status_code != 200:
                return None
            async for part in response.aiter_bytes():
                content += part
                if len(content) > BODY_LIMIT_BYTES:
                    return None
        return bytes(content)
