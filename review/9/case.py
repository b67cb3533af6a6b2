"""A planned stop drops pipelined requests that the process has read."""

import asyncio
import signal
import sys
from pathlib import Path

from stands2.caller import HOST, KEY
from stands2.wire import read_message, request
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

CONNECTIONS, WORK_MS, DEADLINE_MS, TIMEOUT_S = 8, 600, 2500, 2.5
LOSS_SLACK_S = SMALL_BOUNDS["loss_slack_s"]
ROUTES = [route("lookup", "/lookup/", "idempotent", timeout_s=TIMEOUT_S)]


async def send_two(record, port: int, number: int, sent: asyncio.Event) -> dict:
    """Send two lookups on one connection, one after the other, and read the answers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    names = [f"c{number}-{part}" for part in (1, 2)]
    for name in names:
        headers = {
            "Host": HOST,
            "Attempt-Id": name,
            "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {KEY}",
        }
        record.add("sent", request=name)
        writer.write(request("GET", f"/lookup/{WORK_MS}", headers))
        await writer.drain()
        await asyncio.sleep(0.1)
    sent_at = record.now() - 0.1
    sent.set()
    end, statuses = "open", []
    try:
        for name in names:
            message = await asyncio.wait_for(read_message(reader), 4.0)
            if message is None:
                # A process that closes a connection with unread bytes resets it.
                end = "reset" if reader.exception() else "closed"
                break
            statuses.append(message.status)
            record.add("answered", request=name, status=message.status)
    except TimeoutError:
        end = "silent"
    waited_s = record.now() - sent_at
    writer.close()
    outcome = {"statuses": statuses, "end": end, "waited_s": round(waited_s, 3)}
    record.add("connection ended", request=names[-1], **outcome)
    return outcome


async def run(case: Path) -> int:
    async with run_world(case) as world:
        world.store.put("config", "main", configuration(3, ROUTES))
        for number in range(3):
            await world.add_target(f"i-{number}a")
        entries = [world.add_entry(f"edge-{n}", SMALL_BOUNDS) for n in (1, 2)]
        await world.wait_ready()
        await asyncio.sleep(1.0)
        signals = [asyncio.Event() for _ in range(CONNECTIONS)]
        sending = asyncio.gather(
            *(
                send_two(world.record, entries[0].front, number, sent)
                for number, sent in enumerate(signals)
            )
        )
        await asyncio.gather(*(sent.wait() for sent in signals))
        world.record.add("stop", signal="SIGTERM" if TROUBLE else "none")
        if TROUBLE:
            entries[0].send(signal.SIGTERM)
        outcomes = await sending
        if any(not outcome["statuses"] for outcome in outcomes):
            print("the first requests were not answered", file=sys.stderr)
            return NOT_RUN
        lost = [
            item
            for item in outcomes
            if item["end"] == "closed" and item["waited_s"] > LOSS_SLACK_S
        ]
        print(
            f"{len(outcomes)} connections with two requests each, on {len(lost)} "
            "of them the second was read and not answered"
        )
        return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(asyncio.run(run(Path(__file__).parent)))
