"""Steps for the fair queue."""

from anyio import create_task_group, current_time, move_on_after, sleep
from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from features.decisions import build_dispatcher, run_on_clock, slot_request
from primroseturn.queueing.queue import FairQueue, Waiter

FAR_FUTURE = 1e9


@then("for any weights and arrival order, grants are proportional within one request")
def step_fairness_property(context):
    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @for_all(
        st.dictionaries(
            st.sampled_from("abcdef"), st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2
        ),
        st.randoms(use_true_random=False),
        st.integers(1, 60),
    )
    def check(shares, random, grants):
        queue = FairQueue(10_000)
        entries = [name for name in shares for _ in range(300)]
        random.shuffle(entries)
        for name in entries:
            assert queue.enqueue(Waiter(name, shares[name], FAR_FUTURE), 0.0).is_ok()
        granted = dict.fromkeys(shares, 0)
        for _ in range(grants):
            waiter = queue.peek(1)[0]
            queue.dequeue(waiter, 0.0)
            granted[waiter.workspace] += 1
        # While all are backlogged, normalised service differs by at most one
        # request of each (Goyal, Vin, Cheng, theorem 1).
        for one in shares:
            for other in shares:
                gap = granted[one] / shares[one] - granted[other] / shares[other]
                assert gap <= 1 / shares[one] + 1 / shares[other] + 1e-9, granted

    check()


@given('a queue that grants {rate:d} requests a second and has {count:d} of "{name}"')
def step_slow_queue(context, rate, count, name):
    context.queue = FairQueue(100)
    context.now = 10.0
    for number in range(rate):
        waiter = Waiter(name, 1.0, FAR_FUTURE)
        context.queue.enqueue(waiter, context.now)
        context.queue.dequeue(waiter, context.now - 1.0 + number / rate)
    for _ in range(count):
        assert context.queue.enqueue(Waiter(name, 1.0, FAR_FUTURE), context.now).is_ok()


@given('a full queue of {count:d} requests of "{name}"')
def step_full_queue(context, count, name):
    context.queue = FairQueue(count)
    context.now = 10.0
    context.waiters = [Waiter(name, 1.0, FAR_FUTURE) for _ in range(count)]
    for waiter in context.waiters:
        assert context.queue.enqueue(waiter, context.now).is_ok()


@when('a request of "{name}" with a deadline in {seconds:d} second enters')
@when('a request of "{name}" with a deadline in {seconds:d} seconds enters')
def step_enter(context, name, seconds):
    waiter = Waiter(name, 1.0, context.now + seconds)
    context.result = context.queue.enqueue(waiter, context.now)


@then('it is refused because "{reason}"')
def step_refused(context, reason):
    assert context.result.is_error()
    assert context.result.error.reason == reason, context.result.error.reason


@then('it is queued and the newest request of "{name}" is refused')
def step_evicted(context, name):
    newest = context.waiters[-1]
    assert context.result.ok is newest and newest.workspace == name
    assert newest.refusal is not None and not newest.is_waiting
    assert context.queue.size == len(context.waiters)


@given("a dispatcher on a virtual clock with {targets:d} target of {slots:d} slot")
def step_dispatcher(context, targets, slots):
    context.shape = (targets, slots)


@when("one request has the slot and a second one is cancelled while it waits")
def step_cancelled_waiter(context):
    async def scenario() -> list[tuple[str, float]]:
        dispatcher = build_dispatcher(*context.shape)
        served = []

        async def request(name: str, hold_s: float, timeout_s: float) -> None:
            with move_on_after(timeout_s):
                async with dispatcher.acquire(slot_request()) as result:
                    assert result.is_ok(), result.error
                    served.append((name, current_time()))
                    await sleep(hold_s)

        async with create_task_group() as tasks:
            tasks.start_soon(request, "first", 2.0, 9.0)
            await sleep(0.1)
            tasks.start_soon(request, "second", 2.0, 1.0)
            await sleep(0.1)
            tasks.start_soon(request, "third", 0.1, 9.0)
        assert dispatcher.balancer.in_flight_of("target0") == 0
        assert dispatcher.queue_of("search").size == 0
        return served

    context.served = run_on_clock(scenario)


@then("a third request gets the slot after the first one")
def step_third(context):
    names = [name for name, _ in context.served]
    assert names == ["first", "third"], context.served
    assert abs(context.served[1][1] - context.served[0][1] - 2.0) < 0.01


@when("a request waits for a slot that is not free before its deadline")
def step_wait_past_deadline(context):
    async def scenario():
        dispatcher = build_dispatcher(*context.shape)
        async with dispatcher.acquire(slot_request()) as first:
            assert first.is_ok()
            started = current_time()
            async with dispatcher.acquire(slot_request(deadline_s=3.0)) as second:
                return second, current_time() - started

    context.result, context.waited = run_on_clock(scenario)


@then('it is refused with the code "{code}" at its deadline')
def step_refused_late(context, code):
    assert context.result.error.code == code
    assert abs(context.waited - 3.0) < 0.01, context.waited
