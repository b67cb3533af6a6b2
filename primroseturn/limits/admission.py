"""Admits requests of a workspace within its rate and burst over the whole fleet.

Used by `primroseturn daemon`. VMs own units, which are equal parts of the rate and the
burst of a workspace, and lend each other what they do not need.
"""

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
OWNERS_CACHE_S = 1.0


class RateExceeded(Failure):
    """This VM got no token of the workspace in time."""

    code = "rate-exceeded"

    def __init__(self, workspace: str, retry_after_s: float) -> None:
        super().__init__(f"workspace {workspace!r} exceeds its rate")
        self.retry_after_s = retry_after_s


class LimitsUnavailable(Failure):
    """This VM has no units or loans of the workspace and knows of no owner."""

    code = "limits-unavailable"

    def __init__(self, workspace: str) -> None:
        super().__init__(
            f"no VM that holds the limits of workspace {workspace!r} is reachable; "
            "the request did not run"
        )
        self.retry_after_s = RETRY_AFTER_S


class Identity(NamedTuple):
    """Identity of this VM in the limits protocol.

    Attributes
    ----------
    vm
        Name of the VM on the bus.
    owner
        Owner name in the store; at most one running process has it.
    incarnation
        Id of this start of the process.
    """

    vm: str
    owner: str
    incarnation: str


class AdmissionDependencies(NamedTuple):
    """Dependencies of the limits protocol.

    Attributes
    ----------
    live_daemons
        Returns the live entry VMs by name.
    find_workspace
        Returns the workspace of the configuration in force, or None.
    """

    store: StoreClient
    bus: Bus
    clock: Clock
    random: Random
    live_daemons: Callable[[], Mapping[str, EntryVm]]
    find_workspace: Callable[[str], Workspace | None]
    events: EventLog


class Admission:
    """Token buckets of this VM, filled by the units that it owns and by loans."""

    def __init__(
        self,
        identity: Identity,
        settings: LimitSettings,
        dependencies: AdmissionDependencies,
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
            self.preferred_owners,
            identity.vm,
            dependencies.events.emit,
            isinstance(bus, BusWithoutPeers),
        )
        name = f"{identity.vm}-{identity.incarnation}"
        self.lender = Lender(clock, name, loan_s, self.find_share)
        self.borrower = Borrower(clock, bus, loan_s, self.lenders_of)
        bus.register_handler(LoanRequest, self.lender.reply_to_request)
        bus.register_handler(LoanReturn, self.lender.handle_return)

    async def admit(
        self, workspace: Workspace, wait_s: float
    ) -> Result[None, RateExceeded | LimitsUnavailable]:
        """Consume one token, waiting at most `wait_s` seconds for it."""
        now = self.clock.now()
        share = self.share_of(workspace)
        share.demand.record_arrival(now)
        share.used_at = now
        if share.try_consume(now) or await self.wait_for_token(share, now + wait_s):
            ADMISSIONS.labels("admitted").inc()
            return Ok(None)
        if share.burst > 0 or share.known_owners:
            ADMISSIONS.labels("rate-exceeded").inc()
            delay = share.time_until_token(self.clock.now())
            delay = delay if isfinite(delay) else RETRY_AFTER_S
            return Error(RateExceeded(workspace.name, delay))
        ADMISSIONS.labels("unavailable").inc()
        self.dependencies.events.emit(LIMITS_UNAVAILABLE, workspace=workspace.name)
        return Error(LimitsUnavailable(workspace.name))

    async def wait_for_token(self, share: Share, deadline: float) -> bool:
        """Borrow and wait until a token is consumed or the deadline has passed.

        Returns whether a token was consumed.
        """
        share.waiting += 1
        try:
            while (now := self.clock.now()) < deadline:
                share.borrower_woken.set()
                delay = min(deadline - now, share.time_until_token(now))
                await self.clock.wait(share.tokens_changed, delay)
                if share.try_consume(self.clock.now()):
                    return True
            return False
        finally:
            share.waiting -= 1
            if not share.waiting and share.borrowed_by_id:
                # Lets the borrower return what it borrowed for this request.
                share.borrower_woken.set()

    def share_of(self, workspace: Workspace) -> Share:
        """Return the share of a workspace with its limits; create it if it is new."""
        limits = Limits(workspace.rate, workspace.burst)
        share = self.shares_by_workspace.get(workspace.name)
        if share is None:
            now = self.clock.now()
            share = Share(workspace.name, limits, self.session, now)
            self.shares_by_workspace[workspace.name] = share
        share.set_limits(limits, self.clock.now())
        self.start_loops(share)
        return share

    def find_share(self, name: str) -> Share | None:
        """Return the share of a workspace of the configuration in force, or None."""
        workspace = self.dependencies.find_workspace(name)
        if workspace is None or self.closed:
            return None
        return self.share_of(workspace)

    def start_loops(self, share: Share) -> None:
        """Start the borrower and the ledger's update of a share if they do not run."""
        if self.closed:
            return
        if not share.is_borrower_started:
            share.is_borrower_started = True
            self.background.keep_running(self.borrower.keep, share)
        if (
            not share.is_ledger_update_started
            and self.identity.vm in self.preferred_owners(share)
        ):
            share.is_ledger_update_started = True
            self.background.keep_running(self.ownership.keep, share)

    def preferred_owners(self, share: Share) -> tuple[str, ...]:
        """Return the VMs that should own units of a workspace."""
        now = self.clock.now()
        cached_at, owners = self.owners_by_workspace.get(share.name, (now, ()))
        if owners and now - cached_at < OWNERS_CACHE_S:
            return owners
        max_owners = self.settings.owners_per_workspace
        count = count_owners(share.limits.burst, max_owners)
        owners = choose_owners(share.name, self.dependencies.live_daemons(), count)
        self.owners_by_workspace[share.name] = (now, owners)
        return owners

    def lenders_of(self, share: Share) -> list[str]:
        """Return the peers to borrow from, the nearest first."""
        daemons = self.dependencies.live_daemons()
        names = dict.fromkeys([*self.preferred_owners(share), *share.known_owners])
        peers = [name for name in names if name != self.identity.vm]
        return order_by_distance(peers, daemons.get(self.identity.vm), daemons)

    def apply_limits(self) -> None:
        """Apply the limits of the configuration in force to all shares."""
        now = self.clock.now()
        for name, share in self.shares_by_workspace.items():
            workspace = self.dependencies.find_workspace(name)
            if workspace is not None:
                share.set_limits(Limits(workspace.rate, workspace.burst), now)

    async def close(self) -> None:
        """End the session, which releases all units."""
        now = self.clock.now()
        has_lent = False
        for share in self.shares_by_workspace.values():
            share.refill(now)
            has_lent = has_lent or bool(share.lent_by_id)
        await self.session.end(has_lent)
        self.dependencies.events.emit(SESSION_ENDED, session=self.session.name)


@asynccontextmanager
async def run_admission(
    identity: Identity,
    settings: LimitSettings,
    dependencies: AdmissionDependencies,
) -> AsyncIterator[Admission]:
    """Run admission during the context, then end its session."""
    async with run_background(dependencies.events) as background:
        admission = Admission(identity, settings, dependencies, background)
        background.keep_running(admission.ownership.renew_for_ever)
        try:
            yield admission
        finally:
            admission.closed = True
    await admission.close()
