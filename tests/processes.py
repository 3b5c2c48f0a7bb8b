"""Starts and controls the platform, workers and instances for end-to-end tests."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from tests.builders import build_settings_data
from tests.ports import free_ports

DATA_CENTRES = ("kista", "huddinge", "arlanda")
START_LIMIT_S = 30.0
STOP_LIMIT_S = 30.0
POLL_S = 0.05
TIMING = {
    "heartbeat_ms": 500,
    "session_timeout_ms": 2_000,
    "scan_ms": 250,
    "lease_ms": 2_000,
    "watch_ms": 500,
    "drain_ms": 1_500,
}


class ReceivedReply(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


def http(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 15.0,
) -> ReceivedReply:
    req = urllib.request.Request(url, body, headers or {}, method=method)
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as response:
            return ReceivedReply(
                response.status, dict(response.headers), response.read()
            )
    except urllib.error.HTTPError as exc:
        return ReceivedReply(exc.code, dict(exc.headers), exc.read())


def wait_until(condition: Callable[[], bool], what: str) -> None:
    deadline_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(POLL_S)
    raise AssertionError(f"not reached in {START_LIMIT_S} s: {what}")


class ProcessSystem:
    """The platform, the workers and three entry instances as separate processes."""

    def __init__(self, folder: Path, command: Sequence[str]) -> None:
        self.folder = folder
        self.command = list(command)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        ports = free_ports(3 + 2 * len(DATA_CENTRES) + 4 * len(DATA_CENTRES))
        self.platform, self.control, self.worker_control = ports[:3]
        self.callers = dict(zip(DATA_CENTRES, ports[3:6], strict=True))
        self._peers = dict(zip(DATA_CENTRES, ports[6:9], strict=True))
        self._fleet = folder / "fleet.json"
        self._write_fleet()

    def _write_fleet(self) -> None:
        first = free_ports(4 * len(DATA_CENTRES))[0]
        local = {"host": "127.0.0.1"}
        fleet = {
            "name": "norrstrom",
            "platform": {**local, "port": self.platform},
            "platform_control": {**local, "port": self.control},
            "workers_control": {**local, "port": self.worker_control},
            "list_lag_ms": 300,
            "services": {
                "price-check": {"run_ms": 15, "idempotent": True},
                "banquet-offer": {"run_ms": 400, "idempotent": False},
            },
            "data_centres": [
                {
                    "name": name,
                    "links": {
                        other: {"one_way_ms": 3.5}
                        for other in DATA_CENTRES
                        if other != name
                    },
                    "workers": 4,
                    "first_port": first + 4 * number,
                    "host": "127.0.0.1",
                    "cores": 32,
                    "memory_gb": 125,
                }
                for number, name in enumerate(DATA_CENTRES)
            ],
        }
        self._fleet.write_text(json.dumps(fleet))

    def start(self, name: str, *arguments: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        with log:
            self.processes[name] = subprocess.Popen(
                [*self.command, *arguments],
                stderr=log,
                stdout=log,
                start_new_session=True,
            )

    def start_platform(self) -> None:
        self.start("platform", "standin", str(self._fleet), "--parts", "platform")

    def start_workers(self) -> None:
        self.start("workers", "standin", str(self._fleet), "--parts", "workers")

    def start_instance(self, data_centre: str) -> None:
        cfg = build_settings_data(
            instance=f"{data_centre}-1",
            data_centre=data_centre,
            callers={"host": "127.0.0.1", "port": self.callers[data_centre]},
            peers={"host": "127.0.0.1", "port": self._peers[data_centre]},
            platform={"host": "127.0.0.1", "port": self.platform},
            links={name: 3.5 for name in DATA_CENTRES if name != data_centre},
            timing=TIMING,
        )
        path = self.folder / f"{data_centre}.json"
        path.write_text(json.dumps(cfg))
        self.start(data_centre, "serve", str(path))

    def start_all(self, owner_of_all: str | None) -> None:
        """Start all processes; ``owner_of_all`` starts first and claims all shards."""
        self.start_platform()
        self.start_workers()
        first = [] if owner_of_all is None else [owner_of_all]
        for name in first:
            self.start_instance(name)
            self.wait_ready(name)
            self.wait_owned(name)
        for name in DATA_CENTRES:
            if name not in first:
                self.start_instance(name)
        for name in DATA_CENTRES:
            self.wait_ready(name)
        self.wait_owned(DATA_CENTRES[0])

    def wait_ready(self, name: str) -> None:
        wait_until(
            lambda: http("GET", self.url(name, "/v1/health/ready")).status == 200,
            f"{name} is ready",
        )

    def wait_owned(self, name: str) -> None:
        def is_owned() -> bool:
            view = http("GET", self.url(name, "/v1/workers")).json()["workers"]
            return bool(view) and all(row["owner"] != "none" for row in view)

        wait_until(is_owned, "every worker has an owner")

    def url(self, name: str, path: str) -> str:
        return f"http://127.0.0.1:{self.callers[name]}{path}"

    def signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(STOP_LIMIT_S)

    def audit(self) -> dict[str, Any]:
        url = f"http://127.0.0.1:{self.worker_control}/control/account?runs=1"
        account: dict[str, Any] = http("GET", url).json()
        return account

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()


@contextmanager
def running_system(
    folder: Path, owner_of_all: str | None = None
) -> Iterator[ProcessSystem]:
    system = ProcessSystem(folder, [sys.executable, "-m", "hyssopweir"])
    try:
        system.start_all(owner_of_all)
        yield system
    finally:
        system.close()
