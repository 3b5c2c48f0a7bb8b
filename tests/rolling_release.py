"""Rolling release of the workers of cells that are nearly full of endless tasks.

The platform lists a new worker late. An endless task that has run and is away is
checked against what the workers show, whatever the owners of the cells know.
"""

import asyncio
from collections.abc import Iterable, Iterator, Mapping
from random import Random
from typing import NamedTuple

from result import Ok, Result

from hyssopweir.agents import WorkerEntry, WorkerState
from hyssopweir.cell_layout import WorkerListing
from hyssopweir.clock import Millis
from hyssopweir.codes import Failure
from hyssopweir.events import Event, EventLog
from hyssopweir.resources import Resources
from hyssopweir.task_state import RunRef, TaskRef
from hyssopweir.workflows import Step, Workflow
from tests.agent_fakes import FakeWorker
from tests.cell_simulation import (
    LISTING_DELAY_MS,
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.row_fakes import FakeRowStore

CELLS = 4
WORKER_ROOM = Resources(32_000, 128_000, 0)
SERVING_IMAGES = 5
FILLER_IMAGES = 9
STARTUP_MS: Millis = 1_500
FILL_MS: Millis = 3_000
LENGTH_MS: Millis = 24_000
LOAD_INTERVAL_MS: Millis = 100
STEP_MS: Millis = 100
SAMPLE_MS: Millis = 500
# Interval at which the workers look for ends to report; a short one costs much of the
# processor time.
POLL_MS: Millis = 40
# The users allow a lost endless task to be away for this time, and then for the second
# time on end while there is capacity for this many of it.
AWAY_LIMIT_MS: Millis = 6_000
CAPACITY_LIMIT_MS: Millis = 3_000
PLACES = 2


class ReleaseCase(NamedTuple):
    """Load of a cluster, and how its workers are replaced.

    ``endless_share`` is the share of all processors that endless tasks request,
    ``short_load`` what unfinished short tasks request of the rest. A worker is listed
    for the owners ``lag_ms`` after it has registered.
    """

    workers_per_cell: int = 8
    endless_share: float = 0.82
    short_load: float = 1.5
    short_ms: tuple[Millis, Millis] = (1_500, 5_400)
    fillers_per_worker: int = 3
    released_share: float = 0.8
    gap_ms: Millis = 1_000
    leaves_in_ms: Millis = 3_000
    exit_jitter_ms: Millis = 1_500
    scale_in_share: float = 0.2
    scale_in_ms: Millis = 6_000
    kill_ms: Millis = 4_000
    restart_ms: Millis = 3_000
    lag_ms: Millis = 800
    store_ms: Millis = 40


class LateListing:
    """Worker listing of one owner, which shows the workers of a while ago."""

    def __init__(self, release: "RollingRelease") -> None:
        self._release = release

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        await self._release.simulation.clock.sleep_ms(LISTING_DELAY_MS)
        return Ok(self._release.listed())


class ReleaseSimulation(CellSimulation):
    """Simulation whose owners get late listings."""

    release: "RollingRelease"

    def new_listing(self, store: FakeRowStore, log: EventLog) -> WorkerListing:
        return LateListing(self.release)


class EndlessTask:
    """What the workers have shown of one endless task."""

    def __init__(self, ref: TaskRef, step: Step) -> None:
        self.ref = ref
        self.step = step
        self.has_run = False
        self.away_since_ms: Millis | None = None
        # Since when there is capacity for it, and capacity that finite tasks use which
        # started later.
        self.free_since_ms: Millis | None = None
        self.usable_since_ms: Millis | None = None

    def record(self, is_live: bool, now_ms: Millis) -> None:
        """Record whether some worker runs the task."""
        self.has_run |= is_live
        if is_live:
            self.away_since_ms = self.free_since_ms = self.usable_since_ms = None
        elif self.has_run and self.away_since_ms is None:
            self.away_since_ms = now_ms


class RollingRelease:
    """Fills a cluster, replaces its workers, and checks each endless task."""

    def __init__(self, case: ReleaseCase, seed: int) -> None:
        self.case = case
        self.simulation = ReleaseSimulation(0, CELLS, seed, CELLS)
        self.simulation.release = self
        # By task that broke a check, what the workers had for it.
        self.lost_beside_capacity: dict[TaskRef, str] = {}
        self.lost_beside_finite: dict[TaskRef, str] = {}
        self._clock = self.simulation.clock
        self._random = Random(seed)
        self._tasks: dict[TaskRef, EndlessTask] = {}
        self._unfinished: dict[str, int] = {}
        self._listings: list[tuple[Millis, dict[str, WorkerEntry]]] = []
        self._leaving: set[str] = set()
        self._job_count = 0
        for cell in range(CELLS):
            for _ in range(case.workers_per_cell):
                self._add_worker(f"r{cell}")
        self._size = len(self.simulation.workers)
        for instance in self.simulation.instances:
            instance.faults.latency_ms = case.store_ms
            instance.agent.poll_ms = POLL_MS

    def listed(self) -> Mapping[str, WorkerEntry]:
        """Return the entries of the listed workers as the owners see them."""
        limit_ms = self._clock.now_ms() - self.case.lag_ms
        while len(self._listings) > 1 and self._listings[1][0] <= limit_ms:
            self._listings.pop(0)
        return self._listings[0][1] if self._listings else self._entries()

    def _entries(self) -> dict[str, WorkerEntry]:
        workers = self.simulation.workers.items()
        return {name: fake.entry for name, fake in workers if fake.is_listed}

    def _add_worker(self, rack: str) -> None:
        number = len(self.simulation.workers)
        entry = build_entry(number, rack=rack, room=WORKER_ROOM)
        self.simulation.add_worker(entry)

    async def run(self) -> None:
        """Run the case to its end."""
        await self._advance(STARTUP_MS)
        await self._submit_endless()
        loop = asyncio.get_running_loop()
        activities = [loop.create_task(self._keep_loaded())]
        await self._advance(FILL_MS)
        orders = (self._release_workers(), self._scale_in(), self._kill_owner())
        activities += [loop.create_task(order) for order in orders]
        for _ in range(LENGTH_MS // SAMPLE_MS):
            await self._advance(SAMPLE_MS)
            for activity in activities:
                if activity.done():
                    activity.result()
            self._check()
        for activity in activities:
            activity.cancel()

    async def _advance(self, delay_ms: Millis) -> None:
        for _ in range(delay_ms // STEP_MS):
            await self._clock.sleep_ms(STEP_MS)
            self._listings.append((self._clock.now_ms(), self._entries()))
            for worker in self.simulation.workers.values():
                worker.advance()

    async def _submit(self, kind: str, step: Step, priority: int = 0) -> str:
        self._job_count += 1
        job = f"{kind}{self._job_count}"
        workflow = build_workflow(job, step, priority=priority)
        while not await self._submit_once(workflow):
            await self._clock.sleep_ms(50)
        return job

    async def _submit_once(self, workflow: Workflow) -> bool:
        instances = enumerate(self.simulation.instances)
        running = [number for number, at in instances if not at.is_crashed]
        return await self.simulation.submit(workflow, self._random.choice(running))

    async def _submit_endless(self) -> None:
        left = self.case.endless_share * self._size * WORKER_ROOM.cpu
        while left > 0:
            step = self._endless_step()
            left -= step.tasks * step.room.cpu
            job = await self._submit("e", step)
            refs = [TaskRef(job, 0, 0, number) for number in range(step.tasks)]
            self._tasks.update({ref: EndlessTask(ref, step) for ref in refs})

    def _endless_step(self) -> Step:
        """Return a step of endless tasks, half of them at most one on a worker."""
        random = self._random
        cpu = min(max(int(random.gauss(6_400, 1_600)), 2_500), 10_000)
        return build_step(
            min(max(int(random.gauss(6, 2.4)), 1), 12),
            room=Resources(cpu, int(cpu * random.uniform(1.4, 2.6))),
            is_endless=True,
            most_per_worker=random.randint(0, 1),
            image=f"s{random.randrange(SERVING_IMAGES)}",
            tail_target_ms=25,
        )

    def _short_step(self) -> Step:
        random = self._random
        cpu = random.randint(2_300, 4_100)
        return build_step(
            random.randint(2, 12),
            room=Resources(cpu, 2 * cpu),
            estimated_ms=random.randint(*self.case.short_ms),
            checkpoints=random.random() < 0.5,
        )

    def _filler_step(self) -> Step:
        random = self._random
        return build_step(
            random.randint(2, 12),
            room=Resources(random.randint(2_300, 4_100), 6_400),
            estimated_ms=random.randint(1_000, 4_000),
            is_filler=True,
            checkpoints=True,
            image=f"f{random.randrange(FILLER_IMAGES)}",
        )

    async def _keep_loaded(self) -> None:
        """Submit short tasks and fillers whenever fewer than wanted are unfinished."""
        case = self.case
        free_cpu = (1 - case.endless_share) * self._size * WORKER_ROOM.cpu
        while True:
            short_cpu, fillers = self._count_unfinished()
            while short_cpu < case.short_load * free_cpu:
                step = self._short_step()
                short_cpu += step.tasks * step.room.cpu
                priority = self._random.choice((0, 2))
                job = await self._submit("s", step, priority)
                self._unfinished[job] = step.tasks
            while fillers < case.fillers_per_worker * self._size:
                step = self._filler_step()
                fillers += step.tasks
                job = await self._submit("f", step, priority=2)
                self._unfinished[job] = step.tasks
            await self._clock.sleep_ms(LOAD_INTERVAL_MS)

    def _count_unfinished(self) -> tuple[int, int]:
        """Return the processors of all unfinished short tasks, and the fillers."""
        unfinished = dict(self._unfinished)
        for ref, count in self.simulation.work.done.items():
            if ref.job in unfinished:
                unfinished[ref.job] -= count
        short_cpu = fillers = 0
        for job, count in unfinished.items():
            step = self.simulation.work.steps[job][0]
            if step.is_filler:
                fillers += count
            else:
                short_cpu += count * step.room.cpu
        return short_cpu, fillers

    async def _release_workers(self) -> None:
        """Replace one worker after the other, each by one of another cell."""
        names = list(self.simulation.workers)
        self._random.shuffle(names)
        exits: list[asyncio.Task[None]] = []
        for name in names[: int(self.case.released_share * self._size)]:
            if name not in self._leaving:
                exits.append(asyncio.ensure_future(self._leave(name)))
                rack = self.simulation.workers[name].entry.rack
                racks = {f"r{cell}" for cell in range(CELLS)} - {rack}
                self._add_worker(self._random.choice(sorted(racks)))
            await self._clock.sleep_ms(self.case.gap_ms)
        await asyncio.gather(*exits)

    async def _scale_in(self) -> None:
        await self._clock.sleep_ms(self.case.scale_in_ms)
        names = [name for name in self.simulation.workers if name not in self._leaving]
        count = int(self.case.scale_in_share * self._size)
        leaving = self._random.sample(names, count)
        await asyncio.gather(*(self._leave(name) for name in leaving))

    async def _leave(self, name: str) -> None:
        """Announce that a worker leaves, end its process, then unlist it."""
        self._leaving.add(name)
        case, worker = self.case, self.simulation.workers[name]
        worker.entry = worker.entry._replace(
            state=WorkerState.LEAVING, leaves_in_ms=case.leaves_in_ms
        )
        jitter_ms = self._random.randint(0, case.exit_jitter_ms)
        await self._clock.sleep_ms(case.leaves_in_ms + jitter_ms)
        worker.restart()
        for instance in self.simulation.instances:
            instance.agent.gone_workers.add(name)
        await self._clock.sleep_ms(self._random.randint(0, case.exit_jitter_ms))
        worker.is_listed = False

    async def _kill_owner(self) -> None:
        await self._clock.sleep_ms(self.case.kill_ms)
        owners = [at for at in self.simulation.instances if at.owns]
        owner = self._random.choice(owners)
        await owner.crash()
        await self._clock.sleep_ms(self.case.restart_ms)
        owner.start()

    def _sound_workers(self) -> Iterator[FakeWorker]:
        """Yield the workers that take tasks."""
        for name, worker in self.simulation.workers.items():
            if name not in self._leaving:
                yield worker

    def _check(self) -> None:
        """Check all endless tasks that are away, the one that waits longest first."""
        now_ms = self._clock.now_ms()
        for ref, task in self._tasks.items():
            task.record(bool(self.simulation.work.live.get(ref)), now_ms)
        away = [
            (task.away_since_ms, task)
            for task in self._tasks.values()
            if task.away_since_ms is not None
        ]
        reclaimable = {
            worker.entry.worker_id: capacity_left(worker, endless_runs(worker))
            for worker in self._sound_workers()
        }
        for since_ms, task in sorted(away, key=lambda item: item[0]):
            is_overdue = now_ms - since_ms >= AWAY_LIMIT_MS
            is_free = self._has_capacity(task) and is_overdue
            is_usable = self._reclaim(task, since_ms, reclaimable) and is_overdue
            task.free_since_ms = _since_ms(task.free_since_ms, is_free, now_ms)
            task.usable_since_ms = _since_ms(task.usable_since_ms, is_usable, now_ms)
            if is_over(task.free_since_ms, now_ms):
                self._record_lost(self.lost_beside_capacity, task, now_ms - since_ms)
            if is_over(task.usable_since_ms, now_ms):
                self._record_lost(self.lost_beside_finite, task, now_ms - since_ms)

    def _has_capacity(self, task: EndlessTask) -> bool:
        """Return whether the workers have capacity for several such tasks."""
        places = 0
        for worker in self._sound_workers():
            free = capacity_left(worker, worker.running)
            count = 0
            while count < PLACES and free.can_fit(task.step.charge):
                free = free.minus(task.step.charge)
                count += 1
            if task.step.most_per_worker:
                limit = task.step.most_per_worker - count_step(worker, task.ref)
                count = max(min(count, limit), 0)
            places += count
        return places >= PLACES

    def _reclaim(
        self, task: EndlessTask, lost_ms: Millis, reclaimable: dict[str, Resources]
    ) -> bool:
        """Give a task the capacity that a worker has once its finite tasks have ended.

        Return whether there is such a worker, and finite tasks that started after the
        loss take the capacity of one.
        """
        charge, limit = task.step.charge, task.step.most_per_worker
        fitting = [
            (left, name)
            for name, left in reclaimable.items()
            if left.can_fit(charge)
            and not (
                limit and count_step(self.simulation.workers[name], task.ref) >= limit
            )
        ]
        if not fitting:
            return False
        _, chosen = max(fitting)
        reclaimable[chosen] = reclaimable[chosen].minus(charge)
        return any(
            is_kept_from(task.step, self.simulation.workers[name], lost_ms)
            for _, name in fitting
        )

    def _record_lost(
        self, found: dict[TaskRef, str], task: EndlessTask, away_ms: Millis
    ) -> None:
        if task.ref not in found:
            found[task.ref] = (
                f"{task.ref} with {task.step.charge[:2]}, at most "
                f"{task.step.most_per_worker} on a worker, is away for {away_ms} ms\n"
                f"  transfers: {self._transfers(task.ref)}\n  {self._describe_cells()}"
            )

    def _transfers(self, ref: TaskRef) -> list[str]:
        name = ref.fields()["task"]
        return [
            f"{record.fields['cell']} to {record.fields['target']} "
            f"after {record.fields['waited_ms']} ms"
            for record in self.simulation.records
            if record.event is Event.TASK_MOVED and record.fields["task"] == name
        ]

    def _describe_cells(self) -> str:
        """Return the largest free and reclaimable capacities of each cell."""
        lines = []
        for cell in range(CELLS):
            workers = [
                worker
                for worker in self._sound_workers()
                if worker.entry.rack == f"r{cell}"
            ]
            free = (capacity_left(worker, worker.running)[:2] for worker in workers)
            usable = (
                capacity_left(worker, endless_runs(worker))[:2] for worker in workers
            )
            lines.append(
                f"c{cell}: {len(workers)} workers, free {sorted(free)[:-4:-1]}, "
                f"without finite tasks {sorted(usable)[:-4:-1]}"
            )
        return "\n  ".join(lines)


def _since_ms(since_ms: Millis | None, holds: bool, now_ms: Millis) -> Millis | None:
    if not holds:
        return None
    return now_ms if since_ms is None else since_ms


def is_over(since_ms: Millis | None, now_ms: Millis) -> bool:
    """Return whether a state has lasted for longer than the users allow."""
    return since_ms is not None and now_ms - since_ms >= CAPACITY_LIMIT_MS


def endless_runs(worker: FakeWorker) -> list[RunRef]:
    """Return the runs of endless tasks on a worker."""
    return [ref for ref, run in worker.running.items() if run.step.is_endless]


def capacity_left(worker: FakeWorker, runs: Iterable[RunRef]) -> Resources:
    """Return the capacity of a worker that some of its runs leave."""
    left = worker.entry.room
    for ref in runs:
        left = left.minus(worker.running[ref].step.charge)
    return left


def count_step(worker: FakeWorker, ref: TaskRef) -> int:
    """Return the runs on a worker that belong to the step of a task."""
    return sum(run.task[:3] == ref[:3] for run in worker.running)


def is_kept_from(step: Step, worker: FakeWorker, since_ms: Millis) -> bool:
    """Return whether a finite run that started later takes what a step lacks."""
    free, charge = capacity_left(worker, worker.running), step.charge
    lacks_cpu, lacks_memory = free.cpu < charge.cpu, free.memory_mb < charge.memory_mb
    return any(
        not run.step.is_endless
        and run.since_ms > since_ms
        and (
            (lacks_cpu and run.step.charge.cpu > 0)
            or (lacks_memory and run.step.charge.memory_mb > 0)
        )
        for run in worker.running.values()
    )
