"""The entry VMs of the fleet, which of them are heard, and who speaks for a centre.

The VMs of a data centre talk to its speaker, which is the first by name of those that
are heard. It is no leader: two VMs that both take themselves for the speaker only send
more, and nothing depends on there being one.
"""

from collections import Counter
from math import inf
from typing import Annotated, NamedTuple

from msgspec import Meta

from primroseturn.settings.models import IpAddress, Name

# A VM counts as live this many seconds after it was last heard.
LIVE_S = 1.2
# A speaker that was silent for this many seconds is replaced; its digests come at least
# each quarter of a second, and a VM takes itself for cut off after 1.2 s.
SPEAKER_SILENT_S = 0.6
# A VM that has not been heard as the speaker yet has this many seconds.
NEXT_PATIENCE_S = 0.3
# The same while no speaker is known, after a start.
PATIENCE_S = 0.8
# A VM that has just started speaks only after this many seconds, when it has heard the
# others: what it says of the fleet is what all VMs of its data centre go by.
START_QUIET_S = 2.0
# A VM that has just started waits this many seconds for the others before it counts as
# ready; they send digests each tenth of a second.
FIRST_HEARING_S = 0.6
# A VM that announced its stop has ended after this many seconds, so that one that is
# heard then has started anew.
STOP_HOLD_S = 3.5
# After this many seconds lists no longer show its object. A VM that is listed then has
# started anew, and its notices were lost.
STOPPED_S = 12.0
# A VM that announced its start may be missing in lists for this many seconds.
GREETED_S = 6.0
# A VM that cannot reach the store, or did not answer, is not asked for what the store
# says for this many seconds.
STORELESS_S = 3.0
# A VM that was silent for this many seconds is taken to be gone for good. Its part of
# the rates returns to the others. If it was only cut off, it registers itself again.
LOST_S = 20.0
# VMs that are assumed before the first list; the users have 36 to 40.
ASSUMED_VMS = 40
# Messages of VMs that left are still used: they may arrive late, and the list lacks VMs
# that were cut off until they register again. Their number bounds the memory.
FORMER_VMS = 1_000


class EntryVm(NamedTuple):
    """A registered entry VM."""

    name: Name
    host: IpAddress
    port: Annotated[int, Meta(ge=1, le=65535)]
    data_center: Name
    region: Name


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


class Office(NamedTuple):
    """The VM that is taken for the speaker, and since when (monotonic, in seconds)."""

    name: str
    since: float


class Fleet:
    """The registered VMs and when each was heard.

    Attributes
    ----------
    own
        This VM.
    vms_by_name
        All registered VMs but this one.
    former_by_name
        VMs that were registered before.
    heard_by_vm
        Monotonic time in seconds at which each VM of this data centre was heard, by
        this VM or its speaker.
    spoke_by_vm
        The same for what came from the VM itself.
    silent
        VMs that were silent as speakers and have not been heard since.
    quiet_until_by_vm
        Until when VMs that have just started don't speak.
    stopping_by_vm
        When VMs announced their stop. They serve on for some seconds, but count no
        longer and speak for nobody.
    greeted_by_vm
        When VMs announced their start.
    stopping
        Whether this VM stops.
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
        self.former_by_name: dict[str, EntryVm] = {}
        self.listed = False
        self.listed_at = -inf
        self.registered_by_vm: dict[str, float] = {}
        self.heard_by_vm: dict[str, float] = {}
        self.storeless_by_vm: dict[str, float] = {}
        self.voices_by_center: dict[str, CenterVoice] = {}
        self.tried_by_vm: dict[str, float] = {}
        self.turns_by_center: dict[str, int] = {}
        self.spoke_by_vm: dict[str, float] = {}
        self.silent: set[str] = set()
        self.quiet_until_by_vm: dict[str, float] = {}
        self.stopping_by_vm: dict[str, float] = {}
        self.greeted_by_vm: dict[str, float] = {}
        self.stopping = False
        self.office = Office("", -inf)

    @property
    def registered(self) -> int:
        """Return the number of VMs, with this one; a usual one while it is unknown."""
        return len(self.vms_by_name) + 1 if self.listed else ASSUMED_VMS

    @property
    def size(self) -> int:
        """Return the number of VMs that don't stop, with this one."""
        return self.registered - len(self.stopping_by_vm)

    def use(self, vms: list[EntryVm], now: float) -> set[str]:
        """Take over the registered VMs and return the names of those that left."""
        if not self.listed:
            self.quiet_until_by_vm[self.own.name] = now + START_QUIET_S
            self.listed_at = now
        self.listed = True
        listed = {vm.name: vm for vm in vms if vm.name != self.own.name}
        for name, at in list(self.greeted_by_vm.items()):
            if now - at >= GREETED_S:
                del self.greeted_by_vm[name]
            elif name in self.vms_by_name:
                listed.setdefault(name, self.vms_by_name[name])
        gone = self.vms_by_name.keys() - listed.keys()
        for name in gone:
            self.former_by_name[name] = self.vms_by_name[name]
            self.forget(name)
        while len(self.former_by_name) > FORMER_VMS:
            del self.former_by_name[next(iter(self.former_by_name))]
        self.vms_by_name = listed
        for name in listed:
            self.registered_by_vm.setdefault(name, now)
            if now - self.stopping_by_vm.get(name, now) >= STOPPED_S:
                del self.stopping_by_vm[name]
        return set(gone)

    def forget(self, name: str) -> None:
        """Drop what is known of a VM that left."""
        for known in (
            self.heard_by_vm,
            self.spoke_by_vm,
            self.tried_by_vm,
            self.storeless_by_vm,
            self.registered_by_vm,
            self.quiet_until_by_vm,
            self.stopping_by_vm,
        ):
            known.pop(name, None)
        self.silent.discard(name)

    def find(self, name: str) -> EntryVm | None:
        """Return another VM that is registered or was."""
        return self.vms_by_name.get(name) or self.former_by_name.get(name)

    def is_new(self, now: float) -> bool:
        """Return whether this VM is about to hear the others for the first time."""
        return now - self.listed_at < FIRST_HEARING_S

    def is_starting(self, now: float) -> bool:
        """Return whether other VMs may not know of this one's start yet."""
        return not self.stopping and now - self.listed_at < START_QUIET_S

    def note_started(self, vm: EntryVm, now: float) -> None:
        """Take in a VM that announced its start."""
        if vm.name == self.own.name:
            return
        self.vms_by_name[vm.name] = vm
        self.registered_by_vm.setdefault(vm.name, now)
        self.greeted_by_vm[vm.name] = now
        self.stopping_by_vm.pop(vm.name, None)
        self.quiet_until_by_vm[vm.name] = now + START_QUIET_S
        if vm.data_center == self.own.data_center:
            self.note_heard(vm.name, now)

    def note_restarted(self, name: str, now: float) -> None:
        """Note that a VM has just started, so that it doesn't speak yet."""
        if name in self.vms_by_name:
            self.quiet_until_by_vm[name] = now + START_QUIET_S

    def note_stopping(self, name: str, now: float) -> None:
        """Count a VM no longer that announced its stop."""
        if name in self.vms_by_name:
            self.stopping_by_vm[name] = now

    def is_quiet(self, name: str, now: float) -> bool:
        """Return whether a VM doesn't speak, since it has just started or stops."""
        if name in self.stopping_by_vm or (name == self.own.name and self.stopping):
            return True
        return now < self.quiet_until_by_vm.get(name, -inf)

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
            if now - self.stopping_by_vm.get(vm, now) >= STOP_HOLD_S:
                del self.stopping_by_vm[vm]
        self.spoke_by_vm[name] = now
        self.silent.discard(name)
        self.tried_by_vm.pop(name, None)

    def live(self, now: float) -> tuple[str, ...]:
        """Return the other VMs of this data centre that are heard."""
        return tuple(
            vm.name
            for vm in self.neighbours()
            if self.is_heard(vm.name, now) and vm.name not in self.stopping_by_vm
        )

    def is_heard(self, name: str, now: float) -> bool:
        """Return whether a VM of this data centre was heard and did not fall silent."""
        return now - self.last_heard(name) < LIVE_S and name not in self.silent

    def note_center_heard(
        self, center: str, speaker: str, vms: int, now: float
    ) -> None:
        """Note that a VM spoke for another data centre, in which it hears some VMs."""
        known = self.voices_by_center.get(center)
        if known is None or known.heard_at <= now:
            self.voices_by_center[center] = CenterVoice(speaker, now, vms)

    def missing(self, now: float) -> int:
        """Return how many VMs that don't stop are out of this speaker's reach."""
        own = self.own.data_center
        counts_by_center = Counter(
            vm.data_center
            for vm in self.vms_by_name.values()
            if vm.name not in self.stopping_by_vm and not self.is_greeting(vm.name, now)
        )
        heard = [name for name in self.live(now) if not self.is_greeting(name, now)]
        missing = counts_by_center.pop(own, 0) - len(heard)
        for center, count in counts_by_center.items():
            voice = self.voices_by_center.get(center)
            if voice is None and now - self.listed_at < LIVE_S:
                # This VM has just started; nothing shows that it is cut off.
                continue
            known = voice is not None and now - voice.heard_at < LIVE_S
            missing += max(0, count - voice.vms) if known else count
        return missing

    def is_greeting(self, name: str, now: float) -> bool:
        """Return whether a VM has announced its start so lately that it is in reach.

        The digests of the others name it only some tenths of a second later.
        """
        return now - self.greeted_by_vm.get(name, -inf) < LIVE_S

    def reach(self, now: float) -> int:
        """Return how many VMs' digests reach this speaker, with itself."""
        return self.size - self.missing(now)

    def neighbours(self) -> list[EntryVm]:
        """Return the other VMs of this data centre."""
        center = self.own.data_center
        return [vm for vm in self.vms_by_name.values() if vm.data_center == center]

    def speaker(self, now: float) -> str:
        """Return the name of the VM that speaks for this data centre.

        It is the first by name of those that are heard, without those that have just
        started or stop. One that stays silent is passed over until it is heard again.
        """
        own = self.own.name
        names = sorted([own, *(vm.name for vm in self.neighbours())])
        for name in names:
            if self.is_quiet(name, now):
                continue
            if name == own:
                return self.take_office(own, now)
            if self.is_heard(name, now) and not self.falls_silent(name, now):
                return self.take_office(name, now)
        # All of those that are heard have just started or stop.
        for name in names:
            if name == own or self.may_answer(name, now):
                return self.take_office(name, now)
        return own

    def take_office(self, name: str, now: float) -> str:
        """Note who is taken for the speaker and return its name."""
        if self.office.name != name:
            self.office = Office(name, now)
        return name

    def falls_silent(self, name: str, now: float) -> bool:
        """Return whether a VM that is taken for the speaker is not heard in time."""
        if self.office.name != name:
            return False
        spoke_at = self.spoke_by_vm.get(name, -inf)
        known = spoke_at >= self.office.since
        silent_s = now - max(spoke_at, self.office.since)
        if silent_s < (SPEAKER_SILENT_S if known else NEXT_PATIENCE_S):
            return False
        self.silent.add(name)
        return True

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
            elif name in self.stopping_by_vm:
                continue
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
