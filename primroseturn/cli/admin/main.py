"""The list of operators' commands."""

from dataclasses import dataclass

from cappa import command, Subcommands

from primroseturn.cli.admin.change import Delete, Set, UsePreset
from primroseturn.cli.admin.keys import GiveKey, WithdrawKey
from primroseturn.cli.admin.read import Audit, List, Show, Status, Targets


@command(
    description="Calls the administration API of one daemon; any daemon will do. "
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
        | Audit
    ]
