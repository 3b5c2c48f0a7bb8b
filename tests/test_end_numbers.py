"""Tests of ends that a worker forgets before its owner has recorded them."""

from typing import Any

from hyssopweir.agents import LeaseReply
from hyssopweir.events import Event
from hyssopweir.resources import Resources
from tests.agent_fakes import FakeWorker
from tests.cell_simulation import (
    CellSimulation,
    build_step,
    build_workflow,
    run_short_tasks,
)
from tests.virtual_time import run_virtual

# As the number of a former process that had ended that many runs.
FORMER_NUMBER = 99


def missing_ends(simulation: CellSimulation) -> list[dict[str, Any]]:
    """Return the fields of all events that report missing ends."""
    return [
        record.fields
        for record in simulation.records
        if record.event is Event.ENDS_MISSING
    ]


async def forget_end(simulation: CellSimulation, worker: FakeWorker) -> None:
    """Let a call acknowledge the end of a run that its owner has not seen."""
    while not worker.running:
        await simulation.clock.sleep_ms(1)
    agent = simulation.owner().agent
    agent.cut_workers = {worker.entry.worker_id}
    await simulation.sleep_ms(200)
    reply = worker.renew_leases(worker.token, FORMER_NUMBER, None)
    assert isinstance(reply, LeaseReply)
    agent.cut_workers = set()


def test_end_that_a_restarted_worker_has_forgotten_is_reported() -> None:
    """Guards against tasks that run again without a sign of why they do."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=1)
        await simulation.sleep_ms(1_500)
        await run_short_tasks(simulation, "j1", 5)
        worker = simulation.workers["w0"]
        worker.restart(simulation.clock.wall_ms())
        await simulation.sleep_ms(1_500)
        step = build_step(3, room=Resources(8_000, 1_000), estimated_ms=100)
        assert await simulation.submit(build_workflow("j2", step))
        await forget_end(simulation, worker)
        await simulation.sleep_ms(3_000)
        [fields] = missing_ends(simulation)
        assert (fields["worker"], fields["born_ms"]) == ("w0", worker.born_ms)
        assert (fields["expected"], fields["first"]) == (1, 2)

    run_virtual(run_scenario())


def test_ends_that_a_former_owner_has_acknowledged_are_not_reported() -> None:
    """Guards against reports of ends that a former owner has recorded."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=1)
        await simulation.sleep_ms(1_500)
        await run_short_tasks(simulation, "j1", 5)
        await simulation.owner().crash()
        await simulation.sleep_ms(3_000)
        await run_short_tasks(simulation, "j2", 5)
        assert simulation.workers["w0"].count >= 10
        assert missing_ends(simulation) == []

    run_virtual(run_scenario())
