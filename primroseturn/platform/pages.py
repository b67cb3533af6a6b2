"""Decodes the objects of the store, each on its own.

An object that another writer has left may be of any form; it must not hide the others
of the same list or watch.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from msgspec import Struct

from primroseturn.platform.documents import (
    decode_document,
    DocumentInvalid,
    split_items,
    split_members,
)
from primroseturn.store.metrics import UNREADABLE_OBJECTS


class MetadataWire(Struct, frozen=True):
    """Metadata of an object."""

    name: str
    revision: int = 0
    # The store's revision at which the object was created.
    create_rev: int = 0


class ObjectWire(Struct, frozen=True):
    """An object. Its value may be of any type, since other programs may write it."""

    metadata: MetadataWire
    spec: Any = None


class EventWire(Struct, frozen=True):
    """A change of an object."""

    object: ObjectWire
    deleted: bool = False


class PageWire(Struct, frozen=True):
    """A page of a list."""

    items: list[ObjectWire]
    more: bool = False
    # The store's revision at the time of the response.
    store_revision: int = 0


class EventsWire(Struct, frozen=True):
    """The response to a watch."""

    events: list[EventWire]
    store_revision: int


class StoreRevision(NamedTuple):
    """A revision of the store. Those of a later era are newer, whatever their number.

    Attributes
    ----------
    era
        How often the store had come back from an older copy, after which it issues
        numbers again; 0 if it does not state that.
    number
        The store's number of the revision; 0 before the first.
    """

    era: int
    number: int


NO_REVISION = StoreRevision(0, 0)


class UnreadableValue(NamedTuple):
    """Takes the place of a stored value that can't be decoded."""

    reason: str


class StoredValue(NamedTuple):
    """A named value in the store and the revision of its last change.

    Attributes
    ----------
    value
        The decoded value, or an `UnreadableValue`.
    """

    name: str
    revision: StoreRevision
    value: Any


def in_era(stored: StoredValue, era: int) -> StoredValue:
    """Return a stored value with its revision in the era of the response."""
    return stored._replace(revision=stored.revision._replace(era=era))


class ValueChange(NamedTuple):
    """A change of a value. If it was deleted, the value may be None."""

    stored: StoredValue
    deleted: bool


def stored_of(wire: ObjectWire) -> StoredValue:
    """Return the value of a decoded object with its name and revision."""
    revision = StoreRevision(0, wire.metadata.revision)
    return StoredValue(wire.metadata.name, revision, wire.spec)


def change_of(wire: EventWire) -> ValueChange:
    """Return the change that a decoded event describes."""
    return ValueChange(stored_of(wire.object), wire.deleted)


def read_object(data: bytes) -> StoredValue:
    """Return a stored value whose spec may be unreadable.

    Raises
    ------
    DocumentInvalid
        If its name or revision can't be decoded.
    """
    decoded = decode_document(data, ObjectWire)
    if decoded.is_ok():
        return stored_of(decoded.ok)
    members = split_members(data)
    metadata = decode_document(members.get("metadata", b""), MetadataWire)
    if metadata.is_error():
        raise metadata.error
    value = UnreadableValue(str(decoded.error))
    return StoredValue(metadata.ok.name, StoreRevision(0, metadata.ok.revision), value)


def read_event(data: bytes) -> ValueChange:
    """Return the change of a value whose spec may be unreadable.

    Raises
    ------
    DocumentInvalid
        If the name, the revision or the type of the change can't be decoded.
    """
    decoded = decode_document(data, EventWire)
    if decoded.is_ok():
        return change_of(decoded.ok)
    members = split_members(data)
    deleted = decode_document(members.get("deleted", b"false"), bool)
    if deleted.is_error():
        raise deleted.error
    return ValueChange(read_object(members.get("object", b"")), deleted.ok)


class PageForm(NamedTuple):
    """How the response to a list or a watch is decoded.

    Attributes
    ----------
    wire_type
        Type of the whole response.
    field
        Name of the field that holds the objects or events.
    translate
        Converts a decoded object or event.
    read
        Decodes an object or event on its own.
    """

    wire_type: type[Any]
    field: str
    translate: Callable[[Any], Any]
    read: Callable[[bytes], Any]


PAGE = PageForm(PageWire, "items", stored_of, read_object)
EVENTS = PageForm(EventsWire, "events", change_of, read_event)


class Page(NamedTuple):
    """Objects of a list or changes of a watch."""

    values: list[Any]
    store_revision: int
    more: bool


def read_page(data: bytes, form: PageForm) -> Page:
    """Return the objects of a page; those that can't be decoded hide no others.

    An object whose name can't be decoded either is left out and counted.

    Raises
    ------
    DocumentInvalid
        If the page itself can't be decoded.
    """
    decoded = decode_document(data, form.wire_type)
    if decoded.is_ok():
        page = decoded.ok
        values = [form.translate(item) for item in getattr(page, form.field)]
        return Page(values, page.store_revision, getattr(page, "more", False))
    members = split_members(data)
    if form.field not in members:
        raise decoded.error
    values = []
    for part in split_items(members.pop(form.field)):
        try:
            values.append(form.read(part))
        except DocumentInvalid:
            UNREADABLE_OBJECTS.inc()
    revision = decode_document(members.get("store_revision", b"0"), int)
    more = decode_document(members.get("more", b"false"), bool)
    for field in (revision, more):
        if field.is_error():
            raise field.error
    return Page(values, revision.ok, more.ok)
