"""One run of the soak: a deployment, its load, its faults and the checks."""

import asyncio
import random
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from soak.checks import Breach, find_breaches
from soak.clients import Clients
from soak.deployment import Deployment
from soak.events import CalmEnded, Event, EventRecord, Millis, RunKey
from soak.faults import DEFAULT_KINDS, Fault, Injector, Plan
from soak.history import History, job_of
from soak.shapes import (
    ESTIMATE_SPREAD,
    FAILED_SHARE,
    SHAPES,
    TASK_SPREAD,
    DeploymentShape,
)
from soak.worker import Work

LEAD_S = 4.0
# A lease of 10 s, its restart, and the work that waits for it.
CALM_LIMIT_S = 40.0
MIN_CALM_S = 8.0


class RunPlan(NamedTuple):
    """What decides a run: the seed, the deployment, the load and the faults."""

    seed: int
    shape: str = "small"
    load: float = 1.0
    faults_s: float = 20.0
    gap_s: float = 0.8
    kinds: tuple[str, ...] = DEFAULT_KINDS

    def command(self) -> str:
        """Return the command that plays the run again."""
        return (
            f"python -m soak --seed {self.seed} --shape {self.shape}"
            f" --load {self.load:g} --faults-s {self.faults_s:g}"
            f" --gap-s {self.gap_s:g} --kinds {','.join(self.kinds)}"
        )


class RunResult(NamedTuple):
    """Outcome of a run with all that its record names."""

    plan: RunPlan
    faults: list[Fault]
    events: list[Event]
    breaches: list[Breach]
    logs: dict[str, str]
    lag_ms: Millis

    def summary(self) -> str:
        """Return the counts of the run in one line."""
        history = History(self.events)
        counts = dict(Counter(breach.rule for breach in self.breaches))
        return (
            f"seed {self.plan.seed} {self.plan.shape}: {len(history.accepted_ms())}"
            f" jobs, {len(history.runs)} runs, {len(self.faults)} faults,"
            f" stand-ins late by {self.lag_ms:.0f} ms, breaches {counts or 'none'}"
        )


def play(plan: RunPlan, take_ports: Callable[[int], list[int]]) -> RunResult:
    """Play a run and check it; all processes that it starts have ended."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return asyncio.run(_play(plan, take_ports, Path(folder)))


async def _play(
    plan: RunPlan, take_ports: Callable[[int], list[int]], folder: Path
) -> RunResult:
    shape, record = SHAPES[plan.shape], EventRecord()
    rng = random.Random(f"{plan.seed}/{plan.shape}")
    bodies: dict[str, dict[str, Any]] = {}
    work_of = _work_source(plan, shape, bodies)
    deployment = Deployment(
        shape, record, work_of, random.Random(rng.random()), take_ports, folder
    )
    clients = Clients(deployment, plan.load, random.Random(rng.random()), bodies)
    injector = Injector(deployment, random.Random(rng.random()))
    source = Plan(
        random.Random(rng.random()), shape.instances, shape.workers, plan.kinds
    )
    try:
        injector.configure(())
        await deployment.start()
        load = deployment.spawn(clients.run())
        start_ms = record.now_ms() + LEAD_S * 1_000
        end_ms = start_ms + plan.faults_s * 1_000
        faults = source.faults(start_ms, end_ms, plan.gap_s * 1_000)
        await injector.run(faults)
        load.cancel()
        await _calm_down(deployment, clients)
        ended = [i.name for i in deployment.instances if not i.process_id]
    finally:
        await clients.close()
        await deployment.close()
    breaches = find_breaches(History(record.events))
    now_ms = record.now_ms()
    breaches += [Breach("FAULT", now_ms, f"{name} ended by itself") for name in ended]
    logs = {i.name: i.log_path.read_text() for i in deployment.instances}
    return RunResult(plan, faults, record.events, breaches, logs, deployment.lag_ms)


async def _calm_down(deployment: Deployment, clients: Clients) -> None:
    """Wait until the jobs that end are over, and ask for the states of all."""
    record = deployment.record
    began_ms = record.now_ms()
    while clients.unfinished() or record.now_ms() < began_ms + MIN_CALM_S * 1_000:
        if record.now_ms() > began_ms + CALM_LIMIT_S * 1_000:
            break
        await asyncio.sleep(0.2)
    await clients.ask_all()
    record.add(CalmEnded(began_ms, record.now_ms()))


def _work_source(
    plan: RunPlan, shape: DeploymentShape, bodies: dict[str, dict[str, Any]]
) -> Callable[[RunKey], Work]:
    """Return a function that decides what a run does, by the seed and its name."""

    def work_of(key: RunKey) -> Work:
        body = bodies.get(job_of(key.task))
        step = int(key.task.split(".")[2])
        phases = body["phases"] if body else []
        phase = phases[step] if step < len(phases) else {}
        rng = random.Random(f"{plan.seed}/{key.task}")
        step_rng = random.Random(f"{plan.seed}/{job_of(key.task)}/{step}")
        factor = 1 + step_rng.uniform(-ESTIMATE_SPREAD, ESTIMATE_SPREAD)
        factor *= 1 + rng.uniform(-TASK_SPREAD, TASK_SPREAD)
        is_failed = random.Random(f"{plan.seed}/{key}").random() < FAILED_SHARE
        return Work(
            phase.get("estimatedMs", 1_000) * factor,
            "failed" if is_failed else "done",
            bool(phase.get("longRunning")),
            shape.checkpoint_ms if phase.get("checkpointing") else 0,
        )

    return work_of
