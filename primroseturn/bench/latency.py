"""Measures the latency that one daemon adds, and the highest rate that it sustains."""

from random import Random
from statistics import median
from time import perf_counter
from typing import NamedTuple

from anyio import create_task_group, sleep

from primroseturn.bench.client import Client, Timing
from primroseturn.bench.processes import cpu_time_s, ProcessIds, Subjects

QUANTILES = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
# Largest latency that the daemon may add at p99.
MAX_ADDED_P99_S = 0.0045
SEGMENT_S = 2.0
WARM_UP_S = 0.5
RATE_FACTOR = 1.25
MAX_RATE_PER_S = 3000.0
RATE_TRIAL_S = 4.0


class Spread(NamedTuple):
    """Smallest, median and largest value over all runs."""

    minimum: float
    median: float
    maximum: float


class RunFigures(NamedTuple):
    """Figures of one run by subject (see `Subjects`).

    Attributes
    ----------
    latencies_s
        Latencies in seconds by subject and quantile.
    failures, requests
        Number of failed requests, and of all requests.
    cpu_ms
        CPU time of the process per request. Other load on the machine disturbs it
        less than the latencies.
    """

    latencies_s: dict[str, dict[str, float]]
    failures: dict[str, int]
    requests: dict[str, int]
    cpu_ms: dict[str, float]

    def added_s(self, subject: str, baseline: str = "direct") -> dict[str, float]:
        """Return the quantiles of a subject minus those of a baseline."""
        own, base = self.latencies_s[subject], self.latencies_s[baseline]
        return {name: own[name] - base[name] for name in QUANTILES}


def quantiles_of(timings: list[Timing]) -> dict[str, float]:
    """Return the quantiles of the latencies in seconds."""
    ordered = sorted(item.latency_s for item in timings)
    last = len(ordered) - 1
    return {name: ordered[round(share * last)] for name, share in QUANTILES.items()}


async def send_load(
    client: Client, rate: float, seconds: float, random: Random
) -> list[Timing]:
    """Send requests as a Poisson process, whether or not earlier ones have ended."""
    timings: list[Timing] = []

    async def send(scheduled_at: float) -> None:
        timings.append(await client.fetch(scheduled_at))

    end_at = perf_counter() + seconds
    due_at = perf_counter()
    async with create_task_group() as tasks:
        while (due_at := due_at + random.expovariate(rate)) < end_at:
            await sleep(max(0.0, due_at - perf_counter()))
            tasks.start_soon(send, due_at)
    return timings


async def measure_subjects(
    subjects: Subjects, process_ids: ProcessIds, rate: float, seconds: float, seed: int
) -> RunFigures:
    """Measure all subjects in one run, in alternating segments of `SEGMENT_S`."""
    random = Random(seed)
    timings: dict[str, list[Timing]] = {name: [] for name in Subjects._fields}
    segment_s = min(SEGMENT_S, seconds)
    for client in subjects:
        await send_load(client, rate, min(WARM_UP_S, segment_s), random)
    cpu_s_by_name = {
        name: -cpu_time_s(process_id)
        for name, process_id in process_ids._asdict().items()
    }
    for _ in range(round(seconds / segment_s)):
        for name, client in subjects._asdict().items():
            timings[name] += await send_load(client, rate, segment_s, random)
    for name, process_id in process_ids._asdict().items():
        cpu_s_by_name[name] += cpu_time_s(process_id)
    return RunFigures(
        {name: quantiles_of(items) for name, items in timings.items()},
        {
            name: sum(item.status != 200 for item in items)
            for name, items in timings.items()
        },
        {name: len(items) for name, items in timings.items()},
        {
            name: used_s * 1000 / len(timings[name])
            for name, used_s in cpu_s_by_name.items()
        },
    )


async def find_highest_rate(subjects: Subjects, rate: float, seed: int) -> float:
    """Return the highest rate with an added p99 within `MAX_ADDED_P99_S`, or 0.

    Parameters
    ----------
    rate
        Lowest rate that is tried, in requests per second.
    """
    random = Random(seed)
    sustained_rate = 0.0
    while rate <= MAX_RATE_PER_S:
        direct = await send_load(subjects.direct, rate, RATE_TRIAL_S, random)
        through_daemon = await send_load(subjects.daemon, rate, RATE_TRIAL_S, random)
        added_s = quantiles_of(through_daemon)["p99"] - quantiles_of(direct)["p99"]
        if added_s > MAX_ADDED_P99_S or any(
            item.status != 200 for item in through_daemon
        ):
            break
        sustained_rate = rate
        rate *= RATE_FACTOR
    return sustained_rate


def spread(values: list[float]) -> Spread:
    """Return the minimum, median and maximum of values."""
    return Spread(min(values), median(values), max(values))
