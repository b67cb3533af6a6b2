"""Withdraws (revokes) keys at all VMs without waiting for the store."""

from typing import NamedTuple

from anyio import create_task_group, current_time, sleep
from expression import Ok, Result
from msgspec import to_builtins
from msgspec.structs import replace

from primroseturn.configuration.events import KEY_WITHDRAWN, WITHDRAWAL_RECORDED
from primroseturn.configuration.log import propose_change
from primroseturn.configuration.messages import (
    KeyWithdrawal,
    WithdrawalConfirmation,
    WithdrawalFetch,
    WithdrawalSet,
)
from primroseturn.configuration.models import Change
from primroseturn.configuration.replica import Replica
from primroseturn.control.bus import Bus, Sender
from primroseturn.failures import Failure
from primroseturn.kernel.background import Background
from primroseturn.membership.members import Members
from primroseturn.membership.messages import Heartbeat
from primroseturn.observation.events import EventLog
from primroseturn.store.client import StoreClient

FAN_OUT = 16
ATTEMPT_TIMEOUT_S = 0.7
# Additional timeout for each level of VMs that a withdrawal is forwarded through.
LEVEL_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 2
MAX_INTERMEDIARIES = 3
FETCH_TIMEOUT_S = 1.0
KEYS_PER_PART = 4_000
RECORD_INTERVAL_S = 0.5
# Time that a watcher waits per rank before it records a withdrawal, so that it records
# only those that the watchers before it in rank did not.
RANK_DELAY_S = 1.0
MAJORITY_FRACTION = 0.5


class WithdrawalResult(NamedTuple):
    """Progress of a withdrawal.

    Attributes
    ----------
    state
        ``recorded`` when the withdrawal is in the change log, ``acknowledged`` when
        more than half of the listed VMs have confirmed it, else ``spreading``.
    in_force
        Number of VMs that have confirmed that they refuse the key.
    listed
        Number of listed VMs.
    unheard
        Listed VMs that have not confirmed the withdrawal. They receive it later; while
        they are isolated, they refuse all keys.
    version
        Version of the change that recorded the withdrawal, or None.
    """

    state: str
    in_force: int
    listed: int
    unheard: list[str]
    version: int | None


class Withdrawals:
    """Spreads withdrawals, synchronises them with peers and records them in the log.

    Attributes
    ----------
    unrecorded_since
        Monotonic time in seconds when this VM received a withdrawal that may not be in
        the change log, by key id.
    withdrawn_here
        Ids of the keys that an operator withdrew through this VM.
    """

    def __init__(
        self,
        bus: Bus,
        members: Members,
        replica: Replica,
        store: StoreClient,
        events: EventLog,
        background: Background,
    ) -> None:
        self.bus = bus
        self.members = members
        self.replica = replica
        self.store = store
        self.events = events
        self.background = background
        self.unrecorded_since: dict[str, float] = {}
        self.withdrawn_here: set[str] = set()
        replica.withdrawal_listeners.append(self.record_arrival)
        bus.register_handler(KeyWithdrawal, self.accept)
        bus.register_handler(WithdrawalFetch, self.reply_to_fetch)

    def record_arrival(self, key_id: str) -> None:
        """Record when a withdrawal arrived; it may not be in the change log yet."""
        self.unrecorded_since[key_id] = current_time()

    async def withdraw(
        self, key_id: str, operation_id: str, author: str = ""
    ) -> Result[WithdrawalResult, Failure]:
        """Withdraw a key at this VM, at all reachable VMs, and in the log.

        A repeated call with the same operation id is harmless and returns the progress
        again.
        """
        self.replica.withdraw(key_id, operation_id)
        self.withdrawn_here.add(key_id)
        self.events.emit(KEY_WITHDRAWN, key_id=key_id, operation_id=operation_id)
        confirmed_vms = {self.members.this.vm}
        version: int | None = None

        async def record() -> None:
            nonlocal version
            version = await self.record(key_id, author)

        # An error in recording must not cancel the forwarding, nor the other way round.
        run_task = self.background.run_task
        async with create_task_group() as tasks:
            tasks.start_soon(run_task, record)
            tasks.start_soon(
                run_task, self.spread_to_all, {key_id: operation_id}, confirmed_vms
            )
        return Ok(self.build_result(confirmed_vms, version))

    def build_result(
        self, confirmed_vms: set[str], version: int | None
    ) -> WithdrawalResult:
        """Return the progress of a withdrawal that `confirmed_vms` have confirmed."""
        listed = set(self.members.listing.daemons_by_vm)
        has_majority = len(confirmed_vms & listed) > MAJORITY_FRACTION * len(listed)
        state = "acknowledged" if listed and has_majority else "spreading"
        return WithdrawalResult(
            state if version is None else "recorded",
            len(confirmed_vms),
            len(listed),
            sorted(listed - confirmed_vms),
            version,
        )

    async def spread_to_all(
        self, operations: dict[str, str], confirmed_vms: set[str]
    ) -> None:
        """Withdraw keys at all known VMs; add those that confirm to `confirmed_vms`."""
        known_vms = {*self.members.listing.daemons_by_vm, *self.members.unlisted_by_vm}
        await self.spread(operations, sorted(known_vms - confirmed_vms), confirmed_vms)
        missing = sorted(known_vms - confirmed_vms)
        intermediaries = sorted(confirmed_vms - {self.members.this.vm})[
            :MAX_INTERMEDIARIES
        ]
        if not missing or not intermediaries:
            return
        # Another VM may reach VMs that this one cannot.
        message = KeyWithdrawal(operations, missing)
        async with create_task_group() as tasks:
            for intermediary in intermediaries:
                tasks.start_soon(
                    self.background.run_task,
                    self.ask,
                    intermediary,
                    message,
                    confirmed_vms,
                    1,
                )

    async def spread(
        self, operations: dict[str, str], names: list[str], confirmed_vms: set[str]
    ) -> None:
        """Withdraw keys at the named VMs, which are divided into groups.

        One VM of each group forwards the withdrawal to the others.
        """
        groups = [names[start::FAN_OUT] for start in range(min(FAN_OUT, len(names)))]
        async with create_task_group() as tasks:
            for group in groups:
                tasks.start_soon(
                    self.background.run_task,
                    self.spread_group,
                    operations,
                    group,
                    confirmed_vms,
                )

    async def spread_group(
        self, operations: dict[str, str], group: list[str], confirmed_vms: set[str]
    ) -> None:
        """Withdraw keys at the first VM of a group that replies.

        That VM forwards the withdrawal to the rest of the group.
        """
        for index, name in enumerate(group):
            message = KeyWithdrawal(operations, group[index + 1 :])
            if await self.ask(name, message, confirmed_vms):
                return

    async def ask(
        self,
        name: str,
        message: KeyWithdrawal,
        confirmed_vms: set[str],
        attempts: int = MAX_ATTEMPTS,
    ) -> bool:
        """Send a withdrawal to one VM and return whether it confirmed it.

        The VMs that the reply names are added to `confirmed_vms`.
        """
        levels, remaining = 0, len(message.forward_to)
        while remaining:
            levels, remaining = levels + 1, remaining // FAN_OUT
        timeout_s = ATTEMPT_TIMEOUT_S + levels * LEVEL_TIMEOUT_S
        for _ in range(attempts):
            result = await self.bus.request(name, message, timeout_s)
            if result.is_ok() and isinstance(result.ok, WithdrawalConfirmation):
                confirmed_vms.update(result.ok.vms)
                return True
        return False

    async def accept(
        self, sender: Sender, message: KeyWithdrawal
    ) -> WithdrawalConfirmation:
        """Apply a withdrawal, forward it, and reply with the VMs that confirmed it."""
        self.merge(message.operations_by_key_id)
        confirmed_vms = {self.members.this.vm}
        await self.spread(
            message.operations_by_key_id, message.forward_to, confirmed_vms
        )
        return WithdrawalConfirmation(sorted(confirmed_vms))

    def merge(self, operations: dict[str, str]) -> None:
        """Add withdrawals to those of this VM."""
        for key_id, operation_id in operations.items():
            self.replica.withdraw(key_id, operation_id)

    async def catch_up(self, peer: str, heartbeat: Heartbeat) -> bool:
        """Fetch the withdrawals of a peer that this VM lacks.

        Returns
        -------
        bool
            Whether this VM then has all withdrawals of the peer.
        """
        if heartbeat.withdrawals_hash == self.replica.withdrawals_hash:
            return True
        start = 0
        while True:
            request = WithdrawalFetch(start)
            result = await self.bus.request(peer, request, FETCH_TIMEOUT_S)
            if result.is_error() or not isinstance(result.ok, WithdrawalSet):
                return False
            self.merge(result.ok.operations_by_key_id)
            start += len(result.ok.operations_by_key_id)
            if start >= result.ok.size or not result.ok.operations_by_key_id:
                return start >= result.ok.size

    async def reply_to_fetch(
        self, sender: Sender, request: WithdrawalFetch
    ) -> WithdrawalSet:
        """Reply with a part of the withdrawals, in the order of their arrival here."""
        operations = self.replica.operations_by_withdrawn_key
        start = max(request.start, 0)
        part = list(operations.items())[start : start + KEYS_PER_PART]
        return WithdrawalSet(dict(part), len(operations))

    async def record(self, key_id: str, author: str = "") -> int | None:
        """Record a withdrawal in the change log.

        Returns
        -------
        int or None
            Version of the change that recorded it, or None if the key is unknown
            at this VM or it is not confirmed that the change was accepted.
        """
        state = self.replica.state
        key = state.keys_by_id.get(key_id)
        if key is None:
            return None
        if key.withdrawn:
            return state.versions_by_object["key", key_id]
        # All VMs propose it with the same operation id, so it is recorded only once.
        operation_id = self.replica.operations_by_withdrawn_key[key_id]
        body = to_builtins(replace(key, withdrawn=True))
        change = Change(
            state.version, operation_id, author or "withdrawal", "key", key_id, body
        )
        result = await propose_change(
            self.store, change, list(self.replica.recent_changes)
        )
        if result.is_error():
            return None
        self.events.emit(WITHDRAWAL_RECORDED, key_id=key_id, version=result.ok.version)
        return result.ok.version

    async def record_pending(self) -> None:
        """Record withdrawals that are not in the change log, forever."""
        while True:
            await sleep(RECORD_INTERVAL_S)
            for key_id in list(self.unrecorded_since):
                if self.is_recorded(key_id):
                    del self.unrecorded_since[key_id]
                    self.withdrawn_here.discard(key_id)
                elif self.must_record(key_id):
                    await self.background.run_task(self.record, key_id)

    def is_recorded(self, key_id: str) -> bool:
        """Return whether the configuration in force contains the withdrawal."""
        key = self.replica.state.keys_by_id.get(key_id)
        return key is not None and key.withdrawn

    def must_record(self, key_id: str) -> bool:
        """Return whether this VM has to record a withdrawal now."""
        if key_id in self.withdrawn_here:
            return True
        rank = self.members.watcher_rank()
        if rank is None:
            return False
        waited_s = current_time() - self.unrecorded_since[key_id]
        return waited_s >= (rank + 1) * RANK_DELAY_S
