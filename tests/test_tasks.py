"""Life cycle of tasks with the real links, slots and view, and faults below them."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from result import Err, Ok

from hyssopweir.codes import Code
from hyssopweir.events import Event
from hyssopweir.explain import explain_job

from .builders import (
    build_job,
)
from .task_simulation import SHARD, Instance, TaskSimulation
from .virtual_time import run_virtual


def play(story: Callable[[TaskSimulation, Instance], Any], **fields: Any) -> None:
    """Run a story with one owner of all shards, then judge."""

    async def run() -> None:
        world = TaskSimulation(**fields)
        one = await world.instance()
        await one.gain()
        await story(world, one)
        world.judge()

    run_virtual(run())


async def submit(one: Instance, name: str = "price-watch", **fields: Any) -> None:
    reply = await one.desk.submit(build_job(name, **fields), "buyer")
    assert isinstance(reply, Ok), reply


def test_job_runs_to_its_end() -> None:
    """Guards against lost ends, and ends that are not acknowledged."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, tasks=7)
        await world.until_state("done")
        await world.clock.sleep_ms(1_000)
        assert sum(world.fleet.account.tasks_done.values()) == 7
        assert not any(machine._runs for machine in world.fleet.workers.values())
        assert one.free_in(SHARD) == 4 * 6

    play(story)


@pytest.mark.parametrize("fault", ["kill", "restart", "freeze"])
def test_task_survives_its_worker(fault: str) -> None:
    """Guards against a task that is lost, or runs twice, when its worker fails."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, run_ms=40_000)
        await world.until_state("running")
        victim = world.task()["worker"]
        getattr(world.fleet, fault)(victim)
        if fault == "kill":
            world.unlist(victim)
        await world.clock.sleep_ms(25_000)
        if fault == "freeze":
            world.fleet.resume(victim)
        await world.until(lambda: world.states() == ["done"], 120_000)
        assert world.task()["run"] == 2

    play(story)


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
def test_silent_worker_lapses_by_its_leases(fault: str) -> None:
    """Guards against a task that waits for ever for a worker that stays listed."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, tasks=3, run_ms=40_000)
        await world.until_state("running")
        await world.clock.sleep_ms(5_000)
        victim = world.task()["worker"]
        if fault == "cut":
            one.client.cut.add(victim)
        else:
            getattr(world.fleet, fault)(victim)
        # The reply to a watch may be on its way, and is followed by one more watch.
        await world.clock.sleep_ms(5_000)
        until_ms = one.links.lease_sent_until_ms(victim)
        await world.clock.sleep_ms(until_ms - world.clock.now_ms())
        assert world.task()["run"] == 1, "started again before the lease has ended"
        await world.until(lambda: world.task()["run"] == 2, 5_000)
        await world.until(lambda: world.task()["state"] == "running", 1_000)
        assert world.task()["worker"] != victim
        await world.clock.sleep_ms(10_000)
        if fault == "freeze":
            world.fleet.resume(victim)
        one.client.cut.clear()
        await world.until_state("done")
        assert sum(world.fleet.account.tasks_done.values()) == 3

    play(story)


@pytest.mark.parametrize("early_ms", [1, 5, 10, 50])
def test_run_that_ended_unseen_is_not_run_again(early_ms: int) -> None:
    """Guards against a finished task that is done twice after a short partition."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, run_ms=8_000)
        await world.until_state("running")
        await world.clock.sleep_ms(4_000)
        victim = world.task()["worker"]
        one.client.cut.add(victim)
        await world.clock.sleep_ms(6_000)
        margin_ms = one.parts.lease_bound_ms - one.parts.lease_ms
        until_ms = one.links.lease_sent_until_ms(victim) + margin_ms
        await world.clock.sleep_ms(until_ms - world.clock.now_ms() - early_ms)
        assert world.task()["state"] == "running"
        one.client.cut.clear()
        await world.until_state("done")
        assert world.task()["run"] == 1

    play(story)


def test_worker_that_is_reachable_again_serves_without_a_restart() -> None:
    """Guards against a link that stays without a lease after one failed watch."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, run_ms=30_000)
        await world.until_state("running")
        victim = world.task()["worker"]
        one.client.cut.add(victim)
        await world.clock.sleep_ms(8_000)
        one.client.cut.clear()
        await world.until_state("done")
        assert world.task()["run"] == 1

    play(story)


STATES = ["queued", "starting", "running", "evicting", "held"]


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("pause_ms", [0, 1, 3, 60])
def test_owner_changes_in_each_state(state: str, pause_ms: int) -> None:
    """Guards against a task that is started twice or forgotten at a takeover."""

    async def run() -> None:
        world = TaskSimulation(workers=1 if state == "queued" else 4)
        one, two = await world.instance(), await world.instance("two")
        await one.gain()
        cores = 64.0 if state == "held" else 1.0
        await submit(one, tasks=9, cores=cores, run_ms=2_000)
        if state == "evicting":
            await world.until_state("running")
            asyncio.create_task(one.keeper.evict("price-watch/0", "a test"))
        await world.until(lambda: state in world.states())
        await world.clock.sleep_ms(pause_ms)
        await two.gain()
        if state == "held":
            assert set(world.states()) == {"held"}
            assert (await two.desk.cancel("price-watch")).is_ok()
            await world.until_state("cancelled")
        else:
            await world.until_state("done")
        world.judge()

    run_virtual(run())


@pytest.mark.parametrize("run_ms", [200, 250, 300, 350, 30_000])
def test_eviction_races_with_completion(run_ms: int) -> None:
    """Guards against a second resume, and against an end that is recorded twice."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, run_ms=run_ms)
        await world.until(lambda: world.states() != ["queued"])
        await world.clock.sleep_ms(150)
        await one.keeper.evict("price-watch/0", "a test")
        await world.until_state("done")
        row = world.task()
        assert row["run"] == row["evictions"] + 1
        assert world.fleet.account.evicted["price-watch/0"] == row["evictions"]
        if run_ms == 30_000:
            assert row["evictions"] == 1
            assert world.fleet.account.lost_work_ms <= 50

    play(story)


def test_evictions_race_with_burst_of_cancellations() -> None:
    """Guards against a cancelled task that is started again after its eviction."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        jobs = [f"job-{number}" for number in range(40)]
        for job in jobs:
            await submit(one, job, run_ms=30_000)
        await world.clock.sleep_ms(500)
        acts = [one.keeper.evict(f"{job}/0", "a test") for job in jobs[::2]]
        cancels = [one.desk.cancel(job) for job in jobs]
        await asyncio.gather(*acts, *cancels)
        for job in jobs:
            await world.until_state("cancelled", job)
        assert not any(m.used_slots() for m in world.fleet.workers.values())

    play(story)


def test_leaving_worker_is_evicted_and_in_an_outage_only_saved() -> None:
    """Guards against an eviction that can't be recorded, and work for the leaving."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, run_ms=30_000)
        await world.until_state("running")
        await world.clock.sleep_ms(1_000)
        one.service.down = True
        await world.clock.sleep_ms(6_000)
        victim = world.task()["worker"]
        world.show_leaving(victim)
        await world.clock.sleep_ms(5_000)
        reports = list(world.fleet.workers[victim].live_runs())
        assert [report.checkpoint is not None for report in reports] == [True]
        one.service.down = False
        await world.until(lambda: world.task()["evictions"] == 1)
        await world.until_state("done")
        assert world.task()["worker"] != victim

    play(story)


def test_impossible_job_is_held_and_blocks_nothing() -> None:
    """Guards against a queue that stops at a task that can never run."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, "huge", cores=64.0, urgent=True)
        await submit(one)
        await world.until_state("done")
        await world.until_state("held", "huge")
        text = explain_job((await one.desk.task_rows("huge")).unwrap())
        assert "no worker anywhere can run the task, which needs 64 cores" in text

    play(story)


def test_task_that_fails_everywhere_is_held() -> None:
    """Guards against a broken task, or a broken worker, that uses slots for ever."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        for machine in world.fleet.workers.values():
            machine.fails_everything = True
        await submit(one)
        await world.until_state("held")
        assert len(set(world.task()["failed_on"])) == 3

    play(story)


def test_task_moves_to_a_shard_that_has_room() -> None:
    """Guards against a task that waits in one rack while another one is idle."""

    async def run() -> None:
        world = TaskSimulation(workers=9)
        one, two = await world.instance(), await world.instance("two")
        await one.gain("kista/r1")
        await submit(one, "filler", tasks=6, run_ms=60_000)
        await submit(one, run_ms=500)
        await two.gain(SHARD)
        await world.until_state("done")
        assert world.task()["shard"] == SHARD
        text = explain_job((await one.desk.task_rows("price-watch")).unwrap())
        assert "moved from kista/r1 to kista/r0" in text
        world.judge()

    run_virtual(run())


def test_quota_limits_a_team_but_not_the_others() -> None:
    """Guards against a team that uses more slots than its quota."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        one.quotas["buyers"] = 2
        await submit(one, tasks=5, run_ms=3_000)
        await submit(one, "other", team="cooks", run_ms=1_000)
        await world.until_state("done", "other")
        assert world.states().count("running") == 2
        await world.until_state("done")

    play(story)


def test_urgent_task_starts_before_older_ones() -> None:
    """Guards against urgent work that waits behind a batch."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, tasks=12, run_ms=2_000)
        await submit(one, "urgent", urgent=True, run_ms=100)
        await world.until(lambda: world.states("urgent") == ["done"], 6_700)
        assert "queued" in world.states() or "running" in world.states()

    play(story, workers=1)


def test_lost_replies_never_start_a_run_twice() -> None:
    """Guards against a start whose record is not confirmed."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        one.service.lost_reply_share = 0.4
        for number in range(4):
            reply = await one.desk.submit(build_job(f"job-{number}", tasks=10), "buyer")
            assert reply.is_ok()
        for number in range(4):
            await world.until_state("done", f"job-{number}")

    play(story)


@pytest.mark.parametrize("owner_dies", [False, True])
def test_outage_keeps_completions_until_they_are_recorded(owner_dies: bool) -> None:
    """Guards against an end that is acknowledged before it is recorded."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, tasks=5, run_ms=2_000)
        await world.until_state("running")
        one.service.down = True
        await world.clock.sleep_ms(60_000)
        assert set(world.states()) == {"running"}
        if owner_dies:
            await (await world.instance("two")).gain()
        one.service.down = False
        await world.until_state("done")
        assert sum(world.fleet.account.task_runs.values()) == 5

    play(story)


def test_new_owner_waits_for_a_worker_it_can_not_reach() -> None:
    """Guards against a run that is started elsewhere while it still goes on."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, run_ms=9_000)
        await world.until_state("running")
        two = await world.instance("two")
        two.client.cut.add(world.task()["worker"])
        await two.gain()
        await world.clock.sleep_ms(5_000)
        assert (world.task()["run"], world.task()["state"]) == (1, "running")
        assert world.task()["reasons"][-1]["event"] == "TASK_WAITING"
        two.client.cut.clear()
        await world.until_state("done")
        assert world.task()["run"] == 1

    play(story)


@pytest.mark.parametrize("fault", ["reply_lost", "writes_down"])
def test_nothing_starts_before_its_record_is_confirmed(fault: str) -> None:
    """Guards against a run that no record shows, after a write that failed."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        two = await world.instance("two")
        one.service.lost_reply_share = float(fault == "reply_lost")
        one.service.writes_down = fault == "writes_down"
        await submit(two)
        if fault == "reply_lost":
            await world.until_state("starting")
            one.service.down = True
        await world.clock.sleep_ms(20_000)
        assert not world.fleet.account.task_runs
        one.service.down = one.service.writes_down = False
        one.service.lost_reply_share = 0.0
        await world.until_state("done")
        assert sum(world.fleet.account.task_runs.values()) == 1

    play(story)


def test_cancelled_task_does_not_start_when_the_note_is_lost() -> None:
    """Guards against a start between the cancellation and the next recheck."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        two = await world.instance("two")
        await submit(one, "filler", tasks=6, run_ms=2_000)
        await submit(one)
        await world.clock.sleep_ms(500)
        world.network.cut.add(("two", "one"))
        assert (await two.desk.cancel("price-watch")).is_ok()
        await world.until_state("cancelled")
        assert world.fleet.account.task_runs["price-watch/0#1"] == 0

    play(story, workers=1)


def test_evict_says_why_nothing_was_done() -> None:
    """Guards against an eviction that is reported although nothing was evicted."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        reply = await one.keeper.evict("nothing/0", "a test")
        assert isinstance(reply, Err)
        assert reply.err_value.code is Code.NOT_OWNER
        await submit(one, cores=64.0)
        await world.until_state("held")
        reply = await one.keeper.evict("price-watch/0", "a test")
        assert isinstance(reply, Err)
        assert reply.err_value.code is Code.NOT_FOUND

    play(story)


def test_560_starts_and_ends_stay_within_the_write_budget() -> None:
    """Guards against more writes than section 2.10 of the design names."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        for number in range(4):
            await submit(one, f"job-{number}", tasks=140, run_ms=10_000)
        begun_ms, commits = world.clock.now_ms(), world.table.commits
        before = world.table.writes.copy()
        await world.until(lambda: len(world.fleet.account.task_runs) == 560, 1_000)
        seconds = (world.clock.now_ms() - begun_ms) / 1_000
        assert world.table.commits - commits <= 20 * max(seconds, 1.0)
        await world.clock.sleep_ms(2_000)
        started = world.table.writes.copy()
        assert started - before == {"tasks/": 2 * 560}
        commits = world.table.commits
        for number in range(4):
            await world.until_state("done", f"job-{number}")
        assert world.table.writes - started == {"tasks/": 560, "queue/": 560}
        assert world.table.commits - commits <= 20

    play(story, workers=96, cores=1_000.0, memory_gb=1_000.0)


@pytest.mark.parametrize("owners", [1, 2])
@pytest.mark.parametrize("cancels", [False, True])
def test_end_of_a_job_is_logged(owners: int, cancels: bool) -> None:
    """Guards against a job whose end no operator sees in the events."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        if owners == 2:
            await (await world.instance("two")).gain("kista/r1")
        await submit(one, tasks=12, run_ms=5_000 if cancels else 300)
        await submit(one, "other", tasks=12, run_ms=60_000)
        await world.clock.sleep_ms(2_000)
        if cancels:
            assert (await one.desk.cancel("price-watch")).is_ok()
        await world.until_state("cancelled" if cancels else "done")
        await world.clock.sleep_ms(500)
        ends = {
            (record.event, record.fields["job"])
            for instance in world.instances
            for record in instance.log
            if record.event in (Event.JOB_DONE, Event.JOB_CANCELLED)
        }
        event = Event.JOB_CANCELLED if cancels else Event.JOB_DONE
        assert ends == {(event, "price-watch")}

    play(story, workers=16)
