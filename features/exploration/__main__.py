"""Runs long explorations: python -m features.exploration PROTOCOL [options]."""

from argparse import ArgumentParser
from time import monotonic

from features.exploration.run import explore, PROTOCOLS


def main():
    """Explore schedules and print the totals if none violates an invariant."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("protocol", choices=sorted(PROTOCOLS))
    parser.add_argument("--schedules", type=int, default=2000)
    parser.add_argument("--steps", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--broken", help="name of a broken variant")
    parser.add_argument("--shrink", action="store_true")
    options = parser.parse_args()
    started = monotonic()
    totals = explore(
        options.protocol,
        options.schedules,
        options.seed,
        options.steps,
        options.broken,
        options.shrink,
    )
    print(f"{options.protocol}: no violation, {totals}, {monotonic() - started:.1f} s")


if __name__ == "__main__":
    main()
