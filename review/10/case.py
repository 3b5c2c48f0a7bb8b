"""Lasting tasks that fail at the same time stay away, as all workers are ejected."""

import asyncio
import sys
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
from soak.worker import Work

FOLDER = Path(__file__).parent
WORKERS, RACK_WORKERS, JOBS = 6, 3, 2
ROUNDS, AT_WORK_S, WATCH_S = 3, 3.0, 16.0
AFTER_RUN_S, IDLE_S = 6.0, 3.0
PHASE = {
    "count": WORKERS,
    "cpu": 3_200,
    "memMb": 6_400,
    "estimatedMs": 320,
    "longRunning": True,
    "antiAffinity": 1,
}


async def play(folder: Path) -> int:
    """Let all lasting tasks fail at the same time, three times."""
    bodies: dict[str, dict[str, Any]] = {}
    shapes = [machine_shape(n, f"r1-{n // RACK_WORKERS}") for n in range(WORKERS)]
    deployment = Deployment(
        "lasting", 3, shapes, {"hire": {}}, lambda _: Work(1_000, "done", True)
    )

    def count_at_work() -> int:
        return sum(len(machine.worker.runs) for machine in deployment.machines)

    def fail_all() -> None:
        deployment.note("all tasks fail")
        for machine in deployment.machines:
            for run in list(machine.worker.runs.values()):
                machine.worker._end(run, "failed")

    verdict, status = "could not run", BROKEN
    try:
        await deployment.start()
        for _ in range(JOBS):
            job = deployment.job_in(0, 1)
            bodies[job] = {"spec": "watch", "phases": [PHASE]}
            if not await deployment.submit("hire", job, bodies[job]):
                raise RuntimeError("a job was not accepted")
        gaps = []
        for _ in range(ROUNDS):
            await asyncio.sleep(AT_WORK_S)
            if count_at_work() != WORKERS * JOBS:
                raise RuntimeError("not all tasks are at work")
            failed_s = deployment.now_s()
            if has_trouble():
                fail_all()
            room = deployment.room_for(PHASE, bodies)
            while (gap_s := deployment.now_s() - failed_s) < WATCH_S:
                if count_at_work() == WORKERS * JOBS:
                    break
                await asyncio.sleep(0.05)
            gaps.append(round(gap_s, 1))
        # Within this time after its last run, a lasting task has to be at work again.
        is_lost = max(gaps) > AFTER_RUN_S + IDLE_S and room >= 2 * WORKERS * JOBS
        status = BROKEN if is_lost else HELD
        verdict = (
            f"seconds until all {WORKERS * JOBS} lasting tasks were at work again,"
            f" after each time that all failed: {gaps}; room for {room} such tasks"
            " meanwhile"
        )
        print(verdict)
    finally:
        await deployment.close()
        deployment.write_record(folder / "record.txt", verdict)
    return status


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
