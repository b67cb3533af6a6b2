"""After a kill of all processes, one large odd entry keeps all of them from serving."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from stands2.caller import Caller, is_ready
from stands2.link import Link
from stands2.world import (
    BROKEN,
    configuration,
    HELD,
    NOT_RUN,
    route,
    run_world,
    SMALL_BOUNDS,
    TROUBLE,
)

# The bounds of the grown deployment, and the link of most of its machines.
BOUNDS = SMALL_BOUNDS | {
    "stable_s": 4,
    "ack_s": 5,
    "catch_up_s": 6,
    "drain_s": 3,
    "config_apply_s": 3,
    "budget_extra": 202,
}
LINK_MBIT_PER_S = float(os.environ.get("LINK", "10"))
ODD_BYTES = 1_040_000
WORK_MS, DEADLINE_MS = 50, 2000
DOWN_S, CALM_S, SECONDS_AFTER = 1.0, 4.0, 8.0
ROUTES = [route("lookup", "/lookup/", "idempotent")]


async def send_for(callers: list[Caller], seconds: float) -> tuple[int, int]:
    """Send requests at all machines, and return how many were sent and served."""
    record = callers[0].record
    sent = served = 0
    ends_at = record.now() + seconds
    while record.now() < ends_at:
        outcomes = await asyncio.gather(
            *(
                caller.call("GET", f"/lookup/{WORK_MS}", DEADLINE_MS)
                for caller in callers
            )
        )
        sent += len(outcomes)
        served += sum(outcome.status == 200 for outcome in outcomes)
        await asyncio.sleep(0.2)
    return sent, served


async def run(case: Path) -> int:
    async with run_world(case) as world:
        record, store = world.record, world.store
        store.put("config", "main", configuration(3, ROUTES))
        for number in range(3):
            await world.add_target(f"i-{number}a")
        for number in range(3):
            link = Link(store.port, LINK_MBIT_PER_S)
            await link.start()
            world.add_entry(f"edge-{number}", BOUNDS, link.port)
        await world.wait_ready()
        if TROUBLE:
            odd = {"service": "finder", "note": "x" * ODD_BYTES}
            store.put("servers", "i-other", odd)
            record.add("other writer", entry="i-other", bytes=len(json.dumps(odd)))
        callers = [Caller(record, entry.front, entry.name) for entry in world.entries]
        sent, served = await send_for(callers, CALM_S)
        record.add("before the kill", sent=sent, served=served)
        if served * 4 < sent:
            print("not served before the kill", file=sys.stderr)
            return NOT_RUN
        for entry in world.entries:
            entry.send(signal.SIGKILL)
        record.add("all processes were killed")
        await asyncio.sleep(DOWN_S)
        for entry in world.entries:
            entry.process.wait()
            entry.start()
        back_at = record.now()
        record.add("all processes were started")
        await send_for(callers, BOUNDS["recovery_s"])
        await asyncio.sleep(max(0.0, back_at + BOUNDS["recovery_s"] - record.now()))
        sent, served = await send_for(callers, SECONDS_AFTER)
        ready = [await is_ready(entry.ready) for entry in world.entries]
        record.add("after the recovery", sent=sent, served=served, ready=ready)
        print(
            f"{served} of {sent} requests served that were sent later than "
            f"{BOUNDS['recovery_s']} s after the start, "
            f"{sum(ready)} of {len(ready)} processes ready"
        )
        return BROKEN if served * 4 < sent else HELD


if __name__ == "__main__":
    sys.exit(asyncio.run(run(Path(__file__).parent)))
