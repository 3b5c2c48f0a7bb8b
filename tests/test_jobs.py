"""Tests of the job API (submission, status, cancellation) and of group commit."""

import asyncio
from typing import Any

import pytest
from result import Err, Ok, Result

from hyssopweir.codes import Code, Failure, Outcome
from hyssopweir.commits import MAX_ROWS, GroupCommit
from hyssopweir.explain import explain_job, explain_job_json
from hyssopweir.jobs import JobRecords, assign_shards
from hyssopweir.table import ABSENT, Put

from .builders import build_job
from .task_simulation import SHARD, TaskInstance, TaskSimulation
from .virtual_time import run_virtual


def failure_of(reply: Result[Any, Failure]) -> Failure:
    assert isinstance(reply, Err), reply
    return reply.err_value


def run_with_job_api(scenario: Any, owns_shards: bool = False) -> None:
    async def run() -> None:
        simulation = TaskSimulation()
        instance = await simulation.instance()
        if owns_shards:
            await instance.gain()
        await scenario(simulation, instance)
        simulation.check_guarantees()

    run_virtual(run())


def test_submission_is_idempotent() -> None:
    """Guards against a job that is accepted twice, or replaced by another one."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        spec = build_job(tasks=200)
        first = await instance.api.submit(spec, "buyer")
        rows = simulation.table.rows_written
        replies = await asyncio.gather(
            *(instance.api.submit(spec, "buyer") for _ in range(3)),
        )
        assert all(reply == first for reply in replies)
        assert simulation.table.rows_written == rows == 401
        other = failure_of(await instance.api.submit(build_job(tasks=3), "buyer"))
        assert (other.code, other.outcome) == (Code.KEY_REUSED, Outcome.NOT_RUN)
        assert simulation.table.rows_written == rows

    run_with_job_api(scenario)


def test_concurrent_submissions_accept_one_body() -> None:
    """Guards against two jobs under one id, submitted before either is recorded."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        replies = await asyncio.gather(
            *(
                instance.api.submit(build_job(tasks=1 + n % 2), "buyer")
                for n in range(4)
            ),
        )
        accepted = [reply.ok_value for reply in replies if isinstance(reply, Ok)]
        refused = [failure_of(reply) for reply in replies if isinstance(reply, Err)]
        assert {len(status["tasks"]) for status in accepted} == {1}
        assert {failure.code for failure in refused} == {Code.KEY_REUSED}

    run_with_job_api(scenario)


@pytest.mark.parametrize(
    ("fields", "paths"),
    [
        ({"tasks": 201}, ["$.tasks"]),
        ({"job": "a/b", "cores": 0, "run_ms": "1"}, ["$.cores", "$.job", "$.run_ms"]),
        ({"job": "a#1"}, ["$.job"]),
        ({"other": 1, "urgent": 1}, ["$", "$.urgent"]),
    ],
)
def test_invalid_job_is_rejected_with_every_fault(
    fields: dict[str, Any],
    paths: list[str],
) -> None:
    """Guards against a rejection that reports only the first fault."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        failure = failure_of(await instance.api.submit(build_job(**fields), "buyer"))
        assert (failure.code, failure.outcome) == (Code.BAD_REQUEST, Outcome.NOT_RUN)
        assert [fault["path"] for fault in failure.extra["faults"]] == paths
        assert simulation.table.rows_written == 0

    run_with_job_api(scenario)


@pytest.mark.parametrize(
    ("down", "writes_down", "outcome"),
    [(True, False, Outcome.UNKNOWN), (False, True, Outcome.NOT_RUN)],
)
def test_outage_is_reported_with_the_correct_outcome(
    down: bool,
    writes_down: bool,
    outcome: Outcome,
) -> None:
    """Guards against "not run" for a job that an earlier attempt may have recorded."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        instance.service.down, instance.service.writes_down = down, writes_down
        failure = failure_of(await instance.api.submit(build_job(), "buyer"))
        assert (failure.code, failure.outcome) == (Code.STORE_UNAVAILABLE, outcome)
        assert simulation.table.rows_written == 0

    run_with_job_api(scenario)


@pytest.mark.parametrize("seed", range(5))
def test_lost_reply_is_read_back_after_the_owner_made_progress(seed: int) -> None:
    """Guards against an accepted job that is reported as a conflict.

    The reply of its write is lost, and the owner changes the rows before the retry.
    """

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        peer = await simulation.instance("two")
        peer.service.lost_reply_share = 0.8
        peer.service._random.seed(seed)
        assert (await peer.api.submit(build_job(tasks=5), "buyer")).is_ok()
        assert (await peer.api.cancel("price-watch")).is_ok()
        await simulation.until(
            lambda: not {"queued", "running"} & set(simulation.states())
        )

    run_with_job_api(scenario, owns_shards=True)


def test_any_instance_replies_and_unknown_jobs_are_not_found() -> None:
    """Guards against replies that depend on the instance that accepted the job."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        peer = await simulation.instance("two")
        await instance.api.submit(build_job(tasks=3), "buyer")
        status = (await peer.api.status("price-watch")).unwrap()
        assert (status["state"], status["counts"]) == ("queued", {"queued": 3})
        for call in (peer.api.status, peer.api.cancel):
            assert failure_of(await call("nothing")).code is Code.NOT_FOUND
        instance.service.down = True
        for call in (instance.api.status, instance.api.cancel):
            assert failure_of(await call("price-watch")).code is Code.STORE_UNAVAILABLE

    run_with_job_api(scenario)


def test_ended_job_can_not_be_cancelled() -> None:
    """Guards against a finished job that is shown as cancelled."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        assert (await instance.api.submit(build_job(run_ms=100), "buyer")).is_ok()
        await simulation.until(lambda: simulation.states() == ["done"], 6_000)
        status = (await instance.api.cancel("price-watch")).unwrap()
        assert (status["state"], status["cancelled"]) == ("done", False)

    run_with_job_api(scenario, owns_shards=True)


def test_cancellation_reaches_the_owner_without_its_notification() -> None:
    """Guards against a cancelled job that keeps running after a lost notification."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        peer = await simulation.instance("two")
        await instance.api.submit(build_job(run_ms=60_000), "buyer")
        await simulation.until_state("running")
        simulation.network.cut.add(("two", "one"))
        await peer.api.cancel("price-watch")
        await simulation.until(lambda: simulation.states() == ["cancelled"], 6_000)

    run_with_job_api(scenario, owns_shards=True)


def test_shards_are_assigned_by_free_slots_and_data_centre() -> None:
    """Guards against tasks that are concentrated in one rack."""
    free = {"kista/r0": 3, "kista/r1": 1, "arlanda/r0": 9}
    assert sorted(assign_shards(build_job(tasks=4, data_centre="kista"), free)) == [
        "kista/r0",
        "kista/r0",
        "kista/r0",
        "kista/r1",
    ]


def test_explanation_reports_missing_records() -> None:
    """Guards against an explanation that does not mention missing records."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        await instance.api.submit(build_job(tasks=2), "buyer")
        await simulation.until_state("done")
        records = (await instance.api.task_rows("price-watch")).unwrap()
        text = explain_job(records)
        assert "was chosen: the task needs 1 cores and 1 GB of memory" in text
        assert "It would also have fitted elsewhere: kista-w" in text
        assert "missing" not in text
        task = {**records.tasks[0], "reasons": records.tasks[0]["reasons"][:1]}
        incomplete = JobRecords("price-watch", records.row, [task])  # type: ignore[list-item]
        explanation = explain_job_json(incomplete)
        assert explanation["missing"][0].endswith("nothing is known: 1.")
        assert "why run 1 was placed there is missing" in explain_job(incomplete)
        assert "No job" in explain_job(JobRecords("nothing", None, []))

    run_with_job_api(scenario, owns_shards=True)


async def commit_all(instance: TaskInstance, count: int, epoch: int) -> list[Any]:
    puts = [Put(f"t/{number}", {}, ABSENT) for number in range(count)]
    return await asyncio.gather(
        *(instance.commits.commit(SHARD, epoch, [put]) for put in puts),
    )


def test_group_commit_combines_groups() -> None:
    """Guards against one transaction per change, and against oversized ones."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        commits = simulation.table.commits
        replies = await commit_all(instance, 2 * MAX_ROWS + 1, 1)
        assert all(reply.is_ok() for reply in replies)
        assert simulation.table.commits - commits == 3

    run_with_job_api(scenario, owns_shards=True)


def test_failed_condition_fails_only_its_own_group() -> None:
    """Guards against a conflict that also fails the changes of other tasks."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        conflicting = instance.commits.commit(SHARD, 1, [Put("t/x", {}, 77)])
        failed, good = await asyncio.gather(conflicting, commit_all(instance, 5, 1))
        assert failure_of(failed).code is Code.STORE_CONFLICT
        assert all(reply.is_ok() for reply in good)
        for reply in await commit_all(instance, 2, epoch=9):
            assert failure_of(reply).code is Code.STORE_CONFLICT

    run_with_job_api(scenario, owns_shards=True)


def test_two_writes_of_one_row_are_not_combined() -> None:
    """Guards against two writes with the same condition that both take effect."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        puts = [Put("t/x", {"by": number}, ABSENT) for number in range(3)]
        replies = await asyncio.gather(
            *(instance.commits.commit(SHARD, 1, [put]) for put in puts),
        )
        assert [reply.is_ok() for reply in replies] == [True, False, False]

    run_with_job_api(scenario, owns_shards=True)


@pytest.mark.parametrize(
    ("share", "down", "outcome"),
    [(1.0, False, Outcome.UNKNOWN), (0.0, True, Outcome.NOT_RUN)],
)
def test_each_group_gets_the_outcome_of_its_transaction(
    share: float,
    down: bool,
    outcome: Outcome,
) -> None:
    """Guards against an unknown outcome that is reported as certain."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        instance.service.lost_reply_share, instance.service.writes_down = share, down
        replies_task = asyncio.gather(*[commit_all(instance, 3, 1)])
        await simulation.clock.sleep_ms(100)
        instance.service.down = True
        replies = (await replies_task)[0]
        assert {failure_of(reply).outcome for reply in replies} == {outcome}

    run_with_job_api(scenario, owns_shards=True)


def test_commit_queue_is_bounded_and_rejects_its_groups_on_stop() -> None:
    """Guards against unbounded memory in an outage, and callers that wait forever."""

    async def scenario(simulation: TaskSimulation, instance: TaskInstance) -> None:
        commits = GroupCommit(
            instance.store, lambda: "one", simulation.clock, instance.log, 50, 2
        )
        puts = [Put(f"t/{number}", {}, ABSENT) for number in range(3)]
        pending = [asyncio.create_task(commits.commit(SHARD, 1, [put])) for put in puts]
        assert failure_of(await pending[2]).code is Code.OVERLOADED
        await commits.start()
        await commits.stop()
        codes = {
            reply.is_ok() or failure_of(reply).code
            for reply in await asyncio.gather(*pending[:2])
        }
        assert codes <= {True, Code.DRAINING}

    run_with_job_api(scenario, owns_shards=True)
