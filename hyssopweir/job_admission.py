"""Admission control: whether a submitted job can be done in time, or when to retry.

The decisions run without a network and answer this load: bursts of jobs, or the loss of
a third of the workers, while lasting tasks reserve most processors. Then a job that can
only end after three times its objective takes capacity from others and yields nothing.
Estimates of single jobs are off by up to 90%, so a job is refused only with a margin.
"""

import zlib
from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from hyssopweir.clock import SECOND_MS, Millis
from hyssopweir.input_bounds import (
    InputError,
    read_bool,
    read_int,
    read_list,
    read_map,
    read_text,
)
from hyssopweir.job_order import LATE_FACTOR
from hyssopweir.workflows import Step, Workflow

# Share of estimated work that counts as certain. Estimates of urgent tasks are off by
# up to 50%; those of batch tasks by more, but in both directions.
CERTAIN_SHARE = 0.5
# Lasting tasks run for about 70 s in the mean, then their processors are free.
LASTING_MS: Millis = 70_000
# Bounds of what a heartbeat states, about 25 bytes for each class and size.
MAX_CLASSES = 16
MAX_SIZES = 8
MAX_SERVICES = 16
# Size classes are powers of this base in core seconds.
SIZE_BASE_BITS = 2
CORE_SECOND = 1_000 * SECOND_MS
MIN_RETRY_S = 1
MAX_RETRY_S = 30
# The rest up to ``MAX_RETRY_S`` spreads the callers that are told to wait the longest.
MAX_BASE_S = 20
MAX_SPREAD_S = 10
# Refused jobs that are expected to return; the oldest are forgotten beyond this number.
MAX_RETURNING = 512


class ServiceCapacity(NamedTuple):
    """Capacity of a cell for one service, in thousandths of a processor.

    ``ending_cpu`` serves tasks that end, and ``filler_cpu`` at most fillers.
    ``lasting_cpu`` is reserved by lasting tasks.
    """

    ending_cpu: int = 0
    filler_cpu: int = 0
    lasting_cpu: int = 0


class ClassWork(NamedTuple):
    """Waiting work of one queue in a cell, in core seconds.

    Only tasks count that may start now. ``on_time`` lists by size class the work of the
    jobs that can still meet their objective; the size is that of the whole job.
    """

    service: str
    queue: str
    priority: int
    is_filler: bool
    work: int
    on_time: tuple[tuple[int, int], ...] = ()


class CellDemand(NamedTuple):
    """Capacity and waiting work of a cell, as its owner states them."""

    capacities: Mapping[str, ServiceCapacity] = {}
    classes: tuple[ClassWork, ...] = ()


class Refusal(NamedTuple):
    """Reason for refusing a job, with the figures of the decision.

    ``preceding`` and ``own`` are work in core seconds.
    """

    retry_after_s: int
    expected_ms: Millis
    limit_ms: Millis
    preceding: int
    own: int
    cores: int


def size_class(work: int) -> int:
    """Return the size class of work in thousandths of a processor times ms."""
    return min((work // CORE_SECOND).bit_length() // SIZE_BASE_BITS, MAX_SIZES - 1)


def step_work(steps: Sequence[Step]) -> int:
    """Return the estimated work of steps in thousandths of a processor times ms."""
    return sum(step.tasks * step.room.cpu * step.estimated_ms for step in steps)


def read_demand(value: Any) -> CellDemand | None:
    """Parse the demand in a heartbeat, None if there is none or it can't be read.

    Its form may differ in other builds, and the rest of their heartbeats holds.
    """
    try:
        capacities, classes = read_list(value, "demand", len(CellDemand._fields))
        capacities = read_map(capacities, "capacities", MAX_SERVICES)
        return CellDemand(
            {
                read_text(service, "service"): _read_capacity(capacity)
                for service, capacity in capacities.items()
            },
            tuple(
                _read_class(item) for item in read_list(classes, "classes", MAX_CLASSES)
            ),
        )
    except (InputError, ValueError):
        return None


def _read_capacity(value: Any) -> ServiceCapacity:
    amounts = read_list(value, "capacity", len(ServiceCapacity._fields))
    return ServiceCapacity(*(read_int(amount, "capacity") for amount in amounts))


def _read_class(value: Any) -> ClassWork:
    service, queue, priority, is_filler, work, on_time = read_list(value, "class", 6)
    sizes = [
        read_list(size, "size", 2) for size in read_list(on_time, "sizes", MAX_SIZES)
    ]
    return ClassWork(
        read_text(service, "service"),
        read_text(queue, "queue"),
        read_int(priority, "priority"),
        read_bool(is_filler, "is_filler"),
        read_int(work, "work"),
        tuple((read_int(size, "size"), read_int(work, "work")) for size, work in sizes),
    )


def spread_retry_s(job: str, base_s: int) -> int:
    """Return after how many seconds to retry, spread by the id of the job.

    Otherwise callers that were refused together would return together.
    """
    base_s = min(max(base_s, MIN_RETRY_S), MAX_BASE_S)
    return base_s + zlib.crc32(job.encode()) % (min(base_s, MAX_SPREAD_S) + 1)


class JobAdmission:
    """Decides on submissions of one instance, and remembers what it refused."""

    def __init__(self) -> None:
        # When refused jobs are expected to return, with the time that they take.
        self._returning: deque[tuple[Millis, Millis]] = deque(maxlen=MAX_RETURNING)

    def decide(
        self,
        workflow: Workflow,
        demands: Mapping[str, CellDemand] | None,
        now_ms: Millis,
    ) -> Refusal | None:
        """Return why a job can't be done in time, None to accept it.

        ``demands`` are the recent figures of all cells, None if some are unknown.
        """
        if demands is None or workflow.occurrences:
            return None
        if any(step.is_endless for step in workflow.steps):
            return None
        for is_filler in (False, True):
            steps = [step for step in workflow.steps if step.is_filler is is_filler]
            refusal = self._decide_kind(workflow, steps, is_filler, demands, now_ms)
            if refusal is not None:
                return refusal
        return None

    def _decide_kind(
        self,
        workflow: Workflow,
        steps: Sequence[Step],
        is_filler: bool,
        demands: Mapping[str, CellDemand],
        now_ms: Millis,
    ) -> Refusal | None:
        own_work = step_work(steps)
        if not own_work:
            return None
        limit_ms = LATE_FACTOR * workflow.objective_ms()
        cpu = expected_cpu(demands, workflow.service, is_filler, limit_ms)
        if not cpu:
            # Nothing is known about when there will be capacity.
            return None
        preceding_work = preceding(demands, workflow, is_filler)
        expected_ms = (preceding_work + own_work) // cpu
        if CERTAIN_SHARE * expected_ms <= limit_ms:
            return None
        return Refusal(
            self._retry_after_s(workflow.job, own_work // cpu, expected_ms, now_ms),
            expected_ms,
            limit_ms,
            preceding_work // CORE_SECOND,
            own_work // CORE_SECOND,
            cpu // 1_000,
        )

    def _retry_after_s(
        self, job: str, own_ms: Millis, expected_ms: Millis, now_ms: Millis
    ) -> int:
        """Return when capacity is expected, after that of jobs refused before."""
        while self._returning and self._returning[0][0] <= now_ms:
            self._returning.popleft()
        wait_ms = expected_ms - own_ms + sum(took_ms for _, took_ms in self._returning)
        retry_after_s = spread_retry_s(job, -(-wait_ms // SECOND_MS))
        self._returning.append((now_ms + retry_after_s * SECOND_MS, own_ms))
        return retry_after_s


def expected_cpu(
    demands: Mapping[str, CellDemand], service: str, is_filler: bool, limit_ms: Millis
) -> int:
    """Return the mean capacity until a limit for tasks that end, over all cells."""
    total = 0
    for demand in demands.values():
        capacity = demand.capacities.get(service, ServiceCapacity())
        if is_filler:
            total += capacity.filler_cpu
        freed_cpu = capacity.lasting_cpu * min(limit_ms, LASTING_MS) // (2 * LASTING_MS)
        total += freed_cpu + (0 if is_filler else capacity.ending_cpu)
    return total


def preceding(
    demands: Mapping[str, CellDemand], workflow: Workflow, is_filler: bool
) -> int:
    """Return the waiting work that certainly gets capacity before a new job.

    Within its priority these are the smaller jobs that are on time. Of each other queue
    at most as much counts as waits in the job's own, so that a queue with little work
    isn't refused because of another one's backlog.
    """
    own_size = size_class(step_work(workflow.steps))
    higher, own = 0, 0
    smaller: dict[str, int] = {}
    for item in _classes(demands, workflow.service, is_filler):
        if item.priority < workflow.priority:
            higher += item.work
        elif item.priority == workflow.priority:
            if item.queue == workflow.queue:
                own += item.work
            work = sum(work for size, work in item.on_time if size < own_size)
            smaller[item.queue] = smaller.get(item.queue, 0) + work
    same = smaller.pop(workflow.queue, 0)
    same += sum(min(work, own) for work in smaller.values())
    return (higher + same) * CORE_SECOND


def _classes(
    demands: Mapping[str, CellDemand], service: str, is_filler: bool
) -> Iterator[ClassWork]:
    for demand in demands.values():
        for item in demand.classes:
            if item.service == service and item.is_filler is is_filler:
                yield item
