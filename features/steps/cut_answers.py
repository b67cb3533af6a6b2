"""Steps for targets that end in the middle of an answer's framing."""

from contextlib import asynccontextmanager
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

from anyio import (
    BrokenResourceError,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    EndOfStream,
    fail_after,
    sleep,
)
from anyio.abc import SocketAttribute
from behave import given, then, when

from features.entry_fleet import LOOPBACK
from features.steps.entry_requests import start_fleet

READ_BYTES = 65_536
CALLER_TIMEOUT_S = 5.0
BODY = b"the whole body"
CHUNKED = b"transfer-encoding: chunked\r\n"
CHUNKS = b"e\r\nthe whole body\r\n0\r\n"
SIGNED_HEAD = (
    b"HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nresponse-signature: s-ATTEMPT\r\n"
)
WITH_LENGTH = SIGNED_HEAD + b"content-length: 14\r\n\r\n"
ANSWERS_BY_FRAMING = {
    "a head": WITH_LENGTH + BODY,
    "a head without a length": SIGNED_HEAD + b"connection: close\r\n\r\n" + BODY,
    "a head behind 100": b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH + BODY,
    "a head behind 103": b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
    + WITH_LENGTH
    + BODY,
    "chunks": SIGNED_HEAD + CHUNKED + b"\r\n" + CHUNKS + b"\r\n",
    "chunks with trailers": SIGNED_HEAD
    + CHUNKED
    + b"\r\n"
    + CHUNKS
    + b"x-sum: 12\r\n\r\n",
}
# An answer without a length is whole wherever its body ends.
CUTS_IN_BODY = {"a head without a length": len(BODY)}


class CuttingTarget:
    """Sends the start of an answer to each request, then ends the connection."""

    def __init__(self, answer):
        self.answer = answer
        self.end = "close"
        self.cut_at = len(answer)
        self.attempts = set()

    async def serve(self, stream):
        """Read the head of a request and send the start of the answer."""
        async with stream:
            data = b""
            while b"\r\n\r\n" not in data:
                try:
                    data += await stream.receive(READ_BYTES)
                except (EndOfStream, BrokenResourceError):
                    return
            head = data.lower()
            start = head.index(b"attempt-id: ") + len(b"attempt-id: ")
            attempt = data[start : data.index(b"\r\n", start)]
            self.attempts.add(attempt.decode())
            answer = self.answer.replace(b"ATTEMPT", attempt)
            cut_at = self.cut_at + len(answer) - len(self.answer)
            await stream.send(answer[: max(0, cut_at)])
            if self.end == "reset":
                raw = stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))


@asynccontextmanager
async def run_target(target):
    """Run a target and provide its port."""
    listener = await create_tcp_listener(local_host=LOOPBACK, local_port=0)
    async with create_task_group() as tasks:
        tasks.start_soon(listener.serve, target.serve)
        yield listener.extra(SocketAttribute.local_port)
        tasks.cancel_scope.cancel()


@given("an entry VM and a target that sends {framing}")
def step_target(context, framing):
    fleet = start_fleet(context)
    context.target = CuttingTarget(ANSWERS_BY_FRAMING[framing])
    context.last_cut = len(context.target.answer) - CUTS_IN_BODY.get(framing, 0)
    context.portal.call(fleet.add_entry, "vm1")

    async def run():
        port = await fleet.start("t1", run_target(context.target))
        fleet.list_target("t1", port=port)
        view = fleet.kernels_by_vm["vm1"].find("view")
        with fail_after(CALLER_TIMEOUT_S):
            while not view.is_complete():
                await sleep(0.01)

    context.portal.call(run)
    context.portal.call(fleet.wait_entries)


async def call(context, method, path):
    """Send a request on a connection of its own.

    Returns the id of its attempt and all bytes of the answer.
    """
    fleet = context.entry_fleet
    headers = {**fleet.caller_headers(), "Connection": "close", "Content-Length": "0"}
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    received = b""
    async with await connect_tcp(LOOPBACK, fleet.entry_ports_by_vm["vm1"]) as stream:
        await stream.send(("\r\n".join(lines) + "\r\n\r\n").encode())
        with fail_after(CALLER_TIMEOUT_S):
            try:
                while True:
                    received += await stream.receive(READ_BYTES)
            except (EndOfStream, BrokenResourceError):
                return headers["Attempt-Id"], received


@when(
    "callers send GET and POST requests for each byte at which the target ends with "
    "{end}"
)
def step_cut(context, end):
    context.answers = []
    context.target.end = end

    async def one(method, path):
        attempt, answer = await call(context, method, path)
        context.answers.append((context.target.cut_at, attempt, answer))

    async def run():
        for cut_at in range(context.last_cut):
            context.target.cut_at = cut_at
            async with create_task_group() as tasks:
                tasks.start_soon(one, "GET", "/lookup/1")
                tasks.start_soon(one, "POST", "/order/1")

    context.portal.call(run)


@then("no caller got a success, and callers got 502 or a visibly broken response")
def step_no_success(context):
    assert len(context.answers) == 2 * context.last_cut
    for cut_at, attempt, answer in context.answers:
        status = answer[9:12]
        assert status in (b"502", b"503", b"504"), (cut_at, attempt, answer)
        # A refusal states that the request did not run, so no target may have got it.
        if status == b"503":
            assert attempt not in context.target.attempts, (cut_at, attempt, answer)


@then("the whole answer is a success")
def step_whole(context):
    context.target.cut_at = len(context.target.answer)
    context.target.end = "close"

    async def run():
        for method, path in (("GET", "/lookup/1"), ("POST", "/order/1")):
            # After so many cuts the VM may refuse for a moment to use the target.
            with fail_after(CALLER_TIMEOUT_S):
                attempt, answer = await call(context, method, path)
                while answer.startswith(b"HTTP/1.1 503"):
                    # A refusal states that no target got the request.
                    assert attempt not in context.target.attempts, answer
                    await sleep(0.2)
                    attempt, answer = await call(context, method, path)
            assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(BODY), answer

    context.portal.call(run)
