"""Starts entry processes with the command of the deploy file, and signals them."""

import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from random import choice

ROOT = Path(__file__).resolve().parents[2]
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
# Below the range from which systems take the ports of outgoing connections.
PORTS = range(12_000, 30_000)


def is_free(port: int) -> bool:
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as item:
            try:
                item.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_ports(count: int) -> list[int]:
    """Return free ports that no outgoing connection takes in the meantime."""
    found: list[int] = []
    while len(found) < count:
        port = choice(PORTS)
        if port not in found and is_free(port):
            found.append(port)
    return found


class Entry:
    """One entry process on an edge machine."""

    def __init__(self, folder: Path, name: str, store_port: int, bounds: dict) -> None:
        self.name = name
        self.folder = folder
        self.store_port = store_port
        self.bounds = bounds
        self.front, self.ready, self.inner, self.metrics = free_ports(4)
        self.process: subprocess.Popen | None = None

    def settings(self) -> str:
        bounds = "\n".join(f"{k} = {str(v).lower()}" for k, v in self.bounds.items())
        return f"""
[self]
node = "{self.name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "almaty-a"
region = "almaty"
in_tolerance = false
bootstrap = true
[self.limits]
cpu_share = 0.86
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [{self.inner},{self.inner}]
seeds = []
[network.listen]
front = "127.0.0.1:{self.front}"
readiness = "127.0.0.1:{self.ready}"
[network.zones]
almaty-a = "almaty"
[platform]
discovery = "platform"
entry = "vip"
heartbeat_s = 1.5
[platform.platform]
address = "127.0.0.1:{self.store_port}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_s = 1
[timing_terms]
contracts = ["base","drain","config","cost","retry","recover","health"]
[timing_terms.bounds]
{bounds}
"""

    def start(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        path = self.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        environment = {k: os.environ[k] for k in KEPT_VARIABLES if k in os.environ}
        environment |= role.get("env", {})
        environment["PRIMROSETURN_METRICS_PORT"] = str(self.metrics)
        environment["PRIMROSETURN_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            role["run"].split(" "),
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
