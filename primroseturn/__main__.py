"""Runs the command line with ``python -m primroseturn``."""

from primroseturn.cli.main import main

if __name__ == "__main__":
    main()
