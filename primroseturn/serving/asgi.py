"""Serves ASGI applications with hypercorn during a context."""

import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from math import inf
from socket import AF_INET, SO_REUSEADDR, SO_SNDBUF, SOCK_STREAM, socket, SOL_SOCKET
from typing import Any

from anyio import CancelScope, create_task_group, Event, move_on_after, sleep
from hypercorn.asyncio import serve
from hypercorn.config import Config

from primroseturn.failures import Failure
from primroseturn.kernel.background import run_background
from primroseturn.observation.events import EventLog
from primroseturn.serving.idle import IdleConnections
from primroseturn.serving.protocol import ConnectionMeter, install_protocol
from primroseturn.settings.models import TlsSettings

# Time in seconds to close the connections after the timeout of running requests.
CLOSE_TIMEOUT_S = 0.1
KEEP_ALIVE_TIMEOUT_S = 60.0
# Send buffer of a connection, which the kernel doubles. By default it grows to 4 MB, so
# that filling those of callers that don't read takes processor time from the others.
SEND_BUFFER_BYTES = 131_072
CLOSE_IDLE_INTERVAL_S = 0.05


class ListenerEnded(Failure):
    """hypercorn stopped serving without a request to stop."""

    code = "listener-ended"

    def __init__(self, host: str, port: int) -> None:
        super().__init__(f"the listener on {host}:{port} ended by itself")


def bind_listener(host: str, port: int) -> socket:
    """Return a listening TCP socket. With port 0 the system assigns a free port."""
    listener = socket(AF_INET, SOCK_STREAM)
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.bind((host, port))
    listener.listen(1024)
    listener.setblocking(False)
    return listener


class RunningRequests:
    """Wraps an application to track its running requests and to cancel them."""

    def __init__(self, application: Callable[..., Any]) -> None:
        self.application = application
        self.scopes: set[CancelScope] = set()
        self.idle = Event()
        self.idle.set()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Run one request of the wrapped application."""
        if scope["type"] != "http":
            await self.application(scope, receive, send)
            return
        if not self.scopes:
            self.idle = Event()
        with CancelScope() as cancel_scope:
            self.scopes.add(cancel_scope)
            try:
                await self.application(scope, receive, send)
            finally:
                self.scopes.discard(cancel_scope)
                if not self.scopes:
                    self.idle.set()

    async def finish(self, timeout_s: float) -> bool:
        """Wait for running requests, and cancel those left after `timeout_s`.

        Returns
        -------
        bool
            Whether all finished without being cancelled.
        """
        with move_on_after(timeout_s):
            while self.scopes:
                await self.idle.wait()
        left = list(self.scopes)
        for scope in left:
            scope.cancel()
        return not left


def create_config(
    descriptor: int,
    header_limit_bytes: int,
    tls: TlsSettings | None,
) -> Config:
    """Return hypercorn's configuration for HTTP/1.1 on a bound socket."""
    config = Config()
    config.bind = [f"fd://{descriptor}"]
    config.idle_connections = IdleConnections()  # type: ignore[attr-defined]
    # A keep-alive connection is closed only when it is idle for too long or at a drain.
    config.keep_alive_max_requests = sys.maxsize
    if tls is not None:
        config.certfile = tls.certificate_file
        config.keyfile = tls.key_file
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.include_server_header = False
    config.alpn_protocols = ["http/1.1"]
    config.h11_max_incomplete_size = header_limit_bytes
    config.loglevel = "CRITICAL"
    return config


@asynccontextmanager
async def serve_application(
    application: Callable[..., Any],
    host: str = "127.0.0.1",
    port: int = 0,
    finish_timeout_s: float | Callable[[], float] = 0.0,
    header_limit_bytes: int = 16_384,
    tls: TlsSettings | None = None,
    events: EventLog | None = None,
    connection_meter: ConnectionMeter | None = None,
) -> AsyncIterator[int]:
    """Serve an ASGI application during the context.

    Running requests may finish also when an error elsewhere cancels the context.

    Parameters
    ----------
    finish_timeout_s
        Time in seconds that running requests have to finish when the context ends, or a
        function that returns it then.
    events
        The event log of the process, for errors of the listener's tasks.
    connection_meter
        Decides whether a further connection may be kept open.

    Yields
    ------
    int
        The bound port.
    """
    listener = bind_listener(host, port)
    bound_port = listener.getsockname()[1]
    # From here on, hypercorn owns the descriptor and closes it.
    config = create_config(listener.detach(), header_limit_bytes, tls)
    config.connection_meter = connection_meter  # type: ignore[attr-defined]
    install_protocol()
    running = RunningRequests(application)
    idle = config.idle_connections  # type: ignore[attr-defined]
    if connection_meter is not None:
        connection_meter.use_idle_connections(idle)
    events = events or EventLog("")
    stop, stopped = Event(), Event()
    # hypercorn cancels all requests when it is cancelled.
    serving_scope = CancelScope(shield=True)
    async with run_background(events) as background, create_task_group() as tasks:

        async def run_listener() -> None:
            with serving_scope:
                await background.run_task(
                    partial(serve, running, config, shutdown_trigger=stop.wait)  # type: ignore
                )
            stopped.set()
            if not stop.is_set():
                raise ListenerEnded(host, bound_port)

        async def close_idle() -> None:
            while not stopped.is_set():
                await idle.close_since(inf)
                await sleep(CLOSE_IDLE_INTERVAL_S)

        tasks.start_soon(run_listener)
        background.keep_running(idle.sweep_forever, KEEP_ALIVE_TIMEOUT_S)
        try:
            yield bound_port
        finally:
            timeout_s = (
                finish_timeout_s() if callable(finish_timeout_s) else finish_timeout_s
            )
            # Longer than `RunningRequests.finish` takes, because hypercorn 0.18 raises
            # an error when its own timeout cancels connections.
            config.graceful_timeout = timeout_s + 60.0
            stop.set()
            with CancelScope(shield=True):
                async with run_background(events) as closing:
                    closing.keep_running(close_idle)
                    with move_on_after(timeout_s + CLOSE_TIMEOUT_S):
                        await running.finish(timeout_s)
                        await stopped.wait()
                serving_scope.cancel()
