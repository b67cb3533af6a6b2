"""A faulty target and callers that read nothing, as a process beside a VM.

``python -m features.unread_side MODE`` prints the target's port, then reads a line with
the VM's port, the number of callers and the duration in seconds from standard input.
Modes are those of endless responses, ``sound``, for a whole response of 20 MB, and
``deaf``, for a target that reads no bodies, to which callers send one without end.
"""

import sys
from contextlib import suppress

from anyio import (
    BrokenResourceError,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    move_on_after,
    run,
    sleep,
    sleep_forever,
)
from anyio.abc import SocketAttribute, SocketStream

from features.entry_fleet import HOST, KEY
from features.entry_target import run_target

SOUND_BYTES = 20_000_000
CHUNK = b"4000\r\n" + 16_384 * b"u" + b"\r\n"
# Seconds between the starts of two callers, as many connections at once overflow the
# queue of the listener.
START_INTERVAL_S = 0.002


def request_head(number: int, mode: str) -> bytes:
    """Return the head of a caller's request."""
    is_upload = mode == "deaf"
    lines = [
        "POST /order/1 HTTP/1.1" if is_upload else "GET /sheet/1 HTTP/1.1",
        f"host: {HOST}",
        f"attempt-id: unread-{number}",
        "deadline-ms: 30000",
        f"authorization: Bearer {KEY}",
    ]
    if is_upload:
        lines.append("transfer-encoding: chunked")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def call(port: int, number: int, mode: str) -> None:
    """Send a request and read nothing."""
    async with await connect_tcp("127.0.0.1", port) as stream:
        await stream.send(request_head(number, mode))
        with suppress(OSError, BrokenResourceError):
            while mode == "deaf":
                await stream.send(CHUNK)
        await sleep_forever()


async def serve_deaf(stream: SocketStream) -> None:
    """Read nothing from a connection."""
    async with stream:
        await sleep_forever()


async def run_callers(mode: str, limit_s: float, port: int, count: int) -> None:
    """Run the callers for a time."""
    with move_on_after(limit_s):
        async with create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(call, port, number, mode)
                await sleep(START_INTERVAL_S)
    print("ended", flush=True)


async def main(mode: str) -> None:
    """Run the target and the callers."""
    async with run_target("t1") as target, create_task_group() as tasks:
        port = target.port
        if mode == "sound":
            target.body = SOUND_BYTES * b"s"
        elif mode == "deaf":
            listener = await create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            tasks.start_soon(listener.serve, serve_deaf)
        else:
            target.usual_mode = mode
        print(port, flush=True)
        vm_port, count, seconds = sys.stdin.readline().split()
        await run_callers(mode, float(seconds), int(vm_port), int(count))
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    run(main, sys.argv[1])
