"""Command that explains what happened to one request."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.exits import ExitCode, fail
from primroseturn.observation.explanation import explain_request
from primroseturn.observation.timeline.records import EventFileInvalid, read_records
from primroseturn.plugins.registry import plugin_command
from primroseturn.plugins.timeline import print_records


@plugin_command
@command(
    description="Reads the event files of all entry VMs and prints the events of one "
    "request in order, the state events of its VM in the 30 s before its end, the "
    "outcomes that all VMs logged at its targets, and why it ended as it did. Exits "
    "with code 1 if no line names the request."
)
@dataclass
class Explain:
    """Explain what happened to one request."""

    request: Annotated[str, Arg(help="Id that the caller gave to the request.")]
    files: Annotated[list[Path], Arg(help="Event files of the VMs.")]

    def __call__(self) -> None:
        """Print the explanation of the request."""
        try:
            result = read_records(self.files)
        except EventFileInvalid as failure:
            fail(ExitCode.USAGE, str(failure))
        explanation = explain_request(result.records, self.request)
        if explanation is None:
            fail(ExitCode.FAILED, f"no line names request {self.request!r}")
        print("request:")
        print_records(explanation.records)
        print("state of its VM before:")
        print_records(explanation.state)
        print("targets:")
        for line in explanation.targets:
            print(f"  {line}")
        print(f"cause: {explanation.cause}")
