"""Decodes JSON documents that contain values of other writers.

One value that can't be decoded must not hide the others of the same document. A
document that can't be decoded as a whole is split into its values without decoding
them, in a time that is linear in its length and without recursion.
"""

from re import compile, DOTALL
from typing import Any

from expression import Error, Ok, Result
from msgspec import MsgspecError
from msgspec.json import decode

from primroseturn.failures import Failure

# Longest description of an error in a document, which may quote parts of it.
MAX_REASON_CHARACTERS = 200

STRUCTURE = compile(rb'["\[\]{},:]')
STRING_END = compile(rb'[^"\\]*(?:\\.[^"\\]*)*"', DOTALL)
CLOSING_BY_OPENING = {b"[": b"]", b"{": b"}"}


class DocumentInvalid(Failure):
    """A document or a value in it can't be decoded."""

    code = "document-invalid"


def decode_document(data: bytes, decoded_type: Any) -> Result[Any, DocumentInvalid]:
    """Decode a document, whatever it contains.

    The decoder raises its own errors for malformed documents, but also errors of
    Python for deep nesting, text that is no UTF-8 and numbers without bounds.
    """
    try:
        return Ok(decode(data, type=decoded_type))
    except (MsgspecError, ValueError, RecursionError, OverflowError) as error:
        return Error(DocumentInvalid(describe_error(error)))


def describe_error(error: Exception) -> str:
    """Return the type and the start of the text of an error."""
    return f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS]


def split_items(data: bytes) -> list[bytes]:
    """Return the values of a JSON array, undecoded.

    Raises
    ------
    DocumentInvalid
        If the brackets and strings of the document don't match.
    """
    return [parts[0] for parts in split_container(data, b"[")]


def split_members(data: bytes) -> dict[str, bytes]:
    """Return the values of a JSON object by name, undecoded.

    Members whose names can't be decoded are left out.

    Raises
    ------
    DocumentInvalid
        If the brackets and strings of the document don't match.
    """
    found = {}
    for parts in split_container(data, b"{"):
        name = decode_document(parts[0], str)
        if len(parts) == 2 and name.is_ok():
            found[name.ok] = parts[1]
    return found


def split_container(data: bytes, opening: bytes) -> list[list[bytes]]:
    """Return the parts of an array or an object, split at commas and colons.

    Raises
    ------
    DocumentInvalid
        If the brackets and strings of the document don't match.
    """
    entries: list[list[bytes]] = []
    parts: list[bytes] = []
    closing_brackets: list[bytes] = []
    start = position = 0
    while (found := STRUCTURE.search(data, position)) is not None:
        token, position = found.group(), found.end()
        if token == b'"':
            end = STRING_END.match(data, position)
            if end is None:
                raise DocumentInvalid("a string does not end")
            position = end.end()
        elif token in CLOSING_BY_OPENING:
            if not closing_brackets and token != opening:
                raise DocumentInvalid("the document has another type")
            if not closing_brackets:
                start = position
            closing_brackets.append(CLOSING_BY_OPENING[token])
        elif token in (b"]", b"}"):
            if not closing_brackets or closing_brackets.pop() != token:
                raise DocumentInvalid("the brackets don't match")
            if not closing_brackets:
                parts.append(data[start : found.start()])
                if entries or (parts != [b""] and parts[0].strip()):
                    entries.append([part.strip() for part in parts])
                return entries
        elif len(closing_brackets) == 1:
            parts.append(data[start : found.start()])
            start = position
            if token == b",":
                entries.append([part.strip() for part in parts])
                parts = []
    raise DocumentInvalid("the document does not end")
