"""Admits requests of a workspace within its rate and burst over the whole fleet."""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from math import isfinite
from random import Random
from typing import NamedTuple

from expression import Error, Ok, Result

from primroseturn.clock import Clock
from primroseturn.configuration.models import EntryVm, Workspace
from primroseturn.control.bus import Bus
from primroseturn.control.standalone import BusWithoutPeers
from primroseturn.failures import Failure
from primroseturn.kernel.background import Background, run_background
from primroseturn.limits.borrowing import Borrower
from primroseturn.limits.events import LIMITS_UNAVAILABLE, SESSION_ENDED
from primroseturn.limits.lending import Lender
from primroseturn.limits.messages import LoanRequest, LoanReturn
from primroseturn.limits.metrics import ADMISSIONS
from primroseturn.limits.owners import choose_owners, count_owners, order_by_distance
from primroseturn.limits.ownership import Ownership
from primroseturn.limits.sessions import OwnerSession, SessionObserver
from primroseturn.limits.share import Limits, Share
from primroseturn.observation.events import EventLog
from primroseturn.settings.models import LimitSettings
from primroseturn.store.client import StoreClient

RETRY_AFTER_S = 1.0
OWNERS_KEPT_S = 1.0


class RateExceeded(Failure):
    """The workspace has no tokens left."""

    code = "rate-exceeded"

    def __init__(self, workspace: str, retry_after_s: float) -> None:
        super().__init__(f"workspace {workspace!r} exceeds its rate")
        self.retry_after_s = retry_after_s


class LimitsUnavailable(Failure):
    """Neither units nor loans of the workspace are at hand."""

    code = "limits-unavailable"

    def __init__(self, workspace: str) -> None:
        super().__init__(
            f"no VM that holds the limits of workspace {workspace!r} is reachable; "
            "the request did not run"
        )
        self.retry_after_s = RETRY_AFTER_S


class Identity(NamedTuple):
    """Who this VM is for the limits.

    Attributes
    ----------
    vm
        Name under which peers reach it.
    owner
        Identity that at most one running process has.
    incarnation
        Id of this start of the process.
    """

    vm: str
    owner: str
    incarnation: str


class Dependencies(NamedTuple):
    """What the protocol is given.

    Attributes
    ----------
    live_daemons
        Returns the live entry VMs by name.
    limits_of
        Returns the workspace of the configuration in force, or None.
    """

    store: StoreClient
    bus: Bus
    clock: Clock
    random: Random
    live_daemons: Callable[[], Mapping[str, EntryVm]]
    limits_of: Callable[[str], Workspace | None]
    events: EventLog


class Admission:
    """Token buckets of this VM, filled by owned units and by loans."""

    def __init__(
        self,
        identity: Identity,
        settings: LimitSettings,
        dependencies: Dependencies,
        background: Background,
    ) -> None:
        store, bus, clock, random = dependencies[:4]
        lease_s, loan_s = settings.owner_lease_s, settings.loan_s
        self.identity = identity
        self.settings = settings
        self.dependencies = dependencies
        self.clock = clock
        self.background = background
        self.closed = False
        self.shares_by_workspace: dict[str, Share] = {}
        self.owners_by_workspace: dict[str, tuple[float, tuple[str, ...]]] = {}
        self.session = OwnerSession(
            store, clock, identity.owner, identity.incarnation, lease_s, loan_s
        )
        self.observer = SessionObserver(store, clock, lease_s, loan_s)
        self.ownership = Ownership(
            store,
            clock,
            self.session,
            self.observer,
            random,
            self.owners_of,
            identity.vm,
            dependencies.events.emit,
            isinstance(bus, BusWithoutPeers),
        )
        name = f"{identity.vm}-{identity.incarnation}"
        self.lender = Lender(clock, name, loan_s, self.find_share)
        self.borrower = Borrower(clock, bus, loan_s, self.lenders_of)
        bus.register_handler(LoanRequest, self.lender.answer)
        bus.register_handler(LoanReturn, self.lender.take_back)

    async def admit(
        self, workspace: Workspace, wait_s: float
    ) -> Result[None, RateExceeded | LimitsUnavailable]:
        """Take one token, waiting at most `wait_s` for it."""
        now = self.clock.now()
        share = self.share_of(workspace)
        share.demand.note(now)
        share.used_at = now
        if share.take(now) or await self.wait_for_token(share, now + wait_s):
            ADMISSIONS.labels("admitted").inc()
            return Ok(None)
        if share.burst > 0 or share.owners:
            ADMISSIONS.labels("rate-exceeded").inc()
            delay = share.time_until_token(self.clock.now())
            delay = delay if isfinite(delay) else RETRY_AFTER_S
            return Error(RateExceeded(workspace.name, delay))
        ADMISSIONS.labels("unavailable").inc()
        self.dependencies.events.emit(LIMITS_UNAVAILABLE, workspace=workspace.name)
        return Error(LimitsUnavailable(workspace.name))

    async def wait_for_token(self, share: Share, deadline: float) -> bool:
        """Borrow and wait until a token is there or the deadline has come."""
        share.waiting += 1
        try:
            while (now := self.clock.now()) < deadline:
                share.woken.set()
                delay = min(deadline - now, share.time_until_token(now))
                await self.clock.wait(share.changed, delay)
                if share.take(self.clock.now()):
                    return True
            return False
        finally:
            share.waiting -= 1
            if not share.waiting and share.borrowed_by_id:
                # Lets the loop return what was borrowed for this request only.
                share.woken.set()

    def share_of(self, workspace: Workspace) -> Share:
        """Return the share of a workspace with its limits applied."""
        limits = Limits(workspace.rate, workspace.burst)
        share = self.shares_by_workspace.get(workspace.name)
        if share is None:
            now = self.clock.now()
            share = Share(workspace.name, limits, self.session, now)
            self.shares_by_workspace[workspace.name] = share
        share.set_limits(limits, self.clock.now())
        self.serve(share)
        return share

    def find_share(self, name: str) -> Share | None:
        """Return the share for a peer's request, by the configuration in force."""
        workspace = self.dependencies.limits_of(name)
        if workspace is None or self.closed:
            return None
        return self.share_of(workspace)

    def serve(self, share: Share) -> None:
        """Start the loops of a share that has none."""
        if self.closed:
            return
        if not share.serving:
            share.serving = True
            self.background.keep_running(self.borrower.keep, share)
        if not share.owning and self.identity.vm in self.owners_of(share):
            share.owning = True
            self.background.keep_running(self.ownership.keep, share)

    def owners_of(self, share: Share) -> tuple[str, ...]:
        """Return the VMs that should own units of a workspace."""
        now = self.clock.now()
        kept_at, owners = self.owners_by_workspace.get(share.name, (now, ()))
        if owners and now - kept_at < OWNERS_KEPT_S:
            return owners
        most = self.settings.owners_per_workspace
        count = count_owners(share.limits.burst, most)
        owners = choose_owners(share.name, self.dependencies.live_daemons(), count)
        self.owners_by_workspace[share.name] = (now, owners)
        return owners

    def lenders_of(self, share: Share) -> list[str]:
        """Return the peers to borrow from, the nearest first."""
        daemons = self.dependencies.live_daemons()
        names = dict.fromkeys([*self.owners_of(share), *share.owners])
        peers = [name for name in names if name != self.identity.vm]
        return order_by_distance(peers, daemons.get(self.identity.vm), daemons)

    def apply_limits(self) -> None:
        """Apply the limits of the configuration in force to all shares."""
        now = self.clock.now()
        for name, share in self.shares_by_workspace.items():
            workspace = self.dependencies.limits_of(name)
            if workspace is not None:
                share.set_limits(Limits(workspace.rate, workspace.burst), now)

    async def close(self) -> None:
        """Stop admitting, return loans and give up all units."""
        now = self.clock.now()
        lent = False
        for share in self.shares_by_workspace.values():
            share.refill(now)
            lent = lent or bool(share.lent_by_id)
        await self.session.end(lent)
        self.dependencies.events.emit(SESSION_ENDED, session=self.session.name)


@asynccontextmanager
async def run_admission(
    identity: Identity,
    settings: LimitSettings,
    dependencies: Dependencies,
) -> AsyncIterator[Admission]:
    """Run admission for the life of the context and end its session after it."""
    async with run_background(dependencies.events) as background:
        admission = Admission(identity, settings, dependencies, background)
        background.keep_running(admission.ownership.renew_for_ever)
        try:
            yield admission
        finally:
            admission.closed = True
    await admission.close()
