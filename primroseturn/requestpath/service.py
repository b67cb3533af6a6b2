"""Kernel service that serves callers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from httpx import AsyncClient, Limits, Timeout

from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.observation.catalogue import DAEMON_STARTED, DAEMON_STOPPED
from primroseturn.requestpath.application import Application, Services
from primroseturn.serving.asgi import serve_application


@service(
    "callers",
    needs=(
        "settings",
        "events",
        "replica",
        "configuration",
        "listing",
        "router",
        "dispatcher",
        "admission",
        "claims",
    ),
)
@asynccontextmanager
async def provide_callers(kernel: Kernel) -> AsyncIterator[int]:
    """Serve callers and provide the port."""
    settings = kernel.find("settings")
    events = kernel.find("events")
    limits = Limits(max_connections=1000, max_keepalive_connections=200)
    timeout = Timeout(settings.upstreams.progress_limit_s)
    async with AsyncClient(limits=limits, timeout=timeout, trust_env=False) as http:
        application = Application(
            Services(
                kernel.find("replica"),
                kernel.find("router"),
                kernel.find("admission"),
                kernel.find("dispatcher"),
                kernel.find("claims"),
                http,
                events,
                settings.limits.wait_limit_s,
            )
        )
        address = settings.callers.address
        async with serve_application(application, address.host, address.port) as port:
            events.emit(DAEMON_STARTED, port=port)
            yield port
            events.emit(DAEMON_STOPPED)
