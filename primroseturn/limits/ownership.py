"""Updates the ledgers of the workspaces of which this VM owns units."""

from collections.abc import Callable
from math import ceil
from random import Random

from anyio import Event
from msgspec.json import decode, encode

from primroseturn.clock import Clock
from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.limits.events import SESSION_LOST, UNITS_CHANGED
from primroseturn.limits.ledger import Ledger, LedgerEntry
from primroseturn.limits.sessions import (
    owner_of,
    OwnerSession,
    RENEWALS_PER_LEASE,
    SessionObserver,
)
from primroseturn.limits.share import Share, UNITS
from primroseturn.store.client import StoreClient

MAX_WRITE_ATTEMPTS = 6
MIN_DELAY_S = 0.2
MAX_DELAY_S = 300.0
# Units are released only above this ratio of owned to desired units.
EXCESS_RATIO = 1.2

Emit = Callable[..., None]


class Ownership:
    """Acquires and releases units by conditional updates of the ledgers."""

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        session: OwnerSession,
        observer: SessionObserver,
        random: Random,
        preferred_owners: Callable[[Share], tuple[str, ...]],
        vm: str,
        emit: Emit,
        is_standalone: bool = False,
    ) -> None:
        self.store = store
        self.clock = clock
        self.session = session
        self.observer = observer
        self.random = random
        self.preferred_owners = preferred_owners
        self.vm = vm
        self.emit = emit
        self.is_standalone = is_standalone
        self.writes = 0

    def desired_units(self, share: Share) -> int:
        """Return how many units this VM should own."""
        owners = self.preferred_owners(share)
        return ceil(UNITS / len(owners)) if self.vm in owners else 0

    async def keep(self, share: Share) -> None:
        """Keep the ledger of one workspace up to date until cancelled."""
        delay = MIN_DELAY_S
        # If this task was restarted after an error, a write may have been applied.
        share.view.is_current = False
        while True:
            share.ledger_woken = Event()
            is_up_to_date = False
            try:
                is_up_to_date = await self.update_ledger(share)
            except StoreUnavailable:
                share.view.is_current = False
            delay = MAX_DELAY_S if is_up_to_date else min(delay * 2, MAX_DELAY_S)
            # Spreads the retries of many VMs after an outage.
            jitter = 0.5 + self.random.random()
            if await self.clock.wait(share.ledger_woken, delay * jitter):
                delay = MIN_DELAY_S

    async def update_ledger(self, share: Share) -> bool:
        """Update the ledger. Returns whether it needs no further change."""
        if not await self.open_session():
            return False
        for _ in range(MAX_WRITE_ATTEMPTS):
            if not share.view.is_current:
                await self.read_ledger(share)
            desired = await self.plan_ledger(share)
            if desired is None:
                # While units or limits depend on other owners, the next round reads the
                # ledger again.
                share.view.is_current = not self.awaits_other_owners(share)
                return share.view.is_current
            await self.write_ledger(share, desired)
        return False

    async def open_session(self) -> bool:
        """Record the session in the store, a new one if the last one has ended.

        Returns whether the session is valid now.
        """
        session = self.session
        if session.is_recorded and self.clock.now() >= session.lease_ends_at:
            self.emit(SESSION_LOST, session=session.name)
            session.restart()
        try:
            await session.open()
        except VersionConflict:
            return False
        # Loans of a predecessor may be valid until `usable_from`, so its units must
        # neither be used nor released before.
        wait_s = session.usable_from - self.clock.now()
        if wait_s > 0:
            await self.clock.sleep(wait_s)
        return session.is_valid_at(self.clock.now())

    async def read_ledger(self, share: Share) -> None:
        """Read the ledger."""
        stored = await self.store.read(share.view.key)
        if stored is None:
            share.adopt(0, None, self.clock.now())
        else:
            ledger = decode(stored.value, type=Ledger)
            share.adopt(stored.version, ledger, self.clock.now())

    def awaits_other_owners(self, share: Share) -> bool:
        """Return whether units or limits depend on changes by other owners."""
        own_units = share.view.usable_units(self.session.name)
        limits_pending = share.effective_limits() != share.limits
        desired = 1 if self.is_standalone else self.desired_units(share)
        return own_units < desired or limits_pending

    async def plan_ledger(self, share: Share) -> Ledger | None:
        """Return the content that the ledger should have, or None if it has it."""
        ledger = share.view.ledger or Ledger("", UNITS)
        own_entry = ledger.shares.get(self.session.name)
        desired = self.desired_units(share)
        other_entries = {
            name: entry
            for name, entry in ledger.shares.items()
            if name != self.session.name
            # The control port proves that a predecessor on this VM has ended. Its
            # loans end before `usable_from` of this session.
            and owner_of(name) != self.session.owner
        }
        owned = own_entry.units if own_entry else 0
        free = UNITS - owned - sum(entry.units for entry in other_entries.values())
        if owned + free < desired:
            for name in list(other_entries):
                if owned + free < desired and await self.observer.has_ended(name):
                    free += other_entries.pop(name).units
        units = self.choose_units(share, owned, free, desired)
        shares = dict(other_entries)
        if units:
            shares[self.session.name] = LedgerEntry(units, *share.limits)
        # An earlier write may still take effect. A later one, even of the same content,
        # rules that out.
        if shares == ledger.shares and not share.view.pending_units_by_base:
            return None
        fresh = max(0, ledger.fresh - max(0, units - owned))
        self.writes += 1
        return Ledger(f"{self.session.name}/{self.writes}", fresh, shares)

    def choose_units(self, share: Share, owned: int, free: int, desired: int) -> int:
        """Return the units that this VM should own after the next write."""
        if self.is_standalone:
            # Without a bus nothing can be lent, so half is left to other VMs.
            return owned or free // 2
        if owned <= desired:
            return min(desired, owned + free)
        if owned <= desired * EXCESS_RATIO:
            return owned
        limits = share.effective_limits()
        lent = share.lent_by_id.values()
        # Units that are lent are kept until the loan has ended.
        rate_units = ceil(sum(loan.rate for loan in lent) * UNITS / limits.rate)
        burst_units = ceil(sum(loan.burst for loan in lent) * UNITS / limits.burst)
        return min(owned, max(desired, rate_units, burst_units))

    async def write_ledger(self, share: Share, ledger: Ledger) -> None:
        """Try to replace the ledger that was read."""
        view = share.view
        base = view.version
        entry = ledger.shares.get(self.session.name)
        units = entry.units if entry else 0
        units_before = view.recorded_units(self.session.name)
        fresh = (view.ledger.fresh if view.ledger else UNITS) - ledger.fresh
        share.begin_write(units, self.clock.now())
        view.fresh_by_write = {ledger.write: fresh} if fresh > 0 else {}
        try:
            if base:
                version = await self.store.update(view.key, encode(ledger), base)
            else:
                version = await self.store.create(view.key, encode(ledger))
        except VersionConflict:
            view.is_current = False
            return
        except StoreUnavailable as failure:
            view.is_current = False
            if not failure.maybe_applied:
                raise
            # Reading shows whether the write took effect.
            await self.read_ledger(share)
            return
        share.adopt(version, ledger, self.clock.now())
        if units != units_before:
            self.emit(UNITS_CHANGED, workspace=share.name, units=units)

    async def renew_for_ever(self) -> None:
        """Renew the session's lease until cancelled."""
        interval_s = self.session.lease_s / RENEWALS_PER_LEASE
        while True:
            await self.clock.sleep(interval_s * (0.75 + self.random.random() / 2))
            if self.session.is_recorded:
                await self.session.renew()
