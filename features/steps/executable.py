"""Steps that build and run the single executable."""

import json
import sys
from pathlib import Path
from shlex import split
from shutil import rmtree
from subprocess import run
from tempfile import mkdtemp
from time import monotonic

from behave import given, then, when

from primroseturn import __version__
from primroseturn.packaging.executable import build_executable

RUN_TIMEOUT_S = 30


def find_interpreter():
    """Return the interpreter on which the environment is based; it has no packages."""
    version = f"python{sys.version_info.major}.{sys.version_info.minor}"
    return Path(sys.base_prefix) / "bin" / version


@given("the executable is built without a network")
def step_build(context):
    context.directory = Path(mkdtemp(prefix="primroseturn-test-"))
    context.cleanups.append(lambda: rmtree(context.directory))
    context.executable = context.directory / "primroseturn"
    (context.directory / "empty").mkdir()
    event = {"event": 100, "message_type": "daemon-started", "vm": "vm1"}
    event |= {"incarnation": "1", "wall_s": 1.0, "monotonic_s": 1.0}
    (context.directory / "events.jsonl").write_text(json.dumps(event) + "\n")
    build_executable(context.executable)


@when('the executable runs "{command}" in an empty environment')
def step_run(context, command):
    started = monotonic()
    completed = run(
        [find_interpreter(), "-I", context.executable, *split(command)],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
        cwd=context.directory / "empty",
        env={"SHIV_ROOT": str(context.directory / "unpacked")},
    )
    context.seconds = monotonic() - started
    context.exit_code = completed.returncode
    context.stdout = completed.stdout
    context.output = completed.stdout + completed.stderr


@then("the command took at most {limit:d} s")
def step_duration(context, limit):
    assert context.seconds <= limit, context.seconds


@then("its output is the version of the product")
def step_version(context):
    assert context.stdout.strip().endswith(__version__), context.output


@then("all that it unpacked is below SHIV_ROOT")
def step_root(context):
    unpacked = list((context.directory / "unpacked").glob("*/site-packages"))
    assert len(unpacked) == 1 and (unpacked[0] / "primroseturn").is_dir(), unpacked
    assert not list((context.directory / "empty").iterdir())
