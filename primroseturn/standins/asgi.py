"""Serves ASGI applications on loopback for the stand-ins, tests and the demo."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from socket import AF_INET, SOCK_STREAM, socket, SO_REUSEADDR, SOL_SOCKET
from typing import Any

from anyio import create_task_group, Event
from hypercorn.asyncio import serve
from hypercorn.config import Config


def bind_listener(host: str, port: int) -> socket:
    """Return a listening TCP socket. Port 0 chooses a free port."""
    listener = socket(AF_INET, SOCK_STREAM)
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(1024)
    listener.setblocking(False)
    return listener


@asynccontextmanager
async def serve_application(
    application: Callable[..., Any], host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[int]:
    """Serve an ASGI application for the life of the context and yield its port."""
    listener = bind_listener(host, port)
    config = Config()
    config.bind = [f"fd://{listener.fileno()}"]
    config.graceful_timeout = 0.2
    config.keep_alive_timeout = 60
    config.include_server_header = False
    config.loglevel = "CRITICAL"
    stop = Event()
    async with create_task_group() as tasks:

        async def run() -> None:
            await serve(application, config, shutdown_trigger=stop.wait)  # type: ignore

        tasks.start_soon(run)
        try:
            yield listener.getsockname()[1]
        finally:
            stop.set()
            tasks.cancel_scope.cancel()
            listener.close()
