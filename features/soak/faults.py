"""Faults that a soak injects into processes and connections, for random durations."""

from collections.abc import Awaitable, Callable
from random import Random

from anyio import create_task_group, current_time, sleep
from httpx import HTTPError

from features.soak.fleet import LOOPBACK, SoakFleet
from features.soak.target import CONTROL_PATH
from primroseturn.standins.relay import Relay

Fault = Callable[[SoakFleet, Random, float], Awaitable[None]]
faults_by_name: dict[str, Fault] = {}
# Bounds of the time between the starts of two faults, and of the duration of a fault.
# Faults may overlap.
FAULT_INTERVAL_S = (0.2, 1.2)
DURATION_S = (0.3, 3.5)
# Time without the store, longer than the time for which a withdrawn key may work.
STORE_UNREACHABLE_S = 7.0
TARGET_MODES = (
    "error", "reset", "cut", "hang", "unsigned", "garbage", "foreign-first",
    "extra-after", "full",
)  # fmt: skip


def fault(function: Fault) -> Fault:
    """Register a fault under its name."""
    faults_by_name[function.__name__] = function
    return function


async def inject(
    fleet: SoakFleet, random: Random, until: float, names: list[str]
) -> None:
    """Start randomly chosen faults until a time, and wait until all have ended."""
    async with create_task_group() as tasks:
        while current_time() < until:
            name = random.choice(sorted(names))
            duration_s = min(
                random.uniform(*DURATION_S), max(0.1, until - current_time())
            )
            print(f"  {current_time():.2f} {name} {duration_s:.1f} s", flush=True)
            tasks.start_soon(faults_by_name[name], fleet, random, duration_s)
            await sleep(random.uniform(*FAULT_INTERVAL_S))


def draw_vms(fleet: SoakFleet, random: Random):
    """Return one or a few random VMs."""
    vms = list(fleet.vms_by_name.values())
    return random.sample(vms, random.choice((1, 1, 2, len(vms) // 2)))


@fault
async def kill_vms(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    for vm in draw_vms(fleet, random):
        await fleet.kill(vm)


@fault
async def kill_all(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    if random.random() < 0.3:
        async with create_task_group() as tasks:
            for vm in fleet.vms_by_name.values():
                tasks.start_soon(fleet.kill, vm)


@fault
async def stop_vms(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    for vm in draw_vms(fleet, random):
        fleet.tasks.start_soon(fleet.stop, vm)
        await sleep(random.uniform(0.0, 0.5))


@fault
async def pause_vms(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    async with create_task_group() as tasks:
        for vm in draw_vms(fleet, random):
            tasks.start_soon(fleet.pause, vm, random.choice((duration_s, 6.0)))


@fault
async def reload_vms(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    for vm in draw_vms(fleet, random):
        fleet.reload(vm)


async def disturb_relay(relay: Relay, random: Random, duration_s: float) -> None:
    """Delay, reset or stall the connections of a relay, or drop one direction."""
    kind = random.choice(("delay", "reset", "requests", "responses", "stall"))
    if kind == "delay":
        relay.delay_s = random.uniform(0.05, 0.5)
    elif kind == "reset":
        await relay.reset()
    elif kind == "stall":
        relay.stall_connections()
    else:
        relay.dropped_directions = frozenset((kind,))
    await sleep(duration_s)
    relay.delay_s, relay.dropped_directions = 0.0, frozenset()


@fault
async def cut_vms_from_store(
    fleet: SoakFleet, random: Random, duration_s: float
) -> None:
    async with create_task_group() as tasks:
        for vm in draw_vms(fleet, random):

            async def cut(vm=vm) -> None:
                async with fleet.disturb(vm.name):
                    await disturb_relay(vm.store_relay, random, duration_s)

            tasks.start_soon(cut)


@fault
async def withdraw_behind_cut(
    fleet: SoakFleet, random: Random, duration_s: float
) -> None:
    """Withdraw a key while no VM reaches the store for `STORE_UNREACHABLE_S`."""
    vms = list(fleet.vms_by_name.values())
    async with fleet.disturb(*(vm.name for vm in vms)):
        for vm in vms:
            vm.store_relay.dropped_directions = frozenset(("requests", "responses"))
        await change_keys(fleet, random, duration_s)
        await sleep(STORE_UNREACHABLE_S)
        for vm in vms:
            vm.store_relay.dropped_directions = frozenset()


@fault
async def cut_targets(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    targets = random.sample(list(fleet.targets_by_id.values()), 2)
    async with fleet.disturb("targets"), create_task_group() as tasks:
        for target in targets:
            tasks.start_soon(disturb_relay, target.relay, random, duration_s)


async def set_fault_mode(fleet: SoakFleet, port: int, mode: str, share: float) -> None:
    """Set the share of its requests that a target fails, and how it fails them."""
    url = f"http://{LOOPBACK}:{port}{CONTROL_PATH}?mode={mode}&share={share}"
    try:
        await fleet.http.get(url, headers={"Connection": "close"})
    except HTTPError as error:
        print(f"  cannot set the mode of target port {port}: {type(error).__name__}")


@fault
async def gray_targets(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    targets = random.sample(list(fleet.targets_by_id.values()), 3)
    async with fleet.disturb("targets"):
        for target in targets:
            mode, share = random.choice(TARGET_MODES), random.choice((0.2, 0.6, 1.0))
            await set_fault_mode(fleet, target.port, mode, share)
        await sleep(duration_s)
        for target in targets:
            await set_fault_mode(fleet, target.port, "ok", 0.0)


@fault
async def replace_target(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    old = random.choice(list(fleet.targets_by_id.values()))
    await fleet.add_target(old.service)
    del fleet.targets_by_id[old.id]
    await fleet.list_target(old, "draining")
    fleet.history.draining_at_by_target[old.id] = current_time()
    await sleep(2.5)
    await fleet.write_object("servers", old.id, None)
    # On the platform, a target still serves for a short time after its list entry was
    # removed.
    await sleep(0.5)
    assert old.process is not None
    old.process.kill()


async def disturb_store(fleet: SoakFleet, duration_s: float, **faults) -> None:
    """Put faults of the store in force for a number of seconds."""
    async with fleet.disturb("store"):
        await fleet.set_store_faults(**faults)
        await sleep(duration_s)
        await fleet.set_store_faults()


@fault
async def store_away(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    duration_s = random.choice((duration_s, 6.5))
    await disturb_store(fleet, duration_s, outage=True)


@fault
async def store_slow(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    await disturb_store(fleet, duration_s, delay_s=random.uniform(0.05, 0.6))


@fault
async def store_loses_answers(
    fleet: SoakFleet, random: Random, duration_s: float
) -> None:
    shares = {"lost_answer_share": 0.3, "late_share": random.choice((0.0, 0.3))}
    await disturb_store(fleet, duration_s, **shares)


@fault
async def store_silent_watches(
    fleet: SoakFleet, random: Random, duration_s: float
) -> None:
    await disturb_store(fleet, duration_s, silent_watches=True)


@fault
async def change_keys(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    name = random.choice(sorted(fleet.keys_by_workspace))
    fleet.keys_by_workspace[name] = [f"{name}-{next(fleet.numbers)}"]
    await fleet.publish_configuration()


@fault
async def move_routes(fleet: SoakFleet, random: Random, duration_s: float) -> None:
    for _ in range(random.choice((1, 1, 4))):
        kind = random.choice(("lookup", "order"))
        service = fleet.services_by_kind[kind]
        fleet.services_by_kind[kind] = "docs" if service == "core" else "core"
        await fleet.publish_configuration()
