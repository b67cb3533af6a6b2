"""Steps for the buses over TCP and UDP."""

import zmq
from anyio import create_task_group, current_time, sleep
from behave import given, then, when

from features.control_checks import wait_until
from primroseturn.control.datagrams import run_datagram_bus
from primroseturn.control.messages import Message, message, MESSAGE_LIMIT_BYTES
from primroseturn.control.zeromq import CurveKeys, PeerAddress, run_bus
from primroseturn.observation.events import EventLog

MALFORMED_FRAME = b"\xc1junk"


@message("test-echo")
class Echo(Message, frozen=True, array_like=True):
    """Test message that its receiver sends back after `wait_s` seconds."""

    text: str
    wait_s: float = 0.0


async def reply_to_echo(sender, body):
    """Return the message as the reply after the wait that it states."""
    await sleep(body.wait_s)
    return body


def create_keys() -> CurveKeys:
    """Return a new CURVE key pair."""
    return CurveKeys(*(part.decode() for part in zmq.curve_keypair()))


def open_bus(context, name, keys=None, allowed=()):
    """Run a bus over TCP until the scenario ends, and return it."""
    manager = context.portal.wrap_async_context_manager(
        run_bus(name, "1", keys=keys, allowed_keys=allowed)
    )
    bus = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    return bus


def open_datagram_bus(context, name):
    """Run a bus over UDP until the scenario ends, and return it and its address."""
    running = run_datagram_bus(EventLog(name), "127.0.0.1", 0)
    manager = context.portal.wrap_async_context_manager(running)
    bus = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    return bus, PeerAddress(*bus.transport.get_extra_info("sockname"))


def request_echo(context, bus, text="hello", timeout_s=2.0):
    """Send a request to the second bus and return the result."""
    return context.portal.call(bus.request, "second", Echo(text), timeout_s)


@given("two buses over TCP")
def step_buses(context):
    open_pair(context, None, None, ())


@given("two buses over TCP with CURVE keys")
def step_secure_buses(context):
    context.keys = [create_keys(), create_keys(), create_keys()]
    allowed = (context.keys[0].public_key, context.keys[2].public_key)
    open_pair(context, context.keys[0], context.keys[1], allowed)


@given("two buses over UDP")
def step_datagram_buses(context):
    context.second, context.address = open_datagram_bus(context, "second")
    context.first, _ = open_datagram_bus(context, "first")
    context.portal.call(connect_pair, context)


def open_pair(context, first_keys, second_keys, allowed):
    """Run two buses over TCP and set the address of the second in the first."""
    context.second = open_bus(context, "second", second_keys, allowed)
    context.first = open_bus(context, "first", first_keys)
    public_key = second_keys.public_key if second_keys else None
    context.address = PeerAddress("127.0.0.1", context.second.port, public_key)

    context.portal.call(connect_pair, context)


async def connect_pair(context):
    """Register the handler of the second bus and set its address in the first."""
    context.second.register_handler(Echo, reply_to_echo)
    context.first.set_address("second", context.address)


@when(
    "{malformed:d} malformed and {oversized:d} oversized frames are sent to the "
    "second bus"
)
def step_bad_frames(context, malformed, oversized):
    async def send():
        with zmq.Context() as sockets, sockets.socket(zmq.DEALER) as socket:
            socket.connect(f"tcp://127.0.0.1:{context.second.port}")
            for _ in range(malformed):
                socket.send(MALFORMED_FRAME)
            for _ in range(oversized):
                socket.send(bytes(MESSAGE_LIMIT_BYTES + 1))
            await wait_until(
                lambda: (
                    context.second.counts["frames_received"] >= malformed + oversized
                ),
                5.0,
            )

    context.portal.call(send)


@then(
    "the second bus has refused {malformed:d} malformed and {oversized:d} oversized "
    "frames"
)
def step_refused_frames(context, malformed, oversized):
    counts = context.second.counts
    found = (counts["dropped_malformed"], counts["dropped_oversized"])
    assert found == (malformed, oversized), counts


@then("the second bus replies to the first")
def step_replies(context):
    result = request_echo(context, context.first)
    assert result.is_ok() and result.ok.text == "hello", result


@when("the address of the second bus is removed from the first and set again")
def step_reset_address(context):
    async def reset_address():
        context.first.remove_address("second")
        # Lets the task of the closed connection end first.
        await sleep(0.1)
        context.first.set_address("second", context.address)

    context.portal.call(reset_address)


@then("a bus with an unknown key gets no reply from the second bus")
def step_unknown_key(context):
    unknown_bus = open_bus(context, "unknown", create_keys())

    async def connect():
        unknown_bus.set_address("second", context.address)

    context.portal.call(connect)
    assert request_echo(context, unknown_bus, timeout_s=0.5).is_error()
    assert context.second.counts["frames_received"] == 1, context.second.counts


@then("a message under the name of the first bus with another allowed key is refused")
def step_forged(context):
    forger = open_bus(context, "first", context.keys[2])

    async def connect():
        address = PeerAddress("127.0.0.1", 1, context.keys[0].public_key)
        context.second.set_address("first", address)
        forger.set_address("second", context.address)

    context.portal.call(connect)
    assert request_echo(context, forger, timeout_s=0.5).is_error()
    assert context.second.counts["dropped_forged"] == 1, context.second.counts


@then("a request gets its reply while another one waits for {seconds:g} s")
def step_slow_handler(context, seconds):
    async def run():
        async with create_task_group() as tasks:
            tasks.start_soon(
                context.first.request, "second", Echo("slow", seconds), 2 * seconds
            )
            await sleep(0.05)
            started_at = current_time()
            result = await context.first.request("second", Echo("quick"), seconds)
            assert result.is_ok()
            assert current_time() - started_at < seconds / 2
            tasks.cancel_scope.cancel()

    context.portal.call(run)


unusable_addresses = {
    "has a port that no socket can use": PeerAddress("127.0.0.1", 70_000),
    "has a key that is no CURVE key": PeerAddress("127.0.0.1", 1, "no key"),
}


@given('the first bus has the address of "{peer}", a peer that {how}')
def step_unusable(context, peer, how):
    async def set_address():
        context.first.set_address(peer, unusable_addresses[how])

    context.portal.call(set_address)


@when('the first bus sends a message to "{peer}" and then to "{other}"')
def step_send_both(context, peer, other):
    async def send():
        await context.first.send(peer, Echo("hello"))
        # An error may close the socket only after the call has returned.
        await sleep(0.1)
        await context.first.send(other, Echo("hello"))

    context.portal.call(send)


@then("the second bus receives the message")
def step_receives(context):
    def arrived():
        return context.second.counts["frames_received"] == 1

    context.portal.call(wait_until, arrived, 2.0)


@then(
    "the first bus has dropped {count:d} message that could not be transmitted",
)
def step_not_transmitted(context, count):
    assert context.first.counts["dropped_failed"] == count, context.first.counts
