"""Runs all scenarios in several processes: python -m features.run."""

import re
import sys
from contextlib import ExitStack
from pathlib import Path
from subprocess import Popen, STDOUT
from tempfile import TemporaryFile

FEATURES_DIRECTORY = Path(__file__).parent
# Scenarios mostly wait, so these processes together load about one core.
PROCESS_COUNT = 4
CLOSING_LINE = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)
FAILED_SCENARIO = re.compile(r"^FAILED .*$", re.MULTILINE)


def group_files(files: list[Path], count: int) -> list[list[Path]]:
    """Return the files in `count` groups of about the same number of lines."""
    groups: list[list[Path]] = [[] for _ in range(count)]
    line_counts = [0] * count
    lengths_by_file = {file: len(file.read_text().splitlines()) for file in files}
    for file in sorted(
        lengths_by_file, key=lambda item: (-lengths_by_file[item], item)
    ):
        smallest = line_counts.index(min(line_counts))
        groups[smallest].append(file)
        line_counts[smallest] += lengths_by_file[file]
    return groups


def main() -> int:
    """Run the scenarios and return 0 if all passed.

    Failed scenarios are printed last, as often only the end of a log is kept.
    """
    groups = group_files(list(FEATURES_DIRECTORY.glob("*.feature")), PROCESS_COUNT)
    passed = failed = 0
    all_passed = True
    failures: list[str] = []
    with ExitStack() as stack:
        outputs = [stack.enter_context(TemporaryFile("w+")) for _ in groups]
        processes = [
            Popen(
                [sys.executable, "-m", "behave", *map(str, group)],
                stdout=output,
                stderr=STDOUT,
            )
            for group, output in zip(groups, outputs, strict=True)
        ]
        for process, output in zip(processes, outputs, strict=True):
            process.wait()
            output.seek(0)
            text = output.read()
            print(text)
            counts = CLOSING_LINE.findall(text)
            all_passed = all_passed and process.returncode == 0 and len(counts) == 1
            passed += sum(int(found[0]) for found in counts)
            failed += sum(int(found[1]) for found in counts)
            failures += FAILED_SCENARIO.findall(text)
            if process.returncode < 0 or not counts:
                failures.append(f"FAILED behave ended early: {process.returncode}")
    for line in failures:
        print(line)
    print(f"{passed} passed, {failed} failed")
    return 0 if all_passed else 1


if __name__ == "__main__":
    sys.exit(main())
