"""Carrying out of what the pressure control of one shard decides."""

from collections import defaultdict
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok

from hyssopweir.clock import Millis
from hyssopweir.contracts import Reason, TaskState
from hyssopweir.events import Event
from hyssopweir.evictions import Evictions
from hyssopweir.pressure import Action, PressureControl, RunningTask, Step
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_recovery import RunSettler
from hyssopweir.task_rows import MOST_REASONS, Entry, TaskDependencies
from hyssopweir.worker_client import RunState

# Passes of the shard may follow each other within a few ms.
DECIDE_MS: Millis = 500
RETRY_MS: Millis = 500
# A task that can't be saved stays throttled and is not evicted.
MOST_CHECKPOINT_TRIES = 3
# A long oscillating wave must not push the reasons of the start out of the row.
MOST_STEP_REASONS = 4
STEP_EVENTS = (Event.TASK_THROTTLED.name, Event.TASK_RESTORED.name)

ADOPTED_TEXT = "the owner of its worker has changed, and the new one decides afresh"


class _Hold:
    """Hold what was done to one run because of pressure."""

    def __init__(self, run_id: str, since_ms: Millis) -> None:
        self.run_id = run_id
        self.step: Step | None = None
        self.pending: Action | None = None
        self.is_saved = False
        self.saved_ms = since_ms
        self.checkpoint: str | None = None
        self.tries = 0
        self.retry_ms: Millis = 0


class MitigationExecutor:
    """Ask the control of one shard, and carry its actions out at the workers.

    An action belongs to one run. It is dropped if the run ends, or if its end, its
    eviction or its cancellation is under way.
    """

    def __init__(
        self,
        parts: TaskDependencies,
        records: TaskRecords,
        settler: RunSettler,
        evictions: Evictions,
        control: PressureControl,
    ) -> None:
        self.control = control
        self._parts = parts
        self._records = records
        self._settler = settler
        self._evictions = evictions
        self._holds: dict[str, _Hold] = {}
        self._decide_ms: Millis = 0

    def decide(self) -> None:
        """Note the actions that are due now."""
        now_ms = self._parts.clock.now_ms()
        if now_ms < self._decide_ms:
            return
        self._decide_ms = now_ms + DECIDE_MS
        runs = self._runs(now_ms)
        for action in self.control.decide(runs, now_ms):
            self._note(self._holds[action.task_id], action)

    def is_pressed(self, worker_id: str) -> bool:
        """Tell whether tasks had better be placed on other workers."""
        return self.control.is_under_pressure(worker_id, self._parts.clock.now_ms())

    def next_action(self, entry: Entry) -> Coroutine[Any, Any, None] | None:
        """Return the act that is due for a run, None if there is none.

        The caller carries out its end, cancellation or eviction first.
        """
        hold = self._holds.get(entry.task_id)
        if hold is None or hold.pending is None or hold.run_id != entry.run_id:
            return None
        if hold.retry_ms > self._parts.clock.now_ms():
            return None
        return self._carry_out(entry, hold, hold.pending)

    def _runs(self, now_ms: Millis) -> dict[str, list[RunningTask]]:
        entries = self._records.entries.values()
        held = {entry.task_id: self._hold(entry, now_ms) for entry in entries}
        self._holds = {task_id: hold for task_id, hold in held.items() if hold}
        runs: dict[str, list[RunningTask]] = defaultdict(list)
        for entry in entries:
            hold = held[entry.task_id]
            if hold is not None and _is_open(entry):
                runs[entry.worker_id].append(self._running(entry, hold, now_ms))
        return runs

    def _hold(self, entry: Entry, now_ms: Millis) -> _Hold | None:
        """Return what was done to a run, also while its state is being settled."""
        hold = self._holds.get(entry.task_id)
        if hold is None or hold.run_id != entry.run_id:
            if not _is_open(entry):
                return None
            hold = _Hold(entry.run_id, entry.witnessed_ms or now_ms)
            hold.checkpoint = entry.checkpoint
            if entry.witnessed_ms is None:
                hold.pending = _restore_adopted(entry)
        if hold.checkpoint != entry.checkpoint:
            hold.checkpoint, hold.saved_ms = entry.checkpoint, now_ms
        return hold

    def _running(self, entry: Entry, hold: _Hold, now_ms: Millis) -> RunningTask:
        worker = self._parts.view.worker(entry.worker_id)
        cores = entry.job.spec["cores"]
        return RunningTask(
            entry.task_id,
            entry.job.spec["kind"],
            cores / worker.cores if worker is not None else 0.0,
            now_ms - hold.saved_ms,
            hold.step,
            hold.is_saved,
            hold.pending is not None,
        )

    def _note(self, hold: _Hold, action: Action) -> None:
        hold.pending, hold.tries, hold.retry_ms = action, 0, 0
        if action.step is Step.RESTORE:
            hold.step, hold.is_saved = None, False
        elif action.step is not Step.EVICT:
            hold.step = action.step

    async def _carry_out(self, entry: Entry, hold: _Hold, action: Action) -> None:
        acts = {
            Step.THROTTLE: self._throttle,
            Step.RESTORE: self._throttle,
            Step.CHECKPOINT: self._checkpoint,
            Step.EVICT: self._evict,
        }
        is_done = await acts[action.step](entry, hold, action)
        if is_done and hold.pending is action:
            hold.pending = None
        hold.retry_ms = 0 if is_done else self._parts.clock.now_ms() + RETRY_MS

    async def _throttle(self, entry: Entry, hold: _Hold, action: Action) -> bool:
        target = self._settler.target(entry.worker_id)
        if isinstance(target, Err):
            return False
        worker, fence = target.ok_value
        reply = await self._parts.client.throttle(
            worker, fence, hold.run_id, action.share
        )
        if isinstance(reply, Err):
            self._settler.note_refusal(reply.err_value)
            return False
        # What a run that has ended leads to follows from the worker's report of it.
        if reply.ok_value.state is RunState.RUNNING and action.figures:
            await self._record_share(entry, hold, action)
        return True

    async def _record_share(self, entry: Entry, hold: _Hold, action: Action) -> None:
        is_throttled = action.step is Step.THROTTLE
        event = Event.TASK_THROTTLED if is_throttled else Event.TASK_RESTORED
        self._emit(event, entry, action)
        what = "may use all its processors again"
        if is_throttled:
            what = f"is throttled to {action.share:.0%} of its processors"
        text = f"run {entry.row['run']} {what}: {action.text}"
        reason = self._records.reason(event, text, action.figures)
        entry.pending_reasons = _thinned(entry.pending_reasons)
        if self._parts.store.is_up and entry.run_id == hold.run_id:
            kept = _thinned(entry.row["reasons"])
            reply = await self._records.change(entry, reason, reasons=kept)
            if isinstance(reply, Ok):
                return
        if entry.run_id == hold.run_id:
            entry.pending_reasons.append(reason)

    async def _checkpoint(self, entry: Entry, hold: _Hold, action: Action) -> bool:
        hold.tries += 1
        reply = await self._evictions.save(entry)
        if isinstance(reply, Err):
            return hold.tries >= MOST_CHECKPOINT_TRIES
        hold.is_saved = entry.checkpoint is not None
        hold.checkpoint = entry.checkpoint
        hold.saved_ms = self._parts.clock.now_ms()
        self._emit(Event.TASK_CHECKPOINTED, entry, action)
        return True

    async def _evict(self, entry: Entry, hold: _Hold, action: Action) -> bool:
        """Evict once; after a failure the control decides anew."""
        if self._parts.store.is_up:
            await self._evictions.evict(entry, action.text, action.figures)
        return True

    def _emit(self, event: Event, entry: Entry, action: Action) -> None:
        self._parts.log.emit(
            event,
            task=entry.task_id,
            worker=entry.worker_id,
            why=action.text,
            **action.figures,
        )


def _restore_adopted(entry: Entry) -> Action:
    """Return the end of a throttling that a former owner may have left.

    The share is not known, and the former owner may be gone. The end is recorded only
    if the row tells of a throttling, so that most adoptions write nothing.
    """
    run = f"run {entry.row['run']} "
    events = [
        reason["event"]
        for reason in entry.row["reasons"]
        if reason["event"] in STEP_EVENTS and reason["text"].startswith(run)
    ]
    is_told = events[-1:] == [Event.TASK_THROTTLED.name]
    figures = {"share": 1.0} if is_told else {}
    return Action(
        Step.RESTORE, entry.task_id, entry.worker_id, 1.0, ADOPTED_TEXT, figures
    )


def _is_open(entry: Entry) -> bool:
    """Tell whether a run goes on and nothing else is decided about it."""
    return (
        entry.state is TaskState.RUNNING
        and entry.is_settled
        and entry.report is None
        and entry.eviction is None
        and not entry.job.cancelled
    )


def _thinned(reasons: list[Reason]) -> list[Reason]:
    """Return the reasons with only the newest ones about throttling."""
    steps = [reason for reason in reasons if reason["event"] in STEP_EVENTS]
    dropped = steps[: max(len(steps) + 1 - MOST_STEP_REASONS, 0)]
    return [reason for reason in reasons if reason not in dropped][-MOST_REASONS:]
