"""Slot accounting, compared with a naive model over random operations."""

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
RESERVE_SLOTS = 1
WORKERS = [build_worker(number, slots=SLOTS) for number in range(2)]
RUNS = [f"run#{number}" for number in range(6)]
NO_RUNS: frozenset[str] = frozenset()


class SlotOperation(NamedTuple):
    name: str
    worker: int
    run: str
    is_task: bool
    listed: frozenset[str]


OPERATIONS = st.builds(
    SlotOperation,
    st.sampled_from(["open", "close", "confirm", "forget", "take", "take", "release"]),
    st.integers(0, len(WORKERS) - 1),
    st.sampled_from(RUNS),
    st.booleans(),
    st.frozensets(st.sampled_from(RUNS), max_size=SLOTS),
)


class NaiveLedger:
    """Reference model that recomputes every count from sets, without an index."""

    def __init__(self) -> None:
        self.open: set[int] = set()
        self.confirmed: set[int] = set()
        self.local: dict[int, dict[str, bool]] = {}
        self.foreign: dict[int, set[str]] = {}
        self.ended: dict[int, set[str]] = {}

    def apply(self, operation: SlotOperation) -> bool | None:
        index = operation.worker
        if operation.name == "open" and index not in self.open:
            self.open.add(index)
            self.local[index], self.foreign[index], self.ended[index] = (
                {},
                set(),
                set(),
            )
        if index not in self.open:
            return False if operation.name == "take" else None
        if operation.name == "close":
            self.open.discard(index)
            self.confirmed.discard(index)
        elif operation.name == "confirm":
            self.confirmed.add(index)
            self.foreign[index] = (
                operation.listed - self.local[index].keys() - self.ended[index]
            )
        elif operation.name == "forget":
            self.confirmed.discard(index)
        elif operation.name == "release":
            self.local[index].pop(operation.run, None)
            self.foreign[index].discard(operation.run)
            self.ended[index].add(operation.run)
        elif operation.name == "take":
            return self._take(operation)
        return None

    def _take(self, operation: SlotOperation) -> bool:
        index = operation.worker
        if operation.run in self.local[index]:
            return False
        if (
            operation.run not in self.foreign[index]
            and self.free(index, operation.is_task) == 0
        ):
            return False
        self.foreign[index].discard(operation.run)
        self.local[index][operation.run] = operation.is_task
        return True

    def used(self, index: int) -> int:
        if index not in self.open:
            return 0
        return len(self.local[index]) + len(self.foreign[index])

    def free(self, index: int, is_task: bool) -> int:
        if index not in self.confirmed:
            return 0
        return max(SLOTS - self.used(index) - (RESERVE_SLOTS if is_task else 0), 0)


def build_ledger() -> SlotLedger:
    clock = VirtualClock()
    return SlotLedger(Invariants(clock, build_log(clock)), RESERVE_SLOTS)


def build_reports(runs: Iterable[str]) -> list[RunReport]:
    return [RunReport(run, RunState.RUNNING) for run in runs]


def apply(ledger: SlotLedger, operation: SlotOperation) -> bool | None:
    worker = WORKERS[operation.worker]
    if operation.name == "open":
        ledger.track_worker(worker)
    elif operation.name == "close":
        ledger.untrack_worker(worker.worker_id)
    elif operation.name == "confirm":
        ledger.confirm(worker.worker_id, build_reports(operation.listed))
    elif operation.name == "forget":
        ledger.mark_unconfirmed(worker.worker_id)
    elif operation.name == "release":
        ledger.release_slot(worker.worker_id, operation.run)
    else:
        return ledger.allocate_slot(worker.worker_id, operation.run, operation.is_task)
    return None


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(OPERATIONS, min_size=10, max_size=60))
def test_ledger_agrees_with_naive_count(operations: list[SlotOperation]) -> None:
    """Guards against an index that diverges from the runs that it counts."""
    ledger, naive = build_ledger(), NaiveLedger()
    setup = [
        SlotOperation(name, n, "", False, NO_RUNS)
        for name in ("open", "confirm")
        for n in (0, 1)
    ]
    for operation in [*setup, *operations]:
        assert apply(ledger, operation) == naive.apply(operation)
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
def test_outdated_inventory_neither_frees_nor_occupies_slots(listed: list[str]) -> None:
    """Guards against trusting an inventory older than the latest start or end."""
    ledger = build_ledger()
    worker = WORKERS[0]
    ledger.track_worker(worker)
    ledger.confirm(worker.worker_id, build_reports(["old#1"]))
    ledger.release_slot(worker.worker_id, "old#1")
    assert ledger.allocate_slot(worker.worker_id, "new#1", is_task=False)
    ledger.confirm(worker.worker_id, build_reports(listed))
    assert ledger.in_flight(worker.worker_id) == 1


def test_handlers_are_called_only_when_slots_become_usable() -> None:
    """Guards against waiters that are never woken, or woken for unconfirmed slots."""
    ledger = build_ledger()
    worker = WORKERS[0]
    freed: list[str] = []
    ledger.on_free(freed.append)
    ledger.track_worker(worker)
    assert freed == []
    ledger.confirm(worker.worker_id, build_reports(["a#1", "b#1", "c#1"]))
    assert freed == []
    ledger.confirm(worker.worker_id, build_reports(["a#1"]))
    assert freed == [worker.worker_id]
    assert ledger.allocate_slot(worker.worker_id, "d#1", is_task=True)
    assert not ledger.allocate_slot(worker.worker_id, "e#1", is_task=True)
    ledger.release_slot(worker.worker_id, "d#1")
    assert freed == [worker.worker_id] * 2
