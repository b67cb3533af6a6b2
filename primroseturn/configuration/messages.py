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
    """Asks for the changes after a version, or for a part of a snapshot.

    `snapshot_version` is `FETCH_CHANGES` to ask for changes; the peer then answers
    with changes or names the snapshot to ask for.
    """

    after_version: int
    snapshot_version: int = FETCH_CHANGES
    part: int = 0


@message("part")
class ConfigurationPart(Message, frozen=True, array_like=True):
    """Answers `ConfigurationFetch`.

    Attributes
    ----------
    version
        Version in force at the sender.
    snapshot_version
        Snapshot to ask for, or that `content` is a part of; 0 for changes.
    parts
        Number of parts of the snapshot.
    content
        Compressed changes, or the part.
    """

    version: int
    snapshot_version: int
    parts: int
    content: bytes


class ListingDelta(Struct, frozen=True, array_like=True):
    """Members that a list has or has changed, and the names that left it."""

    vms: list[EntryVm]
    targets: list[Target]
    removed: list[str]


@message("listing")
class ListingChange(Message, frozen=True, array_like=True):
    """Difference between two versions of a VM list; base 0 is the empty list.

    `content` is a compressed `ListingDelta`. Version 0 says that there is nothing
    newer.
    """

    name: str
    base_version: int
    version: int
    content: bytes


@message("listing-fetch")
class ListingFetch(Message, frozen=True, array_like=True):
    """Asks for a list that is newer than the stated versions."""

    versions_by_list: dict[str, int]


@message("withdrawal")
class KeyWithdrawal(Message, frozen=True, array_like=True):
    """Withdraws keys, and asks the receiver to spread that to other VMs.

    `operations_by_key_id` names the operation that withdrew each key.
    """

    operations_by_key_id: dict[str, str]
    spread_to: list[str]


@message("withdrawal-held")
class WithdrawalConfirmation(Message, frozen=True, array_like=True):
    """Names the VMs at which the withdrawal is in force."""

    vms: list[str]


@message("withdrawal-fetch")
class WithdrawalFetch(Message, frozen=True, array_like=True):
    """Asks for the withdrawn keys from a position of the sender's set on."""

    start: int


@message("withdrawal-set")
class WithdrawalSet(Message, frozen=True, array_like=True):
    """A part of the sender's set of withdrawn keys and the size of the set."""

    operations_by_key_id: dict[str, str]
    size: int
