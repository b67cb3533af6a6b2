"""Steps for the latency benchmark."""

import sys

from anyio import run_process
from behave import then, when
from msgspec.json import decode

from primroseturn.bench.latency import QUANTILES, RunFigures
from primroseturn.bench.report import summarise_runs


@when("the benchmark runs for {seconds:d} s at {rate:d} requests per second")
def step_bench(context, seconds, rate):
    command = [sys.executable, "-m", "primroseturn", "bench", "--runs", "1", "--json"]
    command += ["--seconds", str(seconds), "--rate", str(rate)]

    async def run():
        return await run_process(command, check=False)

    result = context.portal.call(run)
    # On a busy machine the latency may exceed its limit, which gives exit code 1.
    assert result.returncode in (0, 1), result.stderr
    context.summary = decode(result.stdout)


@then('its figures cover "{first}" and "{second}"')
def step_figures(context, first, second):
    for comparison in (first, second):
        assert set(context.summary["added_ms"][comparison]) == set(QUANTILES)
    assert set(context.summary["cpu_ms_per_request"]) == {"daemon", "passthrough"}


@then("the daemon served all of at least {count:d} requests")
def step_all_served(context, count):
    assert context.summary["failures"][0]["daemon"] == 0
    assert context.summary["requests_per_run"]["daemon"] >= count


@then("a benchmark run with {added:g} ms added and {failures:d} failures is {verdict}")
def step_verdict(context, added, failures, verdict):
    direct = dict.fromkeys(QUANTILES, 0.001)
    own = dict.fromkeys(QUANTILES, 0.001 + added / 1000)
    latencies = {"direct": direct, "passthrough": own, "daemon": own}
    run = RunFigures(latencies, {"daemon": failures}, {"daemon": 100}, {})
    assert summarise_runs([run], 130.0, [])["met"] is (verdict == "met")
