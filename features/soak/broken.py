"""Runs a VM with one mechanism disabled: python -m features.soak.broken NAME.

The soak must find that each variant breaks the promise of its name.
"""

import runpy
import sys
from collections.abc import Callable

from primroseturn.entry import application, attempt, forwarding
from primroseturn.entry.polling import ConfigurationPoller
from primroseturn.entry.view import VmView
from primroseturn.limits.quota import FleetQuota

Variant = Callable[[], None]
variants_by_name: dict[str, Variant] = {}


def variant(function: Variant) -> Variant:
    """Register a variant under the name of the promise that it breaks."""
    variants_by_name[function.__name__] = function
    return function


@variant
def at_most_once() -> None:
    forwarding.MAY_HAVE_RUN_OUTCOMES = frozenset((attempt.AttemptOutcome.ANSWERED,))


@variant
def true_refusals() -> None:
    application.BAD_GATEWAY = application.GATEWAY_TIMEOUT = 503


@variant
def whole_answers() -> None:
    attempt.Attempt.check_head = lambda self, head: head


@variant
def withdrawn_keys() -> None:
    VmView.can_check_keys = lambda self, now: True


@variant
def rates() -> None:
    FleetQuota.admit = lambda self, name, now, already_counted=False, rank=0: 0.0


@variant
def leaving_targets() -> None:
    apply_targets = VmView.apply_targets

    def apply_without_leaving(self, targets_by_id, revision):
        staying = {k: t._replace(leaving=False) for k, t in targets_by_id.items()}
        apply_targets(self, staying, revision)

    VmView.apply_targets = apply_without_leaving


@variant
def newest_configuration() -> None:
    apply_configuration = ConfigurationPoller.apply_configuration

    def apply_first(self, spec, requested_at, revision=0):
        if self.view.configuration is None:
            return apply_configuration(self, spec, requested_at, revision)
        self.view.confirm(self.view.version, requested_at)
        return True

    ConfigurationPoller.apply_configuration = apply_first


if __name__ == "__main__":
    variants_by_name[sys.argv[1]]()
    runpy.run_module("primroseturn.entry", run_name="__main__")
