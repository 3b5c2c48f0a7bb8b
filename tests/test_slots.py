"""The exact count of slots, compared with a naive count over random operations."""

from collections.abc import Iterable
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopweir.invariants import Invariants
from hyssopweir.slots import SlotLedger
from hyssopweir.worker_client import RunReport, RunState
from tests.builders import build_log, build_worker
from tests.virtual_time import VirtualClock

SLOTS = 3
RESERVE = 1
WORKERS = [build_worker(number, slots=SLOTS) for number in range(2)]
RUNS = [f"run#{number}" for number in range(6)]
NONE: frozenset[str] = frozenset()


class Op(NamedTuple):
    name: str
    worker: int
    run: str
    is_task: bool
    listed: frozenset[str]


OPS = st.builds(
    Op,
    st.sampled_from(["open", "close", "confirm", "forget", "take", "take", "release"]),
    st.integers(0, len(WORKERS) - 1),
    st.sampled_from(RUNS),
    st.booleans(),
    st.frozensets(st.sampled_from(RUNS), max_size=SLOTS),
)


class NaiveLedger:
    """Recompute everything from sets, without an index."""

    def __init__(self) -> None:
        self.open: set[int] = set()
        self.confirmed: set[int] = set()
        self.local: dict[int, dict[str, bool]] = {}
        self.foreign: dict[int, set[str]] = {}
        self.ended: dict[int, set[str]] = {}

    def apply(self, op: Op) -> bool | None:
        w = op.worker
        if op.name == "open" and w not in self.open:
            self.open.add(w)
            self.local[w], self.foreign[w], self.ended[w] = {}, set(), set()
        if w not in self.open:
            return False if op.name == "take" else None
        if op.name == "close":
            self.open.discard(w)
            self.confirmed.discard(w)
        elif op.name == "confirm":
            self.confirmed.add(w)
            self.foreign[w] = op.listed - self.local[w].keys() - self.ended[w]
        elif op.name == "forget":
            self.confirmed.discard(w)
        elif op.name == "release":
            self.local[w].pop(op.run, None)
            self.foreign[w].discard(op.run)
            self.ended[w].add(op.run)
        elif op.name == "take":
            return self._take(op)
        return None

    def _take(self, op: Op) -> bool:
        w = op.worker
        if op.run in self.local[w]:
            return False
        if op.run not in self.foreign[w] and self.free(w, op.is_task) == 0:
            return False
        self.foreign[w].discard(op.run)
        self.local[w][op.run] = op.is_task
        return True

    def used(self, w: int) -> int:
        if w not in self.open:
            return 0
        return len(self.local[w]) + len(self.foreign[w])

    def free(self, w: int, is_task: bool) -> int:
        if w not in self.confirmed:
            return 0
        return max(SLOTS - self.used(w) - (RESERVE if is_task else 0), 0)


def build_ledger() -> SlotLedger:
    clock = VirtualClock()
    return SlotLedger(Invariants(clock, build_log(clock)), RESERVE)


def reports(runs: Iterable[str]) -> list[RunReport]:
    return [RunReport(run, RunState.RUNNING) for run in runs]


def apply(ledger: SlotLedger, op: Op) -> bool | None:
    worker = WORKERS[op.worker]
    if op.name == "open":
        ledger.track_worker(worker)
    elif op.name == "close":
        ledger.untrack_worker(worker.worker_id)
    elif op.name == "confirm":
        ledger.confirm(worker.worker_id, reports(op.listed))
    elif op.name == "forget":
        ledger.forget(worker.worker_id)
    elif op.name == "release":
        ledger.release(worker.worker_id, op.run)
    else:
        return ledger.take(worker.worker_id, op.run, op.is_task)
    return None


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(OPS, min_size=10, max_size=60))
def test_ledger_agrees_with_naive_count(ops: list[Op]) -> None:
    """Guards against an index that drifts away from the runs it counts."""
    ledger, naive = build_ledger(), NaiveLedger()
    start = [
        Op(name, n, "", False, NONE) for name in ("open", "confirm") for n in (0, 1)
    ]
    for op in [*start, *ops]:
        assert apply(ledger, op) == naive.apply(op)
        ids = [worker.worker_id for worker in WORKERS]
        for number, worker_id in enumerate(ids):
            assert ledger.in_flight(worker_id) == naive.used(number)
            for is_task in (False, True):
                assert ledger.free(worker_id, is_task) == naive.free(number, is_task)
        for is_task in (False, True):
            expected = sorted(
                (naive.used(n), ids[n])
                for n in range(len(ids))
                if naive.free(n, is_task)
            )
            ranked = list(ledger.ranked(WORKERS[0].shard, is_task))
            assert ranked == [worker_id for _, worker_id in expected]
        total = sum(naive.free(n, False) for n in range(len(ids)))
        assert ledger.shard_free_slots(WORKERS[0].shard) == total


@pytest.mark.parametrize("listed", [[], ["old#1"]])
def test_old_inventory_neither_frees_nor_blocks(listed: list[str]) -> None:
    """Guards against an inventory that is older than the latest take or release."""
    ledger = build_ledger()
    worker = WORKERS[0]
    ledger.track_worker(worker)
    ledger.confirm(worker.worker_id, reports(["old#1"]))
    ledger.release(worker.worker_id, "old#1")
    assert ledger.take(worker.worker_id, "new#1", is_task=False)
    ledger.confirm(worker.worker_id, reports(listed))
    assert ledger.in_flight(worker.worker_id) == 1


def test_free_slot_is_announced_once_it_can_be_used() -> None:
    """Guards against waiters that are never woken, or woken before a confirmation."""
    ledger = build_ledger()
    worker = WORKERS[0]
    freed: list[str] = []
    ledger.on_free(freed.append)
    ledger.track_worker(worker)
    assert freed == []
    ledger.confirm(worker.worker_id, reports(["a#1", "b#1", "c#1"]))
    assert freed == []
    ledger.confirm(worker.worker_id, reports(["a#1"]))
    assert freed == [worker.worker_id]
    assert ledger.take(worker.worker_id, "d#1", is_task=True)
    assert not ledger.take(worker.worker_id, "e#1", is_task=True)
    ledger.release(worker.worker_id, "d#1")
    assert freed == [worker.worker_id] * 2
