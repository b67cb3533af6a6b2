"""Imports every module that defines events, so that the catalogue is complete."""

from importlib import import_module
from pkgutil import walk_packages

import primroseturn

EVENTS_MODULE = "events"


def load_events() -> None:
    """Import all modules ``primroseturn.<subpackage>.events``."""
    for package in walk_packages(primroseturn.__path__, "primroseturn."):
        if package.name.rpartition(".")[2] == EVENTS_MODULE:
            import_module(package.name)
