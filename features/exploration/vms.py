"""Clock, bus and store of a simulated VM that can be paused."""

from anyio import current_time, Event, move_on_after, run, sleep
from trio.testing import MockClock

from primroseturn.failures import Failure


class Gate:
    """Blocks a paused VM at every input and output."""

    def __init__(self):
        self.opened = Event()
        self.opened.set()

    def pause(self):
        """Block all inputs and outputs from now on."""
        if self.opened.is_set():
            self.opened = Event()

    def resume(self):
        """Unblock all inputs and outputs."""
        self.opened.set()

    async def pass_through(self):
        """Return when the VM is not paused."""
        while not self.opened.is_set():
            await self.opened.wait()


class VmClock:
    """Clock that is off by the fraction `drift`; its timers end only after a pause."""

    def __init__(self, gate, drift, offset_s):
        self.gate, self.drift, self.offset_s = gate, drift, offset_s

    def now(self):
        return current_time() * (1 + self.drift) + self.offset_s

    async def sleep(self, delay_s):
        await sleep(max(0.0, delay_s) / (1 + self.drift))
        await self.gate.pass_through()

    async def wait(self, event, limit_s):
        with move_on_after(max(0.0, limit_s) / (1 + self.drift)):
            await event.wait()
        await self.gate.pass_through()
        return event.is_set()


class VmStore:
    """Store client of a VM that can be paused before and after each call."""

    def __init__(self, gate, store):
        self.gate, self.store = gate, store

    async def read(self, key):
        return await self.call(self.store.read, key)

    async def create(self, key, value):
        return await self.call(self.store.create, key, value)

    async def update(self, key, value, version):
        return await self.call(self.store.update, key, value, version)

    async def call(self, method, *arguments):
        await self.gate.pass_through()
        try:
            return await method(*arguments)
        except Failure as failure:
            raise failure from None
        finally:
            await self.gate.pass_through()


class VmBus:
    """Bus of a VM that can be paused before and after each message."""

    def __init__(self, gate, bus):
        self.gate, self.bus = gate, bus
        self.vm, self.incarnation = bus.vm, bus.incarnation

    def register_handler(self, message_type, handler):
        async def handle_when_running(sender, message):
            await self.gate.pass_through()
            reply = await handler(sender, message)
            await self.gate.pass_through()
            return reply

        self.bus.register_handler(message_type, handle_when_running)

    async def send(self, peer, message):
        await self.gate.pass_through()
        await self.bus.send(peer, message)

    async def request(self, peer, message, timeout_s):
        await self.gate.pass_through()
        result = await self.bus.request(peer, message, timeout_s)
        await self.gate.pass_through()
        return result


def run_on_virtual_time(function, *arguments):
    """Run a coroutine function on a clock that jumps to the next timer."""
    clock = MockClock(autojump_threshold=0)
    return run(function, *arguments, backend="trio", backend_options={"clock": clock})
