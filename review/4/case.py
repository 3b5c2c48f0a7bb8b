"""Workers fail all that they start, one worker at a time; a large lasting job runs."""

import asyncio
from pathlib import Path

from lab.lab import CannotRunError, main
from lab.worker import Work

WORKERS = 12
TASKS = 600
JOB = "5c0e7a21d94b36f8"
LIMIT_S = 92
SICK_S = 4.0


class Sickness:
    """Makes one worker fail all its runs, those that it has and those that it starts."""

    def __init__(self, lab):
        self.lab = lab
        self.worker = None

    def work(self, task, number, worker):
        if worker is self.worker:
            return Work(0.5, "failed", lasts=True)
        return Work(1e9, lasts=True)

    async def go_around(self):
        while True:
            self.worker = max(self.lab.workers, key=lambda worker: len(worker.runs))
            count = len(self.worker.runs)
            self.lab.record("disruption", f"{self.worker.id} fails {count} runs")
            loop = asyncio.get_running_loop()
            for number, run in enumerate(list(self.worker.runs.values())):
                loop.call_later(0.5 + number / 200, self.worker._end, run, "failed")
            await asyncio.sleep(SICK_S)


async def play(lab, trouble):
    lab.configure({"bookings": {"priority": 0, "maxAttempts": 2}})
    lab.checkpoints = True
    sickness = Sickness(lab)
    lab.work = sickness.work
    for number in range(WORKERS):
        await lab.add_worker(f"i-7f3a91{number:02d}", 16_000, rack=f"r1-{number}")
    await lab.start()
    await asyncio.sleep(2)
    step = {
        "count": TASKS,
        "cpu": 100,
        "memMb": 64,
        "estimatedMs": 300,
        "longRunning": True,
        "checkpointing": True,
    }
    if not await lab.submit("bookings", JOB, [step]):
        raise CannotRunError("the job was not accepted")
    await asyncio.sleep(3)
    if trouble:
        lab.spawn(sickness.go_around())
    for second in range(LIMIT_S if trouble else 30):
        await asyncio.sleep(1)
        state = await lab.state("bookings", JOB, second)
        failed = sum(how == "failed" for *_, how in lab.ends)
        row = lab.store.get("progress", "c0", JOB) or b""
        text = f"GET {JOB} -> {state}, {failed} runs have failed, row of {len(row)} bytes"
        lab.record("client", text)
        if state in ("failed", "cancelled", "completed"):
            return [f"the lasting job is shown as {state} after {failed} failed runs"]
    return []


main(Path(__file__).parent, play)
