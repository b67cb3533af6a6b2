"""Callers that send random requests to random VMs and record how they ended."""

from random import Random

from anyio import current_time, sleep
from httpx import AsyncClient, ConnectError, ConnectTimeout, HTTPError, Limits

from features.entry_fleet import HOST
from features.soak.fleet import LOOPBACK, SoakFleet
from features.soak.history import SentRequest
from features.soak.target import complete_body

# Method and weight of each kind of request.
KINDS = {"lookup": ("GET", 4), "order": ("POST", 5), "sheet": ("GET", 1)}
DEADLINE_MS = 1500
# Bounds of the pause between two requests of one caller.
PAUSE_S = (0.0, 0.12)
# Share of the requests with a key of any version; most of these keys are withdrawn.
OLD_KEY_SHARE = 0.15


class Caller:
    """One caller with its own connections."""

    def __init__(self, fleet: SoakFleet, number: int, seed: int) -> None:
        self.fleet = fleet
        self.number = number
        self.random = Random(seed * 1000 + number)
        self.request_count = 0
        # Callers with odd numbers open a connection for each request; the others use
        # their open connections until the VM's process has ended.
        limits = Limits(max_keepalive_connections=0 if number % 2 else 20)
        self.http = AsyncClient(trust_env=False, timeout=4.0, limits=limits)

    async def call_until(self, until: float) -> None:
        """Send requests until a monotonic time."""
        async with self.http:
            while current_time() < until:
                await self.send_request()
                await sleep(self.random.uniform(*PAUSE_S))

    def choose_key(self) -> str:
        """Return a key of the newest version, or sometimes of any version."""
        versions = self.fleet.history.versions
        is_old = self.random.random() < OLD_KEY_SHARE
        version = self.random.choice(versions) if is_old else versions[-1]
        return self.random.choice(sorted(version.workspaces_by_key))

    async def send_request(self) -> SentRequest:
        """Send one request and record how it ended."""
        kinds = list(KINDS)
        (kind,) = self.random.choices(kinds, [KINDS[item][1] for item in kinds])
        vm = self.random.choice(list(self.fleet.vms_by_name.values()))
        self.request_count += 1
        attempt = f"{kind}-{self.number}-{self.request_count}"
        key, start, sent_at = self.choose_key(), vm.start, current_time()
        status, is_complete, has_connected = None, False, True
        try:
            response = await self.http.request(
                KINDS[kind][0],
                f"http://{LOOPBACK}:{vm.ports['callers']}/{kind}/{self.number}",
                headers={
                    "Host": HOST,
                    "Attempt-Id": attempt,
                    "Deadline-Ms": str(DEADLINE_MS),
                    "Authorization": f"Bearer {key}",
                },
            )
            status = response.status_code
            is_signed = response.headers.get("response-signature") == f"s-{attempt}"
            is_complete = is_signed and response.content == complete_body(attempt)
        except (ConnectError, ConnectTimeout):
            has_connected = False
        except HTTPError:
            # The connection ended without a complete response.
            pass
        sent = SentRequest(
            attempt,
            kind,
            vm.name,
            start,
            key,
            sent_at,
            current_time(),
            status,
            has_connected,
            is_complete,
        )
        self.fleet.history.sent.append(sent)
        return sent
