"""A rack is lost for good while jobs wait whose label only its worker has."""

import asyncio
from pathlib import Path

from lab.lab import CannotRunError, main
from lab.worker import Work

LABELLED_JOBS = 30
PLAIN_JOBS = 10
FINISH_S = 14
IDLE_S = 3


async def play(lab, trouble):
    lab.configure(
        {
            "plans": {"priority": 0, "maxAttempts": 3},
            "colours": {"priority": 2, "maxAttempts": 4},
        }
    )
    lab.work = lambda task, number, worker: Work(0.8)
    workers = []
    for number in range(8):
        kind = "b" if number == 7 else "a"
        name = f"i-7f3a91{number:02d}"
        workers.append(await lab.add_worker(name, 16_000, rack=f"r1-{number}", kind=kind))
    await lab.start()
    await asyncio.sleep(2)
    if trouble:
        lab.record("disruption", f"{workers[7].id} is lost for good")
        workers[7].crash()
        await workers[7].runner.cleanup()
        # Its entry is removed after three heartbeat intervals of silence.
        await asyncio.sleep(3.3)
        lab.store.drop("servers", workers[7].id)
        await asyncio.sleep(1)
    for number in range(LABELLED_JOBS):
        step = {
            "count": 1,
            "cpu": 500 + 10 * number,
            "memMb": 256,
            "estimatedMs": 800,
            "requirements": "b",
        }
        job = f"{0xb000000000000000 + number:016x}"
        if not await lab.submit("plans", job, [step], number):
            raise CannotRunError("a job was not accepted")
    await asyncio.sleep(1)
    plain = [f"{0xa000000000000000 + number:016x}" for number in range(PLAIN_JOBS)]
    for number, job in enumerate(plain):
        step = {"count": 1, "cpu": 1_000, "memMb": 256, "estimatedMs": 800}
        if not await lab.submit("colours", job, [step], number):
            raise CannotRunError("a job was not accepted")
    # The rule is judged from finish_s after the last submission on, for 3 s.
    await asyncio.sleep(FINISH_S + IDLE_S)
    started = {task.split(".")[0] for _, _, task, _ in lab.starts}
    faults = []
    for number, job in enumerate(plain):
        state = await lab.state("colours", job, number)
        if job not in started:
            faults.append(
                f"job {job} is {state}, has had no run for {FINISH_S + IDLE_S} s, and "
                "7 idle workers of 16 cores fit its task of 1 core"
            )
    return faults


main(Path(__file__).parent, play)
