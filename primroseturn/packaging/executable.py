"""Builds one executable file with shiv from installed packages, without a network.

shiv copies a directory of installed packages into a zip file. This module fills the
directory with the product's own package and its run-time requirements, so that
development tools are left out and nothing is downloaded.
"""

from collections.abc import Iterator
from importlib.metadata import Distribution, distribution, PackageNotFoundError
from pathlib import Path
from shutil import copy2, copytree, ignore_patterns
from tempfile import gettempdir, TemporaryDirectory

from click import ClickException
from packaging.requirements import Requirement
from packaging.utils import canonicalize_name
from shiv import cli as shiv

import primroseturn
from primroseturn.failures import Failure

PRODUCT = "primroseturn"
ENTRY_POINT = "primroseturn.cli.main:main"
# Directory into which the executable unpacks itself, unless SHIV_ROOT is set at run
# time. On the VMs the folder of temporary files is in memory.
UNPACK_ROOT = str(Path(gettempdir()) / PRODUCT)
# Only plots and benchmarks need matplotlib. With its requirements it would take
# most of the memory that the unpacked executable occupies on a VM.
EXCLUDED_PACKAGES = frozenset(("matplotlib",))
# Tests, samples and headers of libraries are not used at run time.
EXCLUDED_DIRS = frozenset(("__pycache__", "tests", "_tests", "test", "sample_data"))
EXCLUDED_SUFFIXES = frozenset((".a", ".c", ".h", ".pxd", ".pyi", ".pyx"))


class BuildFailed(Failure):
    """The executable could not be built."""

    code = "build-failed"

    def __init__(self, reason: str) -> None:
        super().__init__(f"the executable was not built: {reason}")


def find_requirements(name: str) -> Iterator[Distribution]:
    """Yield the installed distributions that `name` needs on a VM.

    Raises
    ------
    BuildFailed
        If one of them is not installed.
    """
    seen = {canonicalize_name(name)} | EXCLUDED_PACKAGES
    pending = [name]
    while pending:
        installed = find_distribution(pending.pop())
        if canonicalize_name(installed.metadata["Name"]) != PRODUCT:
            yield installed
        for text in installed.requires or ():
            requirement = Requirement(text)
            is_needed = requirement.marker is None or requirement.marker.evaluate(
                {"extra": ""}
            )
            key = canonicalize_name(requirement.name)
            if is_needed and key not in seen:
                seen.add(key)
                pending.append(requirement.name)


def find_distribution(name: str) -> Distribution:
    """Return an installed distribution or raise `BuildFailed`."""
    try:
        return distribution(name)
    except PackageNotFoundError:
        raise BuildFailed(f"{name} is not installed") from None


def copy_distribution(installed: Distribution, directory: Path) -> None:
    """Copy the files of an installed distribution, without its scripts."""
    for file in installed.files or ():
        is_excluded = (
            EXCLUDED_DIRS & set(file.parts) or file.suffix in EXCLUDED_SUFFIXES
        )
        if ".." in file.parts or is_excluded:
            continue
        target = directory / file
        target.parent.mkdir(parents=True, exist_ok=True)
        copy2(installed.locate_file(file), target)


def copy_packages(directory: Path) -> None:
    """Copy the product and its run-time requirements into a directory."""
    source = Path(primroseturn.__file__).parent
    copytree(source, directory / PRODUCT, ignore=ignore_patterns("__pycache__"))
    for installed in find_requirements(PRODUCT):
        copy_distribution(installed, directory)


def build_executable(output: Path) -> None:
    """Write the executable to `output`.

    Raises
    ------
    BuildFailed
        If shiv or a requirement is missing or shiv fails.
    """
    with TemporaryDirectory() as name:
        copy_packages(Path(name))
        arguments = ["--site-packages", name, "--entry-point", ENTRY_POINT]
        arguments += ["--root", UNPACK_ROOT, "--reproducible"]
        arguments += ["--output-file", str(output)]
        try:
            shiv.main(arguments, standalone_mode=False)
        except (SystemExit, ClickException) as failure:
            raise BuildFailed(str(failure)) from None
