"""Execution of the mitigation steps that the pressure control of a shard selects."""

from collections import defaultdict
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok

from hyssopweir.clock import Millis
from hyssopweir.contracts import Reason, TaskState
from hyssopweir.events import Event
from hyssopweir.evictions import Evictions
from hyssopweir.pressure import Action, MitigationStep, PressureControl, RunningTask
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_recovery import RunReconciler
from hyssopweir.task_rows import MAX_REASONS, TaskDependencies, TaskEntry
from hyssopweir.worker_client import RunState

# The shard may be processed again within a few ms; decisions are less frequent.
DECISION_INTERVAL_MS: Millis = 500
RETRY_DELAY_MS: Millis = 500
# A task whose checkpoint fails this often stays throttled and is not evicted.
MAX_CHECKPOINT_ATTEMPTS = 3
# Keeps oscillating pressure from displacing the reasons of the start from the row.
MAX_STEP_REASONS = 4
STEP_EVENTS = (Event.TASK_THROTTLED.name, Event.TASK_RESTORED.name)

ADOPTED_TEXT = "the owner of its worker has changed, and the new one decides afresh"


class _RunMitigation:
    """Mitigation state of one run."""

    def __init__(self, run_id: str, since_ms: Millis) -> None:
        self.run_id = run_id
        self.step: MitigationStep | None = None
        self.pending: Action | None = None
        self.is_saved = False
        self.saved_ms = since_ms
        self.checkpoint: str | None = None
        self.attempts = 0
        self.next_attempt_ms: Millis = 0


class MitigationExecutor:
    """Execute the actions of the pressure control of one shard on its workers.

    An action belongs to one run. It is discarded if the run has ended, or is being
    ended, evicted or cancelled.
    """

    def __init__(
        self,
        dependencies: TaskDependencies,
        records: TaskRecords,
        settler: RunReconciler,
        evictions: Evictions,
        control: PressureControl,
    ) -> None:
        self.control = control
        self._dependencies = dependencies
        self._records = records
        self._settler = settler
        self._evictions = evictions
        self._mitigations: dict[str, _RunMitigation] = {}
        self._next_decision_ms: Millis = 0

    def decide(self) -> None:
        """Request the due actions from the control and assign them to their runs."""
        now_ms = self._dependencies.clock.now_ms()
        if now_ms < self._next_decision_ms:
            return
        self._next_decision_ms = now_ms + DECISION_INTERVAL_MS
        runs = self._runs(now_ms)
        for action in self.control.decide(runs, now_ms):
            self._assign(self._mitigations[action.task_id], action)

    def is_pressed(self, worker_id: str) -> bool:
        """Return whether new tasks should be placed on other workers."""
        return self.control.is_under_pressure(
            worker_id, self._dependencies.clock.now_ms()
        )

    def next_action(self, entry: TaskEntry) -> Coroutine[Any, Any, None] | None:
        """Return the execution of the action that is due for a run, if any.

        The caller must handle the end, cancellation or eviction of the run first.
        """
        mitigation = self._mitigations.get(entry.task_id)
        if (
            mitigation is None
            or mitigation.pending is None
            or mitigation.run_id != entry.run_id
        ):
            return None
        if mitigation.next_attempt_ms > self._dependencies.clock.now_ms():
            return None
        return self._execute(entry, mitigation, mitigation.pending)

    def _runs(self, now_ms: Millis) -> dict[str, list[RunningTask]]:
        entries = self._records.entries.values()
        by_task = {entry.task_id: self._mitigation(entry, now_ms) for entry in entries}
        self._mitigations = {
            task_id: mitigation for task_id, mitigation in by_task.items() if mitigation
        }
        runs: dict[str, list[RunningTask]] = defaultdict(list)
        for entry in entries:
            mitigation = by_task[entry.task_id]
            if mitigation is not None and _is_actionable(entry):
                runs[entry.worker_id].append(self._running(entry, mitigation, now_ms))
        return runs

    def _mitigation(self, entry: TaskEntry, now_ms: Millis) -> _RunMitigation | None:
        """Return the mitigation of a run, also while its state is being settled."""
        mitigation = self._mitigations.get(entry.task_id)
        if mitigation is None or mitigation.run_id != entry.run_id:
            if not _is_actionable(entry):
                return None
            mitigation = _RunMitigation(entry.run_id, entry.started_here_ms or now_ms)
            mitigation.checkpoint = entry.checkpoint
            if entry.started_here_ms is None:
                mitigation.pending = _restore_adopted(entry)
        if mitigation.checkpoint != entry.checkpoint:
            mitigation.checkpoint, mitigation.saved_ms = entry.checkpoint, now_ms
        return mitigation

    def _running(
        self, entry: TaskEntry, mitigation: _RunMitigation, now_ms: Millis
    ) -> RunningTask:
        worker = self._dependencies.view.worker(entry.worker_id)
        cores = entry.job.spec["cores"]
        return RunningTask(
            entry.task_id,
            entry.job.spec["kind"],
            cores / worker.cores if worker is not None else 0.0,
            now_ms - mitigation.saved_ms,
            mitigation.step,
            mitigation.is_saved,
            mitigation.pending is not None,
        )

    def _assign(self, mitigation: _RunMitigation, action: Action) -> None:
        mitigation.pending, mitigation.attempts, mitigation.next_attempt_ms = (
            action,
            0,
            0,
        )
        if action.step is MitigationStep.RESTORE:
            mitigation.step, mitigation.is_saved = None, False
        elif action.step is not MitigationStep.EVICT:
            mitigation.step = action.step

    async def _execute(
        self, entry: TaskEntry, mitigation: _RunMitigation, action: Action
    ) -> None:
        handlers = {
            MitigationStep.THROTTLE: self._throttle,
            MitigationStep.RESTORE: self._throttle,
            MitigationStep.CHECKPOINT: self._checkpoint,
            MitigationStep.EVICT: self._evict,
        }
        is_done = await handlers[action.step](entry, mitigation, action)
        if is_done and mitigation.pending is action:
            mitigation.pending = None
        mitigation.next_attempt_ms = (
            0 if is_done else self._dependencies.clock.now_ms() + RETRY_DELAY_MS
        )

    async def _throttle(
        self, entry: TaskEntry, mitigation: _RunMitigation, action: Action
    ) -> bool:
        target = self._settler.target(entry.worker_id)
        if isinstance(target, Err):
            return False
        worker, fence = target.ok_value
        reply = await self._dependencies.client.throttle(
            worker, fence, mitigation.run_id, action.share
        )
        if isinstance(reply, Err):
            self._settler.handle_stale_epoch(reply.err_value)
            return False
        # An ended run is handled when the worker's report of it arrives.
        if reply.ok_value.state is RunState.RUNNING and action.figures:
            await self._record_share(entry, mitigation, action)
        return True

    async def _record_share(
        self, entry: TaskEntry, mitigation: _RunMitigation, action: Action
    ) -> None:
        is_throttled = action.step is MitigationStep.THROTTLE
        event = Event.TASK_THROTTLED if is_throttled else Event.TASK_RESTORED
        self._emit(event, entry, action)
        outcome = "may use all its processors again"
        if is_throttled:
            outcome = f"is throttled to {action.share:.0%} of its processors"
        text = f"run {entry.row['run']} {outcome}: {action.text}"
        reason = self._records.reason(event, text, action.figures)
        entry.pending_reasons = _limit_step_reasons(entry.pending_reasons)
        if self._dependencies.store.is_up and entry.run_id == mitigation.run_id:
            limited = _limit_step_reasons(entry.row["reasons"])
            reply = await self._records.change(entry, reason, reasons=limited)
            if isinstance(reply, Ok):
                return
        if entry.run_id == mitigation.run_id:
            entry.pending_reasons.append(reason)

    async def _checkpoint(
        self, entry: TaskEntry, mitigation: _RunMitigation, action: Action
    ) -> bool:
        mitigation.attempts += 1
        reply = await self._evictions.save(entry)
        if isinstance(reply, Err):
            return mitigation.attempts >= MAX_CHECKPOINT_ATTEMPTS
        mitigation.is_saved = entry.checkpoint is not None
        mitigation.checkpoint = entry.checkpoint
        mitigation.saved_ms = self._dependencies.clock.now_ms()
        self._emit(Event.TASK_CHECKPOINTED, entry, action)
        return True

    async def _evict(
        self, entry: TaskEntry, mitigation: _RunMitigation, action: Action
    ) -> bool:
        """Evict once; after a failure the control decides again."""
        if self._dependencies.store.is_up:
            await self._evictions.evict(entry, action.text, action.figures)
        return True

    def _emit(self, event: Event, entry: TaskEntry, action: Action) -> None:
        self._dependencies.log.emit(
            event,
            task=entry.task_id,
            worker=entry.worker_id,
            why=action.text,
            **action.figures,
        )


def _restore_adopted(entry: TaskEntry) -> Action:
    """Return an action that lifts a throttle which a former owner may have left.

    The share is unknown, and the former owner may be unreachable. The action is
    recorded only if the row has a throttle event, so that most adoptions write nothing.
    """
    run_prefix = f"run {entry.row['run']} "
    events = [
        reason["event"]
        for reason in entry.row["reasons"]
        if reason["event"] in STEP_EVENTS and reason["text"].startswith(run_prefix)
    ]
    was_throttled = events[-1:] == [Event.TASK_THROTTLED.name]
    figures = {"share": 1.0} if was_throttled else {}
    return Action(
        MitigationStep.RESTORE,
        entry.task_id,
        entry.worker_id,
        1.0,
        ADOPTED_TEXT,
        figures,
    )


def _is_actionable(entry: TaskEntry) -> bool:
    """Return whether a run continues and no other decision about it is pending."""
    return (
        entry.state is TaskState.RUNNING
        and entry.is_settled
        and entry.report is None
        and entry.eviction is None
        and not entry.job.cancelled
    )


def _limit_step_reasons(reasons: list[Reason]) -> list[Reason]:
    """Drop all but the latest reasons about throttling."""
    step_reasons = [reason for reason in reasons if reason["event"] in STEP_EVENTS]
    dropped = step_reasons[: max(len(step_reasons) + 1 - MAX_STEP_REASONS, 0)]
    return [reason for reason in reasons if reason not in dropped][-MAX_REASONS:]
