"""The entry VMs of the fleet, which of them are heard, and who speaks for a centre.

The VMs of a data centre talk to its speaker, which is the first by name of those that
are heard. It is no leader: two VMs that both take themselves for the
speaker only send more, and nothing depends on there being one.
"""

from math import inf
from typing import NamedTuple

# A VM counts as live this many seconds after it was last heard.
LIVE_S = 1.2
# A VM that is taken for the speaker has this many seconds to be heard.
PATIENCE_S = 0.8
# A VM that cannot reach the store, or did not answer, is not asked for what the store
# says for this many seconds.
STORELESS_S = 3.0
# A VM that was silent for this many seconds is taken to be gone for good. Its part of
# the rates returns to the others. If it was only cut off, it registers itself again.
LOST_S = 20.0
# VMs that are assumed before the first list; the users have 36 to 40.
ASSUMED_VMS = 40


class EntryVm(NamedTuple):
    """A registered entry VM."""

    name: str
    host: str
    port: int
    data_center: str
    region: str


class CenterVoice(NamedTuple):
    """The last digest of another data centre.

    Attributes
    ----------
    heard_at
        Monotonic time in seconds.
    vms
        VMs that its speaker hears, with itself.
    """

    speaker: str
    heard_at: float
    vms: int


class Fleet:
    """The registered VMs and when each was heard.

    Attributes
    ----------
    own
        This VM.
    vms_by_name
        All registered VMs but this one.
    heard_by_vm
        Monotonic time in seconds at which each VM of this data centre was heard.
    listed
        Whether the registered VMs are known.
    registered_by_vm
        When each VM was first seen in the list.
    tried_by_vm
        Since when VMs that are not heard have been taken for the speaker.
    storeless_by_vm
        When VMs of this data centre last showed that the store is out of their reach.
    voices_by_center
        What was last heard of each other data centre.
    """

    def __init__(self, own: EntryVm) -> None:
        self.own = own
        self.vms_by_name: dict[str, EntryVm] = {}
        self.listed = False
        self.registered_by_vm: dict[str, float] = {}
        self.heard_by_vm: dict[str, float] = {}
        self.storeless_by_vm: dict[str, float] = {}
        self.voices_by_center: dict[str, CenterVoice] = {}
        self.tried_by_vm: dict[str, float] = {}
        self.turns_by_center: dict[str, int] = {}

    @property
    def size(self) -> int:
        """Return the number of VMs, with this one; a usual one while it is unknown."""
        return len(self.vms_by_name) + 1 if self.listed else ASSUMED_VMS

    def use(self, vms: list[EntryVm], now: float) -> set[str]:
        """Take over the registered VMs and return the names of those that left."""
        self.listed = True
        listed = {vm.name: vm for vm in vms if vm.name != self.own.name}
        gone = self.vms_by_name.keys() - listed.keys()
        self.vms_by_name = listed
        for name in gone:
            self.heard_by_vm.pop(name, None)
            self.tried_by_vm.pop(name, None)
            self.storeless_by_vm.pop(name, None)
            self.registered_by_vm.pop(name, None)
        for name in listed:
            self.registered_by_vm.setdefault(name, now)
        return set(gone)

    def lost(self, now: float) -> list[str]:
        """Return the VMs that have been silent for long and concern this speaker.

        Their objects are left over from VMs that did not stop by themselves. The first
        by name of the data centres that are heard cares for those of silent ones.
        """
        own = self.own.data_center
        heard = [
            center
            for center, voice in self.voices_by_center.items()
            if now - voice.heard_at < LIVE_S
        ]
        cares = all(own < center for center in heard)
        found = []
        for vm in self.vms_by_name.values():
            if vm.data_center == own:
                heard_at = self.last_heard(vm.name)
            elif cares and vm.data_center not in heard:
                voice = self.voices_by_center.get(vm.data_center)
                heard_at = voice.heard_at if voice else -inf
            else:
                continue
            if now - max(self.registered_by_vm[vm.name], heard_at) > LOST_S:
                found.append(vm.name)
        return found

    def last_heard(self, name: str) -> float:
        """Return when a VM of this data centre was last heard."""
        return self.heard_by_vm.get(name, -inf)

    def note_heard(self, name: str, now: float, live: tuple[str, ...] = ()) -> None:
        """Note that a VM of this data centre was heard.

        Parameters
        ----------
        live
            Other VMs that it hears.
        """
        for vm in (name, *live):
            self.heard_by_vm[vm] = now
        self.tried_by_vm.pop(name, None)

    def live(self, now: float) -> tuple[str, ...]:
        """Return the other VMs of this data centre that are heard."""
        return tuple(
            vm.name
            for vm in self.neighbours()
            if now - self.last_heard(vm.name) < LIVE_S
        )

    def note_center_heard(
        self, center: str, speaker: str, vms: int, now: float
    ) -> None:
        """Note that a VM spoke for another data centre, in which it hears some VMs."""
        self.voices_by_center[center] = CenterVoice(speaker, now, vms)

    def reach(self, now: float) -> int:
        """Return how many VMs' digests reach this speaker, with itself."""
        voices = self.voices_by_center.values()
        others = sum(voice.vms for voice in voices if now - voice.heard_at < LIVE_S)
        return 1 + len(self.live(now)) + others

    def neighbours(self) -> list[EntryVm]:
        """Return the other VMs of this data centre."""
        center = self.own.data_center
        return [vm for vm in self.vms_by_name.values() if vm.data_center == center]

    def speaker(self, now: float) -> str:
        """Return the name of the VM that speaks for this data centre.

        A VM that is not heard although it was taken for the speaker is passed over
        until it is heard again.
        """
        for name in sorted(vm.name for vm in self.neighbours()):
            if name > self.own.name:
                break
            if self.may_answer(name, now):
                return name
        return self.own.name

    def may_answer(self, name: str, now: float) -> bool:
        """Return whether a VM is heard, or has not had the time to be."""
        if now - self.last_heard(name) < LIVE_S:
            self.tried_by_vm.pop(name, None)
            return True
        return now - self.tried_by_vm.setdefault(name, now) < PATIENCE_S

    def note_store(self, name: str, reached: bool, now: float) -> None:
        """Note whether a VM of this data centre reaches the store."""
        if reached:
            self.storeless_by_vm.pop(name, None)
        else:
            self.storeless_by_vm[name] = now

    def source(self, now: float, reaches_store: bool) -> str:
        """Return the VM that asks the store for this data centre.

        It is the first by name that is heard and reaches the store, so that one after
        the other tries it when it turns some VMs away, and not all at once.

        Parameters
        ----------
        reaches_store
            Whether the store answers this VM.
        """
        own = self.own.name
        for name in sorted([own, *(vm.name for vm in self.neighbours())]):
            if name == own:
                usable = reaches_store
            else:
                storeless_s = now - self.storeless_by_vm.get(name, -inf)
                usable = storeless_s >= STORELESS_S and self.may_answer(name, now)
            if usable:
                return name
        return own

    def is_speaker(self, now: float) -> bool:
        """Return whether this VM speaks for its data centre."""
        return self.speaker(now) == self.own.name

    def contacts(self, now: float) -> dict[str, EntryVm]:
        """Return the VM to talk to in each other data centre.

        It is the one that spoke last for it. While none is heard, the registered ones
        take turns.
        """
        vms_by_center: dict[str, list[EntryVm]] = {}
        for vm in self.vms_by_name.values():
            if vm.data_center != self.own.data_center:
                vms_by_center.setdefault(vm.data_center, []).append(vm)
        found = {}
        for center, vms in vms_by_center.items():
            voice = self.voices_by_center.get(center, CenterVoice("", -inf, 0))
            speaker = self.vms_by_name.get(voice.speaker)
            if now - voice.heard_at < LIVE_S and speaker is not None:
                found[center] = speaker
                continue
            turn = self.turns_by_center.get(center, 0)
            self.turns_by_center[center] = turn + 1
            vms.sort()
            found[center] = vms[turn % len(vms)]
        return found
