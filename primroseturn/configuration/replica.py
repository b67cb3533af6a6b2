"""This daemon's copy of the configuration; its version never goes back."""

from collections.abc import Callable

from expression import Error, Ok, Result

from primroseturn.configuration.models import Change
from primroseturn.configuration.state import (
    apply_change,
    ChangeInvalid,
    ConfigurationState,
    EMPTY_STATE,
)
from primroseturn.failures import Failure


class ChangeOutOfOrder(Failure):
    """A change does not follow the version in force."""

    code = "change-out-of-order"

    def __init__(self, version: int, in_force: int) -> None:
        super().__init__(f"change {version} does not follow version {in_force}")
        self.version = version
        self.in_force = in_force


class Replica:
    """Applies accepted changes strictly in order."""

    def __init__(self) -> None:
        self.state: ConfigurationState = EMPTY_STATE
        self.withdrawn_ids: set[str] = set()
        self.callbacks: list[Callable[[ConfigurationState], None]] = []

    def apply(self, change: Change) -> Result[int, Failure]:
        """Apply the change that follows the version in force.

        Returns
        -------
        Result
            The new version, or why the change was not applied.
        """
        if change.version != self.state.version + 1:
            return Error(ChangeOutOfOrder(change.version, self.state.version))
        try:
            self.state = apply_change(self.state, change)
        except ChangeInvalid:
            # The log is the agreed order: an invalid entry is skipped by every
            # daemon alike, so that versions stay equal everywhere.
            self.state = self.state._replace(version=change.version)
        self.notify()
        return Ok(self.state.version)

    def install(self, state: ConfigurationState) -> bool:
        """Replace the state by a newer snapshot. Older ones are ignored."""
        if state.version <= self.state.version:
            return False
        self.state = state
        self.notify()
        return True

    def withdraw(self, key_id: str) -> None:
        """Stop a key at once. A withdrawal is never undone."""
        self.withdrawn_ids.add(key_id)

    def is_withdrawn(self, key_id: str) -> bool:
        """Return whether a key was withdrawn or is unknown."""
        key = self.state.keys_by_id.get(key_id)
        return key is None or key.withdrawn or key_id in self.withdrawn_ids

    def subscribe(self, callback: Callable[[ConfigurationState], None]) -> None:
        """Call `callback` with each new state."""
        self.callbacks.append(callback)

    def notify(self) -> None:
        """Pass the state to all subscribers."""
        for callback in self.callbacks:
            callback(self.state)
