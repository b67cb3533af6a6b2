"""ASGI application of the administration API."""

from typing import Any, TypeVar

from msgspec import DecodeError, to_builtins
from msgspec.json import decode

from primroseturn.admin.changes import ChangeRequest, submit_change
from primroseturn.admin.credentials import Credential, identify_operator
from primroseturn.admin.events import ADMIN_CHANGE, ADMIN_FAILED, ADMIN_REFUSED
from primroseturn.admin.failures import (
    CallFailed,
    CredentialReadOnly,
    MethodRefused,
    RequestInvalid,
    ResourceMissing,
    status_of,
)
from primroseturn.admin.keys import issue_key, KeyRequest, withdraw_key
from primroseturn.admin.objects import (
    items_of,
    read_object,
    require_kind,
    view_object,
)
from primroseturn.admin.paging import read_number, select_page
from primroseturn.admin.results import unwrap
from primroseturn.admin.status import read_status
from primroseturn.configuration.log import log_key
from primroseturn.configuration.models import Change
from primroseturn.failures import Failure
from primroseturn.kernel.kernel import Kernel
from primroseturn.serving.http import query_of, send_json

T = TypeVar("T")

MAX_BODY_BYTES = 65_536
PREFIX = "/v1/"
AUDIT_PAGE_SIZE = 50
MAX_VERSION = 10**11


async def read_body(receive: Any, decoded_type: type[T]) -> T:
    """Return the decoded body of a call.

    Raises
    ------
    RequestInvalid
        If the body is too large, is not JSON or does not fit `decoded_type`.
    """
    body = bytearray()
    more = True
    while more:
        event = await receive()
        body += event.get("body", b"")
        more = event.get("more_body", False)
        if len(body) > MAX_BODY_BYTES:
            raise RequestInvalid(f"the body exceeds {MAX_BODY_BYTES} bytes")
    try:
        return decode(bytes(body), type=decoded_type)
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestInvalid(f"the body is not valid: {error}") from None


class AdminApplication:
    """Serves operators: each call needs a credential, and changes a read-write one."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Respond to one call."""
        if scope["type"] != "http":
            return
        try:
            value = await self.handle_call(scope, receive)
        except Failure as failure:
            await self.refuse(failure, send)
        except Exception as error:
            # The response must not show internals, so the error is logged instead.
            name = type(error).__name__
            self.kernel.find("events").emit(ADMIN_FAILED, error=name)
            await self.refuse(CallFailed(), send)
        else:
            await send_json(send, 200, to_builtins(value))

    async def refuse(self, failure: Failure, send: Any) -> None:
        """Respond with a JSON body that names the type of the failure."""
        fields = {"type": failure.code, "detail": str(failure)}
        for name in ("expected", "found", "operation_id", "version"):
            if hasattr(failure, name):
                fields[name] = getattr(failure, name)
        self.kernel.find("events").emit(ADMIN_REFUSED, refusal=failure.code)
        await send_json(send, status_of(failure), fields)

    async def handle_call(self, scope: Any, receive: Any) -> Any:
        """Identify the operator and handle the call by its method and path."""
        settings = self.kernel.find("settings").admin
        operator = unwrap(identify_operator(scope, settings))
        method, path = scope["method"], scope["path"]
        if method != "GET" and not operator.can_write:
            raise CredentialReadOnly
        if not path.startswith(PREFIX):
            raise ResourceMissing(path)
        parts = path.removeprefix(PREFIX).split("/")
        query = query_of(scope)
        match method, *parts:
            case "GET", "status":
                return await read_status(self.kernel)
            case "GET", "fleet":
                return await self.kernel.find("fleet-status").collect(query)
            case "GET", "targets":
                return self.list_targets(query)
            case "GET", "audit":
                return await self.list_audit(query)
            case "GET", "objects", kind:
                return self.list_objects(kind, query)
            case "GET", "objects", kind, name:
                state = self.kernel.find("replica").state
                return read_object(state, kind, name)._asdict()
            case (("PUT" | "DELETE"), "objects", kind, name):
                request = await read_body(receive, ChangeRequest)
                return await self.change(method, kind, name, request, operator)
            case "POST", "workspaces", workspace, "keys":
                request = await read_body(receive, KeyRequest)
                return await issue_key(self.kernel, operator, workspace, request)
            case "POST", "keys", key_id, "withdrawal":
                request = await read_body(receive, KeyRequest)
                return await withdraw_key(self.kernel, operator, key_id, request)
            case _, ("status" | "fleet" | "targets" | "audit"):
                raise MethodRefused(method, path)
        raise ResourceMissing(f"{method} {path}")

    def list_objects(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        """Return a page of a kind's objects."""
        require_kind(kind)
        state = self.kernel.find("replica").state
        items = items_of(state, kind)
        page = select_page(items, query)
        objects = [view_object(state, kind, name, items[name]) for name in page.names]
        return {
            "version": state.version,
            "objects": [item._asdict() for item in objects],
            "next_after": page.next_after,
        }

    def list_targets(self, query: dict[str, str]) -> dict[str, Any]:
        """Return a page of the listed targets, of one service if `service` is given."""
        targets_by_service = self.kernel.find("listing").targets_by_service
        wanted_service = query.get("service")
        targets_by_id = {
            f"{service}/{name}": target
            for service, targets in targets_by_service.items()
            if wanted_service in (None, service)
            for name, target in targets.items()
        }
        page = select_page(targets_by_id, query)
        targets = [targets_by_id[name] for name in page.names]
        return {"targets": targets, "next_after": page.next_after}

    async def list_audit(self, query: dict[str, str]) -> dict[str, Any]:
        """Return accepted changes after a version, without their bodies."""
        limit = max(1, read_number(query, "limit", AUDIT_PAGE_SIZE, AUDIT_PAGE_SIZE))
        after = read_number(query, "after", 0, MAX_VERSION)
        newest = self.kernel.find("replica").state.version
        last = min(newest, after + limit)
        entries = []
        for version in range(after + 1, last + 1):
            stored = await self.kernel.find("store").read(log_key(version))
            if stored is not None:
                change = decode(stored.value, type=Change)
                entry = to_builtins(change)
                entry["deleted"] = entry.pop("body") is None
                entries.append(entry)
        return {"entries": entries, "next_after": last if last < newest else None}

    async def change(
        self,
        method: str,
        kind: str,
        name: str,
        request: ChangeRequest,
        operator: Credential,
    ) -> dict[str, Any]:
        """Create, replace or delete one object."""
        if kind == "key":
            raise MethodRefused(method, "objects/key")
        if (method == "PUT") != (request.body is not None):
            raise RequestInvalid("PUT needs a body, DELETE must have none")
        state = self.kernel.find("replica").state
        change = Change(
            state.version,
            request.operation_id,
            operator.name,
            kind,  # type: ignore[arg-type]
            name,
            request.body,
            request.expected_version,
        )
        store = self.kernel.find("store")
        accepted = unwrap(await submit_change(store, state, change, request.dry_run))
        if not accepted.dry_run:
            self.kernel.find("events").emit(
                ADMIN_CHANGE,
                operator=operator.name,
                kind=kind,
                name=name,
                version=accepted.version,
                operation_id=request.operation_id,
                deleted=request.body is None,
            )
        return accepted._asdict()
