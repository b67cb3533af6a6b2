"""Steps for clients that stop, flood or read slowly."""

import re
from contextlib import suppress
from pathlib import Path
from resource import prlimit, RLIMIT_NOFILE
from socket import SO_RCVBUF, SOL_SOCKET
from threading import Event as ThreadEvent
from time import monotonic, sleep as pause

from anyio import (
    BrokenResourceError,
    connect_tcp,
    create_task_group,
    EndOfStream,
    move_on_after,
    sleep,
    sleep_forever,
)
from anyio.abc import SocketAttribute
from behave import given, then, when

from features.entry_fleet import HOST, KEY
from features.steps.endless_answers import wait_served
from primroseturn.platform.wire import READY_PATH

KIB = 1024
BODY_BYTES = 1_000_000
# A head within the limit of the readiness listener, and fields of 4 bytes that fill it.
HALF_HEAD_BYTES, FIELD_COUNT = 15_000, 3_800
PIPELINED_REQUESTS = 6_000
RECEIVE_BUFFER_BYTES, READ_BYTES, READ_INTERVAL_S = 4_096, 1_024, 0.2
# Seconds after which a client stops sending what is not accepted, and seconds between
# the starts of two clients, as many at once overflow the queue of the listener.
SEND_LIMIT_S, START_INTERVAL_S = 3.0, 0.002
LEAVE_LIMIT_S = 20.0


def client_bytes(kind, address, number):
    """Return what a client of a kind sends."""
    if kind == "silent":
        return b""
    path = READY_PATH if address == "readiness" else "/order/1"
    if kind.endswith("no route"):
        path = "/missing/1"
    method = "POST" if kind.startswith(("length", "chunks")) else "GET"
    if kind == "slow reader":
        path = "/sheet/1"
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: client-{number}\r\n"
        f"deadline-ms: 30000\r\nauthorization: Bearer {KEY}\r\n"
    ).encode()
    if kind.startswith("length"):
        length = f"content-length: {BODY_BYTES}\r\n\r\n".encode()
        return head + length + (BODY_BYTES - 1) * b"b"
    if kind.startswith("chunks"):
        chunk = b"400\r\n" + KIB * b"b" + b"\r\n"
        chunks = BODY_BYTES // KIB * chunk + b"0\r\n\r"
        return head + b"transfer-encoding: chunked\r\n\r\n" + chunks
    if kind == "half head":
        return head + b"x-fill: " + HALF_HEAD_BYTES * b"x"
    if kind == "fields":
        return head[: head.index(b"attempt-id")] + FIELD_COUNT * b"a:\r\n" + b"\r\n"
    if kind == "pipelined":
        return PIPELINED_REQUESTS * (head + b"\r\n")
    return head + b"\r\n"


async def run_client(port, kind, data):
    """Send the data and keep the connection open, and read slowly or nothing."""
    stream = None
    with suppress(OSError), move_on_after(SEND_LIMIT_S):
        stream = await connect_tcp("127.0.0.1", port)
    if stream is None:
        return
    async with stream:
        connection = stream.extra(SocketAttribute.raw_socket)
        connection.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        with suppress(OSError, BrokenResourceError, EndOfStream):
            with move_on_after(SEND_LIMIT_S):
                await stream.send(data)
            while kind == "slow reader":
                await stream.receive(READ_BYTES)
                await sleep(READ_INTERVAL_S)
        await sleep_forever()


@given("its process may open {count:d} descriptors")
def step_descriptors(context, count):
    prlimit(context.process.pid, RLIMIT_NOFILE, (count, count))


@when('{count:d} clients of kind "{kind}" keep their connections to {address} open')
def step_clients(context, count, kind, address):
    port, sent = context.ports[address], ThreadEvent()

    async def run():
        async with create_task_group() as tasks:
            for number in range(count):
                data = client_bytes(kind, address, number)
                tasks.start_soon(run_client, port, kind, data)
                await sleep(START_INTERVAL_S)
            await sleep(SEND_LIMIT_S)
            sent.set()

    future = context.portal.start_task_soon(run)
    context.clients = future
    context.cleanups.append(future.cancel)
    assert sent.wait(60)


@when("they leave")
def step_leave(context):
    context.clients.cancel()


@then("an ordinary request is answered 200")
def step_served(context):
    context.portal.call(wait_served, context.entry_fleet)


def count_descriptors(context):
    """Return the number of descriptors that the VM has open."""
    return len(list(Path(f"/proc/{context.process.pid}/fd").iterdir()))


@then("the VM lives within {size:d} MB and {count:d} descriptors")
def step_bounded(context, size, count):
    assert context.process.poll() is None
    process = Path(f"/proc/{context.process.pid}")
    found = re.search(r"VmHWM:\s+(\d+)", (process / "status").read_text())
    peak_mb = int(found[1]) * KIB / 1_000_000
    descriptors = count_descriptors(context)
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
    assert peak_mb <= size, peak_mb
    assert descriptors <= count, descriptors


@then("at most {count:d} descriptors stay open")
def step_released(context, count):
    until = monotonic() + LEAVE_LIMIT_S
    while count_descriptors(context) > count and monotonic() < until:
        pause(0.1)
    assert count_descriptors(context) <= count, count_descriptors(context)
