"""Course of the demo: traffic, faults, a withdrawn key and the summary."""

from math import ceil
from typing import NamedTuple

from anyio import create_task_group, current_time, fail_after, sleep
from httpx import AsyncClient, Limits
from msgspec import to_builtins
from msgspec.structs import replace

from primroseturn.plugins.demo.callers import Results, run_caller
from primroseturn.plugins.demo.fleet import DemoFleet, run_fleet
from primroseturn.standins.store import StoreFaults
from primroseturn.standins.upstream import UpstreamFaults

READY_TIMEOUT_S = 5.0
MAX_WITHDRAWAL_S = 5.0
NEIGHBOUR_CALLERS = 6
KEY_REFUSED = "key-refused"


class Step(NamedTuple):
    """A step, which starts after the fraction `share` of the demo's duration."""

    share: float
    label: str


STEPS = (
    Step(0.0, "healthy"),
    Step(0.15, "search1 slow, search2 30% errors, archive1 cuts"),
    Step(0.5, "also: neighbour's key withdrawn"),
    Step(0.7, "also: store outage"),
    Step(0.85, "faults over"),
)


class Check(NamedTuple):
    """A stated outcome and whether the demo met it."""

    text: str
    met: bool


async def wait_ready(fleet: DemoFleet) -> None:
    """Wait until all daemons have the configuration and the target lists."""
    with fail_after(READY_TIMEOUT_S):
        for kernel in fleet.kernels_by_vm.values():
            while (
                kernel.find("replica").state.version < fleet.version
                or len(kernel.find("listing").targets_by_service) < 2
            ):
                await sleep(0.01)


def start_step(fleet: DemoFleet, number: int, seed: int) -> None:
    """Inject or remove the faults of a step."""
    upstreams = fleet.upstreams_by_name
    if number == 1:
        upstreams["search1"].faults = UpstreamFaults(extra_delay_s=0.2, seed=seed)
        upstreams["search2"].faults = UpstreamFaults(error_share=0.3, seed=seed)
        upstreams["archive1"].faults = UpstreamFaults(cut_share=0.3, seed=seed)
    elif number == 2:
        key_id = fleet.key_ids_by_workspace["neighbour"]
        state = next(iter(fleet.kernels_by_vm.values())).find("replica").state
        withdrawn = replace(state.keys_by_id[key_id], withdrawn=True)
        fleet.configure("key", key_id, to_builtins(withdrawn))
    elif number == 3:
        fleet.store.set_faults(StoreFaults(outage=True))
    elif number == 4:
        fleet.store.set_faults(StoreFaults())
        for upstream in upstreams.values():
            upstream.faults = UpstreamFaults()


def print_row(results: Results, since: int, elapsed_s: float, label: str) -> None:
    """Print the figures of the requests since the last row.

    Parameters
    ----------
    since
        Number of requests that earlier rows cover.
    """
    latencies = sorted(item.latency_s for item in results.requests[since:])
    p99 = latencies[ceil(0.99 * len(latencies)) - 1] * 1000 if latencies else 0.0
    counts = results.count(since)
    total = sum(counts.values())
    ok = counts.pop("ok", 0)
    broken = counts.pop("broken-visibly", 0)
    errors = counts.pop("upstream-error", 0)
    refused = sum(counts.values())
    print(
        f"{elapsed_s:5.1f} {total:9d} {ok:6d} {refused:8d} {errors:7d} {broken:7d} "
        f"{p99:8.0f}  {label}",
        flush=True,
    )


async def show_progress(
    fleet: DemoFleet, results: Results, seconds: float, seed: int
) -> float:
    """Inject each step's faults on time and print a row per second.

    Returns the monotonic time in seconds of the key's withdrawal.
    """
    started = current_time()
    print(" time  requests     ok  refused  errors  broken   p99 ms  state")
    since, step, withdrawn_at, next_row = 0, 0, 0.0, 1.0
    while (elapsed := current_time() - started) < seconds:
        while step + 1 < len(STEPS) and elapsed >= STEPS[step + 1].share * seconds:
            step += 1
            start_step(fleet, step, seed)
            if step == 2:
                withdrawn_at = current_time()
        if elapsed >= next_row:
            print_row(results, since, elapsed, STEPS[step].label)
            since, next_row = len(results.requests), next_row + 1.0
        await sleep(0.05)
    return withdrawn_at


def check_results(
    fleet: DemoFleet, results: Results, withdrawn_at: float
) -> list[Check]:
    """Compare the results with the stated outcomes."""
    executions_by_key: dict[str, int] = {}
    for upstream in fleet.upstreams_by_name.values():
        for key, count in upstream.executions_by_key.items():
            executions_by_key[key] = executions_by_key.get(key, 0) + count
    repeated = sum(count > 1 for count in executions_by_key.values())
    use_times_s = [
        item.ended_at - withdrawn_at
        for item in results.requests
        if item.workspace == "neighbour" and item.outcome == "ok"
    ]
    last_use_s = max(0.0, max(use_times_s, default=0.0))
    secrets = [secret.encode() for secret in fleet.secrets_by_workspace.values()]
    leaks = sum(
        any(secret in value for secret in secrets for _, value in headers)
        for upstream in fleet.upstreams_by_name.values()
        for headers in upstream.received_headers
    )
    counts = results.count()
    return [
        Check(
            f"operations that ran twice: {repeated} of {len(results.operations)}",
            repeated == 0,
        ),
        Check(
            f"responses with wrong content: {results.wrong_bodies}",
            results.wrong_bodies == 0,
        ),
        Check(f"requests that leaked a key to an upstream: {leaks}", leaks == 0),
        Check(
            f"last use of the withdrawn key: {last_use_s:.2f} s after its withdrawal",
            last_use_s <= MAX_WITHDRAWAL_S and counts[KEY_REFUSED] > 0,
        ),
    ]


def print_summary(results: Results, checks: list[Check]) -> None:
    """Print the counts of requests and the stated outcomes."""
    print("\nrequests by outcome")
    for name, count in results.count().most_common():
        print(f"  {name:24} {count:7d}")
    print("\nstated outcomes")
    for check in checks:
        print(f"  {'met   ' if check.met else 'MISSED'} {check.text}")


async def run_demo(seconds: float, seed: int) -> bool:
    """Run the demo and return whether all stated outcomes were met."""
    async with run_fleet() as fleet:
        await wait_ready(fleet)
        results = Results()
        limits = Limits(max_connections=200)
        async with AsyncClient(trust_env=False, timeout=5, limits=limits) as http:
            until = current_time() + seconds
            async with create_task_group() as tasks:
                callers = [("catalogue", "lookup")] * 4 + [("orders", "order")] * 2
                callers += [("catalogue", "download")]
                callers += [("neighbour", "lookup")] * NEIGHBOUR_CALLERS
                for number, (workspace, kind) in enumerate(callers):
                    tasks.start_soon(
                        run_caller,
                        fleet,
                        http,
                        results,
                        workspace,
                        kind,
                        seed * 1000 + number,
                        until,
                    )
                withdrawn_at = await show_progress(fleet, results, seconds, seed)
        checks = check_results(fleet, results, withdrawn_at)
    print_summary(results, checks)
    return all(check.met for check in checks)
