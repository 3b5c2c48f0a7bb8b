"""Assertions of the promises; a breach is logged and stops the act that causes it."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Any

from hyssopweir.clock import Clock, Millis
from hyssopweir.contracts import Answer, Request, digest_of
from hyssopweir.events import Event, EventLog

REMEMBERED = 10_000
LEAVING_BOUND_MS: Millis = 3_000


class InvariantError(Exception):
    """Stop an act that would break a promise."""


class RecentMap(OrderedDict[Hashable, Any]):
    """Remember the newest ``REMEMBERED`` entries."""

    def __setitem__(self, key: Hashable, value: Any) -> None:
        super().__setitem__(key, value)
        if len(self) > REMEMBERED:
            self.popitem(last=False)


class Invariants:
    """Check the promises of one process in constant time for each act."""

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._live_runs: dict[str, str] = {}
        self._resumed: RecentMap = RecentMap()
        self._dispatched: RecentMap = RecentMap()
        self._not_run: RecentMap = RecentMap()
        self._versions: dict[str, int] = {}
        self.breaches = 0

    def check_slot_limit(self, worker_id: str, used: int, limit: int) -> None:
        """Require that a worker's slots (or connections) are not exceeded."""
        if not 0 <= used <= limit:
            self._breach("slots", worker=worker_id, used=used, limit=limit)

    def check_single_run(self, task_id: str, run_id: str) -> None:
        """Require that no other run of the task is live here."""
        live = self._live_runs.get(task_id)
        if live is not None and live != run_id:
            self._breach("one live run", task=task_id, live=live, run=run_id)
        self._live_runs[task_id] = run_id

    def record_run_end(self, task_id: str, run_id: str) -> None:
        """Note the confirmed end of a run, or that another process took it over."""
        if self._live_runs.get(task_id) == run_id:
            del self._live_runs[task_id]

    def check_single_resume(self, task_id: str, evicted_run: int) -> None:
        """Require that a run that was evicted is resumed once."""
        if (task_id, evicted_run) in self._resumed:
            self._breach("one resume", task=task_id, run=evicted_run)
        self._resumed[task_id, evicted_run] = True

    def key_dispatched(self, caller: str, key: str, attempt: int) -> None:
        """Require that an attempt of an idempotency key is dispatched once."""
        if (caller, key, attempt) in self._dispatched:
            self._breach("one dispatch", caller=caller, key=key, attempt=attempt)
        self._dispatched[caller, key, attempt] = True

    def answer_matches(self, req: Request, answer: Answer) -> None:
        """Require that an answer is whole and belongs to the request."""
        if answer.request_id != req.request_id:
            self._breach(
                "answer matches",
                request_id=req.request_id,
                answer_of=answer.request_id,
            )
        if answer.digest != digest_of(answer.body):
            self._breach("answer is whole", request_id=req.request_id)

    def refused_as_not_run(self, request_id: str) -> None:
        """Note that the caller of a request was told that it did not run."""
        self._not_run[request_id] = True

    def request_dispatched(self, request_id: str) -> None:
        """Require that no caller was told that the request did not run."""
        if request_id in self._not_run:
            self._breach("not run is true", request_id=request_id)

    def check_version(self, name: str, version: int) -> None:
        """Require that a version, such as the configuration's, never goes back."""
        if version < self._versions.get(name, 0):
            self._breach(
                "versions grow",
                name=name,
                version=version,
                held=self._versions[name],
            )
        self._versions[name] = version

    def work_given(self, worker_id: str, leaving_since_ms: Millis | None) -> None:
        """Require that a worker that leaves gets no work after the bound."""
        if leaving_since_ms is None:
            return
        late_ms = self._clock.now_ms() - leaving_since_ms
        if late_ms > LEAVING_BOUND_MS:
            self._breach("no work for leaving", worker=worker_id, late_ms=late_ms)

    def _breach(self, promise: str, **fields: Any) -> None:
        self.breaches += 1
        self._log.emit(Event.INVARIANT_BREACH, promise=promise, **fields)
        raise InvariantError(f"{promise}: {fields}")
