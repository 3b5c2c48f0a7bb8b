"""Tests that run each benchmark at a small size and don't check any times."""

import asyncio
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import pytest

from benchmarks import report
from benchmarks.decisions import measure_decisions
from benchmarks.entry_path import PATHS, SERVICES, Scale, measure_entry_path
from benchmarks.flow import (
    measure_in_flight,
    measure_key_record,
    measure_requests,
    measure_starts,
    measure_table_calls,
)
from benchmarks.instances import measure_idle
from benchmarks.mesh import measure_mesh
from benchmarks.owner import OwnerLoad, measure_owner
from benchmarks.slopes import Slope, fit
from benchmarks.state import (
    measure_configuration,
    measure_notifications,
    measure_scans,
    measure_state,
)
from benchmarks.wire import measure_wire

SMALL_COUNTS = (2, 4, 8)

SLOPE_BENCHMARKS: list[Callable[[], Sequence[Slope]]] = [
    lambda: measure_state(SMALL_COUNTS),
    lambda: measure_scans(SMALL_COUNTS),
    lambda: measure_configuration(1),
    lambda: measure_notifications(SMALL_COUNTS),
    lambda: [measure_in_flight(SMALL_COUNTS, workers=2)],
    lambda: [measure_requests(SMALL_COUNTS, workers=2, keyed=False)],
    lambda: [measure_requests(SMALL_COUNTS, workers=2, keyed=True)],
    lambda: [measure_starts(SMALL_COUNTS, workers=2)[0]],
    lambda: [asyncio.run(measure_mesh((2, 3), notifications=2))[0]],
]


@pytest.mark.parametrize("measure", SLOPE_BENCHMARKS)
def test_slopes_have_a_point_for_each_size(measure: Callable[[], Any]) -> None:
    """Guards against a benchmark that fails after a change to the scheduler."""
    slopes = measure()
    for slope in slopes:
        assert len(slope.points) >= 2
        assert all(point.bytes or point.us for point in slope.points)
    assert len(report.slope_table(slopes)) == len(slopes) + 2


def test_fit_returns_the_slope_of_a_line() -> None:
    """Guards against a wrong cost per item on the capacity page."""
    assert fit([1, 2, 4], [12.0, 15.0, 21.0]) == pytest.approx(3.0)


def test_key_record_takes_two_writes() -> None:
    """Guards against an outdated write budget on the capacity page."""
    assert 2.0 <= measure_key_record(4).commits < 2.5


def test_table_calls_are_counted_while_work_is_unchanged() -> None:
    """Guards against counting the calls of a table that the instance doesn't use."""
    calls = measure_table_calls((2,), tasks_per_shard=2)
    assert [call.tasks for call in calls] == [0, 2]
    assert all(call.reads_s > 0 and call.commits_s > 0 for call in calls)
    assert len(report.table_call_rates(calls)) == len(calls) + 2


def test_instance_list_bytes_grow_with_its_size() -> None:
    """Guards against counting the bytes of a connection that the call doesn't use."""
    costs = asyncio.run(measure_wire((2, 4), (2, 4), (2, 4)))
    assert all(cost.sent > 0 and cost.received > 0 for cost in costs)
    listed = [cost.received for cost in costs if cost.name.startswith("instance")]
    assert listed == sorted(set(listed))
    assert len(report.wire_table(costs)) == len(costs) + 2


def test_decisions_are_timed_at_each_size() -> None:
    """Guards against a decision that fails at a certain fleet size."""
    decisions = measure_decisions((9, 18), repeats=2, seed=1)
    assert all(list(decision.us) == [9, 18] for decision in decisions)
    assert len(report.decision_table(decisions)) == len(decisions) + 2


def test_entry_path_answers_on_each_path() -> None:
    """Guards against a load generator that counts wrong or missing answers as good."""
    result = measure_entry_path(1, Scale(1, 4, 40, 5.0))
    assert len(result.measurements) == 2 * len(PATHS) * len(SERVICES)
    assert all(m.failed == 0 and m.requests > 0 for m in result.measurements)
    assert len(report.entry_tables(result)) > len(result.measurements)


def test_idle_measurement_reads_memory_of_each_process() -> None:
    """Guards against measuring a process that has ended."""
    (cost,) = measure_idle((2,), watch_s=0.2)
    assert all(size > 0 for size in cost.rss_bytes.values())


def test_owner_runs_the_tasks_of_its_load() -> None:
    """Guards against a cost of an owner that did not start what it was given."""
    load = OwnerLoad(workers=4, starts_per_second=30, images=2, seconds=2.0)
    (cost,) = measure_owner(load, [str(Path(__file__).parents[1])])
    assert cost.runs >= 30
    assert cost.done >= 15
    assert cost.cpu_s > 0
    assert len(report.owner_table([cost])) == 3
