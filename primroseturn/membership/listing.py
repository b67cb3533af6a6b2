"""The platform's VM lists: live and leaving entry VMs and targets."""

from collections.abc import Callable

from msgspec import Struct
from msgspec.json import decode

from primroseturn.configuration.models import EntryVm, Target

LIST_PREFIX = "vmlist/"
ENTRY_LIST = "entry"


class TargetList(Struct):
    """Content of the object ``vmlist/<service>``."""

    targets: list[Target]


class EntryList(Struct):
    """Content of the object ``vmlist/entry``."""

    vms: list[EntryVm]


class Listing:
    """The last known VM lists."""

    def __init__(self) -> None:
        self.targets_by_service: dict[str, dict[str, Target]] = {}
        self.daemons_by_id: dict[str, EntryVm] = {}
        self.versions_by_list: dict[str, int] = {}
        self.callbacks: list[Callable[[str], None]] = []

    def install(self, name: str, version: int, content: bytes) -> bool:
        """Take over a newer version of a list.

        Parameters
        ----------
        name
            Service name, or ``entry`` for the entry VMs.
        version
            Version of the object in the store; older ones are ignored.
        content
            JSON of the object.
        """
        if version <= self.versions_by_list.get(name, 0):
            return False
        if name == ENTRY_LIST:
            vms = decode(content, type=EntryList).vms
            self.daemons_by_id = {item.vm: item for item in vms}
        else:
            targets = decode(content, type=TargetList).targets
            self.targets_by_service[name] = {item.name: item for item in targets}
        self.versions_by_list[name] = version
        for callback in self.callbacks:
            callback(name)
        return True

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call `callback` with the name of each list that changed."""
        self.callbacks.append(callback)
