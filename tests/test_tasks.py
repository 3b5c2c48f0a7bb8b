"""Tests of the task life cycle, with faults of workers, network and table."""

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
from .task_simulation import SHARD, TaskInstance, TaskSimulation
from .virtual_time import run_virtual


def run_task_scenario(
    scenario: Callable[[TaskSimulation, TaskInstance], Any], **fields: Any
) -> None:
    """Run a scenario with one owner of all shards, then check the invariants."""

    async def run() -> None:
        simulation = TaskSimulation(**fields)
        owner = await simulation.instance()
        await owner.gain()
        await scenario(simulation, owner)
        simulation.check_guarantees()

    run_virtual(run())


async def submit(owner: TaskInstance, name: str = "price-watch", **fields: Any) -> None:
    reply = await owner.api.submit(build_job(name, **fields), "buyer")
    assert isinstance(reply, Ok), reply


def test_job_runs_to_completion() -> None:
    """Guards against ends of runs that are lost or not acknowledged."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, tasks=7)
        await simulation.until_state("done")
        await simulation.clock.sleep_ms(1_000)
        assert sum(simulation.fleet.audit.tasks_done.values()) == 7
        assert not any(worker._runs for worker in simulation.fleet.workers.values())
        assert owner.free_in(SHARD) == 4 * 6

    run_task_scenario(scenario)


@pytest.mark.parametrize("fault", ["kill", "restart", "freeze"])
def test_task_survives_failure_of_its_worker(fault: str) -> None:
    """Guards against a task that is lost or run twice when its worker fails."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, run_ms=40_000)
        await simulation.until_state("running")
        victim = simulation.task()["worker"]
        getattr(simulation.fleet, fault)(victim)
        if fault == "kill":
            simulation.unlist(victim)
        await simulation.clock.sleep_ms(25_000)
        if fault == "freeze":
            simulation.fleet.resume(victim)
        await simulation.until(lambda: simulation.states() == ["done"], 120_000)
        assert simulation.task()["run"] == 2

    run_task_scenario(scenario)


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
def test_run_on_silent_worker_is_requeued_after_its_lease(fault: str) -> None:
    """Guards against a task that waits forever for a silent but listed worker."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, tasks=3, run_ms=40_000)
        await simulation.until_state("running")
        await simulation.clock.sleep_ms(5_000)
        victim = simulation.task()["worker"]
        if fault == "cut":
            owner.client.cut.add(victim)
        else:
            getattr(simulation.fleet, fault)(victim)
        # A watch reply that is already in transit leads to one more watch.
        await simulation.clock.sleep_ms(5_000)
        until_ms = owner.links.lease_sent_until_ms(victim)
        await simulation.clock.sleep_ms(until_ms - simulation.clock.now_ms())
        assert simulation.task()["run"] == 1, "started again before the lease has ended"
        await simulation.until(lambda: simulation.task()["run"] == 2, 5_000)
        await simulation.until(lambda: simulation.task()["state"] == "running", 1_000)
        assert simulation.task()["worker"] != victim
        await simulation.clock.sleep_ms(10_000)
        if fault == "freeze":
            simulation.fleet.resume(victim)
        owner.client.cut.clear()
        await simulation.until_state("done")
        assert sum(simulation.fleet.audit.tasks_done.values()) == 3

    run_task_scenario(scenario)


@pytest.mark.parametrize("early_ms", [1, 5, 10, 50])
def test_run_that_ended_during_partition_is_not_repeated(early_ms: int) -> None:
    """Guards against a second run of a task that finished during a short partition."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, run_ms=8_000)
        await simulation.until_state("running")
        await simulation.clock.sleep_ms(4_000)
        victim = simulation.task()["worker"]
        owner.client.cut.add(victim)
        await simulation.clock.sleep_ms(6_000)
        margin_ms = owner.parts.lease_bound_ms - owner.parts.lease_ms
        until_ms = owner.links.lease_sent_until_ms(victim) + margin_ms
        await simulation.clock.sleep_ms(until_ms - simulation.clock.now_ms() - early_ms)
        assert simulation.task()["state"] == "running"
        owner.client.cut.clear()
        await simulation.until_state("done")
        assert simulation.task()["run"] == 1

    run_task_scenario(scenario)


def test_run_continues_after_short_partition() -> None:
    """Guards against a link that sends no leases after one failed watch."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, run_ms=30_000)
        await simulation.until_state("running")
        victim = simulation.task()["worker"]
        owner.client.cut.add(victim)
        await simulation.clock.sleep_ms(8_000)
        owner.client.cut.clear()
        await simulation.until_state("done")
        assert simulation.task()["run"] == 1

    run_task_scenario(scenario)


STATES = ["queued", "starting", "running", "evicting", "held"]


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("pause_ms", [0, 1, 3, 60])
def test_owner_changes_in_each_task_state(state: str, pause_ms: int) -> None:
    """Guards against a task that is started twice or lost when its owner changes."""

    async def run() -> None:
        simulation = TaskSimulation(workers=1 if state == "queued" else 4)
        owner, peer = await simulation.instance(), await simulation.instance("two")
        await owner.gain()
        cores = 64.0 if state == "held" else 1.0
        await submit(owner, tasks=9, cores=cores, run_ms=2_000)
        if state == "evicting":
            await simulation.until_state("running")
            asyncio.create_task(owner.keeper.evict("price-watch/0", "a test"))
        await simulation.until(lambda: state in simulation.states())
        await simulation.clock.sleep_ms(pause_ms)
        await peer.gain()
        if state == "held":
            assert set(simulation.states()) == {"held"}
            assert (await peer.api.cancel("price-watch")).is_ok()
            await simulation.until_state("cancelled")
        else:
            await simulation.until_state("done")
        simulation.check_guarantees()

    run_virtual(run())


@pytest.mark.parametrize("run_ms", [200, 250, 300, 350, 30_000])
def test_eviction_races_with_completion(run_ms: int) -> None:
    """Guards against a second resume and an end that is recorded twice."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, run_ms=run_ms)
        await simulation.until(lambda: simulation.states() != ["queued"])
        await simulation.clock.sleep_ms(150)
        await owner.keeper.evict("price-watch/0", "a test")
        await simulation.until_state("done")
        row = simulation.task()
        assert row["run"] == row["evictions"] + 1
        assert simulation.fleet.audit.evicted["price-watch/0"] == row["evictions"]
        if run_ms == 30_000:
            assert row["evictions"] == 1
            assert simulation.fleet.audit.lost_work_ms <= 50

    run_task_scenario(scenario)


def test_evictions_race_with_burst_of_cancellations() -> None:
    """Guards against a cancelled task that is started again after its eviction."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        jobs = [f"job-{number}" for number in range(40)]
        for job in jobs:
            await submit(owner, job, run_ms=30_000)
        await simulation.clock.sleep_ms(500)
        evictions = [owner.keeper.evict(f"{job}/0", "a test") for job in jobs[::2]]
        cancels = [owner.api.cancel(job) for job in jobs]
        await asyncio.gather(*evictions, *cancels)
        for job in jobs:
            await simulation.until_state("cancelled", job)
        assert not any(
            worker.used_slots() for worker in simulation.fleet.workers.values()
        )

    run_task_scenario(scenario)


def test_leaving_worker_is_evicted_but_only_checkpointed_during_outage() -> None:
    """Guards against evictions without a record, and starts on a leaving worker."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, run_ms=30_000)
        await simulation.until_state("running")
        await simulation.clock.sleep_ms(1_000)
        owner.service.down = True
        await simulation.clock.sleep_ms(6_000)
        victim = simulation.task()["worker"]
        simulation.show_leaving(victim)
        await simulation.clock.sleep_ms(5_000)
        reports = list(simulation.fleet.workers[victim].live_runs())
        assert [report.checkpoint is not None for report in reports] == [True]
        owner.service.down = False
        await simulation.until(lambda: simulation.task()["evictions"] == 1)
        await simulation.until_state("done")
        assert simulation.task()["worker"] != victim

    run_task_scenario(scenario)


def test_unplaceable_job_is_held_without_blocking_the_queue() -> None:
    """Guards against a queue that is blocked by a task that can never run."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, "huge", cores=64.0, urgent=True)
        await submit(owner)
        await simulation.until_state("done")
        await simulation.until_state("held", "huge")
        text = explain_job((await owner.api.task_rows("huge")).unwrap())
        assert "no worker anywhere can run the task, which needs 64 cores" in text

    run_task_scenario(scenario)


def test_task_that_fails_on_several_workers_is_held() -> None:
    """Guards against a faulty task or worker that uses slots indefinitely."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        for worker in simulation.fleet.workers.values():
            worker.fails_everything = True
        await submit(owner)
        await simulation.until_state("held")
        assert len(set(simulation.task()["failed_on"])) == 3

    run_task_scenario(scenario)


def test_task_moves_to_a_shard_with_free_slots() -> None:
    """Guards against a task that waits in one rack while another one has free slots."""

    async def run() -> None:
        simulation = TaskSimulation(workers=9)
        owner, peer = await simulation.instance(), await simulation.instance("two")
        await owner.gain("kista/r1")
        await submit(owner, "filler", tasks=6, run_ms=60_000)
        await submit(owner, run_ms=500)
        await peer.gain(SHARD)
        await simulation.until_state("done")
        assert simulation.task()["shard"] == SHARD
        text = explain_job((await owner.api.task_rows("price-watch")).unwrap())
        assert "moved from kista/r1 to kista/r0" in text
        simulation.check_guarantees()

    run_virtual(run())


def test_quota_limits_a_team_but_not_the_others() -> None:
    """Guards against a team that uses more slots than its quota."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        owner.quotas["buyers"] = 2
        await submit(owner, tasks=5, run_ms=3_000)
        await submit(owner, "other", team="cooks", run_ms=1_000)
        await simulation.until_state("done", "other")
        assert simulation.states().count("running") == 2
        await simulation.until_state("done")

    run_task_scenario(scenario)


def test_urgent_task_starts_before_older_ones() -> None:
    """Guards against an urgent task that waits behind older tasks of a batch job."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, tasks=12, run_ms=2_000)
        await submit(owner, "urgent", urgent=True, run_ms=100)
        await simulation.until(lambda: simulation.states("urgent") == ["done"], 6_700)
        assert "queued" in simulation.states() or "running" in simulation.states()

    run_task_scenario(scenario, workers=1)


def test_lost_replies_never_start_a_run_twice() -> None:
    """Guards against a start before its record is confirmed."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        owner.service.lost_reply_share = 0.4
        for number in range(4):
            reply = await owner.api.submit(
                build_job(f"job-{number}", tasks=10), "buyer"
            )
            assert reply.is_ok()
        for number in range(4):
            await simulation.until_state("done", f"job-{number}")

    run_task_scenario(scenario)


@pytest.mark.parametrize("owner_changes", [False, True])
def test_outage_keeps_completions_until_they_are_recorded(owner_changes: bool) -> None:
    """Guards against an end that is acknowledged before it is recorded."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, tasks=5, run_ms=2_000)
        await simulation.until_state("running")
        owner.service.down = True
        await simulation.clock.sleep_ms(60_000)
        assert set(simulation.states()) == {"running"}
        if owner_changes:
            await (await simulation.instance("two")).gain()
        owner.service.down = False
        await simulation.until_state("done")
        assert sum(simulation.fleet.audit.task_runs.values()) == 5

    run_task_scenario(scenario)


def test_new_owner_waits_for_an_unreachable_worker() -> None:
    """Guards against a second run while the first one may still be running."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, run_ms=9_000)
        await simulation.until_state("running")
        peer = await simulation.instance("two")
        peer.client.cut.add(simulation.task()["worker"])
        await peer.gain()
        await simulation.clock.sleep_ms(5_000)
        assert (simulation.task()["run"], simulation.task()["state"]) == (1, "running")
        assert simulation.task()["reasons"][-1]["event"] == "TASK_WAITING"
        peer.client.cut.clear()
        await simulation.until_state("done")
        assert simulation.task()["run"] == 1

    run_task_scenario(scenario)


@pytest.mark.parametrize("fault", ["reply_lost", "writes_down"])
def test_nothing_starts_before_its_record_is_confirmed(fault: str) -> None:
    """Guards against a run without a record after a failed or unconfirmed write."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        peer = await simulation.instance("two")
        owner.service.lost_reply_share = float(fault == "reply_lost")
        owner.service.writes_down = fault == "writes_down"
        await submit(peer)
        if fault == "reply_lost":
            await simulation.until_state("starting")
            owner.service.down = True
        await simulation.clock.sleep_ms(20_000)
        assert not simulation.fleet.audit.task_runs
        owner.service.down = owner.service.writes_down = False
        owner.service.lost_reply_share = 0.0
        await simulation.until_state("done")
        assert sum(simulation.fleet.audit.task_runs.values()) == 1

    run_task_scenario(scenario)


def test_cancelled_task_does_not_start_if_notification_is_lost() -> None:
    """Guards against a start between a cancellation and the next recheck."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        peer = await simulation.instance("two")
        await submit(owner, "filler", tasks=6, run_ms=2_000)
        await submit(owner)
        await simulation.clock.sleep_ms(500)
        simulation.network.cut.add(("two", "one"))
        assert (await peer.api.cancel("price-watch")).is_ok()
        await simulation.until_state("cancelled")
        assert simulation.fleet.audit.task_runs["price-watch/0#1"] == 0

    run_task_scenario(scenario, workers=1)


def test_failed_eviction_reports_its_cause() -> None:
    """Guards against an eviction reported as done although nothing was evicted."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        reply = await owner.keeper.evict("nothing/0", "a test")
        assert isinstance(reply, Err)
        assert reply.err_value.code is Code.NOT_OWNER
        await submit(owner, cores=64.0)
        await simulation.until_state("held")
        reply = await owner.keeper.evict("price-watch/0", "a test")
        assert isinstance(reply, Err)
        assert reply.err_value.code is Code.NOT_FOUND

    run_task_scenario(scenario)


def test_560_starts_and_ends_stay_within_the_write_budget() -> None:
    """Guards against more writes than section 2.10 of the design allows."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        for number in range(4):
            await submit(owner, f"job-{number}", tasks=140, run_ms=10_000)
        start_ms, commits = simulation.clock.now_ms(), simulation.table.commits
        before = simulation.table.writes.copy()
        await simulation.until(
            lambda: len(simulation.fleet.audit.task_runs) == 560, 1_000
        )
        seconds = (simulation.clock.now_ms() - start_ms) / 1_000
        assert simulation.table.commits - commits <= 20 * max(seconds, 1.0)
        await simulation.clock.sleep_ms(2_000)
        started = simulation.table.writes.copy()
        assert started - before == {"tasks/": 2 * 560}
        commits = simulation.table.commits
        for number in range(4):
            await simulation.until_state("done", f"job-{number}")
        assert simulation.table.writes - started == {"tasks/": 560, "queue/": 560}
        assert simulation.table.commits - commits <= 20

    run_task_scenario(scenario, workers=96, cores=1_000.0, memory_gb=1_000.0)


@pytest.mark.parametrize("owners", [1, 2])
@pytest.mark.parametrize("cancels", [False, True])
def test_end_of_a_job_is_logged(owners: int, cancels: bool) -> None:
    """Guards against a job whose end is missing from the event log."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        if owners == 2:
            await (await simulation.instance("two")).gain("kista/r1")
        await submit(owner, tasks=12, run_ms=5_000 if cancels else 300)
        await submit(owner, "other", tasks=12, run_ms=60_000)
        await simulation.clock.sleep_ms(2_000)
        if cancels:
            assert (await owner.api.cancel("price-watch")).is_ok()
        await simulation.until_state("cancelled" if cancels else "done")
        await simulation.clock.sleep_ms(500)
        logged_ends = {
            (record.event, record.fields["job"])
            for instance in simulation.instances
            for record in instance.log
            if record.event in (Event.JOB_DONE, Event.JOB_CANCELLED)
        }
        event = Event.JOB_CANCELLED if cancels else Event.JOB_DONE
        assert logged_ends == {(event, "price-watch")}

    run_task_scenario(scenario, workers=16)
