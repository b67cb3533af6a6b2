"""Builds one executable file with shiv from what is installed, without a network.

shiv copies a directory of installed packages into a zip file. The directory is
gathered here from the product's own package and its run-time requirements, so that
development tools stay out and nothing is downloaded.
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
# On the VMs the folder of temporary files is in memory. SHIV_ROOT overrides this
# place at run time.
UNPACK_ROOT = str(Path(gettempdir()) / PRODUCT)
# Only pictures and benchmarks need it; with what it requires it would take most of
# the memory that the unpacked executable occupies on a VM.
LEFT_OUT = frozenset(("matplotlib",))
# Tests, samples and headers of libraries are never read by the product.
SKIPPED_PARTS = frozenset(("__pycache__", "tests", "_tests", "test", "sample_data"))
SKIPPED_SUFFIXES = frozenset((".a", ".c", ".h", ".pxd", ".pyi", ".pyx"))


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
        If one is not installed.
    """
    seen = {canonicalize_name(name)} | LEFT_OUT
    waiting = [name]
    while waiting:
        found = find_distribution(waiting.pop())
        if canonicalize_name(found.metadata["Name"]) != PRODUCT:
            yield found
        for text in found.requires or ():
            requirement = Requirement(text)
            needed = requirement.marker is None or requirement.marker.evaluate(
                {"extra": ""}
            )
            key = canonicalize_name(requirement.name)
            if needed and key not in seen:
                seen.add(key)
                waiting.append(requirement.name)


def find_distribution(name: str) -> Distribution:
    """Return an installed distribution."""
    try:
        return distribution(name)
    except PackageNotFoundError:
        raise BuildFailed(f"{name} is not installed") from None


def copy_distribution(found: Distribution, directory: Path) -> None:
    """Copy the files of an installed distribution, without its scripts."""
    for file in found.files or ():
        skipped = SKIPPED_PARTS & set(file.parts) or file.suffix in SKIPPED_SUFFIXES
        if ".." in file.parts or skipped:
            continue
        target = directory / file
        target.parent.mkdir(parents=True, exist_ok=True)
        copy2(found.locate_file(file), target)


def gather_packages(directory: Path) -> None:
    """Copy the product and its run-time requirements into a directory."""
    source = Path(primroseturn.__file__).parent
    copytree(source, directory / PRODUCT, ignore=ignore_patterns("__pycache__"))
    for found in find_requirements(PRODUCT):
        copy_distribution(found, directory)


def build_executable(output: Path) -> None:
    """Write the executable to `output`.

    Raises
    ------
    BuildFailed
        If shiv or a requirement is missing or shiv fails.
    """
    with TemporaryDirectory() as name:
        gather_packages(Path(name))
        arguments = ["--site-packages", name, "--entry-point", ENTRY_POINT]
        arguments += ["--root", UNPACK_ROOT, "--reproducible"]
        arguments += ["--output-file", str(output)]
        try:
            shiv.main(arguments, standalone_mode=False)
        except (SystemExit, ClickException) as failure:
            raise BuildFailed(str(failure)) from None
