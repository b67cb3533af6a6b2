"""Starts the measured processes on loopback and stops them."""

import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from os import sysconf
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

from anyio import fail_after, move_on_after, open_process, sleep
from anyio.streams.buffered import BufferedByteReceiveStream
from httpx import AsyncClient
from msgspec.json import encode

from primroseturn.bench.client import Client
from primroseturn.configuration.keys import create_key
from primroseturn.configuration.log import log_key
from primroseturn.configuration.models import Change, Target
from primroseturn.membership.listing import TargetList
from primroseturn.platform.objects import ObjectClient
from primroseturn.store.client import StoreClient

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
MAX_LINE_BYTES = 4096
SLOTS = 64
PATH = "/find/cartridge"
# Far above the rate that one daemon sustains, so that limits refuse no request.
WORKSPACE_RATE = 100_000.0


class Subjects(NamedTuple):
    """HTTP clients of the measured paths to the upstream.

    They lead directly to it, through the pass-through proxy, and through the daemon.
    """

    direct: Client
    passthrough: Client
    daemon: Client


class ProcessIds(NamedTuple):
    """Ids of the processes whose CPU time is compared."""

    passthrough: int
    daemon: int


class ServingProcess(NamedTuple):
    """Port and id of a process that serves."""

    port: int
    process_id: int


def cpu_time_s(process_id: int) -> float:
    """Return the CPU time in seconds of a process so far, from ``/proc``."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / sysconf("SC_CLK_TCK")


@asynccontextmanager
async def run_process(*arguments: str) -> AsyncIterator[ServingProcess]:
    """Run a module of this package as a process, and yield its port and id.

    The last word of the first line that the process prints is its port.
    """
    command = [sys.executable, "-m", *arguments]
    async with await open_process(command, stdin=None, stderr=None) as process:
        try:
            assert process.stdout is not None
            output = BufferedByteReceiveStream(process.stdout)
            with fail_after(START_TIMEOUT_S):
                line = await output.receive_until(b"\n", MAX_LINE_BYTES)
            yield ServingProcess(int(line.split()[-1]), process.pid)
        finally:
            process.terminate()
            with move_on_after(STOP_TIMEOUT_S, shield=True):
                await process.wait()


async def write_configuration(store_url: str, upstream_url: str) -> str:
    """Write a service with a target, a route, a workspace and a key to the store.

    Returns
    -------
    str
        Secret of the key.
    """
    issued = create_key("bench")
    stored = issued.stored
    key_body = {name: getattr(stored, name) for name in stored.__struct_fields__}
    bodies = (
        ("service", "search", {"name": "search", "slots_per_target": SLOTS}),
        (
            "route",
            "find",
            {"name": "find", "path_prefix": "/find", "service": "search"},
        ),
        (
            "workspace",
            "bench",
            {"name": "bench", "rate": WORKSPACE_RATE, "burst": WORKSPACE_RATE},
        ),
        ("key", stored.key_id, key_body),
    )
    async with AsyncClient(base_url=store_url, trust_env=False) as http:
        store = StoreClient(ObjectClient(http, START_TIMEOUT_S))
        for version, (kind, name, body) in enumerate(bodies, start=1):
            change = Change(version, f"bench-{version}", "bench", kind, name, body)
            await store.create(log_key(version), encode(change))
        target = Target("target1", "search", upstream_url, "dc1", "region1")
        await store.create("vmlist/search", encode(TargetList([target])))
    return issued.text


async def wait_until_serving(client: Client) -> None:
    """Wait until a subject responds with status 200."""
    with fail_after(START_TIMEOUT_S):
        while (await client.fetch(0.0)).status != 200:
            await sleep(0.05)


@asynccontextmanager
async def run_subjects() -> AsyncIterator[tuple[Subjects, ProcessIds]]:
    """Run the store, the upstream, the pass-through and the daemon as processes."""
    upstream = ("primroseturn", "standin", "upstream", "--slots", str(SLOTS))
    async with (
        run_process("primroseturn", "standin", "store") as store,
        run_process(*upstream) as target,
    ):
        store_url = f"http://127.0.0.1:{store.port}"
        upstream_url = f"http://127.0.0.1:{target.port}"
        secret = await write_configuration(store_url, upstream_url)
        with TemporaryDirectory() as directory:
            settings = {
                "identity": {"vm": "bench1"},
                "store": {"url": store_url},
                "callers": {"drain_delay_s": 0.0, "drain_limit_s": 1.0},
                "logs": {"events_file": f"{directory}/events.jsonl"},
            }
            file = Path(directory) / "settings.json"
            file.write_bytes(encode(settings))
            async with (
                run_process(
                    "primroseturn.bench.passthrough", upstream_url
                ) as passthrough,
                run_process(
                    "primroseturn", "daemon", "--settings", str(file)
                ) as daemon,
            ):
                headers = [(b"x-api-key", secret.encode())]
                subjects = Subjects(
                    Client(upstream_url, PATH, []),
                    Client(f"http://127.0.0.1:{passthrough.port}", PATH, []),
                    Client(f"http://127.0.0.1:{daemon.port}", PATH, headers),
                )
                for client in subjects:
                    await wait_until_serving(client)
                yield subjects, ProcessIds(passthrough.process_id, daemon.process_id)
                for client in subjects:
                    client.close()
