"""Transfers of single tasks of started jobs to other cells.

A job that has started stays in its cell. A task that finds no capacity there could wait
for good, since endless tasks never release theirs, so it is transferred alone: the cell
records the transfer, and only then writes the task into the other cell, which runs it.
A transferred task may be transferred again. The end of the task is reported back to the
cell that transferred it, and the end of the job is passed on as a cancellation.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from hyssopweir.background_tasks import BackgroundTasks
from hyssopweir.cell_heartbeats import CellHeartbeats, Heartbeat, SpareCapacity
from hyssopweir.cell_requests import CellRequests
from hyssopweir.cell_spread import CellSpread, Demand
from hyssopweir.cell_state import REPORT_SUFFIX, CellState
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.input_bounds import InputError, input_errors, parse_bounded_json
from hyssopweir.resources import Resources
from hyssopweir.row_store import MAX_ROW_BYTES, StoredRow
from hyssopweir.spare_capacity import subtract_from_largest
from hyssopweir.task_state import (
    TASK_SEPARATOR,
    Task,
    TaskRef,
    TaskTransfer,
    parse_task_key,
    task_key,
)
from hyssopweir.workflow_progress import StepKey, WorkflowProgress, WorkflowState
from hyssopweir.workflows import (
    Step,
    TransferredTask,
    Workflow,
    encode_workflow,
)

# The own cell has this long to find capacity. A worker that refused a start is paused
# for 1 s, and must not be taken for one without capacity.
ENDLESS_WAIT_MS: Millis = 1_500
# A lost endless task for which its cell holds a worker is transferred only after this
# time: capacity that was free there a moment ago has often been used on its arrival.
HELD_WAIT_MS: Millis = 4_000
# Lost tasks of a service that a heartbeat lists, about 20 bytes each.
MAX_LOST_LISTED = 12
# Heartbeats show a transferred task within this time.
ARRIVAL_MS: Millis = 1_000
# New tasks that find no capacity in their cell in this time go to cells that can start
# them at once. Checked every 100 ms, so that they wait for 110 ms in the mean.
SPREAD_WAIT_MS: Millis = 60
# The row of the task in the other cell and the report of its end.
TASK_TRANSFER_WRITES = 2
# Other tasks release their capacity, so that a cell is rarely full for longer.
WAIT_MS: Millis = 2_000
# A job that no other cell has taken as a whole by then is transferred task by task.
WHOLE_JOB_WAIT_MS: Millis = 3_000
# Each cell of a chain of transfers adds two store calls to a cancellation.
MAX_HOPS = 8
# Larger jobs stay: each of their tasks costs its new owner a row of the whole job, and
# time in proportion to the tasks of the job.
MAX_JOB_TASKS = 256
# A cancelled task is not reported, since the cancellation came from the same cell.
REPORTED_STATES = frozenset({WorkflowState.COMPLETED, WorkflowState.FAILED})


class FreeCapacity:
    """Capacity of another cell for one service, less what was given out.

    ``spare_cpu`` are the free processors that no task there waits for.
    """

    __slots__ = ("spare_cpu", "workers")

    def __init__(self, capacity: SpareCapacity) -> None:
        self.spare_cpu = capacity.spare_cpu
        self.workers = list(capacity.largest)


class TakenCapacity(NamedTuple):
    """Capacity of another cell that was given out; ``arrives_ms`` is the latest time.

    It was free, or reclaimable from the finite tasks of the cell.
    """

    cell: str
    service: str
    charge: Resources
    is_reclaimable: bool
    arrives_ms: Millis


class FreeWorkers:
    """Largest free capacities on workers of other cells, less what was given out.

    A heartbeat is counted once, and what was given out shortly before it is subtracted
    again, so that two passes do not use the same capacity.
    """

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}
        self._free: dict[str, dict[str, FreeCapacity]] = {}
        self._reclaimable: dict[str, dict[str, list[Resources]]] = {}
        self._taken: list[TakenCapacity] = []
        self._now_ms: Millis = 0

    def update(
        self, own: str, heartbeats: Mapping[str, Heartbeat], now_ms: Millis
    ) -> None:
        """Replace the capacities of all other cells that have a newer heartbeat."""
        self._now_ms = now_ms
        self._taken = [taken for taken in self._taken if taken.arrives_ms > now_ms]
        for cell, heartbeat in heartbeats.items():
            if cell == own or self._versions.get(cell) == heartbeat.version:
                continue
            self._versions[cell] = heartbeat.version
            rooms = {} if heartbeat.is_released else heartbeat.rooms
            reclaimable = {} if heartbeat.is_released else heartbeat.reclaimable
            self._reclaimable[cell] = {
                service: list(amounts) for service, amounts in reclaimable.items()
            }
            self._free[cell] = {
                service: FreeCapacity(capacity) for service, capacity in rooms.items()
            }
            for taken in self._taken:
                if taken.cell == cell:
                    self._subtract(taken)

    def _subtract(self, taken: TakenCapacity) -> None:
        if taken.is_reclaimable:
            amounts = self._reclaimable[taken.cell].get(taken.service, [])
            subtract_from_largest(amounts, taken.charge)
            return
        capacity = self._free[taken.cell].get(taken.service)
        if capacity is not None:
            capacity.spare_cpu -= taken.charge.cpu
            subtract_from_largest(capacity.workers, taken.charge)

    def reserve(self, cell: str, service: str, step: Step) -> None:
        """Subtract a task that was transferred to a cell on other evidence."""
        if cell in self._free:
            self._take(cell, service, step, is_reclaimable=False)

    def _take(self, cell: str, service: str, step: Step, is_reclaimable: bool) -> None:
        arrives_ms = self._now_ms + ARRIVAL_MS
        taken = TakenCapacity(cell, service, step.charge, is_reclaimable, arrives_ms)
        self._taken.append(taken)
        self._subtract(taken)

    def take(self, service: str, step: Step) -> str | None:
        """Reserve capacity for a task; return its cell, None if no worker has it.

        An endless task that is lost is placed before all work that waits in its cell.
        Other tasks are not, so they need capacity that no task there waits for.
        """
        candidates = [
            (free.cpu, cell)
            for cell, services in self._free.items()
            if (capacity := services.get(service)) is not None
            and (step.is_endless or capacity.spare_cpu >= step.charge.cpu)
            for free in capacity.workers
            if free.can_fit(step.charge)
        ]
        if not candidates:
            return None
        _, cell = max(candidates)
        self._take(cell, service, step, is_reclaimable=False)
        return cell

    def take_reclaimable(self, service: str, step: Step) -> str | None:
        """Reserve capacity that finite tasks of a cell use; return the cell.

        A lost endless task is placed there before all other work.
        """
        candidates = [
            (max(fitting), cell)
            for cell, services in self._reclaimable.items()
            if (
                fitting := [
                    amount
                    for amount in services.get(service, ())
                    if amount.can_fit(step.charge)
                ]
            )
        ]
        if not candidates:
            return None
        _, cell = max(candidates)
        self._take(cell, service, step, is_reclaimable=True)
        return cell


class TaskTransfers:
    """Sender of waiting tasks to other cells, and of the ends of tasks and jobs."""

    def __init__(
        self,
        state: CellState,
        heartbeats: CellHeartbeats,
        requests: CellRequests,
        spread: CellSpread,
    ) -> None:
        self._spread = spread
        # By job and step, since when placement passes have left tasks waiting.
        self._short_since_ms: dict[tuple[str, StepKey], Millis] = {}
        self._is_budget_spent = False
        self._state = state
        self._heartbeats = heartbeats
        self._requests = requests
        self._tasks = BackgroundTasks("task_transfers", state.log)
        self._free_workers = FreeWorkers()
        self._waiting_since_ms: dict[TaskRef, Millis] = {}
        # Keys of transferred tasks of this cell whose end is being or was reported.
        self._reporting: set[str] = set()
        self._reported: set[str] = set()
        # By reason, the lost endless tasks that the last pass did not transfer.
        self.kept_lost: Counter[str] = Counter()

    def close(self) -> None:
        """Cancel all writes in progress."""
        self._tasks.close()

    def record_lost_elsewhere(self) -> None:
        """Record the lost tasks of other cells for which this one keeps capacity."""
        own, known = self._state.cell, self._heartbeats.known
        shares = share_of_lost(own, known)
        if shares != self._state.lost_elsewhere:
            self._state.lost_elsewhere = shares
            self._state.wake.set()

    def run_pass(self, now_ms: Millis) -> None:
        """Transfer tasks that waited too long, and resume unfinished writes."""
        self._free_workers.update(self._state.cell, self._heartbeats.known, now_ms)
        waiting = dict(
            self._waiting_tasks(now_ms) if len(self._heartbeats.known) > 1 else ()
        )
        self._waiting_since_ms = {
            ref: self._waiting_since_ms.get(ref, now_ms) for ref in waiting
        }
        self.kept_lost.clear()
        # Lost endless tasks come first, as in the placement in the own cell.
        for ref, (progress, step, task) in sorted(waiting.items(), key=transfer_key):
            since_ms = max(self._waiting_since_ms[ref], progress.idle_since_ms(task))
            waited_ms = now_ms - since_ms
            if waited_ms < (ENDLESS_WAIT_MS if step.is_endless else WAIT_MS):
                self._count_kept(step, task, "wait")
                continue
            with self._state.guard(progress.key):
                self._transfer_if_possible(progress, ref, step, task, waited_ms)
        for key, progress in self._state.jobs.items():
            with self._state.guard(key):
                self.resume(progress)
        self._reporting &= self._state.jobs.keys()
        self._reported &= self._state.jobs.keys()

    def record_short_steps(self, progress: WorkflowProgress, now_ms: Millis) -> None:
        """Record the steps with tasks that a placement pass has left waiting."""
        if len(self._heartbeats.known) < 2 or not may_spread(progress, now_ms):
            return
        for key, step in progress.active_steps():
            if may_transfer(progress, step) and progress.count_waiting(key):
                self._short_since_ms.setdefault((progress.key, key), now_ms)

    def spread_tasks(self, now_ms: Millis) -> None:
        """Transfer new tasks without a place to cells that can start them at once.

        Lost endless tasks stay for ``run_pass``: their cell may hold a worker for them.
        """
        self._spread.update(self._heartbeats.known, now_ms)
        due = []
        for (job, key), since_ms in list(self._short_since_ms.items()):
            progress = self._state.jobs.get(job)
            if (
                progress is None
                or job not in self._state.unplaced
                or self._state.waits_for_place(job, key)
            ):
                del self._short_since_ms[job, key]
                continue
            with self._state.guard(job):
                is_waiting = key in progress.open_steps() and not progress.is_final()
                if not is_waiting or not progress.count_waiting(key):
                    del self._short_since_ms[job, key]
                elif now_ms - since_ms >= SPREAD_WAIT_MS:
                    due.append((progress.workflow.priority, since_ms, job, key))
        if not due or not self._spread.is_ready():
            return
        self._free_workers.update(self._state.cell, self._heartbeats.known, now_ms)
        for _, since_ms, job, key in sorted(due):
            progress = self._state.jobs[job]
            with self._state.guard(job):
                self._spread_step(progress, key, since_ms, now_ms)

    def _spread_step(
        self,
        progress: WorkflowProgress,
        key: StepKey,
        since_ms: Millis,
        now_ms: Millis,
    ) -> None:
        workflow, step = progress.workflow, progress.workflow.steps[key[1]]
        tasks = [
            (ref, task)
            for ref, _, task in progress.waiting()
            if (ref.occurrence, ref.step) == key
            and now_ms - progress.idle_since_ms(task) >= SPREAD_WAIT_MS
            and (task.is_unstarted() or not step.is_endless)
        ]
        if not tasks:
            return
        demand = Demand(workflow.service, step, len(tasks), workflow.priority)
        # A job that has come from another cell is not sent back there.
        counts = self._spread.startable_by_cell(demand, workflow.home)
        budget = self._spread.budget.affordable(TASK_TRANSFER_WRITES, workflow.priority)
        self._log_budget(budget, min(len(tasks), sum(counts.values())))
        limit = min(len(tasks), budget)
        cells = sorted(counts, key=lambda cell: (-counts[cell], cell))
        targets = [cell for cell in cells for _ in range(counts[cell])]
        for (ref, task), cell in zip(tasks[:limit], targets, strict=False):
            row = self._build_transferred(progress, ref, task, 1)
            if len(encode_workflow(row)) > MAX_ROW_BYTES:
                break
            self._spread.promise(cell, workflow.service, step.charge, 1)
            self._spread.budget.spend(TASK_TRANSFER_WRITES)
            self._free_workers.reserve(cell, workflow.service, step)
            waited_ms = now_ms - max(since_ms, progress.idle_since_ms(task))
            self._transfer(progress, ref, task, cell, waited_ms, "spread")
        self.resume(progress)

    def _log_budget(self, affordable: int, wanted: int) -> None:
        """Log when the bound on transfers is reached, once until it is not."""
        is_spent = affordable < wanted
        if is_spent and not self._is_budget_spent:
            self._state.log.emit(
                Event.TRANSFERS_LIMITED, cell=self._state.cell, waiting=wanted
            )
        self._is_budget_spent = is_spent

    def _waiting_tasks(
        self, now_ms: Millis
    ) -> Iterator[tuple[TaskRef, tuple[WorkflowProgress, Step, Task]]]:
        for key in list(self._state.unplaced):
            progress = self._state.jobs[key]
            if not is_bound(progress, now_ms):
                continue
            with self._state.guard(key):
                is_idle = not progress.has_finite_runs()
                for ref, step, task in progress.waiting():
                    # While tasks that end have runs, the others wait for the own cell.
                    if (step.is_endless or is_idle) and may_transfer(progress, step):
                        yield ref, (progress, step, task)

    def _transfer_if_possible(
        self,
        progress: WorkflowProgress,
        ref: TaskRef,
        step: Step,
        task: Task,
        waited_ms: Millis,
    ) -> None:
        # The store refuses larger rows, always.
        hops = progress.hops() + 1
        row = self._build_transferred(progress, ref, task, hops)
        if len(encode_workflow(row)) > MAX_ROW_BYTES:
            self._count_kept(step, task, "row too long")
            return
        service = progress.workflow.service
        is_lost = step.is_endless and not task.is_unstarted()
        is_unheld = ref in self._state.unheld_tasks
        if is_lost and not is_unheld and waited_ms < HELD_WAIT_MS:
            self._count_kept(step, task, "worker held here")
            return
        cell = self._free_workers.take(service, step)
        if cell is None and is_lost and is_unheld:
            cell = self._free_workers.take_reclaimable(service, step)
        if cell is not None:
            self._spread.promise(cell, service, step.charge, 1)
            self._transfer(progress, ref, task, cell, waited_ms, "waited")
        else:
            self._count_kept(step, task, "no capacity elsewhere")

    def _count_kept(self, step: Step, task: Task, reason: str) -> None:
        if step.is_endless and not task.is_unstarted():
            self.kept_lost[reason] += 1

    def _transfer(
        self,
        progress: WorkflowProgress,
        ref: TaskRef,
        task: Task,
        cell: str,
        waited_ms: Millis,
        reason: str,
    ) -> None:
        progress.record_transfer(task, TaskTransfer(cell, progress.hops() + 1))
        self._state.log.emit(
            Event.TASK_MOVED,
            **ref.fields(),
            cell=self._state.cell,
            target=cell,
            hops=progress.hops() + 1,
            reason=reason,
            waited_ms=waited_ms,
        )
        self._state.commits.mark(self._state.progress_key(progress.key))

    def resume(self, progress: WorkflowProgress) -> None:
        """Start the writes that are due for the transfers of a job."""
        if self.is_report_due(progress) and progress.key not in self._reporting:
            self._reporting.add(progress.key)
            stored = self._state.commits.stored()
            self._tasks.spawn(self._report(progress, stored))
        for ref, task, transfer in progress.transfers():
            # A run that was counted as lost here may still be reported as done.
            if progress.is_final() or task.is_done:
                self._cancel_once(ref, transfer)
            elif not transfer.is_sent and not transfer.is_sending:
                transfer.is_sending = True
                stored = self._state.commits.stored()
                self._tasks.spawn(self._send(progress, ref, task, transfer, stored))

    def cancel_all(self, progress: WorkflowProgress) -> None:
        """Cancel all tasks of a job that this cell transferred."""
        for ref, _, transfer in progress.transfers():
            self._cancel_once(ref, transfer)

    def _cancel_once(self, ref: TaskRef, transfer: TaskTransfer) -> None:
        if not transfer.is_cancelled:
            transfer.is_cancelled = True
            self._tasks.spawn(self._cancel(ref, transfer))

    async def _send(
        self,
        progress: WorkflowProgress,
        ref: TaskRef,
        task: Task,
        transfer: TaskTransfer,
        stored: "asyncio.Future[None]",
    ) -> None:
        await stored
        key = task_key(ref, transfer.hops)
        workflow = self._build_transferred(progress, ref, task, transfer.hops)
        is_stored = await self._requests.submit(
            transfer.cell, key, encode_workflow(workflow)
        )
        if not is_stored:
            self._state.log.emit(
                Event.JOB_TRANSFER_CANCELLED,
                job=key,
                cell=self._state.cell,
                target=transfer.cell,
            )
        transfer.is_sent = True
        self._state.commits.mark(self._state.progress_key(progress.key))

    def _build_transferred(
        self, progress: WorkflowProgress, ref: TaskRef, task: Task, hops: int
    ) -> Workflow:
        away_ms = max(self._state.now_ms() - progress.idle_since_ms(task), 0)
        cell = self._state.cell
        return build_transferred(progress.workflow, cell, ref, task, hops, away_ms)

    async def _cancel(self, ref: TaskRef, transfer: TaskTransfer) -> None:
        await self._requests.cancel(transfer.cell, task_key(ref, transfer.hops))
        transfer.is_settled = True

    def is_report_due(self, progress: WorkflowProgress) -> bool:
        """Return whether the end of a transferred task is still to be reported."""
        return (
            TASK_SEPARATOR in progress.key
            and progress.workflow.home != ""
            and progress.state in REPORTED_STATES
            and progress.key not in self._reported
        )

    async def _report(
        self, progress: WorkflowProgress, stored: "asyncio.Future[None]"
    ) -> None:
        await stored
        body = json.dumps({"state": progress.state.value}).encode()
        await self._requests.report(progress.workflow.home, progress.key, body)
        self._reported.add(progress.key)

    def process_report(self, row: StoredRow) -> None:
        """Record the end of a task that this cell transferred."""
        key = row.at.key.removesuffix(REPORT_SUFFIX)
        try:
            with input_errors("report"):
                ref, hops = parse_task_key(key)
                state = WorkflowState(parse_bounded_json(row.value)["state"])
        except InputError as exc:
            self._state.faults.record(f"report {row.at.key}", exc)
            return
        now_ms = self._state.now_ms()
        progress = self._state.jobs.get(task_key(ref, hops - 1))
        if progress is None:
            self._state.unmatched.setdefault(row.at.key, now_ms)
            return
        self._state.log.emit(
            Event.TASK_REPORTED,
            **ref.fields(),
            cell=self._state.cell,
            state=state.value,
        )
        progress.end_transferred(ref, state, now_ms)
        self._state.mark_changed(progress)
        if progress.is_final():
            self._state.stop_runs(progress.runs(), "job has ended")
        # Deleted no earlier than the end is stored: rows are written in this order.
        self._state.commits.mark(row.at)
        self.resume(progress)


def lost_without_worker(state: CellState) -> dict[str, tuple[Resources, ...]]:
    """Return by service what lost tasks need that should get a worker elsewhere."""
    charges: dict[str, list[Resources]] = {}
    for ref, (service, step) in state.unheld_tasks.items():
        progress = state.job_of(ref)
        listed = charges.setdefault(service, [])
        is_listed = progress is not None and may_transfer(progress, step)
        if is_listed and len(listed) < MAX_LOST_LISTED:
            listed.append(step.charge)
    return {service: tuple(listed) for service, listed in charges.items()}


def share_of_lost(
    own: str, heartbeats: Mapping[str, Heartbeat]
) -> list[tuple[str, Resources]]:
    """Return the lost tasks of other cells for which a cell keeps capacity.

    The other cells take turns, so that only one of them keeps capacity for each task.
    """
    cells = sorted(heartbeats)
    shares: list[tuple[str, Resources]] = []
    if own not in heartbeats:
        return shares
    for cell, heartbeat in heartbeats.items():
        if cell == own:
            continue
        others = [other for other in cells if other != cell]
        first, count = others.index(own), len(others)
        for service, charges in heartbeat.lost.items():
            shares.extend((service, charge) for charge in charges[first::count])
    return shares


def is_bound(progress: WorkflowProgress, now_ms: Millis) -> bool:
    """Return whether a job is not, or no longer, transferred as a whole."""
    is_stuck = now_ms - progress.added_ms >= WHOLE_JOB_WAIT_MS
    return progress.has_started or bool(progress.workflow.home) or is_stuck


def may_spread(progress: WorkflowProgress, now_ms: Millis) -> bool:
    """Return whether tasks of a job are transferred after a short wait.

    A transferred task is not: it would be handed on as long as it finds no place.
    """
    return is_bound(progress, now_ms) and not progress.hops()


def may_transfer(progress: WorkflowProgress, step: Step) -> bool:
    """Return whether single tasks of a step may be transferred.

    Heartbeats state neither the labels of free workers nor their room for fillers.
    """
    if step.is_gang or step.label or step.is_filler or progress.hops() >= MAX_HOPS:
        return False
    return sum(other.tasks for other in progress.workflow.steps) <= MAX_JOB_TASKS


def transfer_order(step: Step, task: Task) -> tuple[bool, bool]:
    """Return the sort key of a waiting task; lower keys are transferred first."""
    return not step.is_endless, task.is_unstarted()


def transfer_key(
    item: tuple[TaskRef, tuple[WorkflowProgress, Step, Task]],
) -> tuple[bool, bool, Millis]:
    """Return the sort key of a waiting task; the longest away goes first."""
    _, (progress, step, task) = item
    return *transfer_order(step, task), progress.idle_since_ms(task)


def build_transferred(
    workflow: Workflow,
    home: str,
    ref: TaskRef,
    task: Task,
    hops: int,
    away_ms: Millis,
) -> Workflow:
    """Return the job that another cell gets with only one task."""
    transferred = TransferredTask(
        ref.occurrence,
        ref.step,
        ref.number,
        task.last_run,
        task.failures,
        task.saved,
        tuple(task.failed_on),
        hops,
        away_ms,
    )
    return workflow._replace(home=home, task=transferred)
