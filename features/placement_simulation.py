"""Simulates requests that the placement of several VMs sends to targets.

Each target has slots and a queue, slows down when it is crowded and fails most requests
during failure periods. The VMs report outcomes and loads to each other with a delay.
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from primroseturn.ejection.witnesses import MissingWitnesses
from primroseturn.routing.models import Target
from primroseturn.routing.placement import Placement, RequestTraits

SERVICE = "core"
REGIONS_BY_DATA_CENTER = {"a": "r", "b": "r"}
DIGEST_DELAY_S, URGENT_DIGEST_DELAY_S = 0.2, 0.06
TIMEOUT_S = 1.5
OBJECTIVE_S = 1.0
DURATION_SIGMA = 0.5
# Longer than any scenario, so that cold targets stay cold.
COLD_S = 100.0


class Load(NamedTuple):
    """Requests of the callers, and faults of the targets.

    Attributes
    ----------
    requests_per_s
        Requests per second in each data centre.
    failing_target_share, failure_period_s, failure_interval_s
        Share of the targets that have a failure period in each interval, the duration
        of the period and that of the interval in seconds.
    failed_request_share
        Share of the requests that fail in a failure period.
    slow_target_share, slow_factor
        Share of the targets that are always slow, and their multiple of the duration.
    cold_targets
        Number of targets that stay cold.
    is_reset
        Whether failed requests get no response instead of an error.
    shares_missing
        Whether the VMs report missing responses to each other.
    """

    requests_per_s: float = 50.0
    failing_target_share: float = 0.0
    failure_period_s: float = 5.0
    failure_interval_s: float = 9.0
    failed_request_share: float = 0.85
    slow_target_share: float = 0.0
    slow_factor: float = 5.0
    cold_targets: int = 0
    is_reset: bool = False
    shares_missing: bool = True


class Report(NamedTuple):
    """What a VM reports to the others of one attempt."""

    request_count: int
    failed: int = 0
    succeeded: int = 0
    missing: int = 0


class SimulatedTarget:
    """A target with slots and a queue of attempts.

    Attributes
    ----------
    running
        Number of attempts that hold a slot.
    slow_factor
        Multiple of the duration of its responses.
    """

    def __init__(self, target, random):
        self.target = target
        self.random = random
        self.running = 0
        self.queue = deque()
        self.failing_until = 0.0
        self.slow_factor = 1.0


class Outcome(NamedTuple):
    """How a request of a caller ended."""

    repeatable: bool
    served: bool
    took_s: float


class PlacementSimulation:
    """VMs, targets and callers that act in events on a virtual clock."""

    regions_by_center = REGIONS_BY_DATA_CENTER

    def __init__(self, load, seed, vms_per_center=9, targets_per_center=6, slots=6):
        self.load = load
        self.random = Random(seed)
        self.now = 0.0
        self.events = []
        self.event_numbers = count()
        self.outcomes = []
        self.attempts_sent = []
        self.names_by_vm = {}
        self.targets_by_name = {}
        for center in self.regions_by_center:
            for number in range(targets_per_center):
                name = f"t-{center}{number}"
                cold_s = (
                    COLD_S if len(self.targets_by_name) < load.cold_targets else 0.0
                )
                target = Target(name, SERVICE, "h", 1, center, slots, False, cold_s, 1)
                self.targets_by_name[name] = SimulatedTarget(target, self.random)
        self.vms_by_center = {
            center: [self.start_vm(center, seed) for _ in range(vms_per_center)]
            for center in self.regions_by_center
        }
        self.all_vms = [vm for vms in self.vms_by_center.values() for vm in vms]
        self.witnesses_by_vm = {vm: MissingWitnesses() for vm in self.all_vms}
        # VMs that get no response from some targets, by name of the target.
        self.cut_vms_by_target = {}
        slow = int(load.slow_target_share * len(self.targets_by_name))
        for name in self.random.sample(sorted(self.targets_by_name), slow):
            self.targets_by_name[name].slow_factor = load.slow_factor

    def start_vm(self, center, seed):
        placement = Placement(
            center, self.regions_by_center, Random(self.random.random())
        )
        placement.update_targets(
            [item.target for item in self.targets_by_name.values()], 0.0
        )
        return placement

    def schedule(self, time, action, *arguments):
        heappush(self.events, (time, next(self.event_numbers), action, arguments))

    def run(self, seconds):
        for center in self.regions_by_center:
            self.schedule(0.0, self.arrive, center, seconds)
        self.schedule(0.0, self.schedule_failure_periods, seconds)
        while self.events:
            self.now, _, action, arguments = heappop(self.events)
            action(*arguments)

    def schedule_failure_periods(self, until):
        load = self.load
        if load.failing_target_share and self.now < until:
            number = round(load.failing_target_share * len(self.targets_by_name))
            for name in self.random.sample(sorted(self.targets_by_name), number):
                start_at = self.now + self.random.random() * load.failure_interval_s
                self.schedule(start_at, self.start_failure_period, name)
            self.schedule(
                self.now + load.failure_interval_s, self.schedule_failure_periods, until
            )

    def start_failure_period(self, name):
        self.targets_by_name[name].failing_until = self.now + self.load.failure_period_s

    def arrive(self, center, until):
        if self.now >= until:
            return
        gap_s = self.random.expovariate(self.load.requests_per_s)
        self.schedule(self.now + gap_s, self.arrive, center, until)
        repeatable = self.random.random() < 1 / 3
        request = {
            "vm": self.random.choice(self.vms_by_center[center]),
            "traits": RequestTraits(SERVICE, f"{repeatable}", repeatable, False, 0.35),
            "at": self.now,
            "mean": 0.29 if repeatable else 0.38,
            "tried": frozenset(),
            "done": False,
        }
        self.send(request, first=True)
        self.schedule(self.now + TIMEOUT_S, self.time_out, request)

    def send(self, request, first):
        vm = request["vm"]
        traits = request["traits"]._replace(
            repeatable=first and request["traits"].repeatable
        )
        choice = vm.choose(traits, request["tried"], self.now, first)
        if choice is None:
            self.finish(request, False)
            return
        name = choice.target.id
        self.attempts_sent.append((self.now, name))
        self.names_by_vm.setdefault(vm, []).append(name)
        request["tried"] |= {name}
        attempt = {"request": request, "name": name, "at": self.now, "alive": True}
        request["attempt"] = attempt
        attempt["number"] = vm.start_attempt(name, request["traits"], self.now)
        target = self.targets_by_name[name]
        if target.running < target.target.slots:
            self.start_service(target, attempt)
        else:
            target.queue.append(attempt)

    def start_service(self, target, attempt):
        target.running += 1
        cut_vms = self.cut_vms_by_target.get(attempt["name"], ())
        if attempt["request"]["vm"] in cut_vms or (
            self.now < target.failing_until
            and self.random.random() < self.load.failed_request_share
        ):
            self.schedule(self.now + 0.002, self.end_service, target, attempt, True)
            return
        request = attempt["request"]
        failed = self.random.random() < 0.012
        mean = request["mean"] * target.slow_factor * (2 if target.target.cold_s else 1)
        took = mean * self.random.lognormvariate(
            -DURATION_SIGMA * DURATION_SIGMA / 2, DURATION_SIGMA
        )
        crowded = max(0.0, target.running / target.target.slots - 0.8)
        self.schedule(
            self.now + took * (1 + crowded), self.end_service, target, attempt, failed
        )

    def end_service(self, target, attempt, failed):
        target.running -= 1
        while target.queue and target.running < target.target.slots:
            waiting = target.queue.popleft()
            if waiting["alive"]:
                self.start_service(target, waiting)
        if not attempt["alive"]:
            return
        attempt["alive"] = False
        request, name = attempt["request"], attempt["name"]
        vm, traits = request["vm"], request["traits"]
        vm.end_attempt(name, attempt["number"], self.now)
        request_count = target.running + len(target.queue) + 1
        vm.record_load(name, request_count, self.now)
        witnesses = self.witnesses_by_vm[vm]
        is_cut = vm in self.cut_vms_by_target.get(name, ())
        is_missing = failed and (self.load.is_reset or is_cut)
        if is_missing:
            vm.record_missing_response(name, self.now)
            if witnesses.record_missing(name, self.now) and witnesses.accept(
                "self", name, self.now
            ):
                self.report_later(vm, name, Report(request_count, missing=1))
        elif failed:
            vm.record_error_response(name, self.now)
        else:
            witnesses.record_answer(name, self.now)
            vm.record_success(name, traits, self.now - attempt["at"], self.now)
        if not is_missing:
            report = Report(request_count, int(failed), int(not failed))
            self.report_later(vm, name, report)
        if failed and traits.repeatable and len(request["tried"]) < 2:
            self.send(request, first=False)
        else:
            self.finish(request, not failed)

    def report_later(self, vm, name, report):
        is_urgent = report.failed or report.missing
        delay = (
            URGENT_DIGEST_DELAY_S
            if is_urgent
            else DIGEST_DELAY_S * self.random.random() + 0.02
        )
        self.schedule(self.now + delay, self.report_to_peers, vm, name, report)

    def report_to_peers(self, sender, name, report):
        missing = report.missing if self.load.shares_missing else 0
        for vm in self.all_vms:
            if vm is not sender:
                is_remote = vm.data_center != sender.data_center
                vm.record_peer_outcomes(
                    name,
                    report.failed,
                    report.succeeded,
                    self.now,
                    missing,
                    is_remote,
                )
                vm.record_load(name, report.request_count, self.now)

    def time_out(self, request):
        attempt = request["attempt"]
        if request["done"]:
            return
        if attempt["alive"]:
            attempt["alive"] = False
            name = attempt["name"]
            if request["vm"].end_attempt(name, attempt["number"], self.now):
                request["vm"].record_missing_response(name, self.now)
        self.finish(request, False)

    def finish(self, request, served):
        if not request["done"]:
            request["done"] = True
            took = self.now - request["at"]
            repeatable = request["traits"].repeatable
            self.outcomes.append(Outcome(repeatable, served, took))

    def served(self, repeatable):
        found = [item for item in self.outcomes if item.repeatable == repeatable]
        return sum(item.served for item in found) / len(found)

    def mean_score(self, repeatable):
        """Return the mean score of the requests that are or aren't repeatable.

        The score is 1 if the response meets the objective, 0.3 if it is later and
        0 without a response.
        """
        found = [item for item in self.outcomes if item.repeatable == repeatable]
        total = sum(
            (1.0 if item.took_s <= OBJECTIVE_S else 0.3) * item.served for item in found
        )
        return total / len(found)
