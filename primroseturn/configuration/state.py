"""Immutable view of the configuration in force."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from msgspec import convert, Struct, ValidationError

from primroseturn.configuration.models import (
    CallerKey,
    Change,
    Preset,
    Route,
    Service,
    types_by_kind,
    Workspace,
)
from primroseturn.configuration.table import ObjectTable
from primroseturn.failures import Failure

DEFAULT_PRESET = Preset("ordinary")


class ChangeInvalid(Failure):
    """The body of a change does not fit its kind or the state."""

    code = "change-invalid"

    def __init__(self, kind: str, name: str, reason: str) -> None:
        super().__init__(f"{kind} {name!r}: {reason}")
        self.kind = kind
        self.name = name


class ObjectVersions(Mapping[tuple[str, str], int]):
    """Version of the latest change of each object, by kind and name."""

    def __init__(self, state: "ConfigurationState") -> None:
        self.state = state

    def __getitem__(self, key: tuple[str, str]) -> int:
        """Return the version of the latest change of an object."""
        kind, name = key
        if kind == "preset-in-force":
            return self.state.preset_in_force_version
        return getattr(self.state, FIELDS_BY_KIND[kind]).entry(name)[0]

    def __iter__(self) -> Iterator[tuple[str, str]]:
        """Iterate over the kinds and names of all objects."""
        for kind, field in FIELDS_BY_KIND.items():
            for name in getattr(self.state, field):
                yield kind, name

    def __len__(self) -> int:
        """Return the number of objects."""
        return sum(len(getattr(self.state, field)) for field in FIELDS_BY_KIND.values())


class ConfigurationState(NamedTuple):
    """The configuration after all changes up to `version`."""

    version: int
    workspaces_by_name: Mapping[str, Workspace]
    keys_by_id: Mapping[str, CallerKey]
    routes_by_name: Mapping[str, Route]
    services_by_name: Mapping[str, Service]
    presets_by_name: Mapping[str, Preset]
    preset_in_force: Preset
    preset_in_force_version: int = 0

    @property
    def versions_by_object(self) -> ObjectVersions:
        """Version of the latest change of each object, by kind and name."""
        return ObjectVersions(self)


FIELDS_BY_KIND = {
    "workspace": "workspaces_by_name",
    "key": "keys_by_id",
    "route": "routes_by_name",
    "service": "services_by_name",
    "preset": "presets_by_name",
}
EMPTY_STATE = ConfigurationState(0, *map(ObjectTable, FIELDS_BY_KIND), DEFAULT_PRESET)


def parse_body(change: Change) -> Struct | None:
    """Return the typed object of a change.

    Raises
    ------
    ChangeInvalid
        If the body of the change does not fit its kind.
    """
    if change.body is None:
        return None
    try:
        return convert(change.body, types_by_kind[change.kind])
    except ValidationError as error:
        raise ChangeInvalid(change.kind, change.name, str(error)) from None


def apply_change(state: ConfigurationState, change: Change) -> ConfigurationState:
    """Return the state after `change`.

    Raises
    ------
    ChangeInvalid
        If the change does not fit the state.
    """
    state = state._replace(version=change.version)
    item = parse_body(change)
    if change.kind == "preset-in-force":
        if item is None or item.preset not in state.presets_by_name:
            raise ChangeInvalid(change.kind, change.name, "no such preset")
        return state._replace(
            preset_in_force=state.presets_by_name[item.preset],
            preset_in_force_version=change.version,
        )
    field = FIELDS_BY_KIND[change.kind]
    table = getattr(state, field)
    if item is None:
        table = table.without_item(change.name)
    else:
        table = table.with_item(change.name, change.version, item)
    state = state._replace(**{field: table})
    if change.kind == "preset" and change.name == state.preset_in_force.name:
        if item is None:
            raise ChangeInvalid(change.kind, change.name, "the preset is in force")
        state = state._replace(preset_in_force=item)
    return state
