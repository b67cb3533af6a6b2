"""A target with endless responses, and its callers, as a process beside a VM.

``python -m features.endless_side MODE`` prints the target's port, then reads a line
with the VM's port, the path, the number of callers and the duration in seconds from
standard input. At the end it prints the number of responses that the callers got and
the seconds that the longest one took.
"""

import sys

from anyio import (
    connect_tcp,
    create_task_group,
    current_time,
    EndOfStream,
    move_on_after,
    run,
)

from features.entry_fleet import HOST, KEY
from features.entry_target import run_target

CALLER_TIMEOUT_MS = 1500
# Seconds after the end of the test until the callers are cancelled.
CANCEL_DELAY_S = 4.0


class Callers:
    """Callers that send requests and discard the responses."""

    def __init__(self, port: int, path: str, until: float) -> None:
        self.port = port
        self.path = path
        self.until = until
        self.response_count = 0
        self.longest_s = 0.0

    async def run(self, count: int) -> None:
        """Run the callers at the same time until the end of the test."""
        async with create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(self.call, number)

    async def call(self, number: int) -> None:
        """Send the requests of one caller, one after the other."""
        while current_time() < self.until:
            started = current_time()
            async with await connect_tcp("127.0.0.1", self.port) as stream:
                await stream.send(self.head(f"endless-{number}-{self.response_count}"))
                try:
                    while True:
                        await stream.receive()
                except (EndOfStream, OSError):
                    pass
            self.response_count += 1
            self.longest_s = max(self.longest_s, current_time() - started)

    def head(self, attempt: str) -> bytes:
        """Return the bytes of a request that closes its connection."""
        lines = (
            f"GET {self.path} HTTP/1.1",
            f"host: {HOST}",
            f"attempt-id: {attempt}",
            f"deadline-ms: {CALLER_TIMEOUT_MS}",
            f"authorization: Bearer {KEY}",
            "connection: close",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def main(mode: str) -> None:
    """Run the target and the callers."""
    async with run_target("t1") as target:
        target.usual_mode = mode
        print(target.port, flush=True)
        # No request reaches the target before this line was read.
        port, path, count, seconds = sys.stdin.readline().split()
        callers = Callers(int(port), path, current_time() + float(seconds))
        with move_on_after(float(seconds) + CANCEL_DELAY_S):
            await callers.run(int(count))
        print(callers.response_count, callers.longest_s, flush=True)


if __name__ == "__main__":
    run(main, sys.argv[1])
