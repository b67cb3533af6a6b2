"""Steps for invalid or long input that callers send to an entry VM."""

import json
from contextlib import suppress
from re import search

from anyio import (
    BrokenResourceError,
    connect_tcp,
    EndOfStream,
    fail_after,
    move_on_after,
    sleep,
)
from behave import given, then, when
from httpx import HTTPError, Response

from features.entry_fleet import HOST, KEY, LOOPBACK

READ_BYTES = 65_536
RESPONSE_TIMEOUT_S = 5.0
# Events of unexpected errors: 103, 104 and 1116 (docs/events.md).
ERROR_EVENTS = ("process-crashed", "task-failed", "entry-internal-error")

HEAD = (
    f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    "Attempt-Id: bad-input\r\nDeadline-Ms: 1500\r\n"
)
GET = f"GET /lookup/1 HTTP/1.1\r\n{HEAD}"
POST = f"POST /order/1 HTTP/1.1\r\n{HEAD}"
CHUNKED = "Transfer-Encoding: chunked\r\n"

inputs_by_name = {
    "a line that is no request": "nonsense\r\n\r\n",
    "a TLS greeting": "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + 200 * "\x00",
    "the preface of HTTP/2": "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "a request without a host": "GET /lookup/1 HTTP/1.1\r\nAttempt-Id: x\r\n\r\n",
    "a request with two hosts": f"{GET}Host: other.example\r\n\r\n",
    "two different lengths": f"{POST}Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
    "a negative length": f"{POST}Content-Length: -1\r\n\r\nab",
    "a length beside a transfer coding": (
        f"{POST}Content-Length: 2\r\n{CHUNKED}\r\n0\r\n\r\n"
    ),
    "an unknown transfer coding": f"{POST}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "a space before the colon of a header": f"{GET}X-A : 1\r\n\r\n",
    "a NUL in a header": f"{GET}X-A: a\x00b\r\n\r\n",
    "a header of 200 KB without end": f"{GET}X-A: {200_000 * 'x'}",
    "300 header fields": GET + 300 * "a:\r\n" + "\r\n",
    "a body above the limit": f"{POST}Content-Length: 99999999999\r\n\r\nab",
    "an absolute target": f"GET http://{HOST}/lookup/1 HTTP/1.1\r\n{HEAD}\r\n",
    "a connection option that hides Host": f"{GET}Connection: Host\r\n\r\n",
    "a WebSocket upgrade request": (
        f"{GET}Upgrade: websocket\r\nConnection: upgrade\r\n"
        "Sec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
    ),
    "a header of 17 KB": f"{GET}X-A: {17_000 * 'x'}\r\n\r\n",
    "a chunked body of 2000 bytes": (
        f"{POST}{CHUNKED}\r\n7d0\r\n{2_000 * 'x'}\r\n0\r\n\r\n"
    ),
    "two keys": f"{GET}Authorization: Bearer other\r\n\r\n",
    "a chunk with a wrong length": f"{POST}{CHUNKED}\r\nzz\r\nab\r\n0\r\n\r\n",
    "a body that ends early": f"{POST}Content-Length: 10\r\n\r\nab",
    "a chunked body without an end": f"{POST}{CHUNKED}\r\n2\r\nab\r\n",
}
HIDING_HEADERS = {
    "a length beside a transfer coding": f"Content-Length: {{length}}\r\n{CHUNKED}",
    "an unknown transfer coding": "Transfer-Encoding: xchunked\r\n",
    "two different lengths": "Content-Length: 5\r\nContent-Length: {length}\r\n",
}
for hiding, headers in HIDING_HEADERS.items():
    smuggled = f"0\r\n\r\n{GET}\r\n"
    framing = headers.format(length=len(smuggled))
    name = f"a request smuggled behind {hiding}"
    inputs_by_name[name] = f"{POST}{framing}\r\n{smuggled}"

# Inputs after which the caller closes its side of the connection.
UNFINISHED = ("a body that ends early", "a chunked body without an end")


def is_whole(response):
    """Return whether the first response has arrived with its body."""
    head, separator, body = response.lower().partition(b"\r\n\r\n")
    length = search(rb"content-length: (\d+)", head)
    return bool(separator and length) and len(body) >= int(length[1])


@given("its configuration allows bodies of {size:d} bytes")
def step_body_limit(context, size):
    fleet = context.entry_fleet
    view = fleet.kernels_by_vm["vm1"].find("view")

    async def run():
        fleet.configuration["limits"] = {"max_body_bytes": size}
        fleet.publish()
        with fail_after(RESPONSE_TIMEOUT_S):
            while f"r{view.version}" != fleet.configuration["version"]:
                await sleep(0.02)

    context.portal.call(run)


@when("a caller sends the bytes of {name}")
def step_bytes(context, name):
    data = inputs_by_name[name].encode("latin-1")
    context.received = b""

    async def run():
        port = context.entry_fleet.entry_ports_by_vm["vm1"]
        context.stream = stream = await connect_tcp(LOOPBACK, port)
        with suppress(EndOfStream, BrokenResourceError):
            await stream.send(data)
            if name in UNFINISHED:
                await stream.send_eof()
            with fail_after(RESPONSE_TIMEOUT_S):
                while not is_whole(context.received):
                    context.received += await stream.receive(READ_BYTES)

    context.portal.call(run)
    context.cleanups.append(lambda: context.portal.call(context.stream.aclose))


@when("a caller sends a request, and 300 header fields on the same connection")
def step_used_connection(context):
    first = GET.replace("bad-input", "good-input") + "\r\n"

    async def run():
        port = context.entry_fleet.entry_ports_by_vm["vm1"]
        context.stream = stream = await connect_tcp(LOOPBACK, port)
        received_by_request = []
        with fail_after(RESPONSE_TIMEOUT_S):
            for data in (first, inputs_by_name["300 header fields"]):
                await stream.send(data.encode())
                received = b""
                while not is_whole(received):
                    received += await stream.receive(READ_BYTES)
                received_by_request.append(received)
        context.received = received_by_request[-1]

    context.portal.call(run)
    context.cleanups.append(lambda: context.portal.call(context.stream.aclose))


@when("a caller sends a request with the method {method}")
def step_method(context, method):
    data = GET.replace("GET", method, 1) + "\r\n"

    async def run():
        port = context.entry_fleet.entry_ports_by_vm["vm1"]
        with fail_after(RESPONSE_TIMEOUT_S):
            async with await connect_tcp(LOOPBACK, port) as stream:
                await stream.send(data.encode())
                context.received = b""
                while not is_whole(context.received):
                    context.received += await stream.receive(READ_BYTES)

    context.portal.call(run)


@then("the target received the method {method}, and the caller gets 200")
def step_method_kept(context, method):
    (target,) = context.entry_fleet.entry_targets_by_id.values()
    assert [head[0] for head in target.heads] == [method], target.heads
    assert context.received.split()[1] == b"200", context.received


@then("only the first request ran")
def step_only_first(context):
    targets = context.entry_fleet.entry_targets_by_id.values()
    assert [run for target in targets for run in target.runs] == ["good-input"]


@then(
    'the first response is the refusal "{kind}" with status {status:d} that did not run'
)
def step_refusal(context, kind, status):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.split()[1] == str(status).encode(), context.received
    assert b"response-signature" not in head.lower(), head
    refusal, _ = json.JSONDecoder().raw_decode(body.decode())
    assert (refusal["type"], refusal["ran"]) == (kind, "no"), refusal


@then("the connection ends after the first response")
def step_connection_ends(context):
    async def run():
        with fail_after(RESPONSE_TIMEOUT_S):
            try:
                while True:
                    context.received += await context.stream.receive(READ_BYTES)
            except (EndOfStream, BrokenResourceError):
                return

    context.portal.call(run)
    assert context.received.count(b"HTTP/1.1 ") == 1, context.received


@then("a further caller is served and the log contains no error")
def step_no_logged_error(context):
    fleet = context.entry_fleet
    response: Response = context.portal.call(fleet.send_request, "/lookup/2")
    assert response.status_code == 200, response.text
    lines = fleet.log_files_by_vm["vm1"].read_text().splitlines()
    found = [line for line in lines if any(f'"{e}"' in line for e in ERROR_EVENTS)]
    assert not found, found


@when("{count:d} callers send {size:d} bytes to POST {path:S} one after the other")
def step_long_body(context, count, size, path):
    fleet = context.entry_fleet
    context.outcomes = []
    # Each byte depends on its position, so that foreign bytes in between are detected.
    context.sent = bytes(range(251)) * (size // 251)

    async def run():
        for number in range(count):
            with move_on_after(RESPONSE_TIMEOUT_S):
                try:
                    response = await fleet.send_request(
                        f"{path}{number}", method="POST", content=context.sent
                    )
                    context.outcomes.append(response.status_code)
                except HTTPError as error:
                    context.outcomes.append(type(error).__name__)

    context.portal.call(run)
    context.count = count


@then("each caller got 413, 504 or a closed connection")
def step_responses(context):
    assert len(context.outcomes) == context.count, context.outcomes
    broken = {"ReadError", "WriteError", "RemoteProtocolError"}
    assert set(context.outcomes) <= {413, 504, *broken}, context.outcomes


@then("each body that the target read is a part of its caller's body")
def step_body_bytes(context):
    (target,) = context.entry_fleet.entry_targets_by_id.values()

    async def wait():
        with fail_after(RESPONSE_TIMEOUT_S):
            while len(target.bodies) < len(target.heads):
                await sleep(0.02)

    context.portal.call(wait)
    assert len(target.heads) == context.count, target.heads
    for body in target.bodies:
        assert context.sent.startswith(body), (len(body), body[-200:])
