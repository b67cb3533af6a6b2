"""Kernel service for the bus between daemons."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from primroseturn.control.bus import Bus
from primroseturn.control.zeromq import CurveKeys, PeerAddress, run_bus
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.settings.models import ControlSettings


def read_keys(control: ControlSettings) -> CurveKeys | None:
    """Return the CURVE key pair of the settings, or None for plain TCP."""
    if control.curve_secret_key and control.curve_public_key:
        return CurveKeys(control.curve_public_key, control.curve_secret_key)
    return None


@service("bus", needs=("settings", "events"))
@asynccontextmanager
async def provide_bus(kernel: Kernel) -> AsyncIterator[Bus]:
    """Provide the bus, bound to the control address of the settings."""
    settings = kernel.find("settings")
    control = settings.control
    address = control.address
    events = kernel.find("events")
    async with run_bus(
        settings.identity.vm,
        events.incarnation,
        address.host,
        address.port,
        read_keys(control),
        control.allowed_public_keys,
        events,
    ) as bus:
        for seed in control.seeds:
            seed_address = seed.address
            bus.set_address(
                seed.vm,
                PeerAddress(seed_address.host, seed_address.port, seed.public_key),
            )
        yield bus
