"""Command that prints the catalogue of events."""

from dataclasses import dataclass

from cappa import command

from primroseturn.observation.page import render_page


@command(description="The output is the page docs/events.md.")
@dataclass
class Events:
    """Print the catalogue of numbered events."""

    def __call__(self) -> None:
        """Print the page."""
        print(render_page(), end="")
