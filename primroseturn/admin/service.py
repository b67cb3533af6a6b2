"""Kernel service that serves the administration API."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import primroseturn.admin.fleet
import primroseturn.admin.sections  # noqa: F401
from primroseturn.admin.application import AdminApplication
from primroseturn.admin.events import ADMIN_STARTED
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.serving.asgi import serve_application


@service(
    "admin",
    needs=(
        "settings",
        "events",
        "store",
        "replica",
        "listing",
        "readiness",
        "fleet-status",
    ),
)
@asynccontextmanager
async def provide_admin(kernel: Kernel) -> AsyncIterator[int]:
    """Serve the administration API and provide its port."""
    settings = kernel.find("settings").admin
    address = settings.address
    events = kernel.find("events")
    async with serve_application(
        AdminApplication(kernel),
        address.host,
        address.port,
        tls=settings.tls,
        events=events,
    ) as port:
        events.emit(ADMIN_STARTED, port=port)
        yield port
