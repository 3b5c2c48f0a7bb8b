"""History of the task kinds that ran on each worker, on the owner's clock."""

from collections import deque
from typing import NamedTuple

from hyssopweir.clock import MINUTE_MS, Millis

# Measurements arrive seconds late, but no query reaches back further than this.
HISTORY_MS: Millis = MINUTE_MS
# Bounds memory and query time on workers whose tasks last only milliseconds.
MAX_ENDED_RUNS = 256


class _LiveRun(NamedTuple):
    kind: str
    from_ms: Millis


class _EndedRun(NamedTuple):
    kind: str
    from_ms: Millis
    to_ms: Millis


class _WorkerHistory:
    """Live and ended runs of one worker, the latest ended run last."""

    def __init__(self) -> None:
        self.live: dict[str, _LiveRun] = {}
        # Live runs by kind, cached for routing: read for each request and worker.
        self.counts: dict[str, int] = {}
        self.ended: deque[_EndedRun] = deque(maxlen=MAX_ENDED_RUNS)


class Colocation:
    """Tracks the task runs of each worker during the last ``HISTORY_MS``.

    Memory per worker is bounded by its live runs and ``MAX_ENDED_RUNS`` ended runs.
    """

    def __init__(self) -> None:
        self._histories: dict[str, _WorkerHistory] = {}

    def record_start(
        self, worker_id: str, run_id: str, kind: str, now_ms: Millis
    ) -> None:
        """Record the start of a run, or a run that was found running."""
        history = self._histories.setdefault(worker_id, _WorkerHistory())
        if run_id not in history.live:
            history.live[run_id] = _LiveRun(kind, now_ms)
            history.counts[kind] = history.counts.get(kind, 0) + 1

    def record_end(self, worker_id: str, run_id: str, now_ms: Millis) -> None:
        """Record the end of a run; unknown runs are ignored."""
        history = self._histories.get(worker_id)
        run = history.live.pop(run_id, None) if history is not None else None
        if history is None or run is None:
            return
        history.counts[run.kind] -= 1
        if not history.counts[run.kind]:
            del history.counts[run.kind]
        history.ended.append(_EndedRun(run.kind, run.from_ms, now_ms))
        while history.ended and history.ended[0].to_ms < now_ms - HISTORY_MS:
            history.ended.popleft()

    def mean_counts(
        self, worker_id: str, from_ms: Millis, to_ms: Millis
    ) -> dict[str, float]:
        """Return the mean number of concurrent runs of each kind in the interval."""
        history = self._histories.get(worker_id)
        if history is None:
            return {}
        # Extends an empty interval, so that it yields the counts at that moment.
        to_ms = max(to_ms, from_ms + 1)
        means: dict[str, float] = {}
        for run in history.live.values():
            _add_share(
                means,
                run.kind,
                to_ms - max(run.from_ms, from_ms),
                to_ms - from_ms,
            )
        for ended_run in reversed(history.ended):
            if ended_run.to_ms <= from_ms:
                break
            overlap_ms = min(ended_run.to_ms, to_ms) - max(ended_run.from_ms, from_ms)
            _add_share(means, ended_run.kind, overlap_ms, to_ms - from_ms)
        return means

    def live_counts(self, worker_id: str) -> dict[str, int]:
        """Return the number of live runs of each kind."""
        history = self._histories.get(worker_id)
        return dict(history.counts) if history is not None else {}

    def kind_of(self, worker_id: str, run_id: str) -> str | None:
        """Return the task kind of a live run, None if the run is unknown."""
        history = self._histories.get(worker_id)
        run = history.live.get(run_id) if history is not None else None
        return run.kind if run is not None else None

    def drop_worker(self, worker_id: str) -> None:
        """Remove the history of a worker that was lost or has restarted."""
        self._histories.pop(worker_id, None)


def _add_share(
    means: dict[str, float], kind: str, overlap_ms: Millis, interval_ms: Millis
) -> None:
    if overlap_ms > 0:
        means[kind] = means.get(kind, 0.0) + overlap_ms / interval_ms
