"""Processes of a benchmark: start, resource usage and termination."""

import json
import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from tests.builders import build_settings_data
from tests.ports import free_ports
from tests.processes import http, wait_until

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
OWNER_DATA_CENTRE = "kista"
OTHER_DATA_CENTRE = "huddinge"
LOCAL = "127.0.0.1"
LOAD_EXIT_TIMEOUT_S = 10.0
# Below the ephemeral port range, so that outgoing connections don't take these ports.
FIRST_PORT, LAST_PORT = 20_000, 23_900


class ProcessUsage(NamedTuple):
    """Processor time (s) and resident memory (bytes) of a process."""

    cpu_s: float
    rss_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Read the usage of a running process from ``/proc``."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(
        (int(stat[11]) + int(stat[12])) / TICKS_PER_S,
        pages * os.sysconf("SC_PAGE_SIZE"),
    )


def find_port_range(count: int) -> int:
    """Return the first of ``count`` consecutive free ports."""
    for first in range(FIRST_PORT, LAST_PORT, count):
        sockets = [socket.socket() for _ in range(count)]
        try:
            for offset, sock in enumerate(sockets):
                sock.bind((LOCAL, first + offset))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise RuntimeError("no range of consecutive ports is free")


class ProcessCluster:
    """Processes of a stand-in platform, its workers and up to two entry instances.

    The instance ``owner`` is in the workers' data centre and owns all shards;
    ``receiver`` is in another data centre and forwards everything to it.
    """

    def __init__(self, folder: Path, workers: int, services: dict[str, int]) -> None:
        self.folder = folder
        self.workers = workers
        self.services = services
        self.platform_http_port, self.platform_control_port, *rest = free_ports(6)
        self.caller_ports = {"owner": rest[0], "receiver": rest[1]}
        self.peer_ports = {"owner": rest[2], "receiver": rest[3]}
        self.first_port = 0
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_platform(self) -> None:
        self.first_port = find_port_range(self.workers)
        path = self._write_fleet("fleet", self.first_port)
        self._start("workers", "standin", path, "--parts", "workers")
        self._start("platform", "standin", path, "--parts", "platform")

    def start_direct_workers(self, workers: int) -> int:
        """Start workers outside the instances' fleet; return their first port."""
        first_port = find_port_range(workers)
        path = self._write_fleet("direct", first_port, workers)
        self._start("direct", "standin", path, "--parts", "workers")
        return first_port

    def start_instance(self, name: str) -> None:
        cfg = build_settings_data(
            instance=name,
            data_centre=OWNER_DATA_CENTRE if name == "owner" else OTHER_DATA_CENTRE,
            callers={"host": LOCAL, "port": self.caller_ports[name]},
            peers={"host": LOCAL, "port": self.peer_ports[name]},
            platform={"host": LOCAL, "port": self.platform_http_port},
            links={OWNER_DATA_CENTRE: 1.0} if name != "owner" else {},
        )
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(cfg))
        self._start(name, "serve", str(path))
        wait_until(
            lambda: http("GET", self.url(name, "/v1/health/ready")).status == 200,
            f"{name} is ready",
        )

    def wait_claimed(self) -> None:
        """Wait until the owner shows every worker as claimed."""

        def is_claimed() -> bool:
            rows = http("GET", self.url("owner", "/v1/workers")).json()["workers"]
            all_claimed = all(row["in_flight"] is not None for row in rows)
            return len(rows) == self.workers and all_claimed

        wait_until(is_claimed, "every worker is owned")

    def configure(self) -> None:
        url = self.url("owner", "/v1/configuration")
        current = http("GET", url).json()
        body = {
            **current["body"],
            "services": {name: {"idempotent": True} for name in self.services},
        }
        text = json.dumps({"version": current["version"], "body": body}).encode()
        reply = http("PUT", url, text)
        if reply.status != 200:
            raise RuntimeError(f"configuration refused: {reply.body!r}")

    def url(self, name: str, path: str) -> str:
        return f"http://{LOCAL}:{self.caller_ports[name]}{path}"

    def usage(self, name: str) -> ProcessUsage:
        return read_usage(self._processes[name].pid)

    def close(self) -> None:
        """Kill all processes; a graceful stop would wait for a successor."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()

    def _start(self, name: str, *arguments: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "hyssopweir", *arguments],
                stderr=log,
                stdout=log,
                start_new_session=True,
            )

    def _write_fleet(
        self, name: str, first_port: int, workers: int | None = None
    ) -> str:
        ports = free_ports(3)
        is_shared = name == "fleet"
        fleet = {
            "name": name,
            "platform": {
                "host": LOCAL,
                "port": self.platform_http_port if is_shared else ports[0],
            },
            "platform_control": {
                "host": LOCAL,
                "port": self.platform_control_port if is_shared else ports[1],
            },
            "workers_control": {"host": LOCAL, "port": ports[2]},
            "services": {
                service: {"run_ms": run_ms} for service, run_ms in self.services.items()
            },
            "data_centres": [
                {
                    "name": OWNER_DATA_CENTRE,
                    "links": {},
                    "workers": workers or self.workers,
                    "first_port": first_port,
                    "host": LOCAL,
                    "cores": 32,
                    "memory_gb": 125,
                }
            ],
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(fleet))
        return str(path)


@contextmanager
def running_cluster(
    folder: Path, workers: int, services: dict[str, int]
) -> Iterator[ProcessCluster]:
    """Run the platform and the instance ``owner``; kill all processes on exit."""
    cluster = ProcessCluster(folder, workers, services)
    try:
        cluster.start_platform()
        cluster.start_instance("owner")
        cluster.wait_claimed()
        yield cluster
    finally:
        cluster.close()


def run_load(folder: Path, plan: dict[str, Any], limit_s: float) -> dict[str, Any]:
    """Run the load generator in a separate process and return its results."""
    path = folder / "load.json"
    path.write_text(json.dumps(plan))
    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks.load", str(path)],
        capture_output=True,
        timeout=limit_s + LOAD_EXIT_TIMEOUT_S,
        check=True,
    )
    result: dict[str, Any] = json.loads(completed.stdout)
    return result
