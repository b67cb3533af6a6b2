"""Steps for an entry VM as a process of its own."""

import json
import os
import sys
from pathlib import Path
from signal import SIGHUP, SIGTERM
from subprocess import PIPE, Popen
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from behave import given, then, when
from httpx import get

from features.processes import choose_port

WAIT_S = 10.0

BOOT = """
[self]
node = "vm1"
ip = "127.0.0.1"
zone = "a"
region = "r"
[network]
internal_ports = [{peers}, {peers}]
[network.listen]
front = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
[network.zones]
a = "r"
[platform.platform]
address = "127.0.0.1:{store}"
[timing_terms.bounds]
revoke_s = {revoke}
"""


@given("an entry VM as a process with a settings file")
def step_process(context):
    directory = TemporaryDirectory()
    context.cleanups.append(directory.cleanup)
    context.log = Path(directory.name) / "log"
    context.log_stream = context.log.open("wb")
    context.cleanups.append(context.log_stream.close)
    start_process(context, context.log_stream)
    wait_event(context, "entry-started")


def start_process(context, output, store=1, tables="", errors=PIPE, **variables):
    """Start an entry VM that writes its log to a file or descriptor.

    Nothing listens on the store's default port here. Tables are added to the settings
    file, and variables to the environment.
    """
    directory = TemporaryDirectory()
    context.cleanups.append(directory.cleanup)
    context.file = Path(directory.name) / "boot.toml"
    context.ports = {name: choose_port() for name in ("peers", "callers", "readiness")}
    context.ports["store"] = store
    context.file.write_text(BOOT.format(revoke=5, **context.ports) + tables)
    variables = {"PRIMROSETURN_BOOT": str(context.file), **variables}
    environment = {**os.environ, **variables}
    context.process = Popen(
        [sys.executable, "-m", "primroseturn.entry"],
        stdout=output,
        stderr=errors,
        env=environment,
    )
    context.cleanups.append(lambda: stop(context.process))


def stop(process):
    """Stop the process that the scenario has started."""
    process.send_signal(SIGTERM)
    process.communicate(timeout=WAIT_S)


def wait_event(context, name):
    """Wait until the log has a line of an event and return the newest one."""
    until = monotonic() + WAIT_S
    while monotonic() < until:
        lines = context.log.read_text().splitlines()
        found = [json.loads(line) for line in lines if f'"{name}"' in line]
        if found:
            return found[-1]
        sleep(0.02)
    raise AssertionError(f"{name} is not in the log: {context.log.read_text()}")


@when("the file states {seconds:d} s for withdrawn keys and the process gets SIGHUP")
def step_change(context, seconds):
    context.file.write_text(BOOT.format(revoke=seconds, **context.ports))
    context.process.send_signal(SIGHUP)


@when("the file states a grace of {seconds:d} s and the process gets SIGHUP")
def step_change_grace(context, seconds):
    text = BOOT.format(revoke=5, **context.ports)
    context.file.write_text(f"{text}grace_s = {seconds}\n")
    context.process.send_signal(SIGHUP)


@then("the process ends within {seconds:d} s after SIGTERM")
def step_ends(context, seconds):
    began_at = monotonic()
    stop(context.process)
    took_s = monotonic() - began_at
    assert took_s <= seconds, took_s


@then("its log states that the settings were applied with {seconds:d} s")
def step_applied(context, seconds):
    event = wait_event(context, "entry-settings-applied")
    assert event["bounds"]["revoked_key_limit_s"] == seconds, event


@when("the file is replaced by invalid TOML without a signal")
def step_break(context):
    context.file.write_text("[self")


@then("its log states that the settings were refused")
def step_refused(context):
    event = wait_event(context, "entry-settings-refused")
    assert "TOML" in event["reason"], event


@then("the process still responds")
def step_answers(context):
    port = context.ports["callers"]
    response = get(f"http://127.0.0.1:{port}/lookup/1", trust_env=False)
    assert response.status_code == 503, response.status_code
    assert context.process.poll() is None
