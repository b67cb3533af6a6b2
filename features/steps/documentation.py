"""Steps that compare the documentation with the product."""

import re
from pathlib import Path

from behave import then
from cappa import collect, Subcommand

from primroseturn.cli.main import build_root

README = Path("README.md")
LINK = re.compile(r"\]\(([^)#:\s]+)(?:#[^)]*)?\)")
COMMAND = re.compile(r"primroseturn ((?:admin |standin |settings )?[a-z][a-z-]+)")
COMMAND_PAGES = (README, Path("docs/overview.md"), *Path("docs/operators").glob("*.md"))


def find_helps(command, prefix=""):
    """Return the help texts of a command's subcommands by their full name."""
    helps = {}
    for argument in command.arguments:
        if isinstance(argument, Subcommand):
            for name, option in argument.options.items():
                helps[prefix + name] = option.help
                helps |= find_helps(option, f"{prefix}{name} ")
    return helps


@then("every relative link of the pages leads to a file")
def step_links(context):
    pages = [README, Path("CHANGELOG.md"), *Path("docs").rglob("*.md")]
    links = [(page, link) for page in pages for link in LINK.findall(page.read_text())]
    assert len(links) > 10
    broken = [
        (str(page), link) for page, link in links if not (page.parent / link).exists()
    ]
    assert not broken, broken


@then("every command that a page names has a help text")
def step_commands(context):
    names = set()
    for page in COMMAND_PAGES:
        # Commands are searched in code only: sentences contain the product's name too.
        code = re.findall(r"`[^`]+`|^ {4}.*$", page.read_text(), re.M)
        names |= {name for text in code for name in COMMAND.findall(text)}
    assert len(names) > 10, names
    helps = find_helps(collect(build_root([])))
    missing = [name for name in names if not helps.get(name)]
    assert not missing, missing


@then('the README has the line "{line}"')
def step_readme(context, line):
    assert line in README.read_text().splitlines()


@then("the index of operators' pages lists every page")
def step_index(context):
    index = Path("docs/operators/README.md")
    pages = {page.name for page in index.parent.glob("*.md")} - {index.name}
    missing = pages - set(LINK.findall(index.read_text()))
    assert len(pages) > 8 and not missing, missing
