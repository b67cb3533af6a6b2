"""Differences between two versions of a JSON value.

Successive configurations are mostly equal, so that a VM that has one version needs few
bytes for the next. A patch names what changed at each level and shares the rest with
the old value, which is not changed itself.
"""

from typing import Any

from msgspec import Struct

from primroseturn.failures import Failure

# Depth below which values are replaced as a whole, so that the patch of a deeply nested
# value needs no deep recursion.
MAX_DEPTH = 12


class Replacement(Struct, frozen=True, array_like=True, tag="replace"):
    """Replaces a value."""

    value: Any


class FieldChanges(Struct, frozen=True, array_like=True, tag="fields"):
    """Changes fields of an object and removes some."""

    patches_by_name: dict[str, "Patch"]
    removed: list[str]


class ItemChanges(Struct, frozen=True, array_like=True, tag="items"):
    """Changes items of a list, given by their index."""

    patches: list[tuple[int, "Patch"]]


class Splice(Struct, frozen=True, array_like=True, tag="splice"):
    """Replaces the items of a list from `start` to before `end`."""

    start: int
    end: int
    items: list[Any]


Patch = Replacement | FieldChanges | ItemChanges | Splice


class PatchInvalid(Failure):
    """A patch does not fit the value that it is applied to."""

    code = "patch-invalid"


def create_patch(old: Any, new: Any, depth: int = 0) -> Patch:
    """Return the patch that makes `new` of `old`."""
    if depth < MAX_DEPTH:
        if isinstance(old, dict) and isinstance(new, dict):
            return FieldChanges(
                {
                    name: create_patch(old[name], value, depth + 1)
                    if name in old
                    else Replacement(value)
                    for name, value in new.items()
                    if name not in old or not is_same(old[name], value)
                },
                [name for name in old if name not in new],
            )
        if isinstance(old, list) and isinstance(new, list):
            return create_list_patch(old, new, depth)
    return Replacement(new)


def create_list_patch(old: list[Any], new: list[Any], depth: int) -> Patch:
    """Return the patch that makes the list `new` of the list `old`."""
    if len(old) == len(new):
        return ItemChanges(
            [
                (index, create_patch(before, after, depth + 1))
                for index, (before, after) in enumerate(zip(old, new, strict=True))
                if not is_same(before, after)
            ]
        )
    shorter = min(len(old), len(new))
    start = 0
    while start < shorter and is_same(old[start], new[start]):
        start += 1
    kept = 0
    while kept < shorter - start and is_same(old[-1 - kept], new[-1 - kept]):
        kept += 1
    return Splice(start, len(old) - kept, new[start : len(new) - kept])


def is_same(old: Any, new: Any) -> bool:
    """Return whether two values are equal and of the same type.

    Numbers of different types inside of objects and lists are taken for equal. The
    receiver compares a digest of the result.
    """
    return type(old) is type(new) and old == new


def apply_patch(old: Any, patch: Patch) -> Any:
    """Return the value that a patch makes of `old`.

    Raises
    ------
    PatchInvalid
        If it was made for another value.
    """
    match patch, old:
        case Replacement(value), _:
            return value
        case FieldChanges(patches_by_name, removed), dict():
            changed = {
                name: apply_patch(old.get(name), change)
                for name, change in patches_by_name.items()
            }
            kept = {name: old[name] for name in old if name not in removed}
            return kept | changed
        case ItemChanges(patches), list():
            found = list(old)
            for index, change in patches:
                if not 0 <= index < len(found):
                    raise PatchInvalid(f"item {index} does not exist")
                found[index] = apply_patch(found[index], change)
            return found
        case Splice(start, end, items), list():
            return old[:start] + items + old[end:]
    raise PatchInvalid(f"{type(patch).__name__} does not fit {type(old).__name__}")
