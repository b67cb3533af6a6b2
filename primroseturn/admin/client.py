"""Client of the administration API."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from ssl import create_default_context
from typing import Any
from urllib.parse import quote
from uuid import uuid4

from httpx import AsyncClient, HTTPError, InvalidURL

from primroseturn.failures import Failure

CALL_TIMEOUT_S = 10.0


class AdminUnreachable(Failure):
    """The administration API gave no valid response."""

    code = "admin-unreachable"

    def __init__(self, url: str, detail: str) -> None:
        super().__init__(f"{url} gave no valid response ({detail})")


class AdminRefused(Failure):
    """The administration API responded with a refusal or another error.

    Attributes
    ----------
    status
        HTTP status of the response.
    kind
        Type of the error.
    error
        Decoded body of the response.
    """

    code = "admin-refused"

    def __init__(self, status: int, error: dict[str, Any]) -> None:
        super().__init__(f"{error.get('type')}: {error.get('detail')}")
        self.status = status
        self.kind = error.get("type", "")
        self.error = error


def create_operation_id() -> str:
    """Return a random operation id."""
    return uuid4().hex


class AdminClient:
    """Calls one daemon's administration API."""

    def __init__(self, http: AsyncClient, url: str) -> None:
        self.http = http
        self.url = url

    async def call(
        self, method: str, path: str, body: Any = None, **query: Any
    ) -> dict[str, Any]:
        """Send a call and return the decoded response.

        Raises
        ------
        AdminUnreachable
            If no valid response came.
        AdminRefused
            If the response is an error.
        """
        query = {name: value for name, value in query.items() if value is not None}
        try:
            response = await self.http.request(
                method, f"/v1/{quote(path)}", json=body, params=query
            )
            decoded = response.json()
        except (HTTPError, ValueError, InvalidURL) as error:
            raise AdminUnreachable(self.url, type(error).__name__) from None
        if response.status_code != 200:
            raise AdminRefused(response.status_code, decoded)
        return decoded

    async def find_object(self, kind: str, name: str) -> tuple[int, dict | None]:
        """Return an object's version and body, which is None if there is no object."""
        try:
            view = await self.call("GET", f"objects/{kind}/{name}")
        except AdminRefused as failure:
            if failure.kind != "not-found":
                raise
            return failure.error.get("version", 0), None
        return view["version"], view["body"]

    async def change(
        self,
        kind: str,
        name: str,
        body: dict | None,
        expected_version: int,
        operation_id: str,
        dry_run: bool = False,
    ) -> dict[str, Any]:
        """Create or replace an object, or delete it if `body` is None."""
        request = {
            "operation_id": operation_id,
            "expected_version": expected_version,
            "dry_run": dry_run,
        }
        if body is None:
            return await self.call("DELETE", f"objects/{kind}/{name}", request)
        request["body"] = body
        return await self.call("PUT", f"objects/{kind}/{name}", request)


@asynccontextmanager
async def open_client(
    url: str, token: str, ca_file: str | None = None
) -> AsyncIterator[AdminClient]:
    """Open a client that is closed at the end of the context.

    Parameters
    ----------
    ca_file
        File with the certificate of the authority that is trusted for https, in place
        of the system's authorities.
    """
    # Loading the system's authorities is slow, and plain HTTP does not need them.
    uses_tls = url.lower().startswith("https:")
    verify = create_default_context(cafile=ca_file) if uses_tls else False
    headers = {"authorization": f"Bearer {token}"}
    try:
        http = AsyncClient(
            base_url=url,
            headers=headers,
            timeout=CALL_TIMEOUT_S,
            verify=verify,
            trust_env=False,
        )
    except (InvalidURL, ValueError) as error:
        raise AdminUnreachable(url, str(error)) from None
    async with http:
        yield AdminClient(http, url)
