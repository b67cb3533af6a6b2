"""Exit codes of all commands. docs/exit-codes.md lists the same codes."""

import sys
from enum import IntEnum
from typing import NoReturn


class ExitCode(IntEnum):
    """Exit code that a command returns to the process that started it."""

    SUCCESS = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4


def fail(code: ExitCode, message: str) -> NoReturn:
    """Print a message to standard error and exit."""
    print(message, file=sys.stderr)
    raise SystemExit(int(code))
