"""Runs the state machine of a protocol with a fixed seed."""

from collections import Counter
from contextlib import nullcontext
from unittest.mock import patch

from hypothesis import HealthCheck, Phase, seed as use_seed, settings
from hypothesis.stateful import run_state_machine_as_test
from trio._core import _run

from features.exploration import claims, limits

# Makes the choices of the trio scheduler depend on the seed, so that a run can be
# repeated.
_run._hypothesis_plugin_setup()

PROTOCOLS = {
    "claims": claims,
    "limits": limits,
}


def explore(protocol, schedules, seed, steps=20, broken=None, shrink=False):
    """Run schedules until one violates an invariant.

    `broken` names a variant of the protocol that breaks one rule.

    Returns
    -------
    dict
        Totals over all schedules.

    Raises
    ------
    AssertionError
        If a schedule violates an invariant.
    """
    module = PROTOCOLS[protocol]
    totals = Counter()
    machine = use_seed(seed)(module.make_machine(totals))
    phases = [Phase.generate, *([Phase.shrink] if shrink else [])]
    options = settings(
        max_examples=schedules,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    variant = patch.object(*module.BROKEN_VARIANTS[broken]) if broken else nullcontext()
    with variant:
        run_state_machine_as_test(machine, settings=options)
    return dict(totals)
