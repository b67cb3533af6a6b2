"""Simulates VMs that admit and retry requests to one service, on a virtual clock.

The VMs share load reports and refusals every 0.1 s. A refused caller tries again at
another VM while it has time.
"""

from heapq import heappop
from typing import NamedTuple

from features.placement_simulation import Load, PlacementSimulation, SERVICE
from primroseturn.admission.control import AdmissionControl
from primroseturn.admission.models import Verdict
from primroseturn.admission.reports import ReportLimit
from primroseturn.retries.repeats import RepeatBudget
from primroseturn.retries.value import judge_repeat, RepeatCase
from primroseturn.routing.placement import RequestTraits

SECONDS, TROUBLE_AT, TROUBLE_UNTIL = 13.0, 3.0, 11.5
DIGEST_INTERVAL_S = 0.1
WORK_SIGMA = 0.5
SLOW_FACTOR = 20
WORKSPACES = 30
MAX_ATTEMPTS, EXTRA_REPEATS = 4, 170


class Kind(NamedTuple):
    """A kind of requests; times in seconds."""

    name: str
    rank: int
    rate: float
    work: float
    objective: float
    deadline: float
    value: float
    late_value: float


KINDS = (
    Kind("bill", 0, 60.0, 0.096, 0.51, 2.04, 3.4, 0.41),
    Kind("order", 1, 45.0, 0.25, 1.1, 2.6, 1.8, 0.53),
    Kind("tariff", 2, 24.0, 0.6, 4.0, 8.0, 0.44, 0.2),
)


class Trouble(NamedTuple):
    """What differs from the normal load for 8.5 s, and what the VMs do without."""

    bill: float = 1.0
    order: float = 1.0
    tariff: float = 1.0
    workspace_rate: float = 0.0
    refused_share: float = 0.0
    slow_targets: int = 0
    queue_per_slot: int = 4
    retries_at_once: bool = False
    center_share: float = 0.5
    false_load: int = 0
    loses_reports: bool = False
    admits_all: bool = False
    trusts_reports: bool = False
    retries: str = ""


class AdmissionSimulation(PlacementSimulation):
    """VMs, targets and callers of one service in two data centres."""

    def __init__(self, trouble, seed=1):
        super().__init__(Load(), seed, vms_per_center=20, targets_per_center=8, slots=3)
        self.trouble = trouble
        self.waits, self.arrivals, self.repeats = [], [], []
        self.loads_seen, self.answered, self.refused = {}, 0, 0
        self.limit = ReportLimit()
        self.controls, self.budgets = {}, {}
        slow = sorted(self.targets_by_name)[
            :: max(1, 16 // (trouble.slow_targets or 1))
        ]
        self.slow = set(slow[: trouble.slow_targets])
        for vm in self.all_vms:
            self.controls[vm] = AdmissionControl(vm.states_by_service.get, self.random)
            self.controls[vm].set_ranks({SERVICE: (0, 1, 2)})
            self.budgets[vm] = RepeatBudget(0.2, 10.0, EXTRA_REPEATS)
            self.budgets[vm].fleet_size = len(self.all_vms)

    def run(self):
        for kind in KINDS:
            self.schedule(0.0, self.arrive, kind, False)
        self.schedule(TROUBLE_AT, self.arrive, KINDS[-1], True)
        self.schedule(0.0, self.share_reports)
        while self.events:
            self.now, _, action, arguments = heappop(self.events)
            action(*arguments)
        return self

    @property
    def current(self):
        in_trouble = TROUBLE_AT <= self.now < TROUBLE_UNTIL
        return self.trouble if in_trouble else Trouble()

    def arrive(self, kind, is_burst):
        rate = kind.rate * getattr(self.current, kind.name)
        rate = self.current.workspace_rate if is_burst else rate
        if not rate or self.now >= SECONDS:
            return
        gap = self.random.expovariate(rate)
        self.schedule(self.now + gap, self.arrive, kind, is_burst)
        workspace = "w0" if is_burst else f"w{self.random.randrange(WORKSPACES)}"
        self.send({"kind": kind, "workspace": workspace, "at": self.now, "tries": 0})

    def send(self, request):
        center = "a" if self.random.random() < self.current.center_share else "b"
        request["vm"] = self.random.choice(self.vms_by_center[center])
        request["ticket"], request["tried"] = None, frozenset()
        request["tries"] += 1
        self.decide(request)

    def left(self, request):
        return request["kind"].deadline - (self.now - request["at"])

    def expected(self, request):
        return request["vm"].typical_duration_s(self.traits(request))

    def traits(self, request):
        kind = request["kind"]
        return RequestTraits(SERVICE, kind.name, True, False, kind.work)

    def decide(self, request):
        kind, control = request["kind"], self.controls[request["vm"]]
        if self.trouble.admits_all:
            self.forward(request)
            return
        decision = control.decide(
            SERVICE,
            kind.rank,
            request["workspace"],
            self.left(request),
            kind.objective - (self.now - request["at"]),
            self.expected(request),
            self.now,
            request["ticket"],
        )
        if decision.verdict is Verdict.ADMIT:
            self.forward(request)
        elif decision.verdict is Verdict.WAIT:
            self.waits.append(request)
            request["ticket"] = decision.ticket
            self.schedule(self.now + decision.wait_s, self.decide, request)
        else:
            self.refuse(request, decision.retry_after_s)

    def refuse(self, request, retry_after):
        left = self.left(request)
        delay = 0.02 if self.current.retries_at_once else min(retry_after, left / 3)
        if left < 0.05:
            self.outcomes.append((request, None))
        else:
            self.schedule(self.now + delay, self.send, request)

    def forward(self, request):
        vm, traits = request["vm"], self.traits(request)
        if not request["tried"]:
            self.arrivals.append(self.now)
            self.budgets[vm].count_request(SERVICE, self.now)
        name = vm.choose(traits, request["tried"], self.now).target.id
        request["tried"] |= {name}
        number = vm.start_attempt(name, traits, self.now)
        attempt = (request, name, number, self.now)
        target = self.targets_by_name[name]
        slots = target.target.slots
        is_refused = self.random.random() < self.current.refused_share
        is_full = len(target.queue) >= self.current.queue_per_slot * slots
        if is_refused or (target.running >= slots and is_full):
            self.schedule(self.now + 0.002, self.end, attempt, False)
        elif target.running < slots:
            self.start(attempt)
        else:
            target.queue.append(attempt)

    def start(self, attempt):
        request, name = attempt[:2]
        self.targets_by_name[name].running += 1
        spread = self.random.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA)
        is_slow = self.current.slow_targets and name in self.slow
        work = request["kind"].work * spread * (SLOW_FACTOR if is_slow else 1)
        self.schedule(self.now + work, self.finish_work, attempt)

    def finish_work(self, attempt):
        target = self.targets_by_name[attempt[1]]
        target.running -= 1
        self.end(attempt, True)
        while target.queue and target.running < target.target.slots:
            queued = target.queue.popleft()
            if self.left(queued[0]) > 0:
                self.start(queued)
            else:
                self.end(queued, False)

    def end(self, attempt, served):
        request, name, number, sent_at = attempt
        vm, target = request["vm"], self.targets_by_name[name]
        vm.end_attempt(name, number, self.now)
        load = target.running + len(target.queue) + 1
        vm.record_load(name, load, self.now)
        self.controls[vm].record_outcomes(SERVICE, served, not served, self.now)
        if not self.current.loses_reports:
            self.loads_seen[name] = load
            self.answered += served
            self.refused += not served
        if served:
            vm.record_success(name, self.traits(request), self.now - sent_at, self.now)
            self.outcomes.append((request, self.now - request["at"]))
            return
        vm.record_full(name, self.now)
        if self.may_repeat(request):
            self.repeats.append((self.now, request["kind"].name))
            self.forward(request)
        else:
            self.refuse(request, 0.2)

    def may_repeat(self, request):
        vm, left = request["vm"], self.left(request)
        control, budget, expected = (
            self.controls[vm],
            self.budgets[vm],
            self.expected(request),
        )
        is_over = len(request["tried"]) >= MAX_ATTEMPTS or left < 0.6 * expected
        if not self.trouble.retries or is_over:
            return False
        case = RepeatCase(
            SERVICE,
            control.position_of(SERVICE, request["kind"].rank),
            False,
            True,
            left,
            expected,
            control.queue_s(SERVICE),
            control.refused_share(SERVICE, self.now),
            control.level(SERVICE, self.now),
        )
        by_value = self.trouble.retries == "value"
        if by_value and judge_repeat(case, budget, self.now):
            return False
        return budget.try_consume(SERVICE, self.now)

    def share_reports(self):
        if self.now < SECONDS:
            self.schedule(self.now + DIGEST_INTERVAL_S, self.share_reports)
        loads = dict(self.loads_seen)
        if self.current.false_load:
            names = self.random.sample(sorted(self.targets_by_name), 16)
            if not self.trouble.trusts_reports:
                names = names[: self.limit.allow("vm", len(names), self.now)]
            loads |= dict.fromkeys(names, self.current.false_load)
        for vm, control in self.controls.items():
            for name, load in loads.items():
                vm.record_load(name, load, self.now)
            control.record_outcomes(SERVICE, self.answered, self.refused, self.now)
            control.sample(self.now)
        self.loads_seen, self.answered, self.refused = {}, 0, 0

    def shares(self, name=""):
        """Return the shares that were served, on time, and of the value delivered."""
        found = [
            (request["kind"], took)
            for request, took in self.outcomes
            if TROUBLE_AT <= request["at"] < TROUBLE_UNTIL
            and name in ("", request["kind"].name)
        ]
        served = [(kind, took <= kind.objective) for kind, took in found if took]
        on_time = sum(is_on_time for _, is_on_time in served)
        value = sum(
            kind.value if is_on_time else kind.late_value for kind, is_on_time in served
        )
        total = sum(kind.value for kind, _ in found)
        return len(served) / len(found), on_time / len(found), value / total
