"""Submission, status, cancellation and explanation of jobs, and group commit."""

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
from .task_simulation import SHARD, Instance, TaskSimulation
from .virtual_time import run_virtual


def failure_of(reply: Result[Any, Failure]) -> Failure:
    assert isinstance(reply, Err), reply
    return reply.err_value


def with_desk(story: Any, owns: bool = False) -> None:
    async def run() -> None:
        world = TaskSimulation()
        one = await world.instance()
        if owns:
            await one.gain()
        await story(world, one)
        world.judge()

    run_virtual(run())


def test_submission_is_idempotent() -> None:
    """Guards against a job that is accepted twice, or replaced by another body."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        spec = build_job(tasks=200)
        first = await one.desk.submit(spec, "buyer")
        rows = world.table.rows_written
        replies = await asyncio.gather(
            *(one.desk.submit(spec, "buyer") for _ in range(3)),
        )
        assert all(reply == first for reply in replies)
        assert world.table.rows_written == rows == 401
        other = failure_of(await one.desk.submit(build_job(tasks=3), "buyer"))
        assert (other.code, other.outcome) == (Code.KEY_REUSED, Outcome.NOT_RUN)
        assert world.table.rows_written == rows

    with_desk(story)


def test_concurrent_submissions_accept_one_body() -> None:
    """Guards against two bodies under one id when both callers read no job."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        replies = await asyncio.gather(
            *(one.desk.submit(build_job(tasks=1 + n % 2), "buyer") for n in range(4)),
        )
        accepted = [reply.ok_value for reply in replies if isinstance(reply, Ok)]
        refused = [failure_of(reply) for reply in replies if isinstance(reply, Err)]
        assert {len(status["tasks"]) for status in accepted} == {1}
        assert {failure.code for failure in refused} == {Code.KEY_REUSED}

    with_desk(story)


@pytest.mark.parametrize(
    ("fields", "paths"),
    [
        ({"tasks": 201}, ["$.tasks"]),
        ({"job": "a/b", "cores": 0, "run_ms": "1"}, ["$.cores", "$.job", "$.run_ms"]),
        ({"job": "a#1"}, ["$.job"]),
        ({"other": 1, "urgent": 1}, ["$", "$.urgent"]),
    ],
)
def test_bad_job_is_refused_with_every_fault(
    fields: dict[str, Any],
    paths: list[str],
) -> None:
    """Guards against a refusal that names only the first fault."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        failure = failure_of(await one.desk.submit(build_job(**fields), "buyer"))
        assert (failure.code, failure.outcome) == (Code.BAD_REQUEST, Outcome.NOT_RUN)
        assert [fault["path"] for fault in failure.extra["faults"]] == paths
        assert world.table.rows_written == 0

    with_desk(story)


@pytest.mark.parametrize(
    ("down", "writes_down", "outcome"),
    [(True, False, Outcome.UNKNOWN), (False, True, Outcome.NOT_RUN)],
)
def test_outage_refuses_with_a_true_outcome(
    down: bool,
    writes_down: bool,
    outcome: Outcome,
) -> None:
    """Guards against "not run" for a job that an earlier try may have recorded."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        one.service.down, one.service.writes_down = down, writes_down
        failure = failure_of(await one.desk.submit(build_job(), "buyer"))
        assert (failure.code, failure.outcome) == (Code.STORE_UNAVAILABLE, outcome)
        assert world.table.rows_written == 0

    with_desk(story)


@pytest.mark.parametrize("seed", range(5))
def test_lost_reply_is_read_back_although_the_owner_went_on(seed: int) -> None:
    """Guards against an accepted job that is reported as a conflict."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        two = await world.instance("two")
        two.service.lost_reply_share = 0.8
        two.service._random.seed(seed)
        assert (await two.desk.submit(build_job(tasks=5), "buyer")).is_ok()
        assert (await two.desk.cancel("price-watch")).is_ok()
        await world.until(lambda: not {"queued", "running"} & set(world.states()))

    with_desk(story, owns=True)


def test_any_instance_answers_and_unknown_jobs_are_not_found() -> None:
    """Guards against answers that depend on the instance that accepted the job."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        two = await world.instance("two")
        await one.desk.submit(build_job(tasks=3), "buyer")
        status = (await two.desk.status("price-watch")).unwrap()
        assert (status["state"], status["counts"]) == ("queued", {"queued": 3})
        for act in (two.desk.status, two.desk.cancel):
            assert failure_of(await act("nothing")).code is Code.NOT_FOUND
        one.service.down = True
        for act in (one.desk.status, one.desk.cancel):
            assert failure_of(await act("price-watch")).code is Code.STORE_UNAVAILABLE

    with_desk(story)


def test_ended_job_can_not_be_cancelled() -> None:
    """Guards against a finished job that is shown as cancelled."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        assert (await one.desk.submit(build_job(run_ms=100), "buyer")).is_ok()
        await world.until(lambda: world.states() == ["done"], 6_000)
        status = (await one.desk.cancel("price-watch")).unwrap()
        assert (status["state"], status["cancelled"]) == ("done", False)

    with_desk(story, owns=True)


def test_cancellation_reaches_the_owner_without_its_note() -> None:
    """Guards against a cancelled job that runs on because a note was lost."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        two = await world.instance("two")
        await one.desk.submit(build_job(run_ms=60_000), "buyer")
        await world.until_state("running")
        world.network.cut.add(("two", "one"))
        await two.desk.cancel("price-watch")
        await world.until(lambda: world.states() == ["cancelled"], 6_000)

    with_desk(story, owns=True)


def test_spread_follows_free_slots_and_place() -> None:
    """Guards against tasks that pile up in one rack."""
    free = {"kista/r0": 3, "kista/r1": 1, "arlanda/r0": 9}
    assert sorted(assign_shards(build_job(tasks=4, data_centre="kista"), free)) == [
        "kista/r0",
        "kista/r0",
        "kista/r0",
        "kista/r1",
    ]


def test_explanation_says_what_is_missing() -> None:
    """Guards against an explanation that passes over a lost record."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await one.desk.submit(build_job(tasks=2), "buyer")
        await world.until_state("done")
        records = (await one.desk.task_rows("price-watch")).unwrap()
        text = explain_job(records)
        assert "was chosen: the task needs 1 cores and 1 GB of memory" in text
        assert "It would also have fitted elsewhere: kista-w" in text
        assert "missing" not in text
        task = {**records.tasks[0], "reasons": records.tasks[0]["reasons"][:1]}
        cut = JobRecords("price-watch", records.row, [task])  # type: ignore[list-item]
        answer = explain_job_json(cut)
        assert answer["missing"][0].endswith("nothing is known: 1.")
        assert "why run 1 was placed there is missing" in explain_job(cut)
        assert "No job" in explain_job(JobRecords("nothing", None, []))

    with_desk(story, owns=True)


async def commit_all(one: Instance, count: int, epoch: int) -> list[Any]:
    puts = [Put(f"t/{number}", {}, ABSENT) for number in range(count)]
    return await asyncio.gather(
        *(one.commits.commit(SHARD, epoch, [put]) for put in puts),
    )


def test_group_commit_combines_groups() -> None:
    """Guards against a transaction for each change, and against oversized ones."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        commits = world.table.commits
        replies = await commit_all(one, 2 * MAX_ROWS + 1, 1)
        assert all(reply.is_ok() for reply in replies)
        assert world.table.commits - commits == 3

    with_desk(story, owns=True)


def test_bad_condition_fails_only_its_own_group() -> None:
    """Guards against one conflict that fails the changes of other tasks."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        bad = one.commits.commit(SHARD, 1, [Put("t/x", {}, 77)])
        failed, good = await asyncio.gather(bad, commit_all(one, 5, 1))
        assert failure_of(failed).code is Code.STORE_CONFLICT
        assert all(reply.is_ok() for reply in good)
        for reply in await commit_all(one, 2, epoch=9):
            assert failure_of(reply).code is Code.STORE_CONFLICT

    with_desk(story, owns=True)


def test_two_writes_of_one_row_are_not_combined() -> None:
    """Guards against two writes with the same condition that both take effect."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        puts = [Put("t/x", {"by": number}, ABSENT) for number in range(3)]
        replies = await asyncio.gather(
            *(one.commits.commit(SHARD, 1, [put]) for put in puts),
        )
        assert [reply.is_ok() for reply in replies] == [True, False, False]

    with_desk(story, owns=True)


@pytest.mark.parametrize(
    ("share", "down", "outcome"),
    [(1.0, False, Outcome.UNKNOWN), (0.0, True, Outcome.NOT_RUN)],
)
def test_each_group_gets_the_outcome(
    share: float,
    down: bool,
    outcome: Outcome,
) -> None:
    """Guards against an unknown outcome that is passed on as certain."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        one.service.lost_reply_share, one.service.writes_down = share, down
        act = asyncio.gather(*[commit_all(one, 3, 1)])
        await world.clock.sleep_ms(100)
        one.service.down = True
        replies = (await act)[0]
        assert {failure_of(reply).outcome for reply in replies} == {outcome}

    with_desk(story, owns=True)


def test_queue_of_commits_is_bounded_and_closed_at_the_end() -> None:
    """Guards against unbounded memory in an outage, and callers that wait for ever."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        commits = GroupCommit(one.store, lambda: "one", world.clock, one.log, 50, 2)
        puts = [Put(f"t/{number}", {}, ABSENT) for number in range(3)]
        waits = [asyncio.create_task(commits.commit(SHARD, 1, [put])) for put in puts]
        assert failure_of(await waits[2]).code is Code.OVERLOADED
        await commits.start()
        await commits.stop()
        codes = {
            reply.is_ok() or failure_of(reply).code
            for reply in await asyncio.gather(*waits[:2])
        }
        assert codes <= {True, Code.DRAINING}

    with_desk(story, owns=True)
