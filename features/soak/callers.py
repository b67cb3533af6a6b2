"""Callers that go on over open connections until a VM's process is gone."""

from random import Random

from anyio import current_time, sleep
from httpx import AsyncClient, ConnectError, ConnectTimeout, HTTPError, Limits

from features.entry_fleet import HOST
from features.soak.fleet import LOOPBACK, SoakFleet
from features.soak.history import Sent
from features.soak.target import whole_body

KINDS = {"lookup": ("GET", 4), "order": ("POST", 5), "sheet": ("GET", 1)}
WAIT_MS = 1500
# Pause in seconds between two requests of one caller.
PAUSE_S = (0.0, 0.12)
# Part of the requests that come with a key that was withdrawn some time ago.
OLD_KEY_SHARE = 0.15


class Caller:
    """One caller with connections of its own."""

    def __init__(self, fleet: SoakFleet, number: int, seed: int) -> None:
        self.fleet = fleet
        self.number = number
        self.random = Random(seed * 1000 + number)
        self.asked = 0
        # Odd callers open a connection for each request.
        kept = Limits(max_keepalive_connections=0 if number % 2 else 20)
        self.http = AsyncClient(trust_env=False, timeout=4.0, limits=kept)

    async def call_until(self, until: float) -> None:
        """Send requests until a monotonic time."""
        async with self.http:
            while current_time() < until:
                await self.send_one()
                await sleep(self.random.uniform(*PAUSE_S))

    def choose_key(self) -> str:
        """Return a key of any version, most often the newest."""
        versions = self.fleet.history.versions
        old = self.random.random() < OLD_KEY_SHARE
        version = self.random.choice(versions) if old else versions[-1]
        return self.random.choice(sorted(version.workspaces_by_key))

    async def send_one(self) -> Sent:
        """Send one request and record how it ended."""
        kinds = list(KINDS)
        (kind,) = self.random.choices(kinds, [KINDS[item][1] for item in kinds])
        vm = self.random.choice(list(self.fleet.vms_by_name.values()))
        self.asked += 1
        attempt = f"{kind}-{self.number}-{self.asked}"
        key, start, sent_at = self.choose_key(), vm.start, current_time()
        status, whole, opened = None, False, True
        try:
            response = await self.http.request(
                KINDS[kind][0],
                f"http://{LOOPBACK}:{vm.ports['callers']}/{kind}/{self.number}",
                headers={
                    "Host": HOST,
                    "Attempt-Id": attempt,
                    "Deadline-Ms": str(WAIT_MS),
                    "Authorization": f"Bearer {key}",
                },
            )
            status = response.status_code
            signed = response.headers.get("response-signature") == f"s-{attempt}"
            whole = signed and response.content == whole_body(attempt)
        except (ConnectError, ConnectTimeout):
            opened = False
        except HTTPError:
            # The connection ended without a whole answer.
            pass
        sent = Sent(
            attempt,
            kind,
            vm.name,
            start,
            key,
            sent_at,
            current_time(),
            status,
            opened,
            whole,
        )
        self.fleet.history.sent.append(sent)
        return sent
