"""Steps for the files by which the platform builds and starts an entry VM."""

import re
import sys
from importlib.metadata import packages_distributions
from pathlib import Path
from subprocess import run
from tomllib import loads

from behave import then

REQUIREMENTS = Path("deploy/requirements.txt")
DEPLOY_FILE = Path("deploy/system.toml")
PINNED = re.compile(r"([A-Za-z0-9._-]+)==[0-9][A-Za-z0-9.]*")
LOAD_TIMEOUT_S = 30

# Program that loads the modules of an entry VM's process and prints all loaded
# modules. Imports of packages that are not pinned fail as if they were not installed.
LOADER_CODE = """
import sys
from importlib.abc import MetaPathFinder

class Refuse(MetaPathFinder):
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in {refused}:
            raise ModuleNotFoundError(name, name=name)

sys.meta_path.insert(0, Refuse())
import primroseturn.cli.exits
import primroseturn.entry.process
import primroseturn.platform.boot
print(*sys.modules)
"""


def normalize(name):
    """Return the normalized name of a distribution."""
    return re.sub(r"[-_.]+", "-", name).lower()


def pinned_packages():
    """Return the normalized names of the pinned packages."""
    lines = REQUIREMENTS.read_text().split()
    return {normalize(line.partition("==")[0]) for line in lines}


@then("deploy/requirements.txt pins each package to one version")
def step_pinned(context):
    lines = REQUIREMENTS.read_text().split()
    assert lines and all(PINNED.fullmatch(line) for line in lines), lines
    assert len(pinned_packages()) == len(lines)


@then("the process of an entry VM loads with these packages alone")
def step_loads(context):
    pinned = pinned_packages()
    refused = {
        module
        for module, distributions in packages_distributions().items()
        if module != "primroseturn"
        and not any(normalize(name) in pinned for name in distributions)
    }
    # The check would prove nothing if all installed packages were pinned.
    assert {"numpy", "matplotlib", "cappa"} <= refused, refused
    code = LOADER_CODE.format(refused=refused)
    done = run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=LOAD_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    context.modules = set(done.stdout.split())
    assert "primroseturn.entry.service" in context.modules


@then('it has loaded neither "{first}" nor "{second}"')
def step_not_loaded(context, first, second):
    assert not {first, second} & context.modules


@then(
    'deploy/system.toml has one role on "{tier}" that states the address of its metrics'
)
def step_role(context, tier):
    context.deploy = loads(DEPLOY_FILE.read_text())
    (role,) = context.deploy["roles"].values()
    assert role["on"] == tier and role["run"] == "python3 -m primroseturn.entry", role
    port, _, path = role["metrics"].partition("/")
    assert (path, role["env"]["PRIMROSETURN_METRICS_PORT"]) == ("metrics", port), role


@then("its build installs only the packages of deploy/requirements.txt")
def step_build(context):
    installs = re.findall(r"pip install([^)&]*)", context.deploy["build"])
    assert len(installs) == 1, context.deploy["build"]
    assert "--no-deps" in installs[0], installs
    assert f"-r {REQUIREMENTS}" in installs[0], installs
