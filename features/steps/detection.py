"""Steps for evidence, evidence digests and detectors."""

from random import Random

from anyio import create_task_group, fail_after, sleep
from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from features.decisions import run_on_clock
from primroseturn.detection.detectors import factories_by_name
from primroseturn.detection.digest_exchange import DigestExchange, Peers
from primroseturn.detection.digests import DigestReader, DigestWriter, hash_key
from primroseturn.detection.evidence import Counts, EvidenceKey, NO_COUNTS
from primroseturn.detection.monitor import HealthMonitor
from primroseturn.detection.observations import Observation, Outcome
from primroseturn.detection.profiles import profiles_by_name
from primroseturn.detection.shares import ShareTable

KEY = EvidenceKey("search", "target1", "lookup")
TARGETS = [f"target{number}" for number in range(1, 7)]


def new_reader() -> DigestReader:
    """Return a digest reader that knows the key of the scenarios."""
    reader = DigestReader()
    reader.keys_by_hash[hash_key(KEY)] = KEY
    return reader


def sum_counts(parts) -> Counts:
    """Return the sum of counts."""
    total = NO_COUNTS
    for part in parts:
        total = total.combined_with(part)
    return total


@then(
    "for any loss, duplication and order the received counts never exceed the sent ones"
)
def step_digest_property(context):
    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @for_all(
        st.lists(st.integers(0, 30_000), min_size=1, max_size=12),
        st.data(),
    )
    def check(amounts, data):
        writer, reader = DigestWriter(), new_reader()
        digests = []
        for amount in amounts:
            writer.add(KEY, Counts(amount + 1, amount, 0))
            digests.append(writer.pack(writer.pop_due_keys(only_urgent=False)))
        indexes = st.lists(st.integers(0, len(digests) - 1), max_size=30)
        arrivals = data.draw(indexes)
        read = [
            counts
            for index in arrivals
            for _, counts in reader.read("vm2", "1", digests[index], 1.0)
        ]
        total = sum_counts(read)
        after_first = sum(amounts[arrivals[0] + 1 :]) if arrivals else 0
        # The first digest that arrives only sets the base. A difference beyond
        # `NEW_EXCHANGES_LIMIT` is treated as a reset of the sums and adds no evidence.
        assert total.failed <= after_first

    check()


@given("a peer whose digests carry {count:d} failures each")
def step_peer(context, count):
    writer = DigestWriter()
    context.digests = []
    for _ in range(3):
        writer.add(KEY, Counts(count, count, 0))
        context.digests.append(writer.pack(writer.pop_due_keys(only_urgent=True)))


@when("the second of 3 digests is lost")
def step_lost(context):
    reader = new_reader()
    context.read = [
        counts
        for index in (0, 2)
        for _, counts in reader.read("vm2", "1", context.digests[index], 1.0)
    ]


@when("the peer resets its sums after 2 digests")
def step_reset(context):
    reader, writer = new_reader(), DigestWriter()
    writer.number = context.digests[1].number
    writer.add(KEY, Counts(1, 1, 0))
    after_reset = writer.pack(writer.pop_due_keys(only_urgent=True))
    context.read = [
        counts
        for digest in (*context.digests[:2], after_reset)
        for _, counts in reader.read("vm2", "1", digest, 1.0)
    ]


@then("the received failures since the first digest are {count:d}")
def step_received_failures(context, count):
    assert sum_counts(context.read).failed == count, context.read


def observe_exchange(
    context, target: str, latency_s: float, outcome=Outcome.OK
) -> None:
    """Report an exchange to the monitor."""
    seen = Observation(
        "search", target, "lookup", outcome, latency_s, latency_s, 0.0, context.now
    )
    context.monitor.observe(seen)


@given("a monitor whose targets respond in 20 ms")
def step_monitor(context):
    context.now = 100.0
    context.suspects = set()

    def suspect(key, suspicion, now):
        context.suspects.add(key.target)

    context.monitor = HealthMonitor("vm1", profiles_by_name["fast"], suspect)
    context.monitor.register_keys("search", set(TARGETS), {"lookup"})
    for _ in range(30):
        context.now += 0.05
        for target in TARGETS:
            observe_exchange(context, target, 0.02)


@when("a request has run for {milliseconds:d} ms")
def step_running(context, milliseconds):
    monitor = context.monitor
    exchange = monitor.start_exchange("search", "target1", "lookup", context.now, False)
    before = monitor.writer.sums_by_key[KEY]
    context.now += milliseconds / 1000
    monitor.tick(context.now)
    running = monitor.writer.sums_by_key[KEY]
    monitor.end_exchange(exchange, context.now)
    observe_exchange(context, "target1", milliseconds / 1000)
    ended = monitor.writer.sums_by_key[KEY]
    context.late = (running.late - before.late, ended.late - before.late)
    context.total = ended.total - before.total


@then("one late exchange is counted, also after its end")
def step_one_late(context):
    assert context.late == (1, 1) and context.total == 1, (context.late, context.total)


@when("all {targets:d} targets fail one after another in {rounds:d} rounds")
def step_all_fail(context, targets, rounds):
    for _ in range(rounds):
        for target in TARGETS[:targets]:
            context.now += 0.01
            observe_exchange(context, target, 0.005, Outcome.RESET)


@when("one target of 6 fails and the others respond in each of {rounds:d} rounds")
def step_one_fails(context, rounds):
    for _ in range(rounds):
        for target in TARGETS:
            context.now += 0.01
            outcome = Outcome.RESET if target == "target1" else Outcome.OK
            observe_exchange(context, target, 0.02, outcome)


@then("no target is suspected")
def step_no_suspect(context):
    assert not context.suspects, context.suspects


@then("only that target is suspected")
def step_one_suspect(context):
    assert context.suspects == {"target1"}, context.suspects


@when(
    'the peer "{vm}" reports {count:d} failures of a target that is healthy for this VM'
)
def step_peer_reports(context, vm, count):
    monitor = context.monitor
    for number in range(count):
        context.now += 0.02
        monitor.add_evidence(KEY, vm, Counts(1, 1, 0), context.now)
        if number % 2:
            observe_exchange(context, "target1", 0.02)


@given("a VM with {peers:d} peers and {targets:d} failing targets")
def step_digest_sender(context, peers, targets):
    context.peers, context.target_count = peers, targets


class CountingBus:
    """Counts the bytes that are sent to each peer."""

    def __init__(self) -> None:
        self.bytes_by_peer: dict[str, int] = {}

    def register_handler(self, message_type, handler) -> None:
        """Accept a handler, which is never called."""

    async def send(self, peer, message) -> None:
        """Count the bytes of a message."""
        size = self.bytes_by_peer.get(peer, 0) + len(message.entries)
        self.bytes_by_peer[peer] = size


@when("{seconds:d} seconds pass on a virtual clock")
def step_digests_sent(context, seconds):
    async def scenario():
        monitor = HealthMonitor("vm1", profiles_by_name["fast"], lambda *_: None)
        bus = CountingBus()
        names = [f"vm{number}" for number in range(context.peers)]
        exchange = DigestExchange(bus, monitor, lambda: Peers(names, []))
        random = Random(1)
        async with create_task_group() as tasks:
            tasks.start_soon(exchange.run)
            for _ in range(seconds * 10):
                await sleep(0.1)
                for _ in range(4):
                    name = f"target{random.randrange(context.target_count)}"
                    monitor.writer.add(
                        EvidenceKey("search", name, "lookup"), Counts(1, 1, 0)
                    )
            tasks.cancel_scope.cancel()
        return bus, exchange

    context.seconds = seconds
    context.bus, context.exchange = run_on_clock(scenario)


@then("the VM sent at most {limit:d} bytes per second and a digest to every peer")
def step_budget_kept(context, limit):
    # The burst of the budget is what it allows in one second.
    assert context.exchange.sent_bytes <= limit * (context.seconds + 1)
    assert len(context.bus.bytes_by_peer) == context.peers
    assert context.exchange.unsent_digests > 0


@given('the detector "{name}" with threshold {threshold:g}')
def step_detector(context, name, threshold):
    context.shares = ShareTable()
    context.detector = factories_by_name[name](threshold, context.shares, "vm1")


@then("it suspects a dead target within 60 requests and a healthy one never")
def step_detector_works(context):
    detector, shares = context.detector, context.shares
    random, now = Random(1), 0.0
    dead = KEY._replace(target="target2")

    def add(key, counts):
        shares.add(key, counts, now)
        detector.add(key, "vm1", counts, now)
        return detector.suspicion(key, now) >= 1.0

    for _ in range(300):
        now += random.expovariate(100)
        assert not add(KEY, Counts(1, int(random.random() < 0.01), 0))
        assert not add(dead, Counts(1, 0, 0))
    for _ in range(60):
        now += random.expovariate(100)
        assert not add(KEY, Counts(1, 0, 0))
        if add(dead, Counts(1, 1, 0)):
            return
    raise AssertionError("the dead target was never suspected")


async def wait_until(condition, limit_s: float) -> None:
    """Wait until a condition holds, at most `limit_s` seconds."""
    with fail_after(limit_s):
        while not condition():
            await sleep(0.05)


@then('the daemon "{vm}" receives digests from "{peer}" within {seconds:d} seconds')
def step_digests_arrive(context, vm, peer, seconds):
    monitor = context.fleet.kernels_by_vm[vm].find("dispatcher").monitor

    def arrived() -> bool:
        state = monitor.reader.peers_by_vm.get(peer)
        return state is not None and len(state.last_by_key) == 3

    context.portal.call(wait_until, arrived, seconds)


@then('the daemon "{vm}" counts failures of "{target}" within {seconds:d} seconds')
def step_counted_failures(context, vm, target, seconds):
    monitor = context.fleet.kernels_by_vm[vm].find("dispatcher").monitor
    key = EvidenceKey("search", target, "default")

    def has_failures() -> bool:
        counts = monitor.shares.counts_by_key.get(key)
        return counts is not None and counts.sums[1] > 0

    context.portal.call(wait_until, has_failures, seconds)
