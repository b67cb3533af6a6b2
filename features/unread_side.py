"""A faulty target and callers that read nothing, as a process beside a VM.

``python -m features.unread_side MODE`` prints the target's port, then reads a line with
the VM's port, the number of callers and the duration in seconds from standard input.
Modes are those of endless responses, ``sound``, for a whole response of 20 MB,
``deaf``, for a target that reads no bodies, to which callers send one without end,
``stalled-heads``, for callers that send most of a long head and stop, ``fields``, for
heads of very many fields to a target that does not respond, ``long-heads``, for a
target whose responses have a long head, and ``idle``, for callers that send nothing.
"""

import sys
from contextlib import suppress
from re import search

from anyio import (
    BrokenResourceError,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    EndOfStream,
    move_on_after,
    run,
    sleep,
    sleep_forever,
)
from anyio.abc import SocketAttribute, SocketStream

from features.entry_fleet import HOST, KEY
from features.entry_target import run_target

SOUND_BYTES = 20_000_000
# Heads within the limits of a VM's listener and of the usual configuration.
STALLED_HEAD_BYTES, FIELD_COUNT = 60_000, 3_900
RESPONSE_HEAD_BYTES, RESPONSE_BODY_BYTES = 60_000, 1_000_000
CHUNK = b"4000\r\n" + 16_384 * b"u" + b"\r\n"
# Seconds between the starts of two callers, as many connections at once overflow the
# queue of the listener.
START_INTERVAL_S = 0.002


def request_head(number: int, mode: str) -> bytes:
    """Return the head of a caller's request."""
    is_upload = mode == "deaf"
    if mode == "idle":
        return b""
    lines = [
        "POST /order/1 HTTP/1.1" if is_upload else "GET /sheet/1 HTTP/1.1",
        f"host: {HOST}",
        f"attempt-id: unread-{number}",
        "deadline-ms: 30000",
        f"authorization: Bearer {KEY}",
    ]
    if is_upload:
        lines.append("transfer-encoding: chunked")
    if mode == "stalled-heads":
        lines.append("x-fill: " + STALLED_HEAD_BYTES * "x")
        return "\r\n".join(lines).encode()
    if mode == "fields":
        lines += FIELD_COUNT * ["a:"]
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


async def serve_long_heads(stream: SocketStream) -> None:
    """Respond to each request with a long head and a body."""
    received = b""
    async with stream:
        with suppress(OSError, BrokenResourceError, EndOfStream):
            while True:
                while b"\r\n\r\n" not in received:
                    received += await stream.receive()
                head, _, received = received.partition(b"\r\n\r\n")
                found = search(rb"(?i)\r\nattempt-id: *([^\r]+)", head)
                attempt = found[1].decode() if found else ""
                lines = [
                    "HTTP/1.1 200 OK",
                    f"attempt-id: {attempt}",
                    f"response-signature: s-{attempt}",
                    f"content-length: {RESPONSE_BODY_BYTES}",
                    "x-fill: " + RESPONSE_HEAD_BYTES * "x",
                ]
                await stream.send(("\r\n".join(lines) + "\r\n\r\n").encode())
                await stream.send(RESPONSE_BODY_BYTES * b"s")


async def run_callers(mode: str, limit_s: float, port: int, count: int) -> None:
    """Run the callers for a time."""
    with move_on_after(limit_s):
        async with create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(call, port, number, mode)
                await sleep(START_INTERVAL_S)
    print("ended", flush=True)


SERVERS_BY_MODE = {
    "deaf": serve_deaf,
    "fields": serve_deaf,
    "idle": serve_deaf,
    "stalled-heads": serve_deaf,
    "long-heads": serve_long_heads,
}


async def main(mode: str) -> None:
    """Run the target and the callers."""
    async with run_target("t1") as target, create_task_group() as tasks:
        port = target.port
        if mode == "sound":
            target.body = SOUND_BYTES * b"s"
        elif mode in SERVERS_BY_MODE:
            listener = await create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            tasks.start_soon(listener.serve, SERVERS_BY_MODE[mode])
        else:
            target.usual_mode = mode
        print(port, flush=True)
        vm_port, count, seconds = sys.stdin.readline().split()
        await run_callers(mode, float(seconds), int(vm_port), int(count))
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    run(main, sys.argv[1])
