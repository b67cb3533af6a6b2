"""Compares detectors: detection time by replay, false ejections by simulation.

Detection times come from replays of one data centre with the daemon's code. False
ejections are too rare for replays, so a simulation of pooled healthy evidence with
the detectors' own constants runs for thousands of target-hours. It assumes that
late answers are independent.
"""

from concurrent.futures import ProcessPoolExecutor
from math import erf, log, sqrt
from typing import NamedTuple

import numpy as np

from primroseturn.detection import cusum, outlier
from primroseturn.detection.monitor import VERY_LATE_FACTOR
from primroseturn.detection.profiles import Profile
from primroseturn.detection.reference import LATE_FACTOR
from primroseturn.replay.driver import run_replay
from primroseturn.replay.generator import (
    center_lines,
    FAULT_AT_S,
    one_center,
    Size,
    SIZES,
)
from primroseturn.replay.results import detection_s, quantile
from primroseturn.replay.trace import ServiceLine, sort_lines

FAULTS = ("slow-target", "partial-errors")
# Detections that take longer count as missed; the careful profile allows 3 s.
LONGEST_S = 3.0
STEP_S = 0.025
BATCH_TARGETS = 20_000


class DetectorSetting(NamedTuple):
    """A detector and its threshold."""

    detector: str
    threshold: float


DETECTOR_SETTINGS = (
    DetectorSetting("consecutive", 3),
    DetectorSetting("consecutive", 5),
    DetectorSetting("consecutive", 8),
    DetectorSetting("outlier", 0.15),
    DetectorSetting("outlier", 0.25),
    DetectorSetting("outlier", 0.4),
    DetectorSetting("phi", 4),
    DetectorSetting("phi", 8),
    DetectorSetting("phi", 12),
    DetectorSetting("cusum", 12),
    DetectorSetting("cusum", 16),
    DetectorSetting("cusum", 20),
    DetectorSetting("cusum", 24),
)


class Trial(NamedTuple):
    """One replay of a fault."""

    setting: DetectorSetting
    size: Size
    fault: str
    seed: int


class Finding(NamedTuple):
    """What a trial showed; `detection_s` is None when it took too long."""

    trial: Trial
    detection_s: float | None
    false_ejections: int
    target_hours: float


class DetectorFigures(NamedTuple):
    """Figures of one setting at one size."""

    setting: DetectorSetting
    size: str
    slow_p50_s: float
    slow_p99_s: float
    errors_p50_s: float
    errors_p99_s: float
    missed: int
    trials: int
    replay_false: int
    replay_target_hours: float
    false_per_1000_h: float
    simulated_target_hours: float


def run_trial(trial: Trial) -> Finding:
    """Replay one fault in one data centre."""
    lines = center_lines(trial.fault, trial.size, trial.seed)
    lines[0].duration_s = FAULT_AT_S + LONGEST_S
    trace = sort_lines(trial.fault, lines)
    profile = Profile("trial", trial.setting.detector, trial.setting.threshold)
    expect = next(e for e in trace.expectations if e.measure == "detection_s")
    found: list[float | None] = []
    wrong: list[int] = []

    def inspect(replay) -> None:
        found.append(detection_s(replay.tally, expect))
        changes = replay.tally.changes
        wrong.append(sum(item.ejected and not item.faulty for item in changes))

    run_replay(trace, profile, inspect)
    hours = trace.fleet.duration_s * one_center(trial.size).targets / 3600.0
    return Finding(trial, found[0], wrong[0], hours)


def late_share(line: ServiceLine, factor: float = LATE_FACTOR) -> float:
    """Return the share of healthy answers beyond a multiple of the median."""

    def beyond(multiple: float) -> float:
        return 0.5 * (1.0 - erf(log(multiple) / line.sigma / sqrt(2.0)))

    tail = line.tail_share * beyond(factor / line.tail_factor)
    return (1.0 - line.tail_share) * beyond(factor) + tail


class Stream:
    """Healthy evidence of many targets at once, in steps of `STEP_S`."""

    def __init__(self, size: Size, targets: int, seed: int) -> None:
        line = ServiceLine(size.service, size.targets, size.slots, 0.018)
        self.rate = size.rate / size.targets
        self.failed_share = line.failed_share
        self.late_share = late_share(line)
        very_late = late_share(line, VERY_LATE_FACTOR * LATE_FACTOR)
        self.very_late_part = very_late / self.late_share
        self.targets = targets
        self.random = np.random.default_rng(seed)

    def step(self) -> tuple[np.ndarray, np.ndarray, np.ndarray]:
        """Return the exchanges, failed and late ones of the next step."""
        total = self.random.poisson(self.rate * STEP_S, self.targets)
        failed = self.random.binomial(total, self.failed_share)
        late = self.random.binomial(total - failed, self.late_share)
        return total, failed, late


def count_cusum(stream: Stream, steps: int, threshold: float) -> int:
    """Return the false alarms of the CUSUM detector."""
    margin = cusum.BASELINE_MARGIN
    failed_base = max(cusum.FAILED_BASELINE, margin * stream.failed_share)
    late_base = max(cusum.LATE_BASELINE, margin * stream.late_share)
    sums = np.zeros((2, stream.targets))
    alarms = 0
    for _ in range(steps):
        total, failed, late = stream.step()
        very_late = stream.random.binomial(late, stream.very_late_part)
        sums[0] += cusum.log_likelihood_ratio(
            failed, total, failed_base, cusum.FAILED_ALTERNATIVE
        )
        sums[1] += cusum.late_log_likelihood_ratio(
            late, very_late, total, late_base, cusum.LATE_ALTERNATIVE
        )
        np.maximum(sums, 0.0, out=sums)
        over = (sums >= threshold).any(axis=0)
        alarms += int(over.sum())
        sums[:, over] = 0.0
    return alarms


def count_outlier(stream: Stream, steps: int, threshold: float) -> int:
    """Return the false alarms of the outlier percentage."""
    length = round(outlier.WINDOW_S / STEP_S)
    ring = np.zeros((length, 3, stream.targets), dtype=np.int16)
    window = np.zeros((3, stream.targets), dtype=np.int32)
    quiet_until = np.zeros(stream.targets, dtype=np.int64)
    alarms = 0
    for number in range(steps):
        slot = ring[number % length]
        window -= slot
        slot[:] = np.stack(stream.step())
        window += slot
        total = np.maximum(window[0], 1)
        failed = window[1] / total - stream.failed_share
        late = window[2] / total - stream.late_share
        over = (np.maximum(failed, late) >= threshold) & (number >= quiet_until)
        over &= window[0] >= outlier.MIN_EXCHANGES
        alarms += int(over.sum())
        quiet_until[over] = number + length
    return alarms


def count_phi(stream: Stream, steps: int, threshold: float) -> int:
    """Return the false alarms of the phi-accrual detector."""
    good_rate = stream.rate * (1.0 - stream.failed_share - stream.late_share)
    limit = threshold * log(10.0) / good_rate / STEP_S
    since_good = np.zeros(stream.targets, dtype=np.int32)
    alarms = 0
    for _ in range(steps):
        total, failed, late = stream.step()
        bad = failed + late
        since_good += 1
        since_good[total > bad] = 0
        over = (since_good >= limit) & (bad > 0)
        alarms += int(over.sum())
        since_good[over] = 0
    return alarms


def count_consecutive(stream: Stream, steps: int, threshold: float) -> int:
    """Return the false alarms of consecutive errors, each VM alone."""
    runs = np.zeros(stream.targets, dtype=np.int32)
    alarms = 0
    # A VM sees its requests one by one, so a step is one request per target; the
    # number of requests is that of all VMs together.
    for _ in range(round(steps * STEP_S * stream.rate)):
        failed = stream.random.random(stream.targets) < stream.failed_share
        runs = (runs + 1) * failed
        over = runs >= threshold
        alarms += int(over.sum())
        runs[over] = 0
    return alarms


COUNTERS = {
    "cusum": count_cusum,
    "outlier": count_outlier,
    "phi": count_phi,
    "consecutive": count_consecutive,
}


def count_false(job: tuple[DetectorSetting, Size, float, int]) -> int:
    """Return the false alarms of a setting in many healthy target-hours."""
    setting, size, target_hours, seed = job
    stream = Stream(size, BATCH_TARGETS, seed)
    steps = round(target_hours * 3600.0 / BATCH_TARGETS / STEP_S)
    return COUNTERS[setting.detector](stream, steps, setting.threshold)


def compare_detectors(
    settings: list[DetectorSetting], trials: int, target_hours: float, processes: int
) -> list[DetectorFigures]:
    """Measure all settings at both sizes."""
    jobs = [
        Trial(setting, size, fault, seed)
        for setting in settings
        for size in SIZES
        for fault in FAULTS
        for seed in range(1, trials + 1)
    ]
    simulations = [
        (setting, size, target_hours, seed)
        for seed, setting in enumerate(settings, 1)
        for size in SIZES
    ]
    with ProcessPoolExecutor(processes) as pool:
        counting = pool.map(count_false, simulations)
        findings = list(pool.map(run_trial, jobs, chunksize=2))
        false_counts = list(counting)
    figures = []
    for (setting, size, _, _), count in zip(simulations, false_counts, strict=True):
        own = [
            item
            for item in findings
            if item.trial.setting == setting and item.trial.size == size
        ]
        figures.append(summarise_setting(setting, size, own, count, target_hours))
    return figures


def summarise_setting(
    setting: DetectorSetting,
    size: Size,
    findings: list[Finding],
    false_count: int,
    target_hours: float,
) -> DetectorFigures:
    """Return the figures of one setting at one size; missed ones count as infinite."""
    times = {
        fault: [
            float("inf") if item.detection_s is None else item.detection_s
            for item in findings
            if item.trial.fault == fault
        ]
        for fault in FAULTS
    }
    return DetectorFigures(
        setting,
        size.name,
        quantile(times["slow-target"], 0.5),
        quantile(times["slow-target"], 0.99),
        quantile(times["partial-errors"], 0.5),
        quantile(times["partial-errors"], 0.99),
        sum(item.detection_s is None for item in findings),
        len(findings),
        sum(item.false_ejections for item in findings),
        sum(item.target_hours for item in findings),
        1000.0 * false_count / target_hours,
        target_hours,
    )
