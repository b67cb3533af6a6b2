"""Renders the page docs/events.md from the catalogue."""

from primroseturn.observation.catalogue import events_by_number
from primroseturn.observation.load import load_events

HEAD = """# Events

Every event has a number and a name. Processes write events as JSON lines (eliot) with
the fields `event`, `message_type`, `vm`, `incarnation`, `sequence`, `monotonic_s`
and `wall_s`, and the fields of the event. `primroseturn timeline` merges the files
of several processes. This page is written by `primroseturn events > docs/events.md`.

| number | name | meaning |
|---|---|---|
"""


def render_page() -> str:
    """Return the page with all events, sorted by number."""
    load_events()
    rows = [
        f"| {event.number} | {event.name} | {event.meaning} |\n"
        for _, event in sorted(events_by_number.items())
    ]
    return HEAD + "".join(rows)
