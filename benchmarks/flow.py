"""Cost of each request, key record and task start on a whole instance with fakes.

The stand-in workers, the stand-in table and the timers of virtual time run in the same
process, so the times are upper bounds; the memory includes the run at the worker.
"""

import asyncio
import gc
import json
import time
import tracemalloc
from collections.abc import Sequence
from typing import NamedTuple

from benchmarks.simulation import LONG_MS, BenchmarkSimulation
from benchmarks.slopes import Point, Slope
from tests.builders import build_job
from tests.virtual_time import run_virtual

TASKS_PER_JOB = 50
WATCHED_MS = 20_000


class KeyRecordCost(NamedTuple):
    """Hold what one key record takes at the table service."""

    commits: float
    reads: float
    row_bytes: int


class StartCost(NamedTuple):
    """Hold what a task takes at the table service from submission to its end."""

    commits: float
    rows_written: float


class TableCalls(NamedTuple):
    """Hold the calls of an instance whose work does not change, each second."""

    workers: int
    shards: int
    tasks: int
    reads_s: float
    commits_s: float


def measure_table_calls(
    workers: Sequence[int], tasks_per_shard: int
) -> list[TableCalls]:
    """Count the calls of the table service while tasks run undisturbed."""
    return [
        run_virtual(_table_calls(count, tasks))
        for count in workers
        for tasks in (0, tasks_per_shard)
    ]


async def _table_calls(workers: int, tasks_per_shard: int) -> TableCalls:
    world = BenchmarkSimulation(workers)
    await world.start()
    shards = len(world.parts.fleet.shards())
    count = shards * tasks_per_shard
    for number in range(count):
        spec = build_job(f"job-{number}", tasks=1, run_ms=LONG_MS)
        (await world.parts.jobs.submit(spec, "buyer")).unwrap()
    started = world.fleet.audit.task_runs
    await world.until(lambda: len(started) == count)
    await world.clock.sleep_ms(WATCHED_MS)
    reads, commits = world.table.reads, world.table.commits
    await world.clock.sleep_ms(WATCHED_MS)
    seconds = WATCHED_MS / 1_000
    made = world.table.commits - commits
    read = world.table.reads - reads
    await world.stop()
    return TableCalls(workers, shards, count, read / seconds, made / seconds)


def measure_in_flight(counts: Sequence[int], workers: int) -> Slope:
    """Measure the memory of ``count`` requests that are in progress at once."""
    return Slope(
        "request in flight",
        [run_virtual(_in_flight(count, workers)) for count in counts],
    )


async def _in_flight(count: int, workers: int) -> Point:
    world = BenchmarkSimulation(workers)
    await world.start()
    world.run_requests_for(LONG_MS)
    handle = world.parts.forwarder.handle
    requests = [world.request(number) for number in range(count)]
    gc.collect()
    tracemalloc.start()
    calls = [asyncio.create_task(handle(req)) for req in requests]
    await world.clock.sleep_ms(20)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    await world.stop()
    return Point(count, size, 0)


def measure_requests(counts: Sequence[int], workers: int, keyed: bool) -> Slope:
    """Measure the time of ``count`` requests to the recorded answer."""
    name = "keyed request, answered" if keyed else "idempotent request, answered"
    return Slope(
        name, [run_virtual(_requests(count, workers, keyed)) for count in counts]
    )


async def _requests(count: int, workers: int, keyed: bool) -> Point:
    world = BenchmarkSimulation(workers)
    await world.start()
    world.run_requests_for(0)
    started_ns = time.process_time_ns()
    for number in range(count):
        await _send(world, number, keyed)
    us = (time.process_time_ns() - started_ns) / 1_000
    await world.stop()
    return Point(count, 0, us)


async def _send(world: BenchmarkSimulation, number: int, keyed: bool) -> None:
    fields = {"service": "banquet-offer", "key": f"k{number}"} if keyed else {}
    req = world.request(number, idempotent=not keyed, **fields)
    (await world.parts.forwarder.handle(req)).unwrap()


def measure_key_record(count: int) -> KeyRecordCost:
    """Count the calls of the table service for each key record."""

    async def run() -> KeyRecordCost:
        world = BenchmarkSimulation(8)
        await world.start()
        world.run_requests_for(0)
        commits, reads = world.table.commits, world.table.reads
        for number in range(count):
            await _send(world, number, keyed=True)
        row = world.table.read("keys/planner/k0")
        assert row is not None
        made = world.table.commits - commits
        read = world.table.reads - reads
        await world.stop()
        return KeyRecordCost(made / count, read / count, len(json.dumps(row.value)))

    return run_virtual(run())


def measure_starts(counts: Sequence[int], workers: int) -> tuple[Slope, StartCost]:
    """Measure tasks from submission to their recorded end."""
    points: list[Point] = []
    cost = StartCost(0.0, 0.0)
    for count in counts:
        point, cost = run_virtual(_starts(count, workers))
        points.append(point)
    return Slope("task from submission to its end", points), cost


async def _starts(count: int, workers: int) -> tuple[Point, StartCost]:
    world = BenchmarkSimulation(workers)
    await world.start()
    commits, rows = world.table.commits, world.table.rows_written
    started_ns, began_ms = time.process_time_ns(), world.clock.now_ms()
    for first in range(0, count, TASKS_PER_JOB):
        tasks = min(TASKS_PER_JOB, count - first)
        spec = build_job(f"job-{first}", tasks=tasks, run_ms=500)
        (await world.parts.jobs.submit(spec, "buyer")).unwrap()
    done = world.fleet.audit.tasks_done
    await world.until(lambda: len(done) == count)
    await world.until(lambda: not world.table.scan("queue/", "", 1))
    us = (time.process_time_ns() - started_ns) / 1_000
    beats = (world.clock.now_ms() - began_ms) / 1_000
    made = world.table.commits - commits - beats
    written = world.table.rows_written - rows - beats
    await world.stop()
    return Point(count, 0, us), StartCost(made / count, written / count)
