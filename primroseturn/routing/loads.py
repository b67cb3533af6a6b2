"""Asks targets for the load that they report."""

from anyio import create_task_group, current_time, sleep
from httpx import AsyncClient, HTTPError
from msgspec import MsgspecError, Struct
from msgspec.json import Decoder

from primroseturn.configuration.models import Target
from primroseturn.kernel.background import Background
from primroseturn.routing.balancer import Balancer

PROBE_LIMIT_S = 0.5
BODY_LIMIT_BYTES = 4_096


class LoadBody(Struct):
    """Answer of a load endpoint; further fields are ignored."""

    busy: float


decoder = Decoder(LoadBody)


class LoadPoller:
    """Asks the near targets of the subset in turn.

    Parameters
    ----------
    path
        Path of the load endpoint on each target.
    interval_s
        Time between two probes of the same target.
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
        """Return the targets whose loads matter to this VM."""
        return [
            target
            for tiers in self.balancer.tiers_by_service.values()
            for target in tiers.local or tiers.region
        ]

    async def run(self) -> None:
        """Probe for ever, spread over the interval."""
        while True:
            targets = self.near_targets()
            async with create_task_group() as tasks:
                for target in targets:
                    tasks.start_soon(self.background.run, self.probe, target)
                    await sleep(self.interval_s / len(targets))
            if not targets:
                await sleep(self.interval_s)

    async def probe(self, target: Target) -> None:
        """Ask one target. A failed probe is weak evidence and counts as none."""
        try:
            answer = await self.http.get(f"{target.url}{self.path}")
        except HTTPError:
            return
        if answer.status_code != 200 or len(answer.content) > BODY_LIMIT_BYTES:
            return
        try:
            body = decoder.decode(answer.content)
        except MsgspecError:
            return
        self.balancer.report_load(target.name, body.busy, current_time())
