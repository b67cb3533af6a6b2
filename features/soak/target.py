"""A target in a process of its own: python -m features.soak.target ID SERVICE.

It prints its port, then a JSON line for each request that it runs. GET /control/mode
sets the share of the requests that fail, and how they fail.
"""

import json
import sys
from random import Random
from time import monotonic
from urllib.parse import parse_qs, urlsplit

import h11
from anyio import create_tcp_listener, run
from anyio.abc import SocketAttribute

from features.entry_target import EntryTarget

CONTROL_PATH = "/control/mode"
# Above the size up to which a VM buffers a response until it is complete.
SHEET_BYTES = 1_300_000
USUAL_BYTES = 300


def complete_body(attempt: str) -> bytes:
    """Return the complete body of the response to an attempt, different for each."""
    size = SHEET_BYTES if attempt.startswith("sheet") else USUAL_BYTES
    text = f"response to {attempt};".encode()
    return text * (size // len(text))


class SoakTarget(EntryTarget):
    """Target that fails a share of its requests and prints those that it runs.

    Attributes
    ----------
    fault_mode, fault_share
        Mode of the requests that fail, and their share.
    """

    def __init__(self, target_id: str, service: str) -> None:
        super().__init__(target_id)
        self.service = service
        self.random = Random(target_id)
        self.fault_mode, self.fault_share = "ok", 0.0
        self.work_s = 0.02

    def body_of(self, attempt: str) -> bytes:
        """Return the complete body of the response to an attempt."""
        return complete_body(attempt)

    async def respond(self, stream, state, request, body) -> bool:
        """Respond to one request, or set the mode of failing requests."""
        target = urlsplit(request.target.decode())
        if target.path == CONTROL_PATH:
            query = parse_qs(target.query)
            self.fault_mode, self.fault_share = (
                query["mode"][0],
                float(query["share"][0]),
            )
            await self.send(stream, state, 200, [], b"")
            return True
        is_failing = self.random.random() < self.fault_share
        self.usual_mode = self.fault_mode if is_failing else "ok"
        return await super().respond(stream, state, request, body)

    async def work(self, stream, mode: str) -> bool:
        """Print the request that starts to run, then wait for its duration."""
        method, path, headers = self.heads.pop()
        self.bodies.clear()
        line = {
            "at": monotonic(),
            "attempt": headers.get("attempt-id", ""),
            "service": self.service,
            "target": self.id,
            "workspace": headers.get("tenant"),
            "is_key_forwarded": "authorization" in headers,
            "request_line": f"{method} {path}",
        }
        print(json.dumps(line), flush=True)
        return await super().work(stream, mode)


async def serve(target_id: str, service: str) -> None:
    """Serve until the process ends."""
    target = SoakTarget(target_id, service)
    listener = await create_tcp_listener(local_host="127.0.0.1")
    print(listener.extra(SocketAttribute.local_port), flush=True)

    async def handle(stream) -> None:
        try:
            await target.serve_connection(stream)
        except (OSError, h11.ProtocolError):
            # The VM may close the connection at any time, also by a fault of the soak.
            return
        except Exception as error:
            print(f"{target_id}: {type(error).__name__}", file=sys.stderr)

    await listener.serve(handle)


if __name__ == "__main__":
    run(serve, sys.argv[1], sys.argv[2])
