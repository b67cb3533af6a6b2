"""Immutable view of the configuration in force."""

from typing import NamedTuple

from msgspec import convert, Struct, ValidationError

from primroseturn.configuration.models import (
    CallerKey,
    Change,
    kinds_by_name,
    Preset,
    Route,
    Service,
    Workspace,
)
from primroseturn.failures import Failure

DEFAULT_PRESET = Preset("ordinary")


class ChangeInvalid(Failure):
    """A change has a body that does not fit its kind."""

    code = "change-invalid"

    def __init__(self, kind: str, name: str, reason: str) -> None:
        super().__init__(f"{kind} {name!r}: {reason}")
        self.kind = kind
        self.name = name


class ConfigurationState(NamedTuple):
    """The configuration after all changes up to `version`.

    `versions_by_object` gives the version of the change that last touched an
    object, keyed by kind and name.
    """

    version: int
    workspaces_by_name: dict[str, Workspace]
    keys_by_id: dict[str, CallerKey]
    routes_by_name: dict[str, Route]
    services_by_name: dict[str, Service]
    presets_by_name: dict[str, Preset]
    preset_in_force: Preset
    versions_by_object: dict[tuple[str, str], int]


EMPTY_STATE = ConfigurationState(0, {}, {}, {}, {}, {}, DEFAULT_PRESET, {})

FIELDS_BY_KIND = {
    "workspace": "workspaces_by_name",
    "key": "keys_by_id",
    "route": "routes_by_name",
    "service": "services_by_name",
    "preset": "presets_by_name",
}


def parse_body(change: Change) -> Struct | None:
    """Return the typed object of a change.

    Raises
    ------
    ChangeInvalid
        If the body does not fit the kind.
    """
    if change.body is None:
        return None
    try:
        return convert(change.body, kinds_by_name[change.kind])
    except ValidationError as error:
        raise ChangeInvalid(change.kind, change.name, str(error)) from None


def apply_change(state: ConfigurationState, change: Change) -> ConfigurationState:
    """Return the state after `change`.

    Raises
    ------
    ChangeInvalid
        If the change does not fit the state.
    """
    versions = dict(state.versions_by_object)
    versions[(change.kind, change.name)] = change.version
    state = state._replace(version=change.version, versions_by_object=versions)
    item = parse_body(change)
    if change.kind == "preset-in-force":
        if item is None or item.preset not in state.presets_by_name:
            raise ChangeInvalid(change.kind, change.name, "no such preset")
        return state._replace(preset_in_force=state.presets_by_name[item.preset])
    field = FIELDS_BY_KIND[change.kind]
    items = dict(getattr(state, field))
    if item is None:
        items.pop(change.name, None)
    else:
        items[change.name] = item
    state = state._replace(**{field: items})
    if change.kind == "preset" and change.name == state.preset_in_force.name:
        if item is None:
            raise ChangeInvalid(change.kind, change.name, "the preset is in force")
        state = state._replace(preset_in_force=item)
    return state
