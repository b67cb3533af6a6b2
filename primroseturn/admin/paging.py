"""Pages of sorted names."""

from collections.abc import Iterable
from heapq import nsmallest
from typing import NamedTuple

from primroseturn.admin.failures import RequestInvalid

LIMIT_DEFAULT = 100
LIMIT_MAX = 1000


class Page(NamedTuple):
    """Names of one page and the name after which the next page starts."""

    names: list[str]
    next_after: str | None


def read_number(query: dict[str, str], name: str, default: int, largest: int) -> int:
    """Return a whole number of the query between 0 and `largest`.

    Raises
    ------
    RequestInvalid
        If it is none.
    """
    text = query.get(name, str(default))
    if not (text.isascii() and text.isdigit()) or int(text[:20]) > largest:
        raise RequestInvalid(f"{name} must be a whole number of at most {largest}")
    return int(text)


def cut_page(names: Iterable[str], query: dict[str, str]) -> Page:
    """Return the page that the query's `limit` and `after` ask for."""
    limit = max(1, read_number(query, "limit", LIMIT_DEFAULT, LIMIT_MAX))
    after = query.get("after", "")
    # Keeps only one page in memory; the largest kind has 340,000 objects.
    found = nsmallest(limit + 1, (name for name in names if name > after))
    more = len(found) > limit
    return Page(found[:limit], found[limit - 1] if more else None)
