"""Kernel services for the readiness check and the metrics of an entry VM."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import current_time
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from primroseturn.entry.readiness import EntryReadiness
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.serving.asgi import serve_application
from primroseturn.serving.descriptors import ConnectionLimit
from primroseturn.serving.http import send_response

# Fraction of the usable descriptors for connections at the readiness address.
READINESS_SHARE = 0.1
# A load balancer keeps few connections for its checks. Each takes up to 115 KiB, which
# the memory budget does not count.
READINESS_CONNECTIONS = 64


async def serve_metrics(scope: dict, receive: object, send: object) -> None:
    """Respond with all metrics in the text format of Prometheus."""
    if scope["type"] == "http":
        headers = [(b"content-type", CONTENT_TYPE_LATEST.encode())]
        await send_response(send, 200, generate_latest(), headers)


@service("entry-readiness", needs=("view", "fleet", "quota", "events", "settings"))
@asynccontextmanager
async def provide_readiness(kernel: Kernel) -> AsyncIterator[EntryReadiness]:
    """Serve the readiness check of the load balancer."""
    fleet, quota = kernel.find("fleet"), kernel.find("quota")
    readiness = EntryReadiness(
        kernel.find("view"),
        kernel.find("events"),
        lambda: (
            fleet.is_awaiting_first_digests(current_time())
            and not quota.has_recent_digests(current_time())
        ),
    )
    address = kernel.find("settings").readiness
    async with serve_application(
        readiness,
        address.host,
        address.port,
        events=kernel.find("events"),
        connection_meter=ConnectionLimit(READINESS_SHARE, READINESS_CONNECTIONS),
    ):
        yield readiness


@service("entry-metrics", needs=("settings", "events"))
@asynccontextmanager
async def provide_metrics(kernel: Kernel) -> AsyncIterator[int]:
    """Serve metrics and provide the port."""
    address = kernel.find("settings").metrics
    async with serve_application(
        serve_metrics, address.host, address.port, events=kernel.find("events")
    ) as port:
        yield port
