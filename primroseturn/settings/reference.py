"""Renders the page docs/settings.md from the typed settings."""

import re
from collections.abc import Iterator
from types import NoneType, UnionType
from typing import (
    Annotated,
    Any,
    get_args,
    get_origin,
    get_type_hints,
    Literal,
    NamedTuple,
    Union,
)

from msgspec import Meta, NODEFAULT, Struct
from msgspec.json import encode
from msgspec.structs import fields

PAGE_HEAD = """# Settings

A daemon reads one JSON file: `primroseturn daemon --settings FILE`. Check a file with
`primroseturn settings check FILE`: for an invalid file it names the field, its value
and what was expected, and exits with code 2. Unknown fields are refused. The command
checks a file that ends in `.toml` as a settings file of the users' platform, which
`primroseturn entry` reads. Times are in seconds. This page is written by
`primroseturn settings reference > docs/settings.md`.

A small file:

```json
{
  "identity": {"vm": "vm1", "data_center": "dc1", "region": "region1"},
  "store": {"url": "http://10.0.0.5:8080"},
  "callers": {"address": {"host": "10.0.1.1", "port": 8443}}
}
```

| field | type | default | meaning |
|---|---|---|---|
"""

NAMES_BY_TYPE = {str: "text", int: "integer", float: "number", bool: "true or false"}
BOUNDS = {
    "ge": "at least {}",
    "gt": "above {}",
    "le": "at most {}",
    "lt": "below {}",
    "min_length": "at least {} characters",
    "max_length": "at most {} characters",
    "pattern": "pattern `{}`",
}


class FieldRow(NamedTuple):
    """One row of the table of fields."""

    path: str
    type_text: str
    default: str
    meaning: str


def read_meanings(struct_type: type[Struct]) -> dict[str, str]:
    """Return the description of each field in a struct's docstring, by its name."""
    docstring = struct_type.__doc__ or ""
    section = docstring.partition("----------\n")[2]
    meanings: dict[str, str] = {}
    for match in re.finditer(r"^ {4}(\w+)\n((?: {8}.*\n)+)", section, re.M):
        meanings[match[1]] = " ".join(match[2].split())
    return meanings


def describe_bounds(meta: Meta) -> list[str]:
    """Return the bounds of a field in words."""
    values = {name: getattr(meta, name) for name in BOUNDS}
    return [
        BOUNDS[name].format(str(value).replace("|", "\\|"))
        for name, value in values.items()
        if value is not None
    ]


def describe_type(hint: Any) -> str:
    """Return a type in words."""
    origin, parts = get_origin(hint), get_args(hint)
    if origin is Annotated:
        bounds = [
            text
            for meta in parts[1:]
            if isinstance(meta, Meta)
            for text in describe_bounds(meta)
        ]
        return ", ".join([describe_type(parts[0]), *bounds])
    if origin is Literal:
        return " or ".join(f"`{value}`" for value in parts)
    if origin in (Union, UnionType):
        return " or ".join(map(describe_type, parts))
    if origin is tuple:
        return f"list of ({describe_type(parts[0])})"
    if hint is NoneType:
        return "null"
    if isinstance(hint, type) and issubclass(hint, Struct):
        return "object"
    return NAMES_BY_TYPE[hint]


def find_struct(hint: Any) -> tuple[type[Struct] | None, str]:
    """Return the struct inside a type and the suffix of paths to its fields.

    The suffix is ``[]`` for each list around the struct. The struct is None for types
    that contain none.
    """
    if isinstance(hint, type) and issubclass(hint, Struct):
        return hint, ""
    suffix = "[]" if get_origin(hint) is tuple else ""
    for part in get_args(hint):
        inner, inner_suffix = find_struct(part)
        if inner is not None:
            return inner, suffix + inner_suffix
    return None, ""


def list_fields(struct_type: type[Struct], prefix: str = "") -> Iterator[FieldRow]:
    """Yield the fields of a struct and of the structs inside it, depth first."""
    hints = get_type_hints(struct_type, include_extras=True)
    meanings = read_meanings(struct_type)
    for item in fields(struct_type):
        hint, path = hints[item.name], prefix + item.name
        inner, suffix = find_struct(hint)
        if inner is None or suffix or get_origin(hint) is not None:
            default = "required"
            if item.default is not NODEFAULT:
                default = f"`{encode(item.default).decode()}`"
            type_text = describe_type(hint)
            yield FieldRow(path, type_text, default, meanings.get(item.name, ""))
        if inner is not None:
            yield from list_fields(inner, f"{path}{suffix}.")


def render_reference(struct_type: type[Struct]) -> str:
    """Return the page of settings with all fields."""
    rows = [
        f"| `{item.path}` | {item.type_text} | {item.default} | {item.meaning} |\n"
        for item in list_fields(struct_type)
    ]
    return PAGE_HEAD + "".join(rows)
