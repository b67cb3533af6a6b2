"""Hooks of behave: event loop per scenario, known failures and closing lines."""

from collections import Counter
from pathlib import Path

from anyio.from_thread import start_blocking_portal

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def known_red_names() -> set[str]:
    """Return the names of the scenarios that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(TEST_PREFIX) for line in lines if line.startswith(TEST_PREFIX)
    }


def describe_failure(scenario) -> str:
    """Return a line with the location of a failed scenario, its step and the error."""
    for step in scenario.all_steps:
        if step.exception is not None:
            reason = f"{step.keyword} {step.name}: {step.exception!r}"
            break
    else:
        reason = scenario.error_message or scenario.status.name
    return " ".join(f"FAILED {scenario.location} {scenario.name}: {reason}".split())


def before_all(context):
    """Prepare the results for the closing lines and read the known failures."""
    context.counts = Counter()
    context.failures = []
    context.known_red = known_red_names()


def before_scenario(context, scenario):
    """Start the event loop of the scenario, or skip it as a known failure."""
    context.cleanups = []
    context.portal_context = None
    if scenario.name in context.known_red:
        print(f"KNOWN-RED, not run: {scenario.name}")
        scenario.skip("listed in KNOWN-RED.txt")
        return
    context.portal_context = start_blocking_portal("asyncio")
    context.portal = context.portal_context.__enter__()


def after_scenario(context, scenario):
    """Stop what the scenario started, in reverse order, and record its result."""
    try:
        for cleanup in reversed(context.cleanups):
            cleanup()
        if context.portal_context is not None:
            context.portal_context.__exit__(None, None, None)
    except BaseException as error:
        context.counts["failed"] += 1
        line = f"FAILED {scenario.location} {scenario.name}: at its end: {error!r}"
        context.failures.append(" ".join(line.split()))
        raise
    if scenario.status.name == "passed":
        context.counts["passed"] += 1
    elif scenario.status.name != "skipped":
        context.counts["failed"] += 1
        context.failures.append(describe_failure(scenario))


def after_all(context):
    """Print a line for each failed scenario and the numbers of results."""
    counts = context.counts
    for line in context.failures:
        print(f"\n{line}")
    print(f"\n{counts['passed']} passed, {counts['failed']} failed")
