"""Targets leave without reporting it, soon after the store was down."""

import asyncio
import sys
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins.case import Case, main, write_requests
from standins.entries import configuration, Entry, Reply
from standins.target import Arrival, Target

ZONES = {"zone-a": 3, "zone-b": 3, "zone-c": 3, "zone-d": 3}
ROUNDS = 5
DOWN_S = 4.5
STABLE_S, DRAIN_S = 3.0, 2.0
# The target leaves this long after the store is back, when the store is stable again.
LEAVES_AFTER_S = STABLE_S + 0.1
# It goes on serving for `drain_s` and some seconds more, then exits.
SERVES_S = DRAIN_S + 4.0
INTERVAL_S = 0.1


async def send_forever(entry: Entry, replies: list[Reply]) -> None:
    """Send reservations to an entry, one each `INTERVAL_S`."""
    pending: set[asyncio.Task[None]] = set()

    async def send_one() -> None:
        replies.append(await entry.call("/order/1", "POST", b"one"))

    while True:
        task = asyncio.create_task(send_one())
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(INTERVAL_S)


async def play(case: Case) -> bool:
    """Play the rounds and return whether the rule was broken."""
    arrivals: list[Arrival] = []
    replies: list[Reply] = []
    left_at: dict[str, float] = {}
    exited_at: dict[str, float] = {}
    await case.store.start()
    case.store.write("config", "main", configuration("r1"))
    stay = [Target(case.store, f"i-stay-{number}", arrivals) for number in range(3)]
    for target in stay:
        await target.start()
    case.add_entries(ZONES)
    await case.start_entries()
    await asyncio.sleep(2.0)
    senders = [asyncio.create_task(send_forever(e, replies)) for e in case.entries]
    for number in range(ROUNDS):
        target = Target(case.store, f"i-leave-{number}", arrivals)
        await target.start()
        case.note(f"{target.id} has joined")
        await asyncio.sleep(3.5)
        if case.has_trouble:
            case.store.set_silent(True)
            case.note("the store is down (silent)")
        await asyncio.sleep(DOWN_S)
        case.store.set_silent(False)
        case.note("the store is back")
        await asyncio.sleep(LEAVES_AFTER_S)
        left_at[target.id] = target.unregister()
        case.note(f"{target.id} leaves: the store has removed its entry")
        await asyncio.sleep(SERVES_S)
        target.stop()
        exited_at[target.id] = monotonic()
        case.note(f"{target.id} has exited")
        await asyncio.sleep(1.0)
    for sender in senders:
        sender.cancel()
    await asyncio.sleep(2.5)
    return judge(case, arrivals, replies, left_at, exited_at)


def judge(
    case: Case,
    arrivals: list[Arrival],
    replies: list[Reply],
    left_at: dict[str, float],
    exited_at: dict[str, float],
) -> bool:
    """Write what was sent, answered and run, and return whether DRAIN was broken."""
    write_requests(case, arrivals, replies)
    entry_of = {reply.attempt: reply.entry for reply in replies}
    status_of = {reply.attempt: reply.status for reply in replies}
    late = [
        item
        for item in arrivals
        if item.ran
        and item.target in left_at
        and item.at > left_at[item.target] + DRAIN_S
    ]
    for item in late:
        after_s = item.at - left_at[item.target]
        case.note(
            f"late: {item.attempt} from {entry_of.get(item.attempt)} reached "
            f"{item.target} {after_s:.2f} s after its removal, "
            f"status {status_of.get(item.attempt)}",
            item.at,
        )
    lost = [item for item in late if status_of.get(item.attempt) in (0, 502, 504)]
    statuses: dict[int, int] = {}
    for reply in replies:
        statuses[reply.status] = statuses.get(reply.status, 0) + 1
    case.note(f"sent {len(replies)}, answered by status {statuses}")
    case.note(f"run {sum(item.ran for item in arrivals)}")
    case.note(f"late at a target that has left: {len(late)}, of these lost {len(lost)}")
    for target in left_at:
        found = [item for item in late if item.target == target]
        senders = sorted({entry_of.get(item.attempt, "?") for item in found})
        case.note(f"{target}: {len(found)} late requests, from {senders}")
    return bool(late)


if __name__ == "__main__":
    main(play, __file__)
