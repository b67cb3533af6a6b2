"""Control messages of configuration, VM lists and withdrawals."""

from msgspec import Struct

from primroseturn.configuration.models import Change, EntryVm, Target
from primroseturn.control.messages import Message, message

FETCH_CHANGES = 0


@message("change")
class ConfigurationChange(Message, frozen=True, array_like=True):
    """Accepted changes with consecutive versions."""

    changes: list[Change]


@message("fetch")
class ConfigurationFetch(Message, frozen=True, array_like=True):
    """Requests the changes after a version, or a part of a snapshot.

    Attributes
    ----------
    after_version
        Version in force at the sender.
    snapshot_version
        Snapshot to get a part of, or `FETCH_CHANGES` for changes. The peer then
        replies with changes or names the snapshot to fetch.
    part
        Number of the requested part.
    """

    after_version: int
    snapshot_version: int = FETCH_CHANGES
    part: int = 0


@message("part")
class ConfigurationReply(Message, frozen=True, array_like=True):
    """Reply to `ConfigurationFetch`.

    Attributes
    ----------
    version
        Version in force at the sender.
    snapshot_version
        Snapshot to fetch, or of which `content` is a part; 0 for changes.
    parts
        Number of parts of the snapshot.
    content
        Compressed changes, or the part of the snapshot.
    """

    version: int
    snapshot_version: int
    parts: int
    content: bytes


class ListingDelta(Struct, frozen=True, array_like=True):
    """Members that were added, changed or removed between two versions of a VM list.

    Attributes
    ----------
    vms
        Entry VMs that were added or changed.
    targets
        Targets that were added or changed.
    removed
        Names of the members that were removed.
    """

    vms: list[EntryVm]
    targets: list[Target]
    removed: list[str]


@message("listing")
class ListingChange(Message, frozen=True, array_like=True):
    """Changes a VM list from one version to another.

    Attributes
    ----------
    name
        Name of the list.
    base_version
        Version that the difference starts from; 0 is the empty list.
    version
        Version that it leads to; 0 in a reply means that there is no newer list.
    content
        Compressed `ListingDelta`.
    """

    name: str
    base_version: int
    version: int
    content: bytes


@message("listing-fetch")
class ListingFetch(Message, frozen=True, array_like=True):
    """Requests a list that is newer than the stated versions."""

    versions_by_list: dict[str, int]


@message("withdrawal")
class KeyWithdrawal(Message, frozen=True, array_like=True):
    """Withdraws keys at the receiver, which forwards the withdrawal to other VMs.

    Attributes
    ----------
    operations_by_key_id
        Id of the operation that withdrew each key.
    forward_to
        Names of the VMs that the receiver forwards the withdrawal to.
    """

    operations_by_key_id: dict[str, str]
    forward_to: list[str]


@message("withdrawal-held")
class WithdrawalConfirmation(Message, frozen=True, array_like=True):
    """Reply to `KeyWithdrawal`: the VMs at which the withdrawal is in force."""

    vms: list[str]


@message("withdrawal-fetch")
class WithdrawalFetch(Message, frozen=True, array_like=True):
    """Requests the receiver's withdrawn keys from the position `start` on."""

    start: int


@message("withdrawal-set")
class WithdrawalSet(Message, frozen=True, array_like=True):
    """A part of the sender's set of withdrawn keys, and the size of the whole set."""

    operations_by_key_id: dict[str, str]
    size: int
