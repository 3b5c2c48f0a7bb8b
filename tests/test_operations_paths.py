"""The log leads from a job's id to the cause of its failure, as documented."""

from typing import Any

from hyssopweir.events import Event
from hyssopweir.workflow_progress import WorkflowState
from tests.cell_simulation import CellSimulation, build_step, build_workflow
from tests.virtual_time import run_virtual


def events_of_job(
    simulation: CellSimulation, job: str
) -> list[tuple[Event, dict[str, Any]]]:
    return [
        (record.event, record.fields)
        for record in simulation.records
        if record.fields.get("job") == job
    ]


def test_refused_job_leads_to_the_store() -> None:
    """Guards against a refusal whose cause, a silent store, is missing in the log."""

    async def run_scenario() -> None:
        simulation = CellSimulation()
        await simulation.sleep_ms(500)
        simulation.instances[0].faults.is_silent = True
        await simulation.sleep_ms(1_500)
        failure = (
            await simulation.instances[0].api.submit(build_workflow("j1"), 3_000)
        ).unwrap_err()
        assert "does not answer this instance" in failure.detail
        store_down = [
            rec for rec in simulation.records if rec.event is Event.STORE_DOWN
        ]
        assert {rec.instance for rec in store_down} == {"kista-0"}
        assert store_down[0].fields["silent_ms"] >= 900

    run_virtual(run_scenario())


def test_failed_job_leads_to_its_runs_and_workers() -> None:
    """Guards against a failed job whose runs and workers are missing in the log."""

    async def run_scenario() -> None:
        simulation = CellSimulation()
        simulation.work.fail_share = 1.0
        await simulation.sleep_ms(500)
        job = build_workflow("j1", build_step(1, estimated_ms=50), most_failures=2)
        assert await simulation.submit(job)
        assert await simulation.until("j1", WorkflowState.FAILED, 10_000)
        events = events_of_job(simulation, "j1")
        task_failures = [
            fields for event, fields in events if event is Event.TASK_FAILED
        ]
        assert [failed_run["run"] for failed_run in task_failures] == [1, 2]
        assert len({failed_run["worker"] for failed_run in task_failures}) == 2
        assert all(failed_run["how"] == "failed" for failed_run in task_failures)
        assert Event.JOB_FAILED in [event for event, _ in events]

    run_virtual(run_scenario())


def test_late_job_leads_to_its_wait() -> None:
    """Guards against a delayed job whose wait for capacity is missing in the log."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=1)
        await simulation.sleep_ms(500)
        assert await simulation.submit(build_workflow("j1", build_step(4)))
        await simulation.sleep_ms(100)
        assert await simulation.submit(build_workflow("j2", build_step(4)))
        assert await simulation.until("j2", WorkflowState.COMPLETED, 10_000)
        events = events_of_job(simulation, "j2")
        starts = [fields for event, fields in events if event is Event.TASK_STARTING]
        assert starts[0]["waited_ms"] >= 300
        assert starts[0]["report_age_ms"] <= 1_500
        assert "free_cpu" in starts[0]

    run_virtual(run_scenario())


def test_takeover_names_the_former_owner() -> None:
    """Guards against a takeover that delays all jobs without a logged cause."""

    async def run_scenario() -> None:
        simulation = CellSimulation()
        await simulation.sleep_ms(500)
        former_owner = simulation.owner()
        await former_owner.crash()
        await simulation.sleep_ms(2_000)
        claims = [rec for rec in simulation.records if rec.event is Event.CELL_CLAIMED]
        assert claims[-1].fields["former"] == former_owner.name
        assert claims[-1].fields["silent_ms"] >= 900

    run_virtual(run_scenario())
