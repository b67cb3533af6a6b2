"""Runs all scenarios in several processes: python -m features.run."""

import re
import sys
from contextlib import ExitStack
from pathlib import Path
from subprocess import Popen, STDOUT
from tempfile import TemporaryFile

FEATURES = Path(__file__).parent
# Scenarios wait most of their time, so this many processes take about one core.
PROCESSES = 4
CLOSING_LINE = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)
FAILED_SCENARIO = re.compile(r"^FAILED .*$", re.MULTILINE)


def share_files(files: list[Path], count: int) -> list[list[Path]]:
    """Return the files in `count` shares of about the same number of lines."""
    shares: list[list[Path]] = [[] for _ in range(count)]
    lines = [0] * count
    by_length = {file: len(file.read_text().splitlines()) for file in files}
    for file in sorted(by_length, key=lambda item: (-by_length[item], item)):
        least = lines.index(min(lines))
        shares[least].append(file)
        lines[least] += by_length[file]
    return shares


def main() -> int:
    """Run the scenarios and return 0 if all passed.

    The failed scenarios are named last, since a log is often cut to its end.
    """
    shares = share_files(list(FEATURES.glob("*.feature")), PROCESSES)
    passed = failed = 0
    good = True
    failures: list[str] = []
    with ExitStack() as stack:
        outputs = [stack.enter_context(TemporaryFile("w+")) for _ in shares]
        processes = [
            Popen(
                [sys.executable, "-m", "behave", *map(str, share)],
                stdout=output,
                stderr=STDOUT,
            )
            for share, output in zip(shares, outputs, strict=True)
        ]
        for process, output in zip(processes, outputs, strict=True):
            process.wait()
            output.seek(0)
            text = output.read()
            print(text)
            counts = CLOSING_LINE.findall(text)
            good = good and process.returncode == 0 and len(counts) == 1
            passed += sum(int(found[0]) for found in counts)
            failed += sum(int(found[1]) for found in counts)
            failures += FAILED_SCENARIO.findall(text)
            if process.returncode < 0 or not counts:
                failures.append(f"FAILED behave ended early: {process.returncode}")
    for line in failures:
        print(line)
    print(f"{passed} passed, {failed} failed")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
