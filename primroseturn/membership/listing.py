"""Holds the platform's VM lists: live and leaving entry VMs, and targets."""

from collections.abc import Callable

from msgspec import Struct
from msgspec.json import decode

from primroseturn.configuration.models import EntryVm, Target
from primroseturn.kernel.listeners import Listeners
from primroseturn.membership.rings import hash_name

LIST_PREFIX = "vmlist/"
ENTRY_LIST = "entry"


class TargetList(Struct):
    """Content of the object ``vmlist/<service>``."""

    targets: list[Target]


class EntryList(Struct):
    """Content of the object ``vmlist/entry``."""

    vms: list[EntryVm]


class Listing:
    """The last known VM lists.

    Attributes
    ----------
    targets_by_service
        Listed targets of each upstream service, by their names.
    daemons_by_vm
        Listed entry VMs by name.
    versions_hash
        Hash of the versions of all lists; equal lists have equal hashes.
    """

    def __init__(self) -> None:
        self.targets_by_service: dict[str, dict[str, Target]] = {}
        self.daemons_by_vm: dict[str, EntryVm] = {}
        self.versions_by_list: dict[str, int] = {}
        self.versions_hash = 0
        self.listeners = Listeners()

    def install(self, name: str, version: int, content: bytes) -> bool:
        """Decode and install a newer version of a list; return whether it is newer.

        Parameters
        ----------
        name
            Name of an upstream service, or ``entry`` for the entry VMs.
        version
            Version of the object in the store; older ones are ignored.
        content
            JSON of the object.
        """
        if version <= self.versions_by_list.get(name, 0):
            return False
        decoded_type = EntryList if name == ENTRY_LIST else TargetList
        decoded = decode(content, type=decoded_type)
        items = decoded.vms if name == ENTRY_LIST else decoded.targets
        return self.replace(name, version, items)

    def replace(self, name: str, version: int, items: list[EntryVm | Target]) -> bool:
        """Install the items of a list if its version is newer; return whether it is."""
        known = self.versions_by_list.get(name, 0)
        if version <= known:
            return False
        if name == ENTRY_LIST:
            self.daemons_by_vm = {item.vm: item for item in items}
        else:
            self.targets_by_service[name] = {item.name: item for item in items}
        if known:
            self.versions_hash ^= hash_name(name, str(known))
        self.versions_hash ^= hash_name(name, str(version))
        self.versions_by_list[name] = version
        self.listeners.notify(name)
        return True

    def items_by_name(self, name: str) -> dict[str, EntryVm] | dict[str, Target]:
        """Return the entry VMs or targets of a list by name."""
        if name == ENTRY_LIST:
            return self.daemons_by_vm
        return self.targets_by_service.get(name, {})

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call `callback` with the name of each list that changed."""
        self.listeners.subscribers.append(callback)
