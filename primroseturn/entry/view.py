"""The configuration and the targets that are in force on this VM, and their age."""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from primroseturn.entry.documents import Document, encode_document, encode_patch
from primroseturn.entry.models import Configuration
from primroseturn.platform.pages import NO_REVISION, StoreRevision
from primroseturn.routing.models import Target

# Seconds of the time limit for withdrawn keys that are reserved for the transit of a
# request to its target.
KEY_MARGIN_S = 0.6

# Age in seconds that is logged for a configuration without any confirmation.
MAX_LOGGED_AGE_S = 1e6
# Starts of targets that are remembered as leaving, and as having left. A release
# replaces the targets of a service, of which there are some hundreds.
MAX_LEAVING_STARTS = 10_000

T = TypeVar("T")


class TargetStart(NamedTuple):
    """Identifies one start of a target."""

    id: str
    start_unix_ms: int
    host: str
    port: int


class ViewBasis(NamedTuple):
    """The version of the configuration by which a request is handled.

    Attributes
    ----------
    age_s
        Age in seconds of its last confirmation when the request arrived.
    """

    version: int
    age_s: float


class StoredVersion(NamedTuple):
    """A version of the configuration in the form in which the store holds it."""

    version: int
    value: Any


class VmView:
    """The configuration and targets that are in force on this VM, with their age.

    Attributes
    ----------
    configuration
        The newest known version, or None before the first.
    stored_configuration
        That version in the form in which the store holds it, for sending to other VMs.
    previous
        The version that was in force before.
    documents_by_version
        What VMs need that have no version (0) or the previous one.
    targets_by_id
        The listed targets.
    revision
        Revision of the store at which the targets were listed.
    follows_evacuations
        Whether data centres may be evacuated in this deployment.
    evacuated
        The evacuated data centres, or None while they are not known.
    evacuations_revision
        Revision of the store at which they were listed. It is separate from `revision`,
        since another VM may have newer evacuations and an older list of targets.
    confirmed_at
        Latest time since boot in seconds at which the configuration is known to have
        been the newest one: the time of the request, not that of the response.
    leaving_starts
        Starts of targets that have stated in a response that they are leaving, the
        oldest statement first. They count as leaving whatever the store lists.
    left_starts
        Starts of targets that were listed and no longer are, the oldest first.
    read_at
        Latest time since boot in seconds at which this VM, or one that it relies on,
        requested the configuration from the store and got any valid version. It is
        later than `confirmed_at` while the store holds an older version.
    must_repeat_configuration, must_repeat_targets, must_repeat_evacuations
        Whether a listener has failed, so that the next update with the same content
        calls all listeners again.
    """

    def __init__(self, revoked_key_limit_s: float) -> None:
        self.max_confirmation_age_s = 0.0
        self.set_revoked_key_limit(revoked_key_limit_s)
        self.configuration: Configuration | None = None
        self.stored_configuration: Any = None
        self.previous = StoredVersion(0, None)
        self.documents_by_version: dict[int, Document] = {}
        self.targets_by_id: dict[str, Target] = {}
        self.leaving_starts: dict[TargetStart, None] = {}
        self.left_starts: dict[TargetStart, None] = {}
        self.revision = NO_REVISION
        self.read_at: float | None = None
        self.follows_evacuations = False
        self.evacuated: frozenset[str] | None = None
        self.evacuations_revision = NO_REVISION
        self.confirmed_at: float | None = None
        self.must_repeat_configuration = self.must_repeat_targets = False
        self.must_repeat_evacuations = False
        self.configuration_listeners: list[Callable[[Configuration], None]] = []
        self.target_listeners: list[Callable[[dict[str, Target]], None]] = []
        self.evacuation_listeners: list[Callable[[frozenset[str]], None]] = []

    def set_revoked_key_limit(self, revoked_key_limit_s: float) -> None:
        """Set the longest time in seconds for which a withdrawn key may be accepted."""
        self.max_confirmation_age_s = revoked_key_limit_s - KEY_MARGIN_S

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def apply_configuration(self, configuration: Configuration, stored: Any) -> bool:
        """Put a configuration in force unless the one in force is as new or newer.

        Returns
        -------
        bool
            Whether `configuration` was put in force or its listeners were called again.
        """
        is_repeat = (
            self.must_repeat_configuration and configuration.version == self.version
        )
        if configuration.version <= self.version and not is_repeat:
            return False
        self.previous = StoredVersion(self.version, self.stored_configuration)
        self.documents_by_version.clear()
        self.configuration = configuration
        self.stored_configuration = stored
        self.must_repeat_configuration = True
        notify_listeners(self.configuration_listeners, configuration)
        self.must_repeat_configuration = False
        return True

    def document_for(self, version: int) -> Document:
        """Return the document of the configuration for a VM that has a version.

        The documents are kept, since all VMs of a data centre request the same one.
        """
        documents = self.documents_by_version
        if 0 not in documents:
            documents[0] = encode_document(self.stored_configuration)
        if version != self.previous.version:
            return documents[0]
        if version not in documents:
            documents[version] = encode_patch(
                self.previous.value, self.stored_configuration, documents[0]
            )
        return documents[version]

    def confirm(self, version: int, requested_at: float) -> bool:
        """Record that `version` was the newest one when it was requested.

        Parameters
        ----------
        requested_at
            Time since boot in seconds.

        Returns
        -------
        bool
            Whether the last confirmation was older.
        """
        if version < self.version:
            return False
        if self.confirmed_at is not None and requested_at <= self.confirmed_at:
            return False
        self.confirmed_at = requested_at
        return True

    def is_confirmed(self) -> bool:
        """Return whether the configuration is known to have been the newest one."""
        return self.confirmed_at is not None

    def is_complete(self) -> bool:
        """Return whether this VM has a confirmed configuration and targets.

        Where data centres may be evacuated, it must also know which ones are.
        """
        if self.is_awaiting_evacuations():
            return False
        return self.is_confirmed() and bool(self.targets_by_id)

    def is_awaiting_evacuations(self) -> bool:
        """Return whether this VM must still learn which data centres are evacuated."""
        return self.follows_evacuations and self.evacuated is None

    def age_s(self, now: float) -> float:
        """Return the age of the last confirmation in seconds, infinity without one."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def record_reading(self, requested_at: float) -> None:
        """Record a reading of the configuration, requested at a time since boot."""
        self.read_at = max(requested_at, self.read_at or requested_at)

    def read_age_s(self, now: float) -> float:
        """Return the age of the last reading in seconds, infinity without one."""
        return float("inf") if self.read_at is None else now - self.read_at

    def basis(self, now: float) -> ViewBasis:
        """Return the version by which a request that arrives now is handled."""
        return ViewBasis(self.version, round(min(MAX_LOGGED_AGE_S, self.age_s(now)), 3))

    def can_check_keys(self, now: float) -> bool:
        """Return whether the view is recent enough to accept the keys in it."""
        return self.age_s(now) <= self.max_confirmation_age_s

    def apply_targets(
        self, targets_by_id: dict[str, Target], revision: StoreRevision
    ) -> None:
        """Replace the listed targets and notify the listeners of a change."""
        self.revision = revision
        targets_by_id = {
            target_id: self.with_statement(target)
            for target_id, target in targets_by_id.items()
        }
        if targets_by_id == self.targets_by_id and not self.must_repeat_targets:
            return
        self.record_left(targets_by_id)
        self.targets_by_id = targets_by_id
        self.must_repeat_targets = True
        notify_listeners(self.target_listeners, targets_by_id)
        self.must_repeat_targets = False

    def record_left(self, listed: dict[str, Target]) -> None:
        """Record the starts that a list no longer holds, and forget those it holds."""
        starts = {start_of(target) for target in listed.values()}
        for target in self.targets_by_id.values():
            if start_of(target) not in starts:
                remember(self.left_starts, start_of(target))
        for start in starts & self.left_starts.keys():
            del self.left_starts[start]

    def has_left(self, target: Target) -> bool:
        """Return whether a start had left, or was replaced by a later one."""
        known = self.targets_by_id.get(target.id)
        if known is not None and known.start_unix_ms > target.start_unix_ms:
            return True
        return start_of(target) in self.left_starts

    def keep_leaving(self) -> None:
        """Let the targets that are leaving remain so, whatever the store lists."""
        for target in self.targets_by_id.values():
            if target.leaving:
                remember(self.leaving_starts, start_of(target))

    def apply_evacuations(
        self, data_centers: frozenset[str], revision: StoreRevision
    ) -> bool:
        """Replace the evacuated data centres and notify the listeners of a change.

        Returns
        -------
        bool
            Whether they were replaced. They are not if the known ones are newer.
        """
        if self.evacuated is not None and revision < self.evacuations_revision:
            return False
        self.evacuations_revision = revision
        if data_centers == self.evacuated and not self.must_repeat_evacuations:
            return True
        self.evacuated = data_centers
        self.must_repeat_evacuations = True
        notify_listeners(self.evacuation_listeners, data_centers)
        self.must_repeat_evacuations = False
        return True

    def record_leaving(self, target: Target) -> bool:
        """Record that a target has stated that it is leaving.

        A later start of the target, also under the same id, is not affected.

        Returns
        -------
        bool
            Whether this VM has not yet treated the target as leaving.
        """
        start = start_of(target)
        if start in self.leaving_starts:
            return False
        remember(self.leaving_starts, start)
        listed = self.targets_by_id.get(target.id)
        if listed is None or listed.leaving or start_of(listed) != start:
            return False
        self.apply_targets(self.targets_by_id, self.revision)
        return True

    def with_statement(self, target: Target) -> Target:
        """Return a listed target, as leaving if it has stated so itself."""
        if target.leaving or start_of(target) not in self.leaving_starts:
            return target
        return target._replace(leaving=True)


def remember(starts: dict[TargetStart, None], start: TargetStart) -> None:
    """Add a start to those that are remembered, in place of the oldest if need be."""
    starts.pop(start, None)
    while len(starts) >= MAX_LEAVING_STARTS:
        del starts[next(iter(starts))]
    starts[start] = None


def start_of(target: Target) -> TargetStart:
    """Return what identifies one start of a target."""
    return TargetStart(target.id, target.start_unix_ms, target.host, target.port)


def notify_listeners(listeners: list[Callable[[T], None]], value: T) -> None:
    """Call all listeners, even when one of them fails.

    Raises
    ------
    ExceptionGroup
        If listeners failed; it contains all their errors.
    """
    errors = []
    for listener in listeners:
        try:
            listener(value)
        except Exception as error:
            errors.append(error)
    if errors:
        raise ExceptionGroup("listeners of the view failed", errors)
