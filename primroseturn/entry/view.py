"""The configuration and the targets that are in force on this VM, and their age."""

from collections.abc import Callable
from typing import Any, TypeVar

from primroseturn.entry.models import Configuration, Target

# Part of the stated time for withdrawn keys that is left for the way of a request.
KEY_MARGIN_S = 0.6

T = TypeVar("T")


class FleetView:
    """What this VM believes, and since when it knows.

    Attributes
    ----------
    configuration
        The newest known version, or None before the first.
    stored_configuration
        The same version as stored, for other VMs.
    targets_by_id
        The listed targets.
    revision
        Revision of the store at which they were listed.
    confirmed_at
        Latest time since boot in seconds at which the configuration is known to have
        been the newest one: the time of the question, not that of the answer.
    configuration_unheard, targets_unheard
        Whether a listener has failed, so that all are called again.
    """

    def __init__(self, revoked_key_limit_s: float) -> None:
        self.key_age_limit_s = 0.0
        self.set_revoked_key_limit(revoked_key_limit_s)
        self.configuration: Configuration | None = None
        self.stored_configuration: Any = None
        self.targets_by_id: dict[str, Target] = {}
        self.revision = 0
        self.confirmed_at: float | None = None
        self.configuration_unheard = self.targets_unheard = False
        self.configuration_listeners: list[Callable[[Configuration], None]] = []
        self.target_listeners: list[Callable[[dict[str, Target]], None]] = []

    def set_revoked_key_limit(self, revoked_key_limit_s: float) -> None:
        """Set the longest time for which a withdrawn key may work, in seconds."""
        self.key_age_limit_s = revoked_key_limit_s - KEY_MARGIN_S

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def apply_configuration(self, configuration: Configuration, stored: Any) -> bool:
        """Put a configuration in force unless a newer one is.

        Returns
        -------
        bool
            Whether it is now in force and was not before.
        """
        unheard = self.configuration_unheard and configuration.version == self.version
        if configuration.version <= self.version and not unheard:
            return False
        self.configuration = configuration
        self.stored_configuration = stored
        self.configuration_unheard = True
        announce(self.configuration_listeners, configuration)
        self.configuration_unheard = False
        return True

    def confirm(self, version: int, asked_at: float) -> None:
        """Note that `version` was the newest one when it was asked for."""
        if version < self.version:
            return
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at

    def is_complete(self) -> bool:
        """Return whether there are a confirmed configuration and targets."""
        return self.confirmed_at is not None and bool(self.targets_by_id)

    def age_s(self, now: float) -> float:
        """Return the age of the last confirmation in seconds."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def can_check_keys(self, now: float) -> bool:
        """Return whether a key that is valid here can be taken to be valid."""
        return self.age_s(now) <= self.key_age_limit_s

    def apply_targets(self, targets_by_id: dict[str, Target], revision: int) -> None:
        """Replace the listed targets."""
        self.revision = revision
        if targets_by_id == self.targets_by_id and not self.targets_unheard:
            return
        self.targets_by_id = targets_by_id
        self.targets_unheard = True
        announce(self.target_listeners, targets_by_id)
        self.targets_unheard = False


def announce(listeners: list[Callable[[T], None]], value: T) -> None:
    """Call all listeners, also after an error of one.

    Raises
    ------
    ExceptionGroup
        The errors of the listeners.
    """
    errors = []
    for listener in listeners:
        try:
            listener(value)
        except Exception as error:
            errors.append(error)
    if errors:
        raise ExceptionGroup("listeners of the view failed", errors)
