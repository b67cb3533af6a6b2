"""Steps that run commands of the command line, in this process or in their own."""

import re
import sys
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from shlex import split
from subprocess import PIPE, Popen

from behave import then, when

from primroseturn.cli.exits import ExitCode
from primroseturn.cli.main import main

EXIT_TIMEOUT_S = 20
EXIT_CODES_PAGE = Path("docs/exit-codes.md")


def call_command(context, command):
    """Run a command in this process, which avoids the start of an interpreter."""
    stdout, stderr = StringIO(), StringIO()
    context.exit_code = 0
    with redirect_stdout(stdout), redirect_stderr(stderr):
        try:
            main(split(command))
        except SystemExit as ended:
            context.exit_code = int(ended.code or 0)
    context.stdout = stdout.getvalue()
    context.output = context.stdout + stderr.getvalue()


@when('the command "{command}" is called')
def step_call(context, command):
    call_command(context, command)


@when('the output of the command "{command}" is closed before it is read')
def step_closed_output(context, command):
    line = [sys.executable, "-m", "primroseturn", *split(command)]
    with Popen(line, stdout=PIPE, stderr=PIPE, text=True) as process:
        process.stdout.close()
        context.output = process.stderr.read()
        context.exit_code = process.wait(EXIT_TIMEOUT_S)


@then("the command exits with code {code:d}")
def step_exit_code(context, code):
    assert context.exit_code == code, (context.exit_code, context.output)


@then('its output contains "{text}"')
def step_output(context, text):
    assert text in context.output, context.output


@then('its output does not contain "{text}"')
def step_output_without(context, text):
    assert text not in context.output, context.output


@then("the page of exit codes lists exactly the codes of the command line")
def step_exit_codes_page(context):
    rows = re.findall(r"^\| (\d+) \| (\w+) \|", EXIT_CODES_PAGE.read_text(), re.M)
    listed = {name: int(code) for code, name in rows}
    assert listed == {code.name: int(code) for code in ExitCode}, listed
