"""Registry of optional features, each of which adds a command."""

from importlib import import_module
from pkgutil import iter_modules
from typing import TypeVar

import primroseturn.plugins

C = TypeVar("C", bound=type)

commands_by_name: dict[str, type] = {}


def plugin_command(command_class: C) -> C:
    """Add the decorated command class to the command line."""
    commands_by_name[command_class.__name__] = command_class
    return command_class


def load_plugins() -> dict[str, type]:
    """Import all modules of `primroseturn.plugins`; return their commands by name."""
    for module in iter_modules(primroseturn.plugins.__path__):
        import_module(f"primroseturn.plugins.{module.name}")
    return commands_by_name
