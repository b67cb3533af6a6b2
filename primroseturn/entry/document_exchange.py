"""Sends documents to other VMs and fetches theirs, part by part."""

from collections.abc import Callable
from typing import Any

from anyio import current_time
from expression import Error, Ok, Result

from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import Message
from primroseturn.entry.documents import (
    decode_patched,
    decode_whole,
    Document,
    DocumentHead,
    DocumentMismatch,
    DocumentPart,
    DocumentPartRequest,
    PART_BYTES,
)
from primroseturn.entry.events import DOCUMENT_REFUSED
from primroseturn.observation.events import EventLog

# Documents of which parts are kept, of the newest and the previous version.
MAX_KEPT_DOCUMENTS = 4
# Largest document that is fetched: a list of all targets at the size of the target, or
# the largest value of the store with room for its encoding.
MAX_DOCUMENT_BYTES = 33_554_432
# Longest wait in seconds for a reply, for which a connection may have to be opened, and
# for a further part. Other VMs fetch theirs over the same link of the sender.
REPLY_TIMEOUT_S, PART_TIMEOUT_S = 0.5, 0.8


class DocumentStore:
    """The documents of this VM that other VMs may fetch."""

    def __init__(self) -> None:
        self.data_by_name: dict[tuple[bytes, bool], bytes] = {}

    def keep(self, document: Document) -> DocumentHead:
        """Keep a document for the requests of its parts, and describe it."""
        name = document.digest, document.is_patch
        self.data_by_name.pop(name, None)
        self.data_by_name[name] = document.data
        while len(self.data_by_name) > MAX_KEPT_DOCUMENTS:
            del self.data_by_name[next(iter(self.data_by_name))]
        size = len(document.data)
        return DocumentHead(*name, size, document.data[:PART_BYTES])

    def find_part(self, request: DocumentPartRequest) -> DocumentPart:
        """Return the requested part."""
        data = self.data_by_name.get((request.digest, request.is_patch), b"")
        start = max(0, request.offset)
        return DocumentPart(data[start : start + PART_BYTES])


class DocumentExchange:
    """Replies to requests for parts of documents, and fetches documents.

    Attributes
    ----------
    store
        The documents whose parts other VMs may still request.
    """

    def __init__(self, bus: Bus, events: EventLog) -> None:
        self.bus = bus
        self.events = events
        self.store = DocumentStore()
        bus.register_handler(DocumentPartRequest, self.reply_with_part)

    def keep(self, document: Document) -> DocumentHead:
        """Keep a document for the requests of its parts, and describe it."""
        return self.store.keep(document)

    async def fetch(
        self,
        peer: str,
        head: DocumentHead,
        old: Any = None,
        report_left: Callable[[float], None] | None = None,
    ) -> Result[Any, DocumentMismatch]:
        """Fetch the other parts of a document and return its value.

        Parameters
        ----------
        old
            The value that a patch is applied to.
        report_left
            Called after each part with the seconds that the rest will probably take.
        """
        fetched = await self.fetch_parts(peer, head, report_left)
        if head.is_patch:
            value = fetched.bind(lambda data: decode_patched(data, head.digest, old))
        else:
            value = fetched.bind(lambda data: decode_whole(data, head.digest))
        if value.is_error():
            self.events.emit(DOCUMENT_REFUSED, peer=peer, reason=str(value.error))
        return value

    async def fetch_parts(
        self,
        peer: str,
        head: DocumentHead,
        report_left: Callable[[float], None] | None = None,
    ) -> Result[bytes, DocumentMismatch]:
        """Return the data of a document, unless a part does not arrive in time."""
        if head.size > MAX_DOCUMENT_BYTES:
            return Error(DocumentMismatch(f"the document has {head.size} bytes"))
        data = bytearray(head.first_part)
        began_at, first_bytes = current_time(), len(data)
        while len(data) < head.size:
            request = DocumentPartRequest(head.digest, head.is_patch, len(data))
            reply = await self.bus.request(peer, request, PART_TIMEOUT_S)
            if reply.is_error() or not isinstance(reply.ok, DocumentPart):
                return Error(DocumentMismatch(f"no reply for the part at {len(data)}"))
            if not reply.ok.data:
                return Error(DocumentMismatch("the peer no longer has the document"))
            data += reply.ok.data
            if report_left is not None:
                s_per_byte = (current_time() - began_at) / (len(data) - first_bytes)
                report_left(s_per_byte * (head.size - len(data)))
        return Ok(bytes(data))

    async def reply_with_part(self, sender: Sender, body: Message) -> DocumentPart:
        """Reply with a part of a document."""
        assert isinstance(body, DocumentPartRequest)
        return self.store.find_part(body)
