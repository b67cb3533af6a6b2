"""Serves metrics, liveness and readiness on a separate address."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from primroseturn.failures import StoreUnavailable
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.observation.catalogue import STORE_CALL_FAILED
from primroseturn.observation.metrics import CONTENT_TYPE, DaemonMetrics
from primroseturn.serving.asgi import serve_application
from primroseturn.serving.http import send_json, send_response


class HealthApplication:
    """ASGI application that serves ``/metrics``, ``/live`` and ``/ready``."""

    def __init__(self, kernel: Kernel, metrics: DaemonMetrics) -> None:
        self.kernel = kernel
        self.metrics = metrics

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Respond to one request."""
        if scope["type"] != "http":
            return
        if scope["method"] not in ("GET", "HEAD"):
            await send_response(send, 405)
            return
        match scope["path"]:
            case "/metrics":
                headers = [(b"content-type", CONTENT_TYPE)]
                await send_response(send, 200, self.metrics.render(), headers)
            case "/live":
                await send_json(send, 200, {"live": True})
            case "/ready":
                reasons = self.kernel.find("readiness").reasons()
                body = {"ready": not reasons, "reasons": reasons}
                await send_json(send, 503 if reasons else 200, body)
            case _:
                await send_response(send, 404)


def create_failure_listener(kernel: Kernel) -> Callable[[StoreUnavailable], None]:
    """Return a listener that emits an event for each failed store call."""
    events = kernel.find("events")

    def report(failure: StoreUnavailable) -> None:
        events.emit(STORE_CALL_FAILED, maybe_applied=failure.maybe_applied)

    return report


@service(
    "metrics",
    needs=("settings", "events", "store", "replica", "listing", "readiness"),
)
@asynccontextmanager
async def provide_metrics(kernel: Kernel) -> AsyncIterator[int]:
    """Serve metrics, liveness and readiness, and provide the port."""
    metrics = DaemonMetrics(kernel)
    events = kernel.find("events")
    listeners = events.listeners
    listeners.append(metrics.events.record_event)
    kernel.find("store").failure_listeners.append(create_failure_listener(kernel))
    address = kernel.find("settings").metrics.address
    application = HealthApplication(kernel, metrics)
    async with serve_application(
        application, address.host, address.port, events=events
    ) as port:
        yield port
    listeners.remove(metrics.events.record_event)
