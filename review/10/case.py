"""A large configuration never comes into force behind a link of 5 Mbit/s."""

import asyncio
import json
import os
import sys
from pathlib import Path

from stands2.caller import Caller
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

# The bounds and the slowest links of the grown deployment.
BOUNDS = SMALL_BOUNDS | {
    "stable_s": 4,
    "ack_s": 5,
    "catch_up_s": 6,
    "drain_s": 3,
    "config_apply_s": 3,
    "budget_extra": 202,
}
LINK_MBIT_PER_S = 5.0
VALUE_BYTES = 1_048_576
CONFIGURATION_BYTES = int(os.environ.get("BYTES", "1040000"))
KEY_BYTES = 24
WORK_MS, DEADLINE_MS, WATCHED_S = 20, 2000, 12.0
ROUTES = [route("lookup", "/lookup/", "idempotent")]


def large_configuration(version: int, routes: list[dict]) -> dict:
    """Return a configuration of `CONFIGURATION_BYTES`, most of it keys."""
    config = configuration(version, routes)
    size = len(json.dumps(config))
    count = max(0, CONFIGURATION_BYTES - size) // (KEY_BYTES + 4)
    keys = [f"k{number:0{KEY_BYTES - 1}d}" for number in range(count)]
    config["tenants"][0]["api_keys"] += keys
    return config


async def run(case: Path) -> int:
    async with run_world(case) as world:
        record, store = world.record, world.store
        store.put("config", "main", configuration(3, ROUTES))
        for number in range(3):
            await world.add_target(f"i-{number}a")
        for name in ("edge-1", "edge-2"):
            link = Link(store.port, LINK_MBIT_PER_S)
            await link.start()
            world.add_entry(name, BOUNDS, link.port)
        await world.wait_ready()
        await asyncio.sleep(2.0)
        callers = [Caller(record, entry.front, entry.name) for entry in world.entries]
        added = route("added", "/added/", "idempotent")
        acknowledged_at = float("inf")
        path = "/lookup/"
        if TROUBLE:
            config = large_configuration(5, [*ROUTES, added])
            size = len(json.dumps(config))
            assert size <= VALUE_BYTES
            store.put("config", "main", config)
            acknowledged_at = record.now()
            record.add("acknowledged", version="r5", bytes=size)
            path = "/added/"
        ends_at = record.now() + WATCHED_S
        stale, served = [], 0
        while record.now() < ends_at:
            outcomes = await asyncio.gather(
                *(
                    caller.call("GET", f"{path}{WORK_MS}", DEADLINE_MS)
                    for caller in callers
                )
            )
            for outcome in outcomes:
                served += outcome.status == 200
                late_s = outcome.sent_at - acknowledged_at
                if outcome.status == 404 and late_s > BOUNDS["config_apply_s"]:
                    stale.append(outcome.request)
                    record.add(
                        "handled by an older version",
                        request=outcome.request,
                        sent_after_acknowledgement_s=round(late_s, 3),
                    )
            await asyncio.sleep(0.2)
        print(
            f"{served} requests served, {len(stale)} refused with 404 though their "
            f"route was acknowledged over {BOUNDS['config_apply_s']} s before"
        )
        if not served and not stale:
            return NOT_RUN
        return BROKEN if stale else HELD


if __name__ == "__main__":
    sys.exit(asyncio.run(run(Path(__file__).parent)))
