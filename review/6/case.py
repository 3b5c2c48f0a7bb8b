"""A lasting job is given up after its tasks have failed on many workers."""

import asyncio
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from review.harness_2.deployment import (
    BROKEN,
    HELD,
    Deployment,
    has_trouble,
    machine_shape,
    run_case,
)
from soak.events import RunEnded, RunStarted
from soak.worker import Work

FOLDER = Path(__file__).parent
# One cell, and the widest lasting job of the site.
WORKERS, RACK_WORKERS = 50, 12
TASKS = 48
# An id of 36 characters, as a UUID has.
ID_FORMAT = "{:08x}-5c0e-47a2-8d94-b36f8a1c7e05"
# A run fails after this time, long after its startup.
FAILS_AFTER_MS = 400
WATCH_S, CALM_S = 30.0, 12.0
PHASE = {
    "count": TASKS,
    "cpu": 3_200,
    "memMb": 6_400,
    "estimatedMs": 320,
    "longRunning": True,
}


async def play(folder: Path) -> int:
    """Let lasting tasks fail, one run after the other, and ask for the job."""
    bodies: dict[str, dict[str, Any]] = {}
    shapes = [machine_shape(n, f"r1-{n // RACK_WORKERS}") for n in range(WORKERS)]
    deployment = Deployment(
        "lasting",
        3,
        shapes,
        {"hire": {}},
        lambda _: Work(1_000, "done", True),
        id_format=ID_FORMAT,
    )

    async def fail_runs() -> None:
        while True:
            now_ms = deployment.record.now_ms()
            for machine in deployment.machines:
                for run in list(machine.worker.runs.values()):
                    if now_ms - run.started_ms > FAILS_AFTER_MS:
                        machine.worker._end(run, "failed")
            await asyncio.sleep(0.05)

    verdict, status = "could not run", BROKEN
    try:
        await deployment.start()
        job = deployment.job_in(0, 1)
        bodies[job] = {"spec": "watch", "phases": [PHASE]}
        if not await deployment.submit("hire", job, bodies[job]):
            raise RuntimeError("the job was not accepted")
        await asyncio.sleep(3)
        failing = deployment.spawn(fail_runs()) if has_trouble() else None
        state = ""
        began_s = deployment.now_s()
        while state != "failed" and deployment.now_s() < began_s + WATCH_S:
            await asyncio.sleep(1)
            state = await deployment.state("hire", job)
        if failing is not None:
            failing.cancel()
            deployment.note("no task fails any more")
        await asyncio.sleep(CALM_S)
        state = await deployment.state("hire", job)
        now_s = deployment.now_s()
        names = [f"{job}.0.0.{number}" for number in range(TASKS)]
        away = [
            name for name in names if not deployment.has_run(name, now_s - 3, now_s)
        ]
        ends = Counter(
            event.run.task
            for event in deployment.record.events
            if isinstance(event, RunEnded) and event.how == "failed"
        )
        workers = {
            event.life.worker
            for event in deployment.record.events
            if isinstance(event, RunStarted)
        }
        room, in_use = deployment.room_for(PHASE, bodies), deployment.share_in_use(
            bodies
        )
        # A lasting task has no limit of attempts, so that nothing excuses the state.
        is_lost = state == "failed" or (len(away) > 0 and room >= 2)
        status = BROKEN if is_lost else HELD
        verdict = (
            f"the lasting job is {state}; {CALM_S:.0f} s after the last failure"
            f" {len(away)} of {TASKS} tasks aren't at work, with room for {room} more"
            f" and {100 * in_use:.0f}% of the processors in use; each task had failed"
            f" {min(ends.values(), default=0)} to {max(ends.values(), default=0)}"
            f" times, on {len(workers)} workers"
        )
        print(verdict)
    finally:
        await deployment.close()
        deployment.write_record(folder / "record.txt", verdict)
    return status


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
