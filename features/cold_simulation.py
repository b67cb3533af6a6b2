"""Simulates VMs that send to a data centre of targets that returns cold.

The VMs report outcomes to each other with a delay. The targets of data centre `a` stop
answering, restart, and are listed as cold only some time after that.
"""

from collections import deque
from random import Random
from typing import NamedTuple

from primroseturn.routing.cold import ColdBound
from primroseturn.routing.models import ColdLimits, Target
from primroseturn.routing.placement import Placement, RequestTraits

SERVICE = "core"
REGIONS = {"a": "r", "b": "r", "c": "s", "d": "s"}
TRAITS = RequestTraits(SERVICE, "lookup", True, False, 0.3)
LIMITS = ColdLimits(8.0, 4.7)
BOUND = ColdBound(1.5, 8.0)
STEP_S = 0.02
REPORT_DELAY_S = 0.2
TOOK_S = 0.25
TARGETS_OUTSIDE = 12


class Scenario(NamedTuple):
    """What happens to the VMs and to the targets of data centre `a`.

    Attributes
    ----------
    has_owners
        Whether cold targets are bounded.
    lost_names
        Number of names that each VM's list of VMs lacks, others at each VM.
    is_cut
        Whether the VMs are cut in halves that do not hear from each other.
    starts_at, down_s
        Time at which the targets return, and how much earlier they stop answering. They
        always answer if `starts_at` is None.
    is_starting
        Whether all VMs have just started, their first lists are complete 1 s later, and
        the targets that return are cold from the start.
    returning
        Start of the names of the targets that return.
    """

    has_owners: bool = True
    requests_per_s: float = 500.0
    targets_in_a: int = 60
    vm_count: int = 92
    lost_names: int = 0
    is_cut: bool = False
    starts_at: float | None = 6.0
    down_s: float = 3.0
    returning: str = "a"
    is_starting: bool = False
    seconds: float = 12.0


class ColdSimulation:
    """VMs and targets on a virtual clock that advances in steps."""

    def __init__(self, scenario, seed=1):
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.arrivals_by_target = {}
        self.refused_at = []
        self.answers, self.reports = deque(), deque()
        self.cold_shares = []
        counts = dict.fromkeys(REGIONS, TARGETS_OUTSIDE) | {"a": scenario.targets_in_a}
        self.targets = [
            Target(f"{center}{number}", SERVICE, "h", 1, center, 4, False, 0.0, 1)
            for center in REGIONS
            for number in range(counts[center])
        ]
        centers_by_vm = {
            f"vm{number}": "abcd"[number % 4] for number in range(scenario.vm_count)
        }
        self.centers_by_vm = centers_by_vm
        self.vms = [self.start_vm(name) for name in centers_by_vm]
        if scenario.is_starting:
            self.list_cold()

    def start_vm(self, name):
        centers_by_vm, scenario = self.centers_by_vm, self.scenario
        vm = Placement(centers_by_vm[name], REGIONS, Random(self.random.random()))
        vm.cold.set_bound(BOUND if scenario.has_owners else None)
        vm.cold.set_limits({SERVICE: LIMITS})
        others = sorted(centers_by_vm.keys() - {name})
        lost_count = scenario.lost_names
        lost = self.random.sample(others, lost_count)
        known = {vm: at for vm, at in centers_by_vm.items() if vm not in lost}
        vm.cold.set_vms(name, known, 0.0 if scenario.is_starting else -10.0)
        vm.update_targets(self.targets, 0.0)
        return vm

    def is_down(self, name):
        starts_at = self.scenario.starts_at
        return (
            starts_at is not None
            and name.startswith(self.scenario.returning)
            and starts_at - self.scenario.down_s <= self.now < starts_at
        )

    def run(self):
        steps = round(self.scenario.seconds / STEP_S)
        entries_at = self.scenario.starts_at and self.scenario.starts_at + 1.0
        for step in range(steps):
            self.now = step * STEP_S
            if entries_at is not None and self.now >= entries_at:
                self.list_cold()
                entries_at = None
            if self.scenario.is_starting and step == round(1.0 / STEP_S):
                for name, vm in zip(self.centers_by_vm, self.vms, strict=True):
                    vm.cold.set_vms(name, self.centers_by_vm, self.now)
            self.deliver()
            mean = self.scenario.requests_per_s * STEP_S
            for _ in range(int(mean + self.random.random())):
                self.send(self.random.randrange(len(self.vms)))
            if step % 50 == 0:
                vm = self.vms[0]
                states = vm.states_by_id.values()
                cold = sum(vm.cold.is_cold(state, self.now) for state in states)
                self.cold_shares.append(cold / len(states))
        return self

    def list_cold(self):
        self.targets = [
            item._replace(cold_s=LIMITS.start_s - 1.0, start_unix_ms=2)
            if item.id.startswith(self.scenario.returning)
            else item
            for item in self.targets
        ]
        for vm in self.vms:
            vm.update_targets(self.targets, self.now)

    def send(self, number):
        vm = self.vms[number]
        choice = vm.choose(TRAITS, frozenset(), self.now, True)
        if choice is None:
            self.refused_at.append(self.now)
            return
        name = choice.target.id
        attempt = vm.start_attempt(name, TRAITS, self.now)
        has_answer = not self.is_down(name)
        if has_answer:
            self.arrivals_by_target.setdefault(name, []).append(self.now)
        self.answers.append((self.now + TOOK_S, number, name, attempt, has_answer))

    def deliver(self):
        while self.answers and self.answers[0][0] <= self.now:
            _, number, name, attempt, has_answer = self.answers.popleft()
            vm = self.vms[number]
            vm.end_attempt(name, attempt, self.now)
            if has_answer:
                vm.record_success(name, TRAITS, TOOK_S, self.now)
                self.reports.append((self.now + REPORT_DELAY_S, number, name))
            else:
                vm.record_unreachable(name, self.now)
        while self.reports and self.reports[0][0] <= self.now:
            _, sender, name = self.reports.popleft()
            for number, vm in enumerate(self.vms):
                is_cut = self.scenario.is_cut and (number + sender) % 2
                if number != sender and not is_cut:
                    vm.record_peer_outcomes(name, 0, 1, self.now)

    def most_cold_arrivals(self):
        """Return the most arrivals at one cold target in any second."""
        starts_at = self.scenario.starts_at
        most = 0
        for name, times in self.arrivals_by_target.items():
            cold = [
                at
                for at in times
                if name.startswith(self.scenario.returning)
                and starts_at <= at < starts_at + LIMITS.start_s
            ]
            for index, first in enumerate(cold):
                most = max(most, sum(at <= first + 1.0 for at in cold[index:]))
        return most
