"""Command that builds the single executable."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.exits import ExitCode, fail
from primroseturn.plugins.registry import plugin_command


@plugin_command
@command(
    name="build-executable",
    description="Needs shiv (in the extra `dev`) but no network: the file is made from "
    "the installed packages. When run, it unpacks itself into the folder of temporary "
    "files, or into SHIV_ROOT.",
)
@dataclass
class BuildExecutable:
    """Build a single executable file that contains all requirements."""

    output: Annotated[Path, Arg(help="File to write.")] = Path("dist/primroseturn")

    def __call__(self) -> None:
        """Build the file and print its size."""
        # Imported here because only the build needs the library `packaging`, which this
        # module imports.
        from primroseturn.packaging.executable import build_executable, BuildFailed

        try:
            self.output.parent.mkdir(parents=True, exist_ok=True)
            build_executable(self.output)
        except (BuildFailed, OSError) as failure:
            fail(ExitCode.FAILED, str(failure))
        print(f"{self.output}: {self.output.stat().st_size / 1e6:.1f} MB")
