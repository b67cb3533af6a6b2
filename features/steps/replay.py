"""Steps for the replay and the recording of traces."""

import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when

import primroseturn.replay
from features.fleet import run_fleet
from features.steps.request_path import fill_fleet
from primroseturn.replay.driver import run_replay
from primroseturn.replay.generator import center_lines, SIZES, write_traces
from primroseturn.replay.trace import build_trace, load_trace

SEED = 1
DURATION_S = 4.4
SIZES_BY_NAME = {size.name: size for size in SIZES}
SHIPPED_TRACES_DIRECTORY = Path(primroseturn.replay.__file__).parent / "traces"
# Every write to this device fails because no space is left.
FULL_DISK = Path("/dev/full")
FLEET_LINE = '{"kind":"fleet","seed":1,"duration_s":2,"vms":2}'
SMALL_TRACE = f"""{FLEET_LINE}
{{"kind":"service","name":"s","targets":3,"slots":2,"median_s":0.01}}
{{"kind":"route","service":"s","route_class":"r"}}
{{"kind":"arrivals","at_s":0,"workspace":"w","service":"s","route_class":"r","rate":20}}
{{"kind":"expect","measure":"served_share","least":1.1}}
"""


def replay_center(trace: str, size: str):
    """Return the report of a trace for one data centre."""
    lines = center_lines(trace, SIZES_BY_NAME[size], SEED)
    lines[0].duration_s = DURATION_S
    return run_replay(build_trace(f"{size}-{trace}", lines))


@when('the trace "{trace}" of "{size}" is replayed for one data centre')
def step_replay(context, trace, size):
    context.report = replay_center(trace, size)


@then("all its stated outcomes are met")
def step_met(context):
    assert context.report.checks, "the trace states no outcome"
    assert context.report.passed(), context.report


@when('the trace "{trace}" of "{size}" is replayed twice for one data centre')
def step_replay_twice(context, trace, size):
    context.reports = [replay_center(trace, size) for _ in range(2)]


@then("both reports are equal and all stated outcomes are met")
def step_reports_equal(context):
    first, second = context.reports
    assert first == second, (first, second)
    assert first.passed(), first


def write_trace_file(context, text: str) -> None:
    """Write a trace file that is removed after the scenario."""
    directory = TemporaryDirectory()
    context.cleanups.append(directory.cleanup)
    context.path = Path(directory.name) / "case.jsonl"
    context.path.write_text(text)


@given("a trace file whose stated outcome cannot be met")
def step_impossible(context):
    write_trace_file(context, SMALL_TRACE)


@given("a trace file with the line {line}")
def step_malformed(context, line):
    first = f"{FLEET_LINE}\n" if '"comet"' in line else ""
    context.line_number = 2 if first else 1
    write_trace_file(context, f"{first}{line}\n")


@when("the command replays it")
def step_run_command(context):
    command = [sys.executable, "-m", "primroseturn", "replay", str(context.path)]
    context.run = subprocess.run(command, capture_output=True, text=True, timeout=60)


@then("the exit code is 1 and the output names the missed outcome")
def step_exit_missed(context):
    assert context.run.returncode == 1, context.run
    line = context.run.stdout.splitlines()[-1]
    assert line.startswith("case") and "served_share" in line and "MISSED" in line


@then("the exit code is 2 and the output names the line")
def step_exit_usage(context):
    assert context.run.returncode == 2, context.run
    assert f"case.jsonl:{context.line_number}:" in context.run.stderr, context.run


@then("the generator writes exactly the shipped traces")
def step_shipped(context):
    with TemporaryDirectory() as name:
        written = {path.name: path.read_bytes() for path in write_traces(Path(name))}
    shipped = {
        path.name: path.read_bytes()
        for path in SHIPPED_TRACES_DIRECTORY.glob("*.jsonl")
    }
    assert written == shipped, sorted(written.keys() ^ shipped.keys())


@given("a fleet whose daemon records a trace")
def step_recording_fleet(context):
    write_trace_file(context, "")
    start_recording_fleet(context)


@given("a fleet whose daemon records a trace to a full disk")
def step_full_disk(context):
    context.path = FULL_DISK
    start_recording_fleet(context)


def start_recording_fleet(context):
    """Run a fleet whose daemon records its trace in the scenario's file."""
    manager = context.portal.wrap_async_context_manager(run_fleet())
    context.fleet = manager.__enter__()
    context.cleanups.append(lambda: manager.__exit__(None, None, None))
    context.portal.call(fill_fleet, context.fleet, 2, 0)
    logs = {"events_file": "/dev/null", "record_file": str(context.path)}

    async def add_daemon():
        await context.fleet.add_daemon("vm1", logs=logs)
        await context.fleet.wait_ready()

    context.portal.call(add_daemon)


@then("each of the {count:d} requests gets 200")
def step_all_succeed(context, count):
    found = [response.status_code for response in context.responses]
    assert found == [200] * count, found


@then("the daemon stops without an error")
def step_stops(context):
    context.portal.call(context.fleet.stop, "vm1")


@then("the recorded trace replays with {count:d} requests")
def step_recorded(context, count):
    context.portal.call(context.fleet.stop, "vm1")
    trace = load_trace(context.path)
    assert trace.is_ok(), trace.error
    report = run_replay(trace.ok)
    assert report.figures["requests"] == count, report
    assert report.figures["served"] == count, report
    assert len(trace.ok.exchanges) == count
