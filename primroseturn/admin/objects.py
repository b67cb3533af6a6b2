"""Reads configuration objects for operators, leaving out secrets."""

from typing import Any, NamedTuple

from msgspec import Struct, to_builtins

from primroseturn.admin.failures import ResourceMissing
from primroseturn.configuration.models import CallerKey, PresetInForce, types_by_kind
from primroseturn.configuration.state import ConfigurationState, FIELDS_BY_KIND

PRESET_IN_FORCE = "preset-in-force"
# Name of the only object of its kind, so that exactly one preset is in force.
IN_FORCE_NAME = "current"
SECRET_FIELDS = ("salt", "digest")


class ObjectView(NamedTuple):
    """An object, and the version of the last change to it."""

    kind: str
    name: str
    version: int
    body: dict[str, Any]


def require_kind(kind: str) -> None:
    """Raise `ResourceMissing` unless `kind` is a kind of configuration object."""
    if kind not in types_by_kind:
        raise ResourceMissing(f"kind {kind!r}")


def items_of(state: ConfigurationState, kind: str) -> Any:
    """Return the objects of a kind by name."""
    if kind == PRESET_IN_FORCE:
        return {IN_FORCE_NAME: PresetInForce(state.preset_in_force.name)}
    return getattr(state, FIELDS_BY_KIND[kind])


def version_of(state: ConfigurationState, kind: str, name: str) -> int:
    """Return the version of the last change to an object, 0 if there is none."""
    return state.versions_by_object.get((kind, name), 0)


def view_object(
    state: ConfigurationState, kind: str, name: str, item: Struct
) -> ObjectView:
    """Return an object without the fields that are secret."""
    body = to_builtins(item)
    if isinstance(item, CallerKey):
        body = {key: value for key, value in body.items() if key not in SECRET_FIELDS}
    return ObjectView(kind, name, version_of(state, kind, name), body)


def read_object(state: ConfigurationState, kind: str, name: str) -> ObjectView:
    """Return one object.

    Raises
    ------
    ResourceMissing
        If it does not exist.
    """
    require_kind(kind)
    item = items_of(state, kind).get(name)
    if item is None:
        raise ResourceMissing(f"{kind} {name!r}", version_of(state, kind, name))
    return view_object(state, kind, name, item)
