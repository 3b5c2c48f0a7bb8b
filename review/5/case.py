"""A worker starts again under its id, as a worker of another kind."""

import asyncio
from pathlib import Path

from lab.lab import CannotRunError, main
from lab.worker import Work

WORKERS = 8
JOBS = 40
DOWN_S = 1.5
HEARTBEAT_DELAY_S = 0.8
WATCH_S = 6


async def play(lab, trouble):
    lab.configure({"rounds": {"priority": 0, "maxAttempts": 4}})
    faults = []

    def work(task, number, worker):
        if worker.labels[0] != "a":
            faults.append(f"{task} run {number} started on {worker.id} of {worker.labels}")
        return Work(2.0)

    lab.work = work
    workers = []
    for number in range(WORKERS):
        cpu = 24_000 if number == 0 else 16_000
        name = f"i-7f3a91{number:02d}"
        workers.append(await lab.add_worker(name, cpu, rack=f"r1-{number}", kind="a"))
    await lab.start()
    await asyncio.sleep(2)
    for number in range(JOBS):
        step = {
            "count": 8,
            "cpu": 2_000,
            "memMb": 256,
            "estimatedMs": 2_000,
            "requirements": "a",
        }
        job = f"{0xa000000000000000 + number:016x}"
        if not await lab.submit("rounds", job, [step], number):
            raise CannotRunError("a job was not accepted")
    await asyncio.sleep(1)
    worker = workers[0]
    if trouble:
        lab.record("disruption", f"{worker.id} crashes")
        worker.crash()
        await worker.runner.cleanup()
        await asyncio.sleep(DOWN_S)
        # Its entry changes with its next heartbeat, within the usual 1.1 s.
        worker.beat_task.cancel()
        worker.cpu = 16_000
        worker.labels[0] = "b"
        worker.restart()
        _, worker.runner = await lab.serve(worker.handle, worker.address)
        worker.beat_task = lab.spawn(worker.beat(HEARTBEAT_DELAY_S))
        lab.record("disruption", f"{worker.id} is back as {worker.entry()}")
    for _ in range(WATCH_S * 50):
        await asyncio.sleep(0.02)
        for each in workers:
            used = 2_000 * len(each.runs)
            if used > each.cpu:
                lab.record("over capacity", f"{each.id} has {each.cpu}, runs {used}")
    return faults


main(Path(__file__).parent, play)
