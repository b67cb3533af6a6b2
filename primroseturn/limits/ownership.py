"""Keeps this VM's units in the ledgers of the workspaces that it owns a part of."""

from collections.abc import Callable
from math import ceil
from random import Random

from anyio import Event
from msgspec.json import decode, encode

from primroseturn.clock import Clock
from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.limits.events import SESSION_LOST, UNITS_CHANGED
from primroseturn.limits.ledger import Entry, Ledger
from primroseturn.limits.sessions import (
    owner_of,
    OwnerSession,
    RENEWALS_PER_LEASE,
    SessionObserver,
)
from primroseturn.limits.share import Share, UNITS
from primroseturn.store.client import StoreClient

CONFLICT_ATTEMPTS = 6
FIRST_DELAY_S = 0.2
LAST_DELAY_S = 300.0
EXCESS_RATIO = 1.2

Emit = Callable[..., None]


class Ownership:
    """Takes, keeps and releases units by conditional updates of the ledgers."""

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        session: OwnerSession,
        observer: SessionObserver,
        random: Random,
        owners_of: Callable[[Share], tuple[str, ...]],
        vm: str,
        emit: Emit,
        alone: bool = False,
    ) -> None:
        self.store = store
        self.clock = clock
        self.session = session
        self.observer = observer
        self.random = random
        self.owners_of = owners_of
        self.vm = vm
        self.emit = emit
        self.alone = alone
        self.writes = 0

    def target_units(self, share: Share) -> int:
        """Return how many units this VM should own."""
        owners = self.owners_of(share)
        return ceil(UNITS / len(owners)) if self.vm in owners else 0

    async def keep(self, share: Share) -> None:
        """Keep the ledger of one workspace as it should be, for ever."""
        delay = FIRST_DELAY_S
        # After an error a write may have applied.
        share.view.known = False
        while True:
            share.ledger_woken = Event()
            settled = False
            try:
                settled = await self.settle(share)
            except StoreUnavailable:
                share.view.known = False
            delay = LAST_DELAY_S if settled else min(delay * 2, LAST_DELAY_S)
            # Spreads the retries of many VMs after an outage.
            jitter = 0.5 + self.random.random()
            if await self.clock.wait(share.ledger_woken, delay * jitter):
                delay = FIRST_DELAY_S

    async def settle(self, share: Share) -> bool:
        """Bring the ledger in line. Returns whether nothing is left to wait for."""
        if not await self.open_session():
            return False
        for _ in range(CONFLICT_ATTEMPTS):
            if not share.view.known:
                await self.read(share)
            desired = await self.plan(share)
            if desired is None:
                # What is still missing depends on others, so it is read again.
                share.view.known = not self.lacks(share)
                return share.view.known
            await self.write(share, desired)
        return False

    async def open_session(self) -> bool:
        """Record the session, or a new one after the last was lost."""
        session = self.session
        if session.opened and self.clock.now() >= session.until:
            self.emit(SESSION_LOST, session=session.name)
            session.restart()
        try:
            await session.open()
        except VersionConflict:
            return False
        # Until then loans of a predecessor may run, so its units must neither be
        # used nor released.
        wait_s = session.usable_from - self.clock.now()
        if wait_s > 0:
            await self.clock.sleep(wait_s)
        return session.covers(self.clock.now())

    async def read(self, share: Share) -> None:
        """Read the ledger."""
        stored = await self.store.read(share.view.key)
        if stored is None:
            share.adopt(0, None, self.clock.now())
        else:
            ledger = decode(stored.value, type=Ledger)
            share.adopt(stored.version, ledger, self.clock.now())

    def lacks(self, share: Share) -> bool:
        """Return whether units or limits wait for other owners."""
        mine = share.view.usable_units(self.session.name)
        waits = share.effective_limits() != share.limits
        target = 1 if self.alone else self.target_units(share)
        return mine < target or waits

    async def plan(self, share: Share) -> Ledger | None:
        """Return the content that the ledger should have, None if it has it."""
        ledger = share.view.ledger or Ledger("", UNITS)
        mine = ledger.shares.get(self.session.name)
        target = self.target_units(share)
        others = {
            name: entry
            for name, entry in ledger.shares.items()
            if name != self.session.name
            # The control port proves that a predecessor on this VM has ended. Its
            # loans end before `usable_from` of this session.
            and owner_of(name) != self.session.owner
        }
        held = mine.units if mine else 0
        free = UNITS - held - sum(entry.units for entry in others.values())
        if held + free < target:
            for name in list(others):
                if held + free < target and await self.observer.is_over(name):
                    free += others.pop(name).units
        units = self.choose_units(share, held, free, target)
        shares = dict(others)
        if units:
            shares[self.session.name] = Entry(units, *share.limits)
        # A write in doubt is settled by any later one, even of the same content.
        if shares == ledger.shares and not share.view.doubts_by_base:
            return None
        fresh = max(0, ledger.fresh - max(0, units - held))
        self.writes += 1
        return Ledger(f"{self.session.name}/{self.writes}", fresh, shares)

    def choose_units(self, share: Share, held: int, free: int, target: int) -> int:
        """Return the units that this VM should hold after the next write."""
        if self.alone:
            # Without a bus nothing can be lent, so half is left to other VMs.
            return held or free // 2
        if held <= target:
            return min(target, held + free)
        if held <= target * EXCESS_RATIO:
            return held
        whole = share.effective_limits()
        lent = share.lent_by_id.values()
        # Units that back a loan stay until the loan has ended.
        rate_units = ceil(sum(loan.rate for loan in lent) * UNITS / whole.rate)
        burst_units = ceil(sum(loan.burst for loan in lent) * UNITS / whole.burst)
        return min(held, max(target, rate_units, burst_units))

    async def write(self, share: Share, ledger: Ledger) -> None:
        """Try to replace the ledger that was read."""
        view = share.view
        base = view.version
        entry = ledger.shares.get(self.session.name)
        units = entry.units if entry else 0
        earlier = view.recorded_units(self.session.name)
        fresh = (view.ledger.fresh if view.ledger else UNITS) - ledger.fresh
        share.begin_write(units, self.clock.now())
        view.fresh_by_write = {ledger.write: fresh} if fresh > 0 else {}
        try:
            if base:
                version = await self.store.update(view.key, encode(ledger), base)
            else:
                version = await self.store.create(view.key, encode(ledger))
        except VersionConflict:
            view.known = False
            return
        except StoreUnavailable as failure:
            view.known = False
            if not failure.maybe_applied:
                raise
            # Reading tells whether the write took effect.
            await self.read(share)
            return
        share.adopt(version, ledger, self.clock.now())
        if units != earlier:
            self.emit(UNITS_CHANGED, workspace=share.name, units=units)

    async def renew_for_ever(self) -> None:
        """Renew the session's lease."""
        interval_s = self.session.lease_s / RENEWALS_PER_LEASE
        while True:
            await self.clock.sleep(interval_s * (0.75 + self.random.random() / 2))
            if self.session.opened:
                await self.session.renew()
