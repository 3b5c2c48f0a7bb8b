"""Small deployment of real processes with stand-ins of the project's soak.

The store, the workers and the proxies are those of ``soak``; this module adds clients
that send a given body, a record of what the sockets show, and the exit status.
"""

import asyncio
import json
import logging
import os
import random
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp

import soak.deployment
from soak.clients import DEADLINE_MS
from soak.deployment import Deployment
from soak.events import EventRecord, JobSent, RunKey
from soak.faults import OPERATOR_TABLE
from soak.instances import DEPLOY_FILE, ROOT, Instance, _end_with_parent
from soak.proxy import HOST
from soak.shapes import HOST_NAME, DeploymentShape, QueueShape, configuration
from soak.worker import Work
from tests.ports import free_ports

BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_S = 110


class BuiltInstance(Instance):
    """Instance that runs with the libraries of the deploy file's build."""

    def start(self) -> None:
        """Start the process with the command and the folder of the deploy file."""
        role = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["entry"]
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HYSSOPWEIR_NODE_FILE": str(self._settings_path),
            **role["env"],
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_end_with_parent,
            )


# The deployment of the soak starts its instances with the interpreter at hand.
soak.deployment.Instance = BuiltInstance  # type: ignore[misc]


class Scene:
    """A running deployment, its clients and the lines of its record."""

    def __init__(
        self,
        shape: DeploymentShape,
        work_of: Callable[[RunKey], Work],
        folder: Path,
        is_troubled: bool,
    ) -> None:
        self.is_troubled = is_troubled
        self.record = EventRecord()
        self.rng = random.Random(os.environ.get("SEED", str(time.time_ns())))
        self.deployment = Deployment(
            shape, self.record, work_of, self.rng, free_ports, folder
        )
        self.lines: list[tuple[float, str]] = []
        self.session: aiohttp.ClientSession | None = None

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((self.record.now_ms(), text))

    async def start(self) -> None:
        """Write the configuration, start all processes and wait until they are ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(DEADLINE_MS / 1_000 + 0.5),
        )
        shape = self.deployment.shape
        data = configuration(shape, 7, ())
        self.deployment.store.put(OPERATOR_TABLE, "config", data)
        await self.deployment.start()

    async def close(self) -> None:
        """End all that was started."""
        if self.session is not None:
            await self.session.close()
        await self.deployment.close()

    async def call(
        self,
        method: str,
        queue: str,
        job: str,
        body: Any = None,
        instance: Instance | None = None,
    ) -> tuple[int, Any]:
        """Send a client's request; return the status, 0 without a response."""
        assert self.session is not None
        instance = instance or self.rng.choice(self.deployment.instances)
        sent_ms, status, data = self.record.now_ms(), 0, None
        try:
            async with self.session.request(
                method,
                f"http://{HOST}:{instance.port}/{queue}/{job}",
                json=body,
                headers={"Host": HOST_NAME, "Deadline-Ms": str(DEADLINE_MS)},
            ) as response:
                text = await response.text()
                status, data = response.status, json.loads(text or "null")
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            data = repr(exc)
        took_ms = self.record.now_ms() - sent_ms
        what = "" if body is None else f" {json.dumps(body)[:200]}"
        self.note(
            f"{method} /{queue}/{job}{what} at {instance.name}:"
            f" {status} {json.dumps(data)[:120]} after {took_ms:.0f} ms"
        )
        return status, data

    async def submit(self, queue: QueueShape, job: str, body: dict[str, Any]) -> bool:
        """Submit a job with the retries of a client; return whether it was accepted."""
        attempts = queue.max_attempts
        sent = JobSent(self.record.now_ms(), job, queue.name, attempts, body)
        self.record.add(sent)
        for _ in range(5):
            status, _ = await self.call("POST", queue.name, job, body)
            if status == 200:
                return True
            await asyncio.sleep(0.4)
        return False

    def new_job(self) -> str:
        """Return a new id of a job."""
        return f"{self.rng.randrange(16**16):016x}"


def record_text(scene: Scene, verdict: str) -> str:
    """Return what was sent, answered and run, in the order of time, and the verdict."""
    names = {"ClientCall", "JobSent"}
    events = [
        (event.at_ms, f"{type(event).__name__} {tuple(event)[1:]}")
        for event in scene.record.events
        if type(event).__name__ not in names
    ]
    rows = sorted([*scene.lines, *events], key=lambda row: row[0])
    text = "".join(f"{at_ms / 1_000:9.3f} {line}\n" for at_ms, line in rows)
    return f"{text}{verdict}\n"


def main(
    shape: DeploymentShape,
    work_of: Callable[[RunKey], Work],
    play: Callable[[Scene], Awaitable[list[str]]],
    is_troubled: bool,
    record: Path,
    prepare: Callable[[Scene], None] = lambda scene: None,
) -> int:
    """Play a case; return 1 if a rule was broken, 0 if it held, 2 if it couldn't run."""

    # The servers of the stand-ins log each connection that breaks while they read.
    logging.disable(logging.CRITICAL)

    async def run(folder: Path) -> int:
        scene = Scene(shape, work_of, folder, is_troubled)
        status, verdict = NOT_RUN, "the case couldn't run"
        try:
            async with asyncio.timeout(LIMIT_S):
                prepare(scene)
                await scene.start()
                breaches = await play(scene)
            status = BROKEN if breaches else HELD
            verdict = "\n".join(breaches) or "the rule held"
        except Exception as exc:
            # Only a rule that was seen to be broken ends with 1.
            verdict = f"the case couldn't run: {exc!r}"
        finally:
            await scene.close()
            record.write_text(record_text(scene, verdict))
        print(verdict)
        return status

    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        return asyncio.run(run(Path(folder)))
