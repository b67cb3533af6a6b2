"""The configuration changes while it is larger than a message between VMs may be."""

import asyncio
import json
import os
import random
import sys
from pathlib import Path
from time import monotonic
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "1"))

from standins.case import Case, main, write_requests
from standins.entries import configuration, Entry, Reply
from standins.target import Arrival, Target

ENTRIES = 12
SERVICES = ("core", "other")
# 12,000 keys make a configuration of about 350,000 bytes; the store holds 1,048,576.
KEYS = 12_000
VALUE_BYTES = 1_048_576
APPLY_S = 2.0
CHANGE_MIN_S, CHANGE_MAX_S = 3.5, 4.5
DURATION_S = 85.0
INTERVAL_S = 0.05


class Change(NamedTuple):
    """A version of the configuration, and when the store acknowledged it."""

    at: float
    version: str
    service: str


def large_configuration(version: str, service: str) -> dict[str, Any]:
    """Return a configuration whose routes all lead to one service."""
    found = configuration(version)
    found["services"].append({**found["services"][0], "name": SERVICES[1]})
    for path in found["virtual_hosts"][0]["paths"]:
        path["service"] = service
    count = 1 if os.environ.get("SMALL") == "1" else KEYS
    keys = [f"key-{number:020d}" for number in range(count)]
    found["tenants"].append(
        {"name": "federation", "api_keys": keys, "rate_per_s": 0, "burst": 0}
    )
    return found


async def send_until(entry: Entry, replies: list[Reply], ends_at: float) -> None:
    """Send reservations to an entry, one each `INTERVAL_S`."""
    pending: set[asyncio.Task[None]] = set()

    async def send_one() -> None:
        replies.append(await entry.call("/order/1", "POST", b"one"))

    while monotonic() < ends_at:
        task = asyncio.create_task(send_one())
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*pending)


async def change_until(case: Case, changes: list[Change], ends_at: float) -> None:
    """Move the routes to the other service at intervals."""
    while case.has_trouble and monotonic() < ends_at - CHANGE_MAX_S:
        await asyncio.sleep(random.uniform(CHANGE_MIN_S, CHANGE_MAX_S))
        put_configuration(case, changes)


def put_configuration(case: Case, changes: list[Change]) -> None:
    """Write the next version as the operator does."""
    number = len(changes)
    service, version = SERVICES[number % 2], f"r{number + 1}"
    value = large_configuration(version, service)
    size = len(json.dumps(value))
    assert size < VALUE_BYTES
    case.store.write("config", "main", value)
    changes.append(Change(monotonic(), version, service))
    case.note(f"{version} of {size} bytes is acknowledged, routes lead to {service}")


async def play(case: Case) -> bool:
    """Play the case and return whether the rule was broken."""
    arrivals: list[Arrival] = []
    replies: list[Reply] = []
    changes: list[Change] = []
    await case.store.start()
    put_configuration(case, changes)
    targets = [
        Target(case.store, f"i-{service}-{number}", arrivals, 0.02, 50, service)
        for service in SERVICES
        for number in range(2)
    ]
    for target in targets:
        await target.start()
    case.add_entries({"zone-a": ENTRIES})
    await case.start_entries()
    await asyncio.sleep(4.0)
    ends_at = monotonic() + DURATION_S
    await asyncio.gather(
        change_until(case, changes, ends_at),
        *(send_until(entry, replies, ends_at) for entry in case.entries),
    )
    service_of = {target.id: target.service for target in targets}
    return judge(case, arrivals, replies, changes, service_of)


def allowed_services(changes: list[Change], sent_at: float, ran_at: float) -> set[str]:
    """Return the services of the versions that may be in force for a request."""
    newest = max(
        index
        for index, change in enumerate(changes)
        if index == 0 or change.at + APPLY_S <= sent_at
    )
    return {change.service for change in changes[newest:] if change.at <= ran_at}


def judge(
    case: Case,
    arrivals: list[Arrival],
    replies: list[Reply],
    changes: list[Change],
    service_of: dict[str, str],
) -> bool:
    """Write what was sent, answered and run, and return whether CONFIG was broken."""
    write_requests(case, arrivals, replies)
    reply_of = {reply.attempt: reply for reply in replies}
    late = 0
    worst: dict[str, float] = {}
    for item in arrivals:
        reply = reply_of.get(item.attempt)
        if reply is None or not item.ran:
            continue
        service = service_of[item.target]
        if service in allowed_services(changes, reply.sent_at, item.at):
            continue
        last = max(change.at for change in changes if change.at <= reply.sent_at)
        after_s = reply.sent_at - last
        late += 1
        worst[reply.entry] = max(after_s, worst.get(reply.entry, 0.0))
        case.note(
            f"stale: {item.attempt}, sent to {reply.entry} {after_s:.2f} s after the "
            f"acknowledgement, was run by {service}, as only an older version allows",
            item.at,
        )
    statuses: dict[int, int] = {}
    for reply in replies:
        statuses[reply.status] = statuses.get(reply.status, 0) + 1
    case.note(f"{len(changes)} versions; sent {len(replies)}, answered {statuses}")
    case.note(f"run by a service that only an older version allows: {late}")
    for entry, after_s in sorted(worst.items()):
        case.note(f"{entry}: up to {after_s:.2f} s after the acknowledgement")
    return late > 0


if __name__ == "__main__":
    main(play, __file__)
