"""Steps for the retry budget and hedging."""

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from primroseturn.retries.budget import RetryBudget
from primroseturn.retries.hedging import Hedging

SERVICE = "search"
RATIO = 0.1


@then(
    "in any sequence retries stay within a tenth of the successes plus the saved "
    "retries"
)
def step_budget_property(context):
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @for_all(
        st.lists(
            st.tuples(st.booleans(), st.integers(1, 50), st.floats(0, 0.5)), max_size=60
        )
    )
    def check(steps):
        budget, now = RetryBudget(RATIO), 0.0
        successes: list[float] = []
        retries: list[float] = []
        for success, count, gap in steps:
            now += gap
            for _ in range(count):
                if success:
                    budget.record_success(SERVICE, now)
                    successes.append(now)
                elif budget.try_consume(SERVICE, now):
                    retries.append(now)
        # The budget of a window is what was added in it plus what could be saved
        # before.
        for index, start in enumerate(retries):
            added = RATIO * sum(at >= start for at in successes)
            saved = max(1.0, RATIO * sum(at <= start for at in successes))
            assert len(retries) - index <= added + saved + 1e-6
            assert len(retries) <= RATIO * len(successes) + 1e-6

    check()


@given("a retry budget with {count:d} saved retries")
def step_budget(context, count):
    context.budget = RetryBudget(RATIO)
    context.now = 100.0
    for _ in range(10 * count + 1):
        context.budget.record_success(SERVICE, context.now)
    assert context.budget.try_consume(SERVICE, context.now)


@when("{seconds:d} seconds pass without a success")
def step_no_success(context, seconds):
    context.now += seconds


@then("no retry is granted")
def step_no_retry(context):
    assert not context.budget.try_consume(SERVICE, context.now)


@given("latencies of {first:d} to {last:d} ms")
def step_latencies(context, first, last):
    context.has_free_slots = True
    context.hedging = Hedging(lambda service: context.has_free_slots)
    for value in range(first, last + 1):
        context.hedging.record_latency(SERVICE, "lookup", value / 1000)


@when("no slot is free")
def step_no_slot(context):
    context.has_free_slots = False


@then("the hedge delay is between {least:d} and {most:d} ms")
def step_delay(context, least, most):
    delay = context.hedging.delay_s(SERVICE, "lookup")
    assert least / 1000 <= delay <= most / 1000, delay


@then("there is no hedge delay")
def step_no_delay(context):
    assert context.hedging.delay_s(SERVICE, "lookup") is None
