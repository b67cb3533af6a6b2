"""Simulates VMs in two regions that share the targets of one service.

VMs learn of outcomes and loads at the other VMs of their region only.
"""

from math import inf, pi, sin
from typing import NamedTuple

from features.placement_simulation import Load, PlacementSimulation, SERVICE, TIMEOUT_S
from primroseturn.entry.digests import LOAD_AGE_S
from primroseturn.routing.placement import RequestTraits

# The second data centre of a region is half a period behind the first one.
PHASES = {"a1": 0.0, "a2": 0.5, "b1": 0.25, "b2": 0.75}
REGIONS_BY_CENTER = {center: center[0] for center in PHASES}
WARM_UP_S = 5.0


class Day(NamedTuple):
    """Demand of the callers, faults of targets of a1, and disturbances of digests."""

    per_s: float = 166.0
    swing: float = 0.0
    missing: int = 0
    slow: int = 0
    failing: int = 0
    lost: float = 0.0
    delay_s: float = 0.0
    download: bool = False


class EvenLoadSimulation(PlacementSimulation):
    """98 VMs and 43 targets of 3 slots, with an optional wave of the demand."""

    regions_by_center = REGIONS_BY_CENTER

    def __init__(self, day, seed, is_even):
        super().__init__(Load(failed_request_share=1.0), seed, 25, 11, 3)
        self.day, self.waits_s = day, []
        names = [f"t-a1{number}" for number in range(11)]
        for name in ("t-b210", *names[: day.missing]):
            del self.targets_by_name[name]
        for name in names[day.missing :][: day.slow]:
            self.targets_by_name[name].slow_factor = 3.0
        self.failing = names[day.missing :][: day.failing]
        for name in self.failing:
            self.targets_by_name[name].failing_until = inf
        for center in ("a1", "b1"):
            self.all_vms.remove(self.vms_by_center[center].pop())
        targets = [item.target for item in self.targets_by_name.values()]
        for vm in self.all_vms:
            vm.update_targets(targets, 0.0)
            vm.set_even_load(is_even)

    def arrive(self, center, until):
        if self.now >= until:
            return
        swing, random = self.day.swing, self.random
        gap_s = random.expovariate(self.day.per_s / 4 * (1 + swing))
        self.schedule(self.now + gap_s, self.arrive, center, until)
        wave = sin(2 * pi * (self.now / 11.0 + PHASES[center]))
        if random.random() < (1 + swing * wave) / (1 + swing):
            request = {
                "vm": random.choice(self.vms_by_center[center]),
                "traits": RequestTraits(SERVICE, "k", False, self.day.download, 0.25),
                "at": self.now,
                "mean": 0.243,
                "tried": frozenset(),
                "done": False,
            }
            self.send(request, first=True)
            self.schedule(self.now + TIMEOUT_S, self.time_out, request)

    def start_service(self, target, attempt):
        self.waits_s.append(self.now - attempt["at"])
        super().start_service(target, attempt)

    def report_later(self, vm, name, report):
        if self.random.random() >= self.day.lost:
            at = self.now + self.day.delay_s * self.random.random()
            self.schedule(at, super().report_later, vm, name, report)

    def report_to_peers(self, sender, name, report):
        for vm in self.all_vms:
            if vm is not sender and vm.region == sender.region:
                is_remote = vm.data_center != sender.data_center
                counts = report.failed, report.succeeded
                vm.record_peer_outcomes(name, *counts, self.now, 0, is_remote)
                vm.record_load(name, report.request_count, self.now, LOAD_AGE_S)

    def busiest(self, window_s=inf):
        """Return the most attempts at a target over the mean, as mean of windows."""
        counts_by_window = {}
        for at, name in self.attempts_sent:
            if at >= WARM_UP_S:
                counts = counts_by_window.setdefault((at - WARM_UP_S) // window_s, {})
                counts[name] = counts.get(name, 0) + 1
        ratios = [
            max(counts.values()) * len(self.targets_by_name) / sum(counts.values())
            for counts in counts_by_window.values()
        ]
        return sum(ratios) / len(ratios)

    def left(self, depth):
        """Return the part of the attempts that left the region (1) or centre (2)."""
        away = [
            self.targets_by_name[name].target.data_center[:depth]
            != vm.data_center[:depth]
            for vm, names in self.names_by_vm.items()
            for name in names
        ]
        return sum(away) / len(away)

    def mean_wait_s(self):
        """Return the mean time in the queues in seconds."""
        return sum(self.waits_s) / len(self.waits_s)
