"""Runtime invariant checks; a violation is logged and aborts the operation."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Any

from hyssopweir.clock import Clock, Millis
from hyssopweir.contracts import Answer, Request, digest_of
from hyssopweir.events import Event, EventLog

MAX_RECENT_ENTRIES = 10_000
LEAVING_BOUND_MS: Millis = 3_000


class InvariantError(Exception):
    """Raised by an operation that would violate an invariant."""


class RecentMap(OrderedDict[Hashable, Any]):
    """Mapping that keeps the newest ``MAX_RECENT_ENTRIES`` entries."""

    def __setitem__(self, key: Hashable, value: Any) -> None:
        super().__setitem__(key, value)
        if len(self) > MAX_RECENT_ENTRIES:
            self.popitem(last=False)


class Invariants:
    """Checks the invariants of one process, in constant time for each operation."""

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._live_runs: dict[str, str] = {}
        self._resumed_evictions: RecentMap = RecentMap()
        self._dispatched_attempts: RecentMap = RecentMap()
        self._reported_not_run: RecentMap = RecentMap()
        self._versions: dict[str, int] = {}
        self.breaches = 0

    def check_slot_limit(self, worker_id: str, used: int, limit: int) -> None:
        """Check that a worker's slots (or connections) are not exceeded."""
        if not 0 <= used <= limit:
            self._report_breach("slots", worker=worker_id, used=used, limit=limit)

    def check_single_run(self, task_id: str, run_id: str) -> None:
        """Check that this process has no other live run of the task."""
        live = self._live_runs.get(task_id)
        if live is not None and live != run_id:
            self._report_breach("one live run", task=task_id, live=live, run=run_id)
        self._live_runs[task_id] = run_id

    def record_run_end(self, task_id: str, run_id: str) -> None:
        """Record that a run has ended for certain or belongs to another process now."""
        if self._live_runs.get(task_id) == run_id:
            del self._live_runs[task_id]

    def check_single_resume(self, task_id: str, evicted_run: int) -> None:
        """Check that an evicted run is resumed only once."""
        if (task_id, evicted_run) in self._resumed_evictions:
            self._report_breach("one resume", task=task_id, run=evicted_run)
        self._resumed_evictions[task_id, evicted_run] = True

    def check_single_dispatch(self, caller: str, key: str, attempt: int) -> None:
        """Check that an attempt of an idempotency key is dispatched only once."""
        if (caller, key, attempt) in self._dispatched_attempts:
            self._report_breach("one dispatch", caller=caller, key=key, attempt=attempt)
        self._dispatched_attempts[caller, key, attempt] = True

    def check_answer(self, req: Request, answer: Answer) -> None:
        """Check that an answer is undamaged and belongs to the request."""
        if answer.request_id != req.request_id:
            self._report_breach(
                "answer matches",
                request_id=req.request_id,
                answer_of=answer.request_id,
            )
        if answer.digest != digest_of(answer.body):
            self._report_breach("answer is whole", request_id=req.request_id)

    def record_not_run(self, request_id: str) -> None:
        """Record that a request was reported to its caller as not run."""
        self._reported_not_run[request_id] = True

    def check_not_refused(self, request_id: str) -> None:
        """Check that the request was not reported to its caller as not run."""
        if request_id in self._reported_not_run:
            self._report_breach("not run is true", request_id=request_id)

    def check_version(self, name: str, version: int) -> None:
        """Check that a version, such as the configuration's, never decreases."""
        if version < self._versions.get(name, 0):
            self._report_breach(
                "versions grow",
                name=name,
                version=version,
                held=self._versions[name],
            )
        self._versions[name] = version

    def check_not_leaving(
        self, worker_id: str, leaving_since_ms: Millis | None
    ) -> None:
        """Check that a leaving worker gets no work after ``LEAVING_BOUND_MS``."""
        if leaving_since_ms is None:
            return
        late_ms = self._clock.now_ms() - leaving_since_ms
        if late_ms > LEAVING_BOUND_MS:
            self._report_breach(
                "no work for leaving", worker=worker_id, late_ms=late_ms
            )

    def _report_breach(self, invariant: str, **fields: Any) -> None:
        self.breaches += 1
        self._log.emit(Event.INVARIANT_BREACH, promise=invariant, **fields)
        raise InvariantError(f"{invariant}: {fields}")
