"""Documents that VMs fetch from each other: the configuration and the target list.

A document may be larger than a message, so it is sent in parts. Parts are named by the
digest of their document: a VM may put the next version in force while another VM still
fetches the parts of this one.
"""

from hashlib import blake2b
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from msgspec import convert, MsgspecError
from msgspec.msgpack import decode, Encoder

from primroseturn.control.messages import Message, message
from primroseturn.entry.patches import apply_patch, create_patch, Patch, PatchInvalid
from primroseturn.failures import Failure
from primroseturn.routing.models import Target

# Bytes of a document in one message. Twelve VMs that fetch a document at the same time
# get their parts within 0.63 s over a link of 5 Mbit/s.
PART_BYTES = 32_768
DIGEST_BYTES = 16

# The order of an object's fields is not part of its value.
encoder = Encoder(order="deterministic")


class DocumentMismatch(Failure):
    """A document could not be fetched whole, or does not have its digest."""

    code = "document-mismatch"


class Document(NamedTuple):
    """An encoded document.

    Attributes
    ----------
    digest
        Digest of the value that it describes.
    data
        The encoded value, or an encoded patch.
    is_patch
        Whether `data` is a patch of the version that the receiver has.
    """

    digest: bytes
    data: bytes
    is_patch: bool = False


@message("document-head")
class DocumentHead(Message, frozen=True, array_like=True):
    """Describes a document and holds its first part.

    Attributes
    ----------
    digest, is_patch
        As in `Document`.
    size
        Size of the whole document in bytes.
    first_part
        The first bytes of the document.
    """

    digest: bytes
    is_patch: bool
    size: int
    first_part: bytes


@message("document-part-request")
class DocumentPartRequest(Message, frozen=True, array_like=True):
    """Requests the bytes of a document from an offset."""

    digest: bytes
    is_patch: bool
    offset: int


@message("document-part")
class DocumentPart(Message, frozen=True, array_like=True):
    """A part of a document; it is empty if the sender no longer has the document."""

    data: bytes


def digest_of(data: bytes) -> bytes:
    """Return the digest of an encoded value."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def encode_document(value: Any) -> Document:
    """Return the document that describes a value."""
    data = encoder.encode(value)
    return Document(digest_of(data), data)


def encode_patch(old: Any, new: Any, whole: Document) -> Document:
    """Return the document that describes `new` to a VM that has `old`.

    Parameters
    ----------
    whole
        The document that describes `new` to other VMs. It is returned if it is smaller.
    """
    data = encoder.encode(create_patch(old, new))
    if len(data) >= len(whole.data):
        return whole
    return Document(whole.digest, data, is_patch=True)


def decode_whole(data: bytes, digest: bytes) -> Result[Any, DocumentMismatch]:
    """Return the value that a whole document describes, if it has the digest."""
    if digest_of(data) != digest:
        return Error(DocumentMismatch("the document has another digest"))
    try:
        return Ok(decode(data))
    except (MsgspecError, ValueError, RecursionError) as error:
        return Error(DocumentMismatch(str(error)))


def decode_targets(value: Any) -> Result[list[Target], DocumentMismatch]:
    """Return the targets that the value of a document describes."""
    try:
        return Ok(convert(value, list[Target]))
    except MsgspecError as error:
        return Error(DocumentMismatch(str(error)))


def decode_patched(
    data: bytes, digest: bytes, old: Any
) -> Result[Any, DocumentMismatch]:
    """Return the value that a patch makes of `old`, if the value has the digest."""
    try:
        value = apply_patch(old, convert(decode(data), Patch))
    except (MsgspecError, PatchInvalid, ValueError, RecursionError) as error:
        return Error(DocumentMismatch(str(error)))
    if digest_of(encoder.encode(value)) != digest:
        return Error(DocumentMismatch("the patched document has another digest"))
    return Ok(value)
