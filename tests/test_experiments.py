"""The experiments are repeatable, and their workers do slow services down."""

from pathlib import Path
from typing import Any

import pytest

from experiments.pool import Span, run_cells
from experiments.report import BEGIN, END, write_section
from experiments.trial import Cell
from experiments.worker_model import BatchEvent, ModelWorker
from hyssopweir.standin_workers import WorkAudit
from hyssopweir.worker_client import Fence, RequestRun, TaskRun
from tests.builders import build_worker
from tests.virtual_time import VirtualClock, run_virtual

HARM = {("price-check", "price-watch"): 0.5}
TINY = Span(500, 2_000)
WATCH = "price-watch"


async def start_worker(events: list[BatchEvent]) -> tuple[ModelWorker, Fence]:
    clock = VirtualClock()
    machine, cores = build_worker(cores=4.0), {"price-check": 1.0}
    worker = ModelWorker(machine, clock, WorkAudit(clock), HARM, cores, events)
    (await worker.claim(1)).unwrap()
    return worker, Fence(1, worker.incarnation)


def measure(kinds: list[str], share: float = 1.0, **truth: Any) -> dict[str, Any]:
    """Run a price check of 100 ms beside tasks on a worker of 4 cores."""
    events: list[BatchEvent] = []

    async def main() -> float:
        worker, fence = await start_worker(events)
        clock = VirtualClock()
        payload = {"work_ms": 5_000, "cores": 0.5, "memory_gb": 1.0, **truth}
        for number, kind in enumerate(kinds):
            run = TaskRun(f"j/{number}#1", kind, 1, 1.0, 2.0, 0, payload, None)
            (await worker.start(fence, run, 10**9)).unwrap()
            (await worker.throttle(fence, run.run_id, share)).unwrap()
        started_ms = clock.now_ms()
        req = RequestRun("r#1", "r", "price-check", b"100", 10_000)
        (await worker.execute(fence, req)).unwrap()
        latency_ms = clock.now_ms() - started_ms
        await clock.sleep_ms(30_000)
        return latency_ms

    return {"latency_ms": run_virtual(main()), "ends": [item.what for item in events]}


@pytest.mark.parametrize(
    ("kinds", "share", "truth", "slowdown"),
    [
        ([], 1.0, {}, 1.0),
        (["repaint-round"], 1.0, {}, 1.0),
        ([WATCH], 1.0, {}, 1.35),
        ([WATCH] * 3, 1.0, {}, 3.32),
        ([WATCH] * 3, 0.5, {}, 1.82),
        (["repaint-round"] * 3, 1.0, {"cores": 2.0}, 1.75),
    ],
)
def test_tasks_slow_requests_down(
    kinds: list[str], share: float, truth: dict[str, float], slowdown: float
) -> None:
    """Guards against a model without interference, which could show no difference."""
    measured = measure(kinds, share, **truth)
    # Tasks differ in their use of processors by a random share.
    assert measured["latency_ms"] == pytest.approx(100 * slowdown, rel=0.2)
    assert measured["ends"] == ["done"] * len(kinds)


def test_a_task_ends_when_it_needs_more_memory_than_it_was_given() -> None:
    """Guards against wrong declarations of memory that have no effect."""
    assert measure([WATCH], memory_gb=4.0)["ends"] == ["out of memory"]


def test_an_evicted_task_loses_its_incomplete_step() -> None:
    """Guards against evictions that cost nothing, which would favour naive ones."""
    events: list[BatchEvent] = []

    async def main() -> None:
        worker, fence = await start_worker(events)
        payload = {"work_ms": 9_000, "cores": 0.5, "memory_gb": 1.0}
        run = TaskRun("j/0#1", WATCH, 1, 1.0, 2.0, 0, payload, None)
        (await worker.start(fence, run, 10**9)).unwrap()
        await VirtualClock().sleep_ms(4_000)
        saved = (await worker.checkpoint(fence, run.run_id)).unwrap()
        assert saved.checkpoint == "j/0#1@3000"
        (await worker.stop(fence, run.run_id)).unwrap()

    run_virtual(main())
    assert [item.what for item in events] == ["stopped"]
    assert 500 <= events[0].work_ms <= 1_500


def test_a_cell_gives_the_same_figures_again() -> None:
    """Guards against differences between variants that only chance has made."""
    cells = [Cell("norrstrom", "busy", name, 1) for name in ("naive", "product")]
    first, again = (run_cells(cells, 1, TINY) for _ in range(2))
    assert first == again
    assert all(figures["violations"] == 0 for figures in first.values())
    assert all(figures["price-check p50"] > 0 for figures in first.values())


def test_the_section_replaces_only_itself(tmp_path: Path) -> None:
    """Guards against the loss of what is written by hand beside the section."""
    page = tmp_path / "measurements.md"
    page.write_text("# Before\n")
    for line in ("old", "new"):
        write_section(page, [line])
    page.write_text(page.read_text() + "after\n")
    write_section(page, ["newest"])
    assert page.read_text() == f"# Before\n\n{BEGIN}\n\nnewest\n\n{END}\nafter\n"
