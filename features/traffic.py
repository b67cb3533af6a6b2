"""Callers that send requests through random VMs and record the responses."""

from collections.abc import Callable
from hashlib import sha256
from random import Random
from typing import NamedTuple

from anyio import sleep
from httpx import AsyncClient, HTTPError, Response

from primroseturn.standins.documents import document_part

MAX_ORDER_ATTEMPTS = 40
RETRY_DELAY_S = 0.1
DOCUMENT_BYTES = 400_000
DOCUMENT_HASH = sha256(document_part(0, DOCUMENT_BYTES)).hexdigest()


class Attempt(NamedTuple):
    """One request for an operation, and its result.

    Attributes
    ----------
    ran
        "yes" after a response of a target, the field `ran` of a refusal, or "broken"
        without a complete response.
    """

    operation: str
    vm: str
    status: int
    ran: str


def read_ran(response: Response) -> str:
    """Return "yes" for a response of a target, or the field `ran` of a refusal.

    The stand-in for targets runs an operation before it responds with an error.
    """
    if response.status_code == 200 or response.content == b"error":
        return "yes"
    return response.json()["ran"]


class Traffic:
    """Sends orders, lookups and downloads to randomly selected VMs.

    Attributes
    ----------
    failed_lookup_count
        Number of lookups and downloads that failed or were refused.
    incorrect_paths
        Paths of requests whose response was incomplete or that of another request.
    """

    def __init__(
        self, http: AsyncClient, url_of: Callable[[str, str], str], secret: str
    ) -> None:
        self.http = http
        self.url_of = url_of
        self.headers = {"x-api-key": secret}
        self.attempts: list[Attempt] = []
        self.lookup_count = 0
        self.incorrect_paths: list[str] = []
        self.failed_lookup_count = 0
        self.complete_document_count = 0
        self.stopping = False

    async def order(self, vms: list[str], operation: str, random: Random) -> None:
        """Send an order up to `MAX_ORDER_ATTEMPTS` times until a target responds."""
        headers = {**self.headers, "idempotency-key": operation}
        for _ in range(MAX_ORDER_ATTEMPTS):
            vm = random.choice(vms)
            try:
                url = self.url_of(vm, "/order")
                response = await self.http.post(url, headers=headers, content=b"{}")
            except HTTPError:
                self.attempts.append(Attempt(operation, vm, 0, "broken"))
                await sleep(RETRY_DELAY_S)
                continue
            ran = read_ran(response)
            self.attempts.append(Attempt(operation, vm, response.status_code, ran))
            if ran == "yes":
                return
            await sleep(RETRY_DELAY_S)

    async def order_repeatedly(self, vms: list[str], name: str, seed: int) -> None:
        """Send orders one after another until the traffic stops."""
        random = Random(seed)
        number = 0
        while not self.stopping:
            number += 1
            await self.order(vms, f"{name}-{number}", random)

    async def look_up(self, vms: list[str], name: str, seed: int) -> None:
        """Send lookups and downloads until the traffic stops."""
        random = Random(seed)
        while not self.stopping:
            self.lookup_count += 1
            path = f"/find/{name}-{self.lookup_count}"
            if random.random() < 0.2:
                path = f"/doc/sheet?size={DOCUMENT_BYTES}"
            try:
                url = self.url_of(random.choice(vms), path)
                response = await self.http.get(url, headers=self.headers)
            except HTTPError:
                self.failed_lookup_count += 1
                await sleep(RETRY_DELAY_S)
                continue
            self.check_lookup(path, response.status_code, response.content)
            await sleep(0.01)

    def check_lookup(self, path: str, status: int, body: bytes) -> None:
        """Count a response, and record it if it is incomplete or of another request."""
        if status != 200:
            self.failed_lookup_count += 1
        elif path.startswith("/doc"):
            self.complete_document_count += 1
            if sha256(body).hexdigest() != DOCUMENT_HASH:
                self.incorrect_paths.append(path)
        elif path.encode() not in body:
            self.incorrect_paths.append(path)
