"""Withdraws keys everywhere without waiting for the store."""

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
ATTEMPT_LIMIT_S = 0.7
LEVEL_LIMIT_S = 1.0
ATTEMPTS = 2
HELPERS = 3
FETCH_LIMIT_S = 1.0
PART_KEYS = 4_000
RECORD_INTERVAL_S = 0.5
# A watcher of the next rank records only what the better ranked ones have not.
RANK_DELAY_S = 1.0
MAJORITY = 0.5


class WithdrawalResult(NamedTuple):
    """How far a withdrawal has got.

    Attributes
    ----------
    state
        ``recorded`` when it is in the change log, ``acknowledged`` when more than
        half of the listed VMs hold it, else ``spreading``.
    in_force
        Number of VMs at which the key is known to be refused.
    listed
        Number of listed VMs.
    unheard
        Listed VMs that did not answer. They learn of the withdrawal later; while
        they are isolated, they refuse all keys.
    version
        Version of the recorded change.
    """

    state: str
    in_force: int
    listed: int
    unheard: list[str]
    version: int | None


class Withdrawals:
    """Spreads withdrawals, compares the sets of peers and records them."""

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
        self.accepted_here: set[str] = set()
        replica.withdrawal_callbacks.append(self.note_withdrawal)
        bus.register_handler(KeyWithdrawal, self.accept)
        bus.register_handler(WithdrawalFetch, self.reply_to_fetch)

    def note_withdrawal(self, key_id: str) -> None:
        """Remember that a withdrawal may have to be recorded."""
        self.unrecorded_since[key_id] = current_time()

    async def withdraw(
        self, key_id: str, operation_id: str, author: str = ""
    ) -> Result[WithdrawalResult, Failure]:
        """Withdraw a key here, at all VMs that can be reached, and in the log.

        A repeat with the same operation id is harmless and reports anew.
        """
        self.replica.withdraw(key_id, operation_id)
        self.accepted_here.add(key_id)
        self.events.emit(KEY_WITHDRAWN, key_id=key_id, operation_id=operation_id)
        held = {self.members.this.vm}
        version: int | None = None

        async def record() -> None:
            nonlocal version
            version = await self.record(key_id, author)

        # An error of the record must not end the spreading, or the other way round.
        run = self.background.run_task
        async with create_task_group() as tasks:
            tasks.start_soon(run, record)
            tasks.start_soon(run, self.spread_to_all, {key_id: operation_id}, held)
        return Ok(self.describe(held, version))

    def describe(self, held: set[str], version: int | None) -> WithdrawalResult:
        """Return the result for the VMs that hold a withdrawal."""
        listed = set(self.members.listing.daemons_by_id)
        majority = len(held & listed) > MAJORITY * len(listed)
        state = "acknowledged" if listed and majority else "spreading"
        return WithdrawalResult(
            state if version is None else "recorded",
            len(held),
            len(listed),
            sorted(listed - held),
            version,
        )

    async def spread_to_all(self, operations: dict[str, str], held: set[str]) -> None:
        """Withdraw keys at all known VMs; adds those that confirm to `held`."""
        known = {*self.members.listing.daemons_by_id, *self.members.unlisted_by_vm}
        await self.spread(operations, sorted(known - held), held)
        missing = sorted(known - held)
        helpers = sorted(held - {self.members.this.vm})[:HELPERS]
        if not missing or not helpers:
            return
        # A VM that this one cannot reach may be reached through another one.
        message = KeyWithdrawal(operations, missing)
        async with create_task_group() as tasks:
            for helper in helpers:
                tasks.start_soon(
                    self.background.run_task, self.ask, helper, message, held, 1
                )

    async def spread(
        self, operations: dict[str, str], names: list[str], held: set[str]
    ) -> None:
        """Withdraw keys at the named VMs, through one VM of each group."""
        groups = [names[start::FAN_OUT] for start in range(min(FAN_OUT, len(names)))]
        async with create_task_group() as tasks:
            for group in groups:
                tasks.start_soon(
                    self.background.run_task, self.spread_group, operations, group, held
                )

    async def spread_group(
        self, operations: dict[str, str], group: list[str], held: set[str]
    ) -> None:
        """Withdraw keys at the first VM of a group that answers, and through it."""
        for place, name in enumerate(group):
            message = KeyWithdrawal(operations, group[place + 1 :])
            if await self.ask(name, message, held):
                return

    async def ask(
        self,
        name: str,
        message: KeyWithdrawal,
        held: set[str],
        attempts: int = ATTEMPTS,
    ) -> bool:
        """Send a withdrawal to one VM and wait for its confirmation."""
        levels, rest = 0, len(message.spread_to)
        while rest:
            levels, rest = levels + 1, rest // FAN_OUT
        limit_s = ATTEMPT_LIMIT_S + levels * LEVEL_LIMIT_S
        for _ in range(attempts):
            result = await self.bus.request(name, message, limit_s)
            if result.is_ok() and isinstance(result.ok, WithdrawalConfirmation):
                held.update(result.ok.vms)
                return True
        return False

    async def accept(
        self, sender: Sender, message: KeyWithdrawal
    ) -> WithdrawalConfirmation:
        """Take over a withdrawal, spread it as asked and name who holds it."""
        self.merge(message.operations_by_key_id)
        held = {self.members.this.vm}
        await self.spread(message.operations_by_key_id, message.spread_to, held)
        return WithdrawalConfirmation(sorted(held))

    def merge(self, operations: dict[str, str]) -> None:
        """Add withdrawals to the set of this VM."""
        for key_id, operation_id in operations.items():
            self.replica.withdraw(key_id, operation_id)

    async def catch_up(self, peer: str, heartbeat: Heartbeat) -> bool:
        """Return whether this VM holds all withdrawals of a peer, fetching them."""
        if heartbeat.withdrawals_hash == self.replica.withdrawals_hash:
            return True
        start = 0
        while True:
            asked = WithdrawalFetch(start)
            result = await self.bus.request(peer, asked, FETCH_LIMIT_S)
            if result.is_error() or not isinstance(result.ok, WithdrawalSet):
                return False
            self.merge(result.ok.operations_by_key_id)
            start += len(result.ok.operations_by_key_id)
            if start >= result.ok.size or not result.ok.operations_by_key_id:
                return start >= result.ok.size

    async def reply_to_fetch(
        self, sender: Sender, asked: WithdrawalFetch
    ) -> WithdrawalSet:
        """Answer with a part of the set, in the order in which it grew."""
        operations = self.replica.operations_by_withdrawn_id
        start = max(asked.start, 0)
        part = list(operations.items())[start : start + PART_KEYS]
        return WithdrawalSet(dict(part), len(operations))

    async def record(self, key_id: str, author: str = "") -> int | None:
        """Record a withdrawal in the change log.

        Returns
        -------
        int or None
            The version that recorded it, or None if the store did not answer or
            the key is not known here.
        """
        state = self.replica.state
        key = state.keys_by_id.get(key_id)
        if key is None:
            return None
        if key.withdrawn:
            return state.versions_by_object["key", key_id]
        # The same id at every VM that holds the withdrawal: it is recorded once.
        operation_id = self.replica.operations_by_withdrawn_id[key_id]
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
        """Record withdrawals that the log does not have, for ever."""
        while True:
            await sleep(RECORD_INTERVAL_S)
            for key_id in list(self.unrecorded_since):
                if self.is_recorded(key_id):
                    del self.unrecorded_since[key_id]
                    self.accepted_here.discard(key_id)
                elif self.must_record(key_id):
                    await self.background.run_task(self.record, key_id)

    def is_recorded(self, key_id: str) -> bool:
        """Return whether the configuration in force has the withdrawal."""
        key = self.replica.state.keys_by_id.get(key_id)
        return key is not None and key.withdrawn

    def must_record(self, key_id: str) -> bool:
        """Return whether it is this VM's turn to record a withdrawal."""
        if key_id in self.accepted_here:
            return True
        rank = self.members.watcher_rank()
        if rank is None:
            return False
        waited_s = current_time() - self.unrecorded_since[key_id]
        return waited_s >= (rank + 1) * RANK_DELAY_S
