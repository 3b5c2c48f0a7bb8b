"""Instances of the product as processes of their own."""

import asyncio
import ctypes
import json
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from soak.proxy import HOST, Address

ROOT = Path(__file__).resolve().parents[1]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
STOP_LIMIT_S = 6
EVACUATION_LIMIT_MS = 5_000
# Option of prctl that sends a signal to a process when its parent ends.
PARENT_DEATH_SIGNAL = 1
LIBC = ctypes.CDLL(None)


def _end_with_parent() -> None:
    LIBC.prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)


class Instance:
    """Process of the product, started by the command of the deploy file."""

    def __init__(
        self, name: str, zone: str, ports: list[int], store: Address, folder: Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.port, self.ready_port, self.metrics_port = ports
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.json"
        self._settings_path.write_text(json.dumps(self._settings(store)))
        self.process: subprocess.Popen[bytes] | None = None

    def _settings(self, store: Address) -> dict[str, object]:
        return {
            "instance": self.name,
            "data_centre": self.zone,
            "callers": f"{HOST}:{self.port}",
            "readiness": f"{HOST}:{self.ready_port}",
            "metrics_port": self.metrics_port,
            "store": f"{store[0]}:{store[1]}",
            "store_writes_per_second": 600,
            "processors": 2,
            "processor_share": 0.537,
            "link_mbps": 1_000.0,
            "longest_lease_ms": 10_000,
            "evacuation_limit_ms": EVACUATION_LIMIT_MS,
            "keep_s": 120,
            "stop_limit_s": STOP_LIMIT_S,
        }

    @property
    def process_id(self) -> int:
        """Return the id of the process, 0 if it isn't there."""
        is_there = self.process is not None and self.process.poll() is None
        return self.process.pid if self.process is not None and is_there else 0

    def start(self) -> None:
        """Start the process; its log goes on where the one before it ended."""
        role = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["entry"]
        env = {
            "PATH": os.environ["PATH"],
            "HYSSOPWEIR_NODE_FILE": str(self._settings_path),
            **role["env"],
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                # The interpreter at hand has the libraries, also without a build.
                [sys.executable, *role["run"].split()[1:]],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_end_with_parent,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process and wait for its end."""
        if self.process is None:
            return
        self.send(signal.SIGKILL)
        self.process.wait()

    async def stop(self) -> None:
        """Ask the process to stop, and end it after the time that it has for that."""
        self.send(signal.SIGTERM)
        until_s = time.monotonic() + STOP_LIMIT_S
        while self.process_id and time.monotonic() < until_s:
            await asyncio.sleep(0.05)
        self.kill()
