"""Callers of the demo and the results that they record."""

from collections import Counter
from hashlib import sha256
from random import Random
from typing import NamedTuple

from anyio import current_time, sleep
from httpx import AsyncClient, HTTPError, Response

from primroseturn.plugins.demo.fleet import DemoFleet
from primroseturn.standins.upstream import document_part

DOCUMENT_BYTES = 400_000
MEAN_PAUSE_S = 0.02


class FinishedRequest(NamedTuple):
    """One request and its outcome as seen by the caller."""

    workspace: str
    kind: str
    outcome: str
    latency_s: float
    ended_at: float


class Results:
    """Results of all requests of the demo.

    Attributes
    ----------
    wrong_bodies
        Number of downloads that arrived as complete but with wrong content.
    operations
        All idempotency keys that were sent.
    """

    def __init__(self) -> None:
        self.requests: list[FinishedRequest] = []
        self.wrong_bodies = 0
        self.operations: set[str] = set()

    def count(self, since: int = 0) -> Counter[str]:
        """Return the number of requests by outcome, without the first `since` ones."""
        return Counter(item.outcome for item in self.requests[since:])


def name_outcome(response: Response) -> str:
    """Return the outcome of a response: ok, upstream-error or the type of a refusal."""
    if response.status_code < 400:
        return "ok"
    if response.headers.get("content-type") == "application/json":
        return response.json().get("type", "upstream-error")
    return "upstream-error"


async def send_lookup(http: AsyncClient, url: str, key: str, results: Results) -> str:
    """Send a lookup and return its outcome."""
    response = await http.get(f"{url}/find/cartridge", headers={"x-api-key": key})
    return name_outcome(response)


async def send_order(
    http: AsyncClient, url: str, key: str, results: Results, operation: str
) -> str:
    """Send an order, which must not be executed twice, and return its outcome."""
    results.operations.add(operation)
    headers = {"x-api-key": key, "idempotency-key": operation}
    response = await http.post(f"{url}/order", headers=headers, content=b"{}")
    return name_outcome(response)


async def send_download(http: AsyncClient, url: str, key: str, results: Results) -> str:
    """Download a document, check its content and return the outcome."""
    path = f"{url}/doc?size={DOCUMENT_BYTES}"
    response = await http.get(path, headers={"x-api-key": key})
    outcome = name_outcome(response)
    if outcome == "ok":
        expected = sha256(document_part(0, DOCUMENT_BYTES)).digest()
        if sha256(response.content).digest() != expected:
            results.wrong_bodies += 1
    return outcome


async def run_caller(
    fleet: DemoFleet,
    http: AsyncClient,
    results: Results,
    workspace: str,
    kind: str,
    seed: int,
    until: float,
) -> None:
    """Send requests of one kind, one after the other, until a monotonic time."""
    random = Random(seed)
    key = fleet.secrets_by_workspace[workspace]
    urls = fleet.urls()
    number = 0
    while current_time() < until:
        number += 1
        url = random.choice(urls)
        started = current_time()
        try:
            if kind == "order":
                # Every fifth order repeats the previous one, through any VM.
                operation = f"{workspace}-{seed}-{number - (number % 5 == 0)}"
                outcome = await send_order(http, url, key, results, operation)
            elif kind == "download":
                outcome = await send_download(http, url, key, results)
            else:
                outcome = await send_lookup(http, url, key, results)
        except HTTPError:
            outcome = "broken-visibly"
        ended = current_time()
        request = FinishedRequest(workspace, kind, outcome, ended - started, ended)
        results.requests.append(request)
        await sleep(random.uniform(0, 2 * MEAN_PAUSE_S))
