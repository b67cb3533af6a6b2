"""Selects pages of sorted names."""

from collections.abc import Iterable
from heapq import nsmallest
from typing import NamedTuple

from primroseturn.admin.failures import RequestInvalid

DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1000


class Page(NamedTuple):
    """Names of one page, and the name after which the next page starts."""

    names: list[str]
    next_after: str | None


def read_number(query: dict[str, str], name: str, default: int, maximum: int) -> int:
    """Return a query parameter that is a whole number from 0 to `maximum`.

    Raises
    ------
    RequestInvalid
        If the parameter is anything else.
    """
    text = query.get(name, str(default))
    if not (text.isascii() and text.isdigit()) or int(text[:20]) > maximum:
        raise RequestInvalid(f"{name} must be a whole number of at most {maximum}")
    return int(text)


def select_page(names: Iterable[str], query: dict[str, str]) -> Page:
    """Return the page that starts after `after` and has at most `limit` names."""
    limit = max(1, read_number(query, "limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE))
    after = query.get("after", "")
    # Holds only one page in memory; the largest kind has 340,000 objects.
    selected = nsmallest(limit + 1, (name for name in names if name > after))
    has_more = len(selected) > limit
    return Page(selected[:limit], selected[limit - 1] if has_more else None)
