"""Compares detectors by their detection times and false ejections.

Detection times come from replays of one data centre with the daemon's code. False
ejections are too rare for replays, so they are counted in a simulation of thousands
of target-hours, which applies the detectors' constants to the pooled evidence of
healthy targets. The simulation assumes that late responses are independent.
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
from primroseturn.replay.trace import build_trace, ServiceLine

FAULTS = ("slow-target", "partial-errors")
# Longer detections are treated as missed. The careful profile allows 3 s.
MISSED_AFTER_S = 3.0
SIMULATION_STEP_S = 0.025
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


class FaultReplay(NamedTuple):
    """One replay of a fault."""

    setting: DetectorSetting
    size: Size
    fault: str
    seed: int


class FaultReplayResult(NamedTuple):
    """Result of a `FaultReplay`.

    Attributes
    ----------
    detection_s
        Seconds until the detection, or None if it took longer than `MISSED_AFTER_S`.
    target_hours
        Duration of the replay times its targets.
    """

    fault_replay: FaultReplay
    detection_s: float | None
    false_ejections: int
    target_hours: float


class DetectorFigures(NamedTuple):
    """Figures of one setting at one size.

    Attributes
    ----------
    slow_p50_s, slow_p99_s
        Quantiles of the detection time of a slow target.
    errors_p50_s, errors_p99_s
        Quantiles of the detection time of a target with errors.
    missed, trials
        Number of fault replays without a detection in time, and of all of them.
    replay_false_ejections, replay_target_hours
        False ejections in the replays and the target-hours that these cover.
    false_per_1000_h, simulated_target_hours
        False ejections of the simulation per 1,000 target-hours, and the target-hours
        that it covers.
    """

    setting: DetectorSetting
    size: str
    slow_p50_s: float
    slow_p99_s: float
    errors_p50_s: float
    errors_p99_s: float
    missed: int
    trials: int
    replay_false_ejections: int
    replay_target_hours: float
    false_per_1000_h: float
    simulated_target_hours: float


def replay_fault(fault_replay: FaultReplay) -> FaultReplayResult:
    """Replay one fault in one data centre."""
    lines = center_lines(fault_replay.fault, fault_replay.size, fault_replay.seed)
    lines[0].duration_s = FAULT_AT_S + MISSED_AFTER_S
    trace = build_trace(fault_replay.fault, lines)
    profile = Profile(
        "trial", fault_replay.setting.detector, fault_replay.setting.threshold
    )
    expect = next(e for e in trace.expectations if e.measure == "detection_s")
    detection_times: list[float | None] = []
    false_counts: list[int] = []

    def inspect(replay) -> None:
        detection_times.append(detection_s(replay.tally, expect))
        changes = replay.tally.changes
        false_counts.append(
            sum(item.is_ejection and not item.was_faulty for item in changes)
        )

    run_replay(trace, profile, inspect)
    target_hours = (
        trace.fleet.duration_s * one_center(fault_replay.size).targets / 3600.0
    )
    return FaultReplayResult(
        fault_replay, detection_times[0], false_counts[0], target_hours
    )


def late_share(line: ServiceLine, factor: float = LATE_FACTOR) -> float:
    """Return the fraction of healthy responses later than a multiple of the median."""

    def share_above(multiple: float) -> float:
        return 0.5 * (1.0 - erf(log(multiple) / line.sigma / sqrt(2.0)))

    tail = line.tail_share * share_above(factor / line.tail_factor)
    return (1.0 - line.tail_share) * share_above(factor) + tail


class HealthyEvidence:
    """Random evidence on many healthy targets, in steps of `SIMULATION_STEP_S`."""

    def __init__(self, size: Size, targets: int, seed: int) -> None:
        line = ServiceLine(size.service, size.targets, size.slots, 0.018)
        self.rate = size.rate / size.targets
        self.failed_share = line.failed_share
        self.late_share = late_share(line)
        very_late = late_share(line, VERY_LATE_FACTOR * LATE_FACTOR)
        self.very_late_share = very_late / self.late_share
        self.targets = targets
        self.random = np.random.default_rng(seed)

    def draw_step(self) -> tuple[np.ndarray, np.ndarray, np.ndarray]:
        """Return the exchanges of the next step by target: all, failed and late."""
        total = self.random.poisson(self.rate * SIMULATION_STEP_S, self.targets)
        failed = self.random.binomial(total, self.failed_share)
        late = self.random.binomial(total - failed, self.late_share)
        return total, failed, late


def count_cusum_false_ejections(
    evidence: HealthyEvidence, steps: int, threshold: float
) -> int:
    """Return the number of false ejections of the CUSUM detector."""
    margin = cusum.BASELINE_MARGIN
    failed_base = max(cusum.FAILED_BASELINE, margin * evidence.failed_share)
    late_base = max(cusum.LATE_BASELINE, margin * evidence.late_share)
    sums = np.zeros((2, evidence.targets))
    alarms = 0
    for _ in range(steps):
        total, failed, late = evidence.draw_step()
        very_late = evidence.random.binomial(late, evidence.very_late_share)
        sums[0] += cusum.log_likelihood_ratio(
            failed, total, failed_base, cusum.FAILED_ALTERNATIVE
        )
        sums[1] += cusum.late_log_likelihood_ratio(
            late, very_late, total, late_base, cusum.LATE_ALTERNATIVE
        )
        np.maximum(sums, 0.0, out=sums)
        alarming = (sums >= threshold).any(axis=0)
        alarms += int(alarming.sum())
        sums[:, alarming] = 0.0
    return alarms


def count_outlier_false_ejections(
    evidence: HealthyEvidence, steps: int, threshold: float
) -> int:
    """Return the number of false ejections of the outlier detector.

    After a false ejection, a target has no further one for the length of the window.
    """
    length = round(outlier.WINDOW_S / SIMULATION_STEP_S)
    ring = np.zeros((length, 3, evidence.targets), dtype=np.int16)
    window = np.zeros((3, evidence.targets), dtype=np.int32)
    suppressed_until = np.zeros(evidence.targets, dtype=np.int64)
    alarms = 0
    for step in range(steps):
        step_counts = ring[step % length]
        window -= step_counts
        step_counts[:] = np.stack(evidence.draw_step())
        window += step_counts
        total = np.maximum(window[0], 1)
        failed = window[1] / total - evidence.failed_share
        late = window[2] / total - evidence.late_share
        alarming = (np.maximum(failed, late) >= threshold) & (step >= suppressed_until)
        alarming &= window[0] >= outlier.MIN_EXCHANGES
        alarms += int(alarming.sum())
        suppressed_until[alarming] = step + length
    return alarms


def count_phi_false_ejections(
    evidence: HealthyEvidence, steps: int, threshold: float
) -> int:
    """Return the number of false ejections of the phi-accrual detector."""
    good_rate = evidence.rate * (1.0 - evidence.failed_share - evidence.late_share)
    limit_steps = threshold * log(10.0) / good_rate / SIMULATION_STEP_S
    since_good = np.zeros(evidence.targets, dtype=np.int32)
    alarms = 0
    for _ in range(steps):
        total, failed, late = evidence.draw_step()
        bad = failed + late
        since_good += 1
        since_good[total > bad] = 0
        alarming = (since_good >= limit_steps) & (bad > 0)
        alarms += int(alarming.sum())
        since_good[alarming] = 0
    return alarms


def count_consecutive_false_ejections(
    evidence: HealthyEvidence, steps: int, threshold: float
) -> int:
    """Return the number of false ejections of the consecutive-errors detector.

    Each VM uses its own evidence only.
    """
    consecutive_errors = np.zeros(evidence.targets, dtype=np.int32)
    alarms = 0
    # The detector counts single requests, so each step is one request per target. The
    # number of requests is that of all VMs together.
    for _ in range(round(steps * SIMULATION_STEP_S * evidence.rate)):
        failed = evidence.random.random(evidence.targets) < evidence.failed_share
        consecutive_errors = (consecutive_errors + 1) * failed
        alarming = consecutive_errors >= threshold
        alarms += int(alarming.sum())
        consecutive_errors[alarming] = 0
    return alarms


COUNTERS_BY_DETECTOR = {
    "cusum": count_cusum_false_ejections,
    "outlier": count_outlier_false_ejections,
    "phi": count_phi_false_ejections,
    "consecutive": count_consecutive_false_ejections,
}


def count_false_ejections(simulation: tuple[DetectorSetting, Size, float, int]) -> int:
    """Return the number of false ejections of a setting on healthy targets.

    Parameters
    ----------
    simulation
        Setting, size, target-hours to simulate, and seed.
    """
    setting, size, target_hours, seed = simulation
    evidence = HealthyEvidence(size, BATCH_TARGETS, seed)
    steps = round(target_hours * 3600.0 / BATCH_TARGETS / SIMULATION_STEP_S)
    return COUNTERS_BY_DETECTOR[setting.detector](evidence, steps, setting.threshold)


def compare_detectors(
    settings: list[DetectorSetting], trials: int, target_hours: float, processes: int
) -> list[DetectorFigures]:
    """Return the figures of all settings at all sizes.

    Parameters
    ----------
    trials
        Replays per setting, size and fault.
    target_hours
        Healthy target-hours that are simulated per setting and size.
    processes
        Worker processes.
    """
    fault_replays = [
        FaultReplay(setting, size, fault, seed)
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
        pending_counts = pool.map(count_false_ejections, simulations)
        results = list(pool.map(replay_fault, fault_replays, chunksize=2))
        false_counts = list(pending_counts)
    figures = []
    for (setting, size, _, _), count in zip(simulations, false_counts, strict=True):
        setting_results = [
            item
            for item in results
            if item.fault_replay.setting == setting and item.fault_replay.size == size
        ]
        figures.append(
            summarise_setting(setting, size, setting_results, count, target_hours)
        )
    return figures


def summarise_setting(
    setting: DetectorSetting,
    size: Size,
    results: list[FaultReplayResult],
    false_count: int,
    target_hours: float,
) -> DetectorFigures:
    """Return the figures of one setting at one size.

    The time of a missed detection is infinite.
    """
    times = {
        fault: [
            float("inf") if item.detection_s is None else item.detection_s
            for item in results
            if item.fault_replay.fault == fault
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
        sum(item.detection_s is None for item in results),
        len(results),
        sum(item.false_ejections for item in results),
        sum(item.target_hours for item in results),
        1000.0 * false_count / target_hours,
        target_hours,
    )
