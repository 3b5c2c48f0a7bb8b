"""Which task kinds ran on a worker when, on the owner's clock."""

from collections import deque
from typing import NamedTuple

from hyssopweir.clock import MINUTE_MS, Millis

# Measurements arrive seconds late; a run that ended earlier is not asked for any more.
HISTORY_MS: Millis = MINUTE_MS
# Bounds memory and the cost of a question where tasks last only milliseconds.
MOST_ENDED = 256


class _Live(NamedTuple):
    kind: str
    from_ms: Millis


class _Ended(NamedTuple):
    kind: str
    from_ms: Millis
    to_ms: Millis


class _History:
    """Hold the live runs of one worker and those that ended, the newest last."""

    def __init__(self) -> None:
        self.live: dict[str, _Live] = {}
        # Routing asks for these for each request and worker.
        self.counts: dict[str, int] = {}
        self.ended: deque[_Ended] = deque(maxlen=MOST_ENDED)


class Colocation:
    """Remember the runs of the last ``HISTORY_MS`` of each worker.

    Memory for each worker: its live runs and ``MOST_ENDED`` ended ones.
    """

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}

    def started(self, worker_id: str, run_id: str, kind: str, now_ms: Millis) -> None:
        """Note a run that has started, or that was found running."""
        history = self._histories.setdefault(worker_id, _History())
        if run_id not in history.live:
            history.live[run_id] = _Live(kind, now_ms)
            history.counts[kind] = history.counts.get(kind, 0) + 1

    def ended(self, worker_id: str, run_id: str, now_ms: Millis) -> None:
        """Note the end of a run; an unknown run is ignored."""
        history = self._histories.get(worker_id)
        run = history.live.pop(run_id, None) if history is not None else None
        if history is None or run is None:
            return
        history.counts[run.kind] -= 1
        if not history.counts[run.kind]:
            del history.counts[run.kind]
        history.ended.append(_Ended(run.kind, run.from_ms, now_ms))
        while history.ended and history.ended[0].to_ms < now_ms - HISTORY_MS:
            history.ended.popleft()

    def between(
        self, worker_id: str, from_ms: Millis, to_ms: Millis
    ) -> dict[str, float]:
        """Return the mean number of runs of each kind during the interval."""
        history = self._histories.get(worker_id)
        if history is None:
            return {}
        # An interval of no length asks for that moment.
        to_ms = max(to_ms, from_ms + 1)
        shares: dict[str, float] = {}
        for run in history.live.values():
            _add(shares, run.kind, to_ms - max(run.from_ms, from_ms), to_ms - from_ms)
        for past in reversed(history.ended):
            if past.to_ms <= from_ms:
                break
            spent_ms = min(past.to_ms, to_ms) - max(past.from_ms, from_ms)
            _add(shares, past.kind, spent_ms, to_ms - from_ms)
        return shares

    def now(self, worker_id: str) -> dict[str, int]:
        """Return the number of live runs of each kind."""
        history = self._histories.get(worker_id)
        return dict(history.counts) if history is not None else {}

    def kind_of(self, worker_id: str, run_id: str) -> str | None:
        """Return the kind of a live run."""
        history = self._histories.get(worker_id)
        run = history.live.get(run_id) if history is not None else None
        return run.kind if run is not None else None

    def forget(self, worker_id: str) -> None:
        """Drop a worker that was lost, or whose runs a restart has ended."""
        self._histories.pop(worker_id, None)


def _add(shares: dict[str, float], kind: str, spent_ms: Millis, of_ms: Millis) -> None:
    if spent_ms > 0:
        shares[kind] = shares.get(kind, 0.0) + spent_ms / of_ms
