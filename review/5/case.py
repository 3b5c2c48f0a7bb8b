"""The worker that a queue's jobs need is unhealthy and refuses all starts."""

import asyncio
from pathlib import Path

from lab.lab import CannotRunError, main
from lab.worker import Work

WORKERS = 12
JOBS = 10
SICK_S = 6.5
VISIBLE_S = 3


async def play(lab, trouble):
    lab.configure({"plans": {"priority": 0, "maxAttempts": 3}})
    lab.work = lambda task, number, worker: Work(0.5)
    for number in range(WORKERS):
        kind = "b" if number == 0 else "a"
        name = f"i-7f3a91{number:02d}"
        await lab.add_worker(name, 16_000, rack=f"r1-{number}", kind=kind)
    await lab.start()
    await asyncio.sleep(3)
    worker = lab.workers[0]
    if trouble:
        lab.record("disruption", f"{worker.id} refuses starts with 503")
        worker.is_unhealthy = True
    for number in range(JOBS):
        step = {
            "count": 1,
            "cpu": 1_000,
            "memMb": 256,
            "estimatedMs": 500,
            "requirements": "b",
        }
        job = f"{0xb000000000000000 + number:016x}"
        if not await lab.submit("plans", job, [step], number):
            raise CannotRunError("a job was not accepted")
    await asyncio.sleep(VISIBLE_S + 2.1)
    started = {task.split(".")[0] for _, _, task, _ in lab.starts}
    waiting = JOBS - len(started)
    faults = []
    for number in range(len(lab.instances)):
        status, data = await lab.call("GET", "/plans/", None, number)
        lab.record("client", f"GET plans/ -> {status} {data}, {waiting} not begun")
        if status == 200 and data["pendingJobs"] < waiting / 2:
            faults.append(f"{data['pendingJobs']} pending, though {waiting} haven't begun")
    worker.is_unhealthy = False
    return faults


main(Path(__file__).parent, play)
