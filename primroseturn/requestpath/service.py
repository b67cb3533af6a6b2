"""Kernel service that serves callers and stops without interrupting requests."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import CancelScope, sleep

from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.observation.catalogue import (
    DAEMON_DRAINING,
    DAEMON_STARTED,
    DAEMON_STOPPED,
)
from primroseturn.requestpath.application import Application
from primroseturn.requestpath.pool import Pools, run_pools
from primroseturn.requestpath.services import collect_services
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
        "readiness",
        "retries",
        "hedging",
    ),
)
@asynccontextmanager
async def provide_callers(kernel: Kernel) -> AsyncIterator[int]:
    """Serve callers and provide the port.

    A stop first makes this VM not ready and leaves the load balancer time to detect it,
    then closes the listener and idle connections, then waits for running requests.
    """
    settings = kernel.find("settings")
    events = kernel.find("events")
    readiness = kernel.find("readiness")
    pools = Pools(settings.upstreams, kernel.find("listing"), kernel.find("replica"))
    async with run_pools(pools, events):
        services = collect_services(kernel, pools)
        callers = settings.callers
        async with serve_application(
            Application(services),
            callers.address.host,
            callers.address.port,
            finish_timeout_s=callers.drain_limit_s,
            header_limit_bytes=callers.header_limit_bytes,
            tls=callers.tls,
            events=events,
        ) as port:
            events.emit(DAEMON_STARTED, port=port)
            try:
                yield port
            finally:
                # This also runs when another service has failed and the process ends.
                readiness.begin_drain()
                events.emit(DAEMON_DRAINING, delay_s=callers.drain_delay_s)
                with CancelScope(shield=True):
                    await sleep(callers.drain_delay_s)
    events.emit(DAEMON_STOPPED)
