"""Cost of a request, a key record and a task start on an instance with fake adapters.

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
OBSERVATION_MS = 20_000


class KeyRecordCost(NamedTuple):
    """Table-service calls and row size of one key record."""

    commits: float
    reads: float
    row_bytes: int


class StartCost(NamedTuple):
    """Table-service writes of a task from its submission to its end."""

    commits: float
    rows_written: float


class TableCalls(NamedTuple):
    """Table-service calls per second of an instance whose work doesn't change."""

    workers: int
    shards: int
    tasks: int
    reads_s: float
    commits_s: float


def measure_table_calls(
    workers: Sequence[int], tasks_per_shard: int
) -> list[TableCalls]:
    """Count the table-service calls per second, without tasks and while tasks run."""
    return [
        run_virtual(_measure_table_calls_at(count, tasks))
        for count in workers
        for tasks in (0, tasks_per_shard)
    ]


async def _measure_table_calls_at(workers: int, tasks_per_shard: int) -> TableCalls:
    simulation = BenchmarkSimulation(workers)
    await simulation.start()
    shards = len(simulation.parts.fleet.shards())
    count = shards * tasks_per_shard
    for number in range(count):
        spec = build_job(f"job-{number}", tasks=1, run_ms=LONG_MS)
        (await simulation.parts.jobs.submit(spec, "buyer")).unwrap()
    task_runs = simulation.fleet.audit.task_runs
    await simulation.until(lambda: len(task_runs) == count)
    await simulation.clock.sleep_ms(OBSERVATION_MS)
    reads, commits = simulation.table.reads, simulation.table.commits
    await simulation.clock.sleep_ms(OBSERVATION_MS)
    seconds = OBSERVATION_MS / 1_000
    commit_count = simulation.table.commits - commits
    read_count = simulation.table.reads - reads
    await simulation.stop()
    return TableCalls(
        workers, shards, count, read_count / seconds, commit_count / seconds
    )


def measure_in_flight(counts: Sequence[int], workers: int) -> Slope:
    """Measure the memory of ``count`` concurrent requests."""
    return Slope(
        "request in flight",
        [run_virtual(_measure_in_flight_at(count, workers)) for count in counts],
    )


async def _measure_in_flight_at(count: int, workers: int) -> Point:
    simulation = BenchmarkSimulation(workers)
    await simulation.start()
    simulation.set_request_run_ms(LONG_MS)
    handle = simulation.parts.forwarder.handle
    requests = [simulation.request(number) for number in range(count)]
    gc.collect()
    tracemalloc.start()
    calls = [asyncio.create_task(handle(req)) for req in requests]
    await simulation.clock.sleep_ms(20)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    await simulation.stop()
    return Point(count, size, 0)


def measure_requests(counts: Sequence[int], workers: int, keyed: bool) -> Slope:
    """Measure the processor time of ``count`` requests up to the recorded answer."""
    name = "keyed request, answered" if keyed else "idempotent request, answered"
    return Slope(
        name,
        [run_virtual(_measure_requests_at(count, workers, keyed)) for count in counts],
    )


async def _measure_requests_at(count: int, workers: int, keyed: bool) -> Point:
    simulation = BenchmarkSimulation(workers)
    await simulation.start()
    simulation.set_request_run_ms(0)
    started_ns = time.process_time_ns()
    for number in range(count):
        await _send(simulation, number, keyed)
    us = (time.process_time_ns() - started_ns) / 1_000
    await simulation.stop()
    return Point(count, 0, us)


async def _send(simulation: BenchmarkSimulation, number: int, keyed: bool) -> None:
    fields = {"service": "banquet-offer", "key": f"k{number}"} if keyed else {}
    req = simulation.request(number, idempotent=not keyed, **fields)
    (await simulation.parts.forwarder.handle(req)).unwrap()


def measure_key_record(count: int) -> KeyRecordCost:
    """Count the table-service calls per key record, averaged over ``count``."""

    async def run() -> KeyRecordCost:
        simulation = BenchmarkSimulation(8)
        await simulation.start()
        simulation.set_request_run_ms(0)
        commits, reads = simulation.table.commits, simulation.table.reads
        for number in range(count):
            await _send(simulation, number, keyed=True)
        row = simulation.table.read("keys/planner/k0")
        assert row is not None
        commit_count = simulation.table.commits - commits
        read_count = simulation.table.reads - reads
        await simulation.stop()
        return KeyRecordCost(
            commit_count / count, read_count / count, len(json.dumps(row.value))
        )

    return run_virtual(run())


def measure_starts(counts: Sequence[int], workers: int) -> tuple[Slope, StartCost]:
    """Measure the cost of tasks from submission to their recorded end."""
    points: list[Point] = []
    cost = StartCost(0.0, 0.0)
    for count in counts:
        point, cost = run_virtual(_measure_starts_at(count, workers))
        points.append(point)
    return Slope("task from submission to its end", points), cost


async def _measure_starts_at(count: int, workers: int) -> tuple[Point, StartCost]:
    simulation = BenchmarkSimulation(workers)
    await simulation.start()
    commits, rows = simulation.table.commits, simulation.table.rows_written
    started_ns, started_ms = time.process_time_ns(), simulation.clock.now_ms()
    for first_task in range(0, count, TASKS_PER_JOB):
        tasks = min(TASKS_PER_JOB, count - first_task)
        spec = build_job(f"job-{first_task}", tasks=tasks, run_ms=500)
        (await simulation.parts.jobs.submit(spec, "buyer")).unwrap()
    done = simulation.fleet.audit.tasks_done
    await simulation.until(lambda: len(done) == count)
    await simulation.until(lambda: not simulation.table.scan("queue/", "", 1))
    us = (time.process_time_ns() - started_ns) / 1_000
    heartbeats = (simulation.clock.now_ms() - started_ms) / 1_000
    commit_count = simulation.table.commits - commits - heartbeats
    written_rows = simulation.table.rows_written - rows - heartbeats
    await simulation.stop()
    return Point(count, 0, us), StartCost(commit_count / count, written_rows / count)
