"""Workers that start again under the id that they had, as another kind."""

import pytest

from hyssopweir.resources import Resources
from tests.agent_fakes import FakeWorker
from tests.cell_simulation import CellSimulation, build_step, build_workflow
from tests.virtual_time import run_virtual

KIND, OTHER_KIND = "b", "a"
# A worker writes its entry at its first heartbeat, up to 1.1 s after its start.
ENTRY_DELAY_MS = 1_000


def set_kind(worker: FakeWorker, kind: str) -> None:
    """Let the entry of a worker show its process and a kind."""
    labels = frozenset({kind, "r0"})
    worker.entry = worker.entry._replace(labels=labels, born_ms=worker.born_ms)


@pytest.mark.parametrize("down_ms", [100, 1_000])
def test_restarted_worker_gets_no_task_that_requires_its_former_kind(
    down_ms: int,
) -> None:
    """Guards against starts by the entry of a process that has ended."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=2)
        worker = simulation.workers["w0"]
        worker.restart(simulation.clock.wall_ms())
        set_kind(worker, KIND)
        await simulation.sleep_ms(1_500)
        room = Resources(2_000, 1_000)
        step = build_step(12, room=room, estimated_ms=2_000, label=KIND)
        assert await simulation.submit(build_workflow("j1", step))
        await simulation.sleep_ms(500)
        worker.is_cut = True
        await simulation.sleep_ms(down_ms)
        worker.restart(simulation.clock.wall_ms())
        worker.is_cut = False
        started = len(worker.start_times)
        await simulation.sleep_ms(ENTRY_DELAY_MS)
        set_kind(worker, OTHER_KIND)
        await simulation.sleep_ms(5_000)
        assert len(worker.start_times) == started

    run_virtual(run_scenario())
