"""Runs the processes of the system until a signal stops them."""

import gc
from contextlib import AsyncExitStack
from signal import SIGHUP, SIGINT, SIGTERM

from anyio import open_signal_receiver

from primroseturn.daemon import run_services
from primroseturn.serving.asgi import serve_application
from primroseturn.settings.models import DaemonSettings
from primroseturn.standins.relay import Relay, run_relay
from primroseturn.standins.store import ObjectStore
from primroseturn.standins.upstream import Upstream

# Arguments of `gc.set_threshold`: net allocations before a collection of the youngest
# generation, then collections of a generation before one of the next older.
GC_THRESHOLDS = (10_000, 50, 100)


async def wait_for_signal() -> None:
    """Return on the first SIGTERM or SIGINT."""
    with open_signal_receiver(SIGTERM, SIGINT) as signals:
        async for _ in signals:
            return


def reduce_garbage_collection() -> None:
    """Exclude the objects that exist now from garbage collection; collect less often.

    Modules and services live as long as the process. Scanning them in each
    collection blocks the event loop and increases the latency at p99.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until SIGTERM, SIGINT or SIGHUP; ignore signals while it drains."""
    with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
        async with run_services(settings) as kernel:
            reduce_garbage_collection()
            print(f"serving callers on port {kernel.find('callers')}", flush=True)
            async for _ in signals:
                break


async def run_store(port: int) -> None:
    """Run the store stand-in until a signal."""
    async with serve_application(ObjectStore(), port=port) as bound:
        print(f"store on port {bound}", flush=True)
        await wait_for_signal()


async def run_upstream(name: str, slots: int, port: int, connections: int = 0) -> None:
    """Run an upstream stand-in until a signal.

    Parameters
    ----------
    slots
        Number of requests served at the same time.
    port
        TCP port, 0 for a free one.
    connections
        Most connections at a time, capped by a relay; 0 for no cap and no relay.
    """
    async with AsyncExitStack() as stack:
        upstream = Upstream(name, slots)
        upstream_port = 0 if connections else port
        serving = serve_application(upstream, port=upstream_port)
        bound = await stack.enter_async_context(serving)
        if connections:
            relay = run_relay(Relay(bound, connections), port)
            bound = await stack.enter_async_context(relay)
        print(f"upstream {name} on port {bound}", flush=True)
        await wait_for_signal()
