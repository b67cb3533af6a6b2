"""This daemon's copy of the configuration, whose version never decreases."""

from collections import deque
from collections.abc import Callable
from time import time

from expression import Error, Ok, Result

from primroseturn.configuration.metrics import (
    CONVERGENCE_SECONDS,
    VERSION,
    WITHDRAWALS,
)
from primroseturn.configuration.models import Change
from primroseturn.configuration.state import (
    apply_change,
    ChangeInvalid,
    ConfigurationState,
    EMPTY_STATE,
)
from primroseturn.failures import Failure
from primroseturn.kernel.listeners import Listeners
from primroseturn.membership.rings import hash_name

MAX_RECENT_CHANGES = 2_000


class ChangeOutOfOrder(Failure):
    """A change does not follow the version in force."""

    code = "change-out-of-order"

    def __init__(self, version: int, in_force: int) -> None:
        super().__init__(f"change {version} does not follow version {in_force}")
        self.version = version
        self.in_force = in_force


class Replica:
    """Applies accepted changes strictly in order.

    Attributes
    ----------
    state
        The configuration in force.
    recent_changes
        The latest changes in order, for peers that have an older version.
    operations_by_withdrawn_key
        Id of the operation that withdrew (revoked) each withdrawn key, by key id.
        Entries are never removed.
    withdrawals_hash
        Hash of the ids of the withdrawn keys; equal sets have equal hashes.
    listeners
        Called after each change of the state.
    withdrawal_listeners
        Called with the id of each newly withdrawn key.
    """

    def __init__(self) -> None:
        self.state: ConfigurationState = EMPTY_STATE
        self.recent_changes: deque[Change] = deque(maxlen=MAX_RECENT_CHANGES)
        self.operations_by_withdrawn_key: dict[str, str] = {}
        self.withdrawals_hash = 0
        self.listeners = Listeners()
        self.withdrawal_listeners: list[Callable[[str], None]] = []

    def apply(self, change: Change) -> Result[int, Failure]:
        """Apply the change that follows the version in force.

        Returns
        -------
        Result
            The new version, or the failure if the change is out of order.
        """
        if change.version != self.state.version + 1:
            return Error(ChangeOutOfOrder(change.version, self.state.version))
        try:
            self.state = apply_change(self.state, change)
        except ChangeInvalid:
            # Every daemon skips an invalid change of the log in the same way, so that
            # versions stay equal on all of them.
            self.state = self.state._replace(version=change.version)
        self.recent_changes.append(change)
        if change.at_unix_s:
            CONVERGENCE_SECONDS.observe(max(0.0, time() - change.at_unix_s))
        self.notify()
        return Ok(self.state.version)

    def install(self, state: ConfigurationState) -> bool:
        """Replace the state by a snapshot, and return whether the snapshot is newer.

        A snapshot that is not newer is ignored.
        """
        if state.version <= self.state.version:
            return False
        self.state = state
        self.recent_changes.clear()
        self.notify()
        return True

    def changes_after(self, version: int) -> list[Change] | None:
        """Return the changes after a version.

        The result is None if some of them are no longer in `recent_changes`.
        """
        missing_count = self.state.version - version
        if missing_count > len(self.recent_changes):
            return None
        return (
            list(self.recent_changes)[len(self.recent_changes) - missing_count :]
            if missing_count > 0
            else []
        )

    def withdraw(self, key_id: str, operation_id: str = "") -> bool:
        """Withdraw (revoke) a key: refuse it from now on. A withdrawal is never undone.

        Returns
        -------
        bool
            Whether the key was not withdrawn at this VM before.
        """
        if key_id in self.operations_by_withdrawn_key:
            return False
        self.operations_by_withdrawn_key[key_id] = operation_id
        self.withdrawals_hash ^= hash_name("withdrawal", key_id)
        WITHDRAWALS.set(len(self.operations_by_withdrawn_key))
        for listener in self.withdrawal_listeners:
            listener(key_id)
        return True

    def is_withdrawn_or_unknown(self, key_id: str) -> bool:
        """Return whether a key is withdrawn or unknown."""
        key = self.state.keys_by_id.get(key_id)
        return (
            key is None or key.withdrawn or key_id in self.operations_by_withdrawn_key
        )

    def subscribe(self, listener: Callable[[ConfigurationState], None]) -> None:
        """Call `listener` with the state after each change of it."""
        self.listeners.subscribers.append(lambda: listener(self.state))

    def notify(self) -> None:
        """Call the listeners and set the metric of the version in force."""
        VERSION.set(self.state.version)
        self.listeners.notify()
