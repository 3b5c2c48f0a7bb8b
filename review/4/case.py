"""One cell is full; in the other one, a job waits for a worker that was lost for good."""

import asyncio
import json
import zlib
from pathlib import Path

from lab.lab import CannotRunError, main
from lab.worker import Work

WORKERS = 56
RACK = 8
CPU = 4_000
TASK_CPU = 2_000
PLAIN_JOBS = 6
FINISH_S = 14
IDLE_S = 3


def jobs_of_cell(cell, cells, first):
    """Return ids of jobs that the product assigns to a cell."""
    ids = (f"{first + number:016x}" for number in range(1_000))
    return [job for job in ids if zlib.crc32(job.encode()) % cells == cell]


async def play(lab, trouble):
    lab.configure(
        {
            "bookings": {"priority": 0, "maxAttempts": 2},
            "colours": {"priority": 2, "maxAttempts": 4},
        }
    )
    lasting = 0x5C0E7A21D94B0000

    def work(task, number, worker):
        is_lasting = task.startswith(f"{lasting >> 16:012x}")
        return Work(1e9, lasts=True) if is_lasting else Work(0.8)

    lab.work = work
    for number in range(WORKERS):
        rack = f"r1-{number // RACK}"
        # Only the first worker is of the kind that one job needs.
        kind = "a" if number else "b"
        await lab.add_worker(f"i-7f3a91{number:02d}", CPU, rack=rack, kind=kind)
    await lab.start()
    await asyncio.sleep(2)
    layout = json.loads(lab.store.get("layouts", "", "cells"))
    lab.record("layout", str(layout))
    if layout["cells"] != 2:
        raise CannotRunError("there are not two cells")
    by_cell = [
        [w for w in lab.workers if layout["racks"][w.labels[1]] == n] for n in (0, 1)
    ]
    full = min((0, 1), key=lambda cell: len(by_cell[cell]))
    other = 1 - full
    special = lab.workers[0]
    if special not in by_cell[other]:
        raise CannotRunError("the worker of the other kind is in the smaller cell")
    step = {
        "count": len(by_cell[full]) * CPU // TASK_CPU,
        "cpu": TASK_CPU,
        "memMb": 256,
        "estimatedMs": 300,
        "longRunning": True,
    }
    if not await lab.submit("bookings", jobs_of_cell(full, 2, lasting)[0], [step]):
        raise CannotRunError("the lasting job was not accepted")
    await lab.wait_running(step["count"])
    await asyncio.sleep(1)
    if trouble:
        lab.record("disruption", f"{special.id} is lost for good")
        special.crash()
        await special.runner.cleanup()
        await asyncio.sleep(3.3)
        lab.store.drop("servers", special.id)
        await asyncio.sleep(1)
    step = {"count": 1, "cpu": 1_000, "memMb": 256, "estimatedMs": 800, "requirements": "b"}
    waiting = jobs_of_cell(other, 2, 0xB000000000000000)[0]
    if not await lab.submit("bookings", waiting, [step]):
        raise CannotRunError("a job was not accepted")
    await asyncio.sleep(1)
    plain = jobs_of_cell(full, 2, 0xA000000000000000)[:PLAIN_JOBS]
    for number, job in enumerate(plain):
        step = {"count": 1, "cpu": 1_000, "memMb": 256, "estimatedMs": 800}
        if not await lab.submit("colours", job, [step], number):
            raise CannotRunError("a job was not accepted")
    await asyncio.sleep(FINISH_S + IDLE_S)
    started = {task.split(".")[0] for _, _, task, _ in lab.starts}
    idle = sum(worker.is_up and not worker.runs for worker in lab.workers)
    faults = []
    for number, job in enumerate(plain):
        state = await lab.state("colours", job, number)
        if job not in started:
            faults.append(
                f"job {job} is {state} and has had no run for {FINISH_S + IDLE_S} s, "
                f"while {idle} workers are idle"
            )
    return faults


main(Path(__file__).parent, play)
