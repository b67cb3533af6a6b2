"""A target in a process of its own: python -m features.soak.target ID SERVICE.

It prints its port, then a JSON line for each request that it runs. GET /control/mode
sets which part of the requests fails, and how.
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
# Above the size up to which a VM holds an answer back until it is whole.
SHEET_BYTES = 1_300_000
USUAL_BYTES = 300


def whole_body(attempt: str) -> bytes:
    """Return the body that belongs to an attempt and to no other."""
    size = SHEET_BYTES if attempt.startswith("sheet") else USUAL_BYTES
    text = f"answer to {attempt};".encode()
    return text * (size // len(text))


class SoakTarget(EntryTarget):
    """Fails a part of its requests and prints those that it runs."""

    def __init__(self, target_id: str, service: str) -> None:
        super().__init__(target_id)
        self.service = service
        self.random = Random(target_id)
        self.fault, self.share = "ok", 0.0
        self.work_s = 0.02

    def body_of(self, attempt: str) -> bytes:
        """Return the whole body of the answer to an attempt."""
        return whole_body(attempt)

    async def respond(self, stream, state, request, body) -> bool:
        """Answer one request, or change the mode."""
        target = urlsplit(request.target.decode())
        if target.path == CONTROL_PATH:
            query = parse_qs(target.query)
            self.fault, self.share = query["mode"][0], float(query["share"][0])
            await self.send(stream, state, 200, [], b"")
            return True
        failing = self.random.random() < self.share
        self.usual_mode = self.fault if failing else "ok"
        return await super().respond(stream, state, request, body)

    async def work(self, stream, mode: str) -> bool:
        """Print the request that begins to run, then take the time of the work."""
        method, path, headers = self.heads.pop()
        self.bodies.clear()
        line = {
            "at": monotonic(),
            "attempt": headers.get("attempt-id", ""),
            "service": self.service,
            "target": self.id,
            "workspace": headers.get("tenant"),
            "key_passed": "authorization" in headers,
            "line": f"{method} {path}",
        }
        print(json.dumps(line), flush=True)
        return await super().work(stream, mode)


async def serve(target_id: str, service: str) -> None:
    """Serve until the process is ended."""
    target = SoakTarget(target_id, service)
    listener = await create_tcp_listener(local_host="127.0.0.1")
    print(listener.extra(SocketAttribute.local_port), flush=True)

    async def handle(stream) -> None:
        try:
            await target.serve_connection(stream)
        except (OSError, h11.ProtocolError):
            # The VM may close at any time, also by a fault of the soak.
            return
        except Exception as error:
            print(f"{target_id}: {type(error).__name__}", file=sys.stderr)

    await listener.serve(handle)


if __name__ == "__main__":
    run(serve, sys.argv[1], sys.argv[2])
