"""List of the commands for operators."""

from dataclasses import dataclass

from cappa import command, Subcommands

from primroseturn.cli.admin.audit import Audit
from primroseturn.cli.admin.delete import Delete
from primroseturn.cli.admin.fleet import Fleet
from primroseturn.cli.admin.give import GiveKey
from primroseturn.cli.admin.list import List
from primroseturn.cli.admin.preset import UsePreset
from primroseturn.cli.admin.set import Set
from primroseturn.cli.admin.show import Show
from primroseturn.cli.admin.status import Status
from primroseturn.cli.admin.targets import Targets
from primroseturn.cli.admin.withdraw import WithdrawKey


@command(
    description="Calls the administration API of one daemon, which may be any daemon. "
    "Exit codes: 0 accepted, 1 refused, 2 incorrect usage or body, 3 conflict, "
    "4 not reachable or in doubt (repeat with the same --operation-id)."
)
@dataclass
class Admin:
    """Manage workspaces, keys, routes, services and presets."""

    command: Subcommands[
        List
        | Show
        | Set
        | Delete
        | UsePreset
        | GiveKey
        | WithdrawKey
        | Targets
        | Status
        | Fleet
        | Audit
    ]
