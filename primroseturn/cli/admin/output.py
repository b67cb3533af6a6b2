"""Prints responses of the administration API as tables."""

from typing import Any


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print rows as a table with the columns of the first row."""
    if not rows:
        return
    columns = list(rows[0])
    cells = [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(map(len, items)) for items in zip(columns, *cells, strict=True)]
    for line in (columns, *cells):
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(padded).rstrip())


def flatten(values: dict[str, Any], prefix: str = "") -> list[dict[str, Any]]:
    """Return a row per leaf of nested dictionaries."""
    rows = []
    for name, value in values.items():
        if isinstance(value, dict) and value:
            rows += flatten(value, f"{prefix}{name}.")
        else:
            rows.append({"item": f"{prefix}{name}", "value": value})
    return rows
