"""The log leads from a job's id to the cause of its failure, as the page says."""

from typing import Any

from hyssopweir.events import Event
from hyssopweir.workflow_progress import WorkflowState
from tests.cell_simulation import CellSimulation, build_step, build_workflow
from tests.virtual_time import run_virtual


def of_job(world: CellSimulation, job: str) -> list[tuple[Event, dict[str, Any]]]:
    return [
        (record.event, record.fields)
        for record in world.records
        if record.fields.get("job") == job
    ]


def test_refused_job_leads_to_the_store() -> None:
    """Follows the path of a refusal."""

    async def play() -> None:
        world = CellSimulation()
        await world.sleep_ms(500)
        world.instances[0].faults.is_silent = True
        await world.sleep_ms(1_500)
        failure = (
            await world.instances[0].api.submit(build_workflow("j1"), 3_000)
        ).unwrap_err()
        assert "does not answer this instance" in failure.detail
        downs = [rec for rec in world.records if rec.event is Event.STORE_DOWN]
        assert {rec.instance for rec in downs} == {"kista-0"}
        assert downs[0].fields["silent_ms"] >= 900

    run_virtual(play())


def test_failed_job_leads_to_its_runs_and_workers() -> None:
    """Follows the path of a job that failed as often as allowed."""

    async def play() -> None:
        world = CellSimulation()
        world.work.fail_share = 1.0
        await world.sleep_ms(500)
        job = build_workflow("j1", build_step(1, estimated_ms=50), most_failures=2)
        assert await world.submit(job)
        assert await world.until("j1", WorkflowState.FAILED, 10_000)
        events = of_job(world, "j1")
        ends = [fields for event, fields in events if event is Event.TASK_FAILED]
        assert [end["run"] for end in ends] == [1, 2]
        assert len({end["worker"] for end in ends}) == 2
        assert all(end["how"] == "failed" for end in ends)
        assert Event.JOB_FAILED in [event for event, _ in events]

    run_virtual(play())


def test_late_job_leads_to_its_wait() -> None:
    """Follows the path of a job that waited for room."""

    async def play() -> None:
        world = CellSimulation(workers=1)
        await world.sleep_ms(500)
        assert await world.submit(build_workflow("j1", build_step(4)))
        await world.sleep_ms(100)
        assert await world.submit(build_workflow("j2", build_step(4)))
        assert await world.until("j2", WorkflowState.COMPLETED, 10_000)
        events = of_job(world, "j2")
        starts = [fields for event, fields in events if event is Event.TASK_STARTING]
        assert starts[0]["waited_ms"] >= 300
        assert starts[0]["report_age_ms"] <= 1_500
        assert "free_cpu" in starts[0]

    run_virtual(play())


def test_takeover_names_the_former_owner() -> None:
    """Guards against a gap over all jobs that no line explains."""

    async def play() -> None:
        world = CellSimulation()
        await world.sleep_ms(500)
        former = world.owner()
        await former.crash()
        await world.sleep_ms(2_000)
        claims = [rec for rec in world.records if rec.event is Event.CELL_CLAIMED]
        assert claims[-1].fields["former"] == former.name
        assert claims[-1].fields["silent_ms"] >= 900

    run_virtual(play())
