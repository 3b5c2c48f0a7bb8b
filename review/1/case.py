"""Many short tasks end on workers while the store is away."""

import asyncio
from pathlib import Path

from lab.lab import CannotRunError, find_double_runs, main
from lab.worker import Work

TASKS = 700
OUTAGE_S = 4.2


async def play(lab, trouble):
    lab.configure({"rounds": {"maxAttempts": 4, "priority": 0}})
    # The tasks end between 2 and 4 s after their start, within the outage.
    lab.work = lambda task, number, worker: Work(
        2.5 + int(task.rsplit(".", 1)[1]) % 100 / 50
    )
    await lab.add_worker("i-1a2b3c4d", 16_000, rack="r1-1")
    await lab.start()
    await asyncio.sleep(2)
    step = {"count": TASKS // 2, "cpu": 20, "memMb": 10, "estimatedMs": 3_000}
    jobs = ["5c0e7a21d94b36f8", "5c0e7a21d94b36f9"]
    for number, job in enumerate(jobs):
        if not await lab.submit("rounds", job, [step], number):
            raise CannotRunError("a job was not accepted")
    for _ in range(100):
        await asyncio.sleep(0.1)
        if len(lab.starts) >= TASKS:
            break
    else:
        raise CannotRunError(f"only {len(lab.starts)} tasks were started")
    lab.record("started", f"{len(lab.starts)} tasks")
    if trouble:
        lab.store.is_down = True
        lab.record("disruption", "the store is down, silent")
        await asyncio.sleep(OUTAGE_S)
        lab.store.is_down = False
        lab.record("disruption", "the store is back")
    for _ in range(400):
        await asyncio.sleep(0.1)
        states = [await lab.state("rounds", job) for job in jobs]
        if states == ["completed"] * len(jobs):
            break
    lab.record("states", str(states))
    await asyncio.sleep(1)
    return find_double_runs(lab)


main(Path(__file__).parent, play)
