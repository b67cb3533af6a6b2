"""Steps about merged event files."""

import json
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from xml.etree import ElementTree

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies

from features.steps.product_commands import call_command
from primroseturn.observation.timeline.offsets import merge_records
from primroseturn.observation.timeline.records import Process, Record

START_S = 1_000_000.0
LINK_DELAY_S = 0.012
EXAMPLES = 200


def write_line(stream, vm, clock_s, true_s, number, name, **fields):
    """Write the line of an event whose daemon's clock is off by `clock_s`."""
    value = {
        "event": number,
        "message_type": name,
        "vm": vm,
        "incarnation": f"{vm}-1",
        "sequence": 1,
        "monotonic_s": true_s + 7,
        "wall_s": START_S + true_s + clock_s,
    }
    stream.write(json.dumps(value | fields) + "\n")


@given('event files of "vm1" and "vm2" whose clock is {behind:d} s behind')
def step_files(context, behind):
    directory = Path(mkdtemp())
    context.event_files = [directory / "vm1.jsonl", directory / "vm2.jsonl"]
    first, second = context.event_files
    with first.open("w") as one, second.open("w") as two:
        for number in range(5):
            at = number * 10.0
            write_line(one, "vm1", 0, at, 110, "clock-probe-sent", probe=f"a{at}")
            arrived, probe = at + LINK_DELAY_S, {"probe": f"a{at}"}
            write_line(
                two, "vm2", -behind, arrived, 111, "clock-probe-received", **probe
            )
            sent, probe = at + 1, {"probe": f"b{at}"}
            write_line(two, "vm2", -behind, sent, 110, "clock-probe-sent", **probe)
            arrived = sent + LINK_DELAY_S
            write_line(one, "vm1", 0, arrived, 111, "clock-probe-received", **probe)
        write_line(one, "vm1", 0, 45, 1001, "admin-change", workspace="shop")
        write_line(two, "vm2", -behind, 45.05, 9999, "change seen")
        for index, stream in enumerate((one, two)):
            vm, clock_s = f"vm{index + 1}", -behind * index
            fields = {"request": f"r{index}", "refusal": "key-refused"}
            write_line(stream, vm, clock_s, 46, 201, "request-refused", **fields)
        fields = {"request": "r1", "workspace": "shop"}
        write_line(two, "vm2", -behind, 47, 200, "request-finished", **fields)


@given('the wall clock of "vm2" steps back by {step_s:d} s half-way')
def step_clock_step(context, step_s):
    path = context.event_files[1]
    values = [json.loads(line) for line in path.read_text().splitlines()]
    for value in values[len(values) // 2 :]:
        value["wall_s"] -= step_s
    path.write_text("".join(json.dumps(value) + "\n" for value in values))


@given("the last line of an event file is truncated")
def step_truncate(context):
    path = context.event_files[0]
    path.write_bytes(path.read_bytes()[:-20])


def print_timeline(context, options=""):
    """Run the command on the event files and decode the lines that it prints."""
    files = " ".join(map(str, context.event_files))
    call_command(context, f"timeline {files} --json {options}")
    assert context.exit_code == 0, context.output
    context.lines = [json.loads(line) for line in context.stdout.splitlines()]


@when("the time line is printed as JSON")
def step_print(context):
    print_timeline(context)


@when('the time line is printed as JSON with "{options}"')
def step_print_filtered(context, options):
    print_timeline(context, options)


@when('the command "timeline" runs on the event files')
def step_timeline(context):
    call_command(context, f"timeline {' '.join(map(str, context.event_files))}")


def find_line(context, name, vm):
    """Return the first line of an event on a VM."""
    return next(
        line
        for line in context.lines
        if line["name"] == name and line["process"]["vm"] == vm
    )


@then(
    '"{effect}" on "{two}" follows "{cause}" on "{one}" by {gap:g} s within {error:g} s'
)
def step_follows(context, effect, two, cause, one, gap, error):
    late, early = find_line(context, effect, two), find_line(context, cause, one)
    assert abs(late["at_s"] - early["at_s"] - gap) <= error, (late, early)
    assert context.lines.index(late) > context.lines.index(early)


@then("the events of each process are in the order in which they were written")
def step_order(context):
    for vm in ("vm1", "vm2"):
        times = [
            line["monotonic_s"] for line in context.lines if line["process"]["vm"] == vm
        ]
        assert len(times) > 10 and times == sorted(times), times


@then("the time line has {count:d} events")
def step_count(context, count):
    assert len(context.lines) == count, context.lines


@when("the time line is drawn twice")
def step_draw(context):
    files = " ".join(map(str, context.event_files))
    directory = context.event_files[0].parent
    context.pictures = [directory / "one.svg", directory / "two.svg"]
    for picture in context.pictures:
        call_command(context, f"timeline {files} --svg {picture}")
        assert context.exit_code == 0, context.output


@then("both pictures are the same SVG document and name both VMs")
def step_pictures(context):
    one, two = (picture.read_bytes() for picture in context.pictures)
    assert one == two
    root = ElementTree.fromstring(one)
    assert root.tag.endswith("svg")
    text = " ".join(root.itertext())
    assert "vm1" in text and "vm2" in text, text


def build_fleet(seed):
    """Return records of a fleet with clock offsets, and their true times by mark."""
    random = Random(seed)
    names = [f"vm{number}" for number in range(random.randint(2, 6))]
    offsets_by_vm = {name: random.uniform(-1000, 1000) for name in names}
    times_by_mark, records = {}, []

    def add(vm, true_s, number, name, **fields):
        process = Process(vm, "1")
        fields["mark"] = len(records)
        times_by_mark[len(records)] = true_s
        at_s = true_s + offsets_by_vm[vm]
        records.append(Record(process, number, name, at_s, true_s + 5, fields))

    for index, one in enumerate(names):
        other = names[(index + 1) % len(names)]
        for number in range(6):
            for sender, receiver in ((one, other), (other, one)):
                probe = f"{index}-{sender}-{number}"
                sent = random.uniform(0, 100)
                add(sender, sent, 110, "clock-probe-sent", probe=probe)
                arrived = sent + random.uniform(0.0005, 0.05)
                add(receiver, arrived, 111, "clock-probe-received", probe=probe)
    return records, times_by_mark


@then(
    "{count:d} seeded fleets with random offsets and delays are corrected within "
    "the error"
)
def step_random_offsets(context, count):
    @settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @for_all(strategies.integers(0, 2**32))
    def check(seed):
        records, times_by_mark = build_fleet(seed)
        merged, offsets = merge_records(records)
        reference = min(offsets)
        shift = next(
            record.at_s - times_by_mark[record.fields["mark"]]
            for record in merged
            if record.process == reference
        )
        for record in merged:
            error_s = record.at_s - times_by_mark[record.fields["mark"]] - shift
            assert abs(error_s) <= offsets[record.process].error_s + 1e-6, (
                seed,
                record,
            )
            assert offsets[record.process].error_s < 0.3, (seed, offsets)

    check()
