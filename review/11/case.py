"""A worker starts again while the store is slow, and its new ends are acknowledged unseen."""

import asyncio
import os
import sys
from pathlib import Path

from aiohttp import web

from review.harness_3.scene import Scene, main
from soak.checks import find_double_runs
from soak.deployment import WorkerSite
from soak.events import RunKey
from soak.history import History
from soak.shapes import DeploymentShape, QueueShape
from soak.worker import Work

QUEUE = QueueShape("quick", 1, 1, 1, 1, 1, 1, max_attempts=3)
ZONES = ("north", "south")
SHAPE = DeploymentShape("restarts", ZONES, 3, 15, 16_000, 64_000, (QUEUE,), 1_000)
TASK_MS = 100
TASKS = 400
JOBS_AT_ONCE = 3
LEAD_S = 2.5
# The store answers in 4 ms, and 60 times as long for 4.5 s.
SLOW_S = 0.236
SLOW_FOR_S = 4.5
PAUSE_S = 2.5
ROUNDS = 11
# Workers that crash at once, 2 of 15, and how often others do in a time.
CRASHES = 2
TIMES = 2
DOWN_S = 0.15


def work_of(key: RunKey) -> Work:
    """Let each task take the same time."""
    return Work(TASK_MS)


class SlowStore:
    """Store whose answers take longer for a while."""

    def __init__(self, scene: Scene) -> None:
        self.delay_s = 0.0
        self._handle = scene.deployment.store.handle
        scene.deployment.store.handle = self.handle  # type: ignore[method-assign]

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer a call, later if the store is slow."""
        await asyncio.sleep(self.delay_s)
        return await self._handle(req)


def prepare(scene: Scene) -> None:
    """Put the slow store in the place of the store."""
    scene.store = SlowStore(scene)  # type: ignore[attr-defined]


async def play(scene: Scene) -> list[str]:
    """Return the tasks that ran twice."""
    await asyncio.sleep(LEAD_S)
    load = [asyncio.create_task(_submit_all(scene)) for _ in range(JOBS_AT_ONCE)]
    await asyncio.sleep(2)
    for number in range(ROUNDS):
        if scene.is_troubled:
            await _trouble(scene, number)
        else:
            await asyncio.sleep(SLOW_FOR_S)
        await asyncio.sleep(PAUSE_S)
    for task in load:
        task.cancel()
    await asyncio.sleep(2)
    # The other checks of the soak need to know which instances are in touch.
    breaches = [
        found
        for found in find_double_runs(History(scene.record.events))
        if found.text.startswith(("two runs at once", "started after an end"))
    ]
    return [f"{found.rule}: {found.text}" for found in breaches]


async def _submit_all(scene: Scene) -> None:
    """Submit one job after the other."""
    phase = {"count": TASKS, "cpu": 1_000, "memMb": 100, "estimatedMs": TASK_MS}
    while True:
        job = scene.new_job()
        await scene.submit(QUEUE, job, {"spec": "short tasks", "phases": [phase]})
        state = ""
        while state != "completed":
            await asyncio.sleep(0.5)
            status, data = await scene.call("GET", QUEUE.name, job)
            state = data["state"] if status == 200 else ""


async def _trouble(scene: Scene, number: int) -> None:
    """Let the store be slow, and workers crash and start again meanwhile."""
    store = scene.store  # type: ignore[attr-defined]
    store.delay_s = SLOW_S
    scene.note("the store is slow")
    began_s = asyncio.get_running_loop().time()
    sites = scene.deployment.sites
    for time in range(TIMES):
        first = (number * TIMES + time) * CRASHES
        chosen = [sites[(first + other) % len(sites)] for other in range(CRASHES)]
        await asyncio.gather(*(_crash(scene, site) for site in chosen))
    await asyncio.sleep(began_s + SLOW_FOR_S - asyncio.get_running_loop().time())
    store.delay_s = 0.0
    scene.note("the store is as usual")


async def _crash(scene: Scene, site: WorkerSite) -> None:
    await asyncio.sleep(scene.rng.uniform(0.5, SLOW_FOR_S / TIMES - DOWN_S - 0.2))
    worker = site.worker.life.worker
    await site.crash()
    scene.note(f"worker {worker} has crashed")
    await asyncio.sleep(DOWN_S)
    await site.restart(has_new_id=False)
    scene.note(f"worker {worker} has started again")
    _note_acknowledged(scene, site)


def _note_acknowledged(scene: Scene, site: WorkerSite) -> None:
    """Note the first number that a new life gets acknowledged."""
    worker, acknowledge = site.worker, site.worker._acknowledge

    def note(number: int, sender: str) -> None:
        if number:
            worker._acknowledge = acknowledge  # type: ignore[method-assign]
            scene.note(
                f"{worker.life.worker} gets acknowledged {number} from {sender}; the"
                f" last end of its new life is number {worker._end_count}"
            )
        acknowledge(number, sender)

    worker._acknowledge = note  # type: ignore[method-assign]


if __name__ == "__main__":
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Path(__file__).with_name("record.txt")
    sys.exit(main(SHAPE, work_of, play, is_troubled, record, prepare))
