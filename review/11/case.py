"""A withdrawn key is accepted again by processes that restart around a drill."""

import asyncio
import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.stands3.world import Entry, route, run_case, World  # noqa: E402

REVOKE_S = 5.0
ROUNDS = 4
# Seconds before the return of the store at which the processes of a zone are killed,
# and for which the store is away.
KILL_LEAD_S, AWAY_S = 0.55, 0.2
RESTART_DELAY_S = 0.1
# Seconds between the copy and the withdrawal, and from the acknowledgement of the
# withdrawal until the store is back.
COPY_LEAD_S, DRILL_AFTER_S = 0.5, 6.0
# Seconds after which the operator has written again what the copy lacks.
REWRITE_S = 3.0
ROUTES = [
    route("lookup", "/lookup/", "idempotent", "core"),
    route("order", "/order/", "non_idempotent", "core"),
]


def tenants(*keys: str) -> list[dict]:
    """Return the only tenant with its keys."""
    return [{"name": "shop", "api_keys": list(keys), "rate_per_s": 0, "burst": 0}]


class Balancer:
    """The platform's choice of daemons: out of rotation after two misses."""

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.misses = {entry.name: 0 for entry in entries}

    async def watch(self) -> None:
        """Ask each daemon once a second whether it is ready."""
        while True:
            answers = await asyncio.gather(*(item.is_ready() for item in self.entries))
            for entry, ready in zip(self.entries, answers, strict=True):
                self.misses[entry.name] = 0 if ready else self.misses[entry.name] + 1
            await asyncio.sleep(1.0)

    def uses(self, entry: Entry) -> bool:
        """Return whether new connections go to a daemon."""
        zone = [item for item in self.entries if item.zone == entry.zone]
        count = sum(self.misses[item.name] < 2 for item in zone)
        return self.misses[entry.name] < 2 or 0 < count < len(zone) / 2


async def restart(world: World, entries: list[Entry], at: float) -> None:
    """Kill processes at the same moment; the platform starts them again."""
    await asyncio.sleep(at - world.now())
    for entry in entries:
        entry.signal(signal.SIGKILL)
    for entry in entries:
        await entry.process.wait()
    world.note("killed: " + ", ".join(entry.name for entry in entries))
    await asyncio.sleep(RESTART_DELAY_S)
    for entry in entries:
        await entry.start(wait=False)


async def drill(world: World, copy, spec: dict, back_at: float) -> None:
    """Let the store be away and come back from a copy; then the operator rewrites."""
    await asyncio.sleep(back_at - AWAY_S - world.now())
    for entry in world.entries.values():
        world.store.set_mode(entry.store_port, "reset")
    world.note("store: away")
    await asyncio.sleep(back_at - world.now())
    world.store.roll_back(copy)
    for target in world.targets.values():
        world.list_target(target)
    for entry in world.entries.values():
        world.store.set_mode(entry.store_port, "")
    world.note(f"store: back from the copy, era {world.store.era}")
    await asyncio.sleep(REWRITE_S)
    world.store.write("config", "main", spec)
    world.note(f"operator: {spec['version']} written again")


async def ask(world: World, balancer: Balancer, acked_at: float, until: float) -> list:
    """Send requests with the withdrawn key to all daemons in rotation."""
    broken = []

    async def ask_one(entry: Entry) -> None:
        while world.now() < until:
            if balancer.uses(entry):
                sent_at = world.now()
                attempt, answer = await world.request(entry, "POST", "/order/x", "k1")
                ran = any(
                    request.get("attempt-id") == attempt
                    for target in world.targets.values()
                    for _, request in target.runs
                )
                status = answer.start[1] if answer else "no answer"
                age_s = sent_at - acked_at
                if status not in ("401", "no answer"):
                    world.note(
                        f"{entry.name}: {attempt} with k1, sent {age_s:.2f} s after "
                        f"the acknowledgement: {status}, ran: {ran}"
                    )
                if ran and age_s > REVOKE_S:
                    broken.append(
                        f"{attempt} ran at {entry.name}, sent {age_s:.2f} s after the "
                        "acknowledgement that took its key away"
                    )
            await asyncio.sleep(0.02)

    await asyncio.gather(*(ask_one(entry) for entry in world.entries.values()))
    return broken


async def case(world: World, trouble: bool) -> list[str]:
    """Withdraw a key, then restart one zone's processes around a drill."""
    for name in ("t1", "t2"):
        await world.add_target(name, "core")
    world.publish(ROUTES, tenants("k1", "k2"))
    entries = await asyncio.gather(
        world.add_entry("a1", "almaty-a"),
        world.add_entry("a2", "almaty-a"),
        world.add_entry("b1", "almaty-b"),
        world.add_entry("b2", "almaty-b"),
    )
    balancer = Balancer(entries)
    watching = asyncio.create_task(balancer.watch())
    broken: list[str] = []
    for number in range(ROUNDS):
        world.note(f"round {number + 1}")
        world.publish(ROUTES, tenants("k1", "k2"))
        await asyncio.sleep(4.0)
        copy = world.store.save()
        await asyncio.sleep(COPY_LEAD_S)
        world.publish(ROUTES, tenants("k2"))
        spec = world.store.objects["config"]["main"]["spec"]
        acked_at = world.now()
        back_at = acked_at + DRILL_AFTER_S
        tasks = []
        if trouble:
            tasks = [
                asyncio.create_task(restart(world, entries[:2], back_at - KILL_LEAD_S)),
                asyncio.create_task(drill(world, copy, spec, back_at)),
            ]
        await asyncio.sleep(REVOKE_S + 0.2)
        broken += await ask(world, balancer, acked_at, back_at + REWRITE_S + 2.0)
        await asyncio.gather(*tasks)
    watching.cancel()
    return broken


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
