"""Baseline of the benchmark: a proxy of hypercorn and httpx that only forwards."""

import sys
from typing import Any

from anyio import run
from httpx import AsyncClient, Limits

from primroseturn.cli.processes import wait_for_signal
from primroseturn.serving.asgi import serve_application
from primroseturn.serving.http import read_body

HOP_BY_HOP = (b"connection", b"keep-alive", b"transfer-encoding")


class PassThrough:
    """Forwards every request to one upstream."""

    def __init__(self, http: AsyncClient) -> None:
        self.http = http

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Forward one request and stream the response."""
        if scope["type"] != "http":
            return
        headers = [item for item in scope["headers"] if item[0] != b"host"]
        body = await read_body(receive)
        url = scope["raw_path"].decode()
        async with self.http.stream(
            scope["method"], url, headers=headers, content=body
        ) as response:
            response_headers = [
                (name.lower(), value)
                for name, value in response.headers.raw
                if name.lower() not in HOP_BY_HOP
            ]
            start = {
                "type": "http.response.start",
                "status": response.status_code,
                "headers": response_headers,
            }
            await send(start)
            async for part in response.aiter_raw():
                event = {"type": "http.response.body", "body": part, "more_body": True}
                await send(event)
        await send({"type": "http.response.body", "body": b""})


async def run_passthrough(url: str) -> None:
    """Forward requests to a URL until a signal stops the process."""
    limits = Limits(max_connections=1000, max_keepalive_connections=200)
    async with (
        AsyncClient(base_url=url, limits=limits, trust_env=False) as http,
        serve_application(PassThrough(http)) as port,
    ):
        print(f"pass-through on port {port}", flush=True)
        await wait_for_signal()


if __name__ == "__main__":
    run(run_passthrough, sys.argv[1])
