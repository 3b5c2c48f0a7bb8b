"""Fillers of images that disturb, or once did, next to serving tasks on all workers."""

import json

import pytest

from hyssopweir.events import Event
from hyssopweir.filler_interference import FillerInterference
from hyssopweir.resources import Resources
from hyssopweir.task_state import Run, RunRef, TaskRef
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import WorkflowState
from hyssopweir.workflows import Step
from tests.cell_simulation import build_entry, build_step, build_workflow
from tests.job_checks import events_of
from tests.shared_workers import SERVING, SharedSimulation
from tests.virtual_time import run_virtual

DONE = WorkflowState.COMPLETED
# At this time after the end of traffic, each job must have run within the second time.
FINISH_MS = 14_000
IDLE_LIMIT_MS = 3_000
# A serving task may not be over its target for this long because of fillers.
HARM_LIMIT_MS = 4_000
# Utilization that a worker full of fillers adds: such images are slowed down at once.
DISTURBING, HARMLESS = 2.0, 0.1
# A large task of such an image takes a serving task over its target at any speed.
OVERWHELMING = 4.5
TRAINING_LIMIT_MS = 60_000
# For how much of the first time a serving task may be over its target in all. Pacing
# stops and resumes a filler of an overwhelming image, so that this adds up.
OBSERVED_MS = 40_000
MAX_OVER_MS = {DISTURBING: OBSERVED_MS // 10, OVERWHELMING: OBSERVED_MS // 2}
# Six tasks of 4 s, of which the first ones run at the lowest speed until measured.
RECOVERY_LIMIT_MS = 30_000
FILLER = build_step(
    6,
    room=Resources(4_000, 1_000),
    is_filler=True,
    image="mix",
    checkpoints=True,
    estimated_ms=4_000,
)
LARGE_FILLER = FILLER._replace(room=Resources(8_000, 1_000))
IMAGES = pytest.mark.parametrize(
    ("coefficient", "filler"),
    [(DISTURBING, FILLER), (OVERWHELMING, LARGE_FILLER)],
    ids=["disturbing", "overwhelming"],
)


async def learn_interference(
    seed: int, coefficient: float, filler: Step = FILLER
) -> SharedSimulation:
    """Return a cell with serving tasks on all workers that has run a filling job."""
    simulation = SharedSimulation(seed)
    simulation.coefficients["mix"] = coefficient
    await simulation.sleep_ms(1_000)
    assert await simulation.submit(build_workflow("serving", SERVING))
    await simulation.sleep_ms(4_000)
    assert await simulation.submit(build_workflow("first", filler))
    assert await simulation.until("first", DONE, TRAINING_LIMIT_MS)
    await simulation.sleep_ms(2_000)
    return simulation


async def has_run(simulation: SharedSimulation, job: str, limit_ms: int) -> bool:
    """Return whether a run of a job is at work at some moment within a time."""
    end_ms = simulation.clock.now_ms() + limit_ms
    while simulation.clock.now_ms() < end_ms:
        if any(simulation.speeds(job)):
            return True
        await simulation.sleep_ms(50)
    return await simulation.state(job) is DONE


async def assert_runs_at_the_end(simulation: SharedSimulation, job: str) -> None:
    """Check a job as the users do after the end of traffic."""
    await simulation.sleep_ms(FINISH_MS)
    assert await has_run(simulation, job, IDLE_LIMIT_MS)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("tasks", [1, 24])
def test_filler_that_fits_at_a_lower_speed_gets_to_run(tasks: int, seed: int) -> None:
    """Guards against fillers that wait for good since they don't fit at full speed."""

    async def main() -> None:
        simulation = await learn_interference(seed, DISTURBING)
        assert await simulation.submit(
            build_workflow("waiting", FILLER._replace(tasks=tasks))
        )
        await assert_runs_at_the_end(simulation, "waiting")
        assert simulation.longest_over_ms() < HARM_LIMIT_MS
        assert simulation.work.breaches == []

    run_virtual(main())


def test_log_states_what_keeps_a_filler_from_all_workers() -> None:
    """Guards against a log that can't tell interference from a usable worker."""

    async def main() -> None:
        simulation = await learn_interference(0, DISTURBING)
        # Over their targets by themselves, the tasks leave no headroom at any speed.
        for worker in simulation.shared_workers():
            worker.own_load = 0.9
        await simulation.sleep_ms(2_000)
        assert await simulation.submit(build_workflow("waiting", FILLER))
        await simulation.sleep_ms(4_500)
        fields = events_of(simulation, Event.JOB_WAITING)[-1]
        assert fields["workers"] == {"interference": SERVING.tasks}
        assert fields["waited_ms"] >= IDLE_LIMIT_MS
        limit = fields["limits"][0]
        assert limit["beside"] == "web"
        assert limit["adds"] > limit["headroom"]
        assert limit["measured_ms_ago"] >= 0

    run_virtual(main())


@pytest.mark.parametrize("seed", range(3))
def test_small_fillers_do_not_keep_a_large_one_from_running(seed: int) -> None:
    """Guards against small fillers that take all headroom as it becomes free."""

    async def main() -> None:
        simulation = await learn_interference(seed, DISTURBING)
        small = FILLER._replace(tasks=24, room=Resources(600, 100), estimated_ms=1_000)
        large = FILLER._replace(room=Resources(6_000, 1_000))
        assert await simulation.submit(build_workflow("large", large))
        for number in range(FINISH_MS // 500):
            assert await simulation.submit(build_workflow(f"small-{number}", small))
            await simulation.sleep_ms(500)
        assert await has_run(simulation, "large", IDLE_LIMIT_MS)
        assert simulation.longest_over_ms() < HARM_LIMIT_MS
        assert simulation.work.breaches == []

    run_virtual(main())


def test_harmless_filler_has_no_speed_beside_an_overloaded_task() -> None:
    """Guards against a job that fails as the speed of its filler can't be computed."""
    model = FillerInterference()
    harm = {"web": {"least_ms": 10.0, "peak": 0.9, "harm": {"mix": [0.0, 0.01]}}}
    model.restore(json.dumps({"stamp": "1.1", "images": harm}).encode())
    load = WorkerLoad(build_entry())
    run = Run(RunRef(TaskRef("serving", 0, 0, 0), 1), "w0", 0, 0)
    run.percent = 100
    load.reserve(run, SERVING._replace(image="web", tail_target_ms=12))
    assert model.start_percent(FILLER, load, 0) == 0


@pytest.mark.parametrize("seed", range(3))
@IMAGES
def test_filler_whose_image_no_longer_disturbs_runs_and_is_done(
    coefficient: float, filler: Step, seed: int
) -> None:
    """Guards against estimates of interference that are never measured again."""

    async def main() -> None:
        simulation = await learn_interference(seed, coefficient, filler)
        simulation.coefficients["mix"] = HARMLESS
        assert await simulation.submit(build_workflow("waiting", filler))
        await assert_runs_at_the_end(simulation, "waiting")
        assert await simulation.until("waiting", DONE, RECOVERY_LIMIT_MS)
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(3))
@IMAGES
def test_waiting_fillers_that_disturb_keep_no_task_over_its_target(
    coefficient: float, filler: Step, seed: int
) -> None:
    """Guards against trials of an image that add up, or that are not ended in time."""

    async def main() -> None:
        simulation = await learn_interference(seed, coefficient, filler)
        before_ms = {w: w.total_over_ms for w in simulation.shared_workers()}
        for number in range(12):
            job = build_workflow(f"waiting-{number}", filler)
            assert await simulation.submit(job)
        await simulation.sleep_ms(OBSERVED_MS)
        assert simulation.longest_over_ms() < HARM_LIMIT_MS
        for worker, over_ms in before_ms.items():
            assert worker.total_over_ms - over_ms < MAX_OVER_MS[coefficient]
        assert simulation.work.breaches == []

    run_virtual(main())
