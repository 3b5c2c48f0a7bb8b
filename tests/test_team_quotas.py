"""Tests of team quotas across several owners, by the live runs on the workers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any, cast

import pytest
from result import Err, Ok, Result

from hyssopweir.codes import Code, Failure, unknown
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import ABSENT, Operation, Put, Row, TableStore
from hyssopweir.team_quotas import ROW_PREFIX, TeamQuotas

from .builders import build_job, build_log
from .task_simulation import SHARD, TaskInstance, TaskSimulation
from .virtual_time import VirtualClock, run_virtual

NAMES = ("one", "two", "three")
RACK_WORKERS = 8


class LiveRunSampler:
    """Sample the number of live task runs on all workers."""

    def __init__(self, simulation: TaskSimulation) -> None:
        self.simulation = simulation
        self.counts: list[int] = []

    async def run(self) -> None:
        while True:
            workers = self.simulation.fleet.workers.values()
            self.counts.append(sum(worker.used_slots() for worker in workers))
            await self.simulation.clock.sleep_ms(5)


@contextlib.asynccontextmanager
async def run_owners(
    count: int, quota: int | None
) -> AsyncIterator[tuple[TaskSimulation, LiveRunSampler, list[TaskInstance]]]:
    """Run several owners with one rack each and the same quota."""
    simulation = TaskSimulation(workers=RACK_WORKERS * count)
    owners = [await simulation.instance(name) for name in NAMES[:count]]
    for owner, shard in zip(owners, simulation.shards, strict=True):
        if quota is not None:
            owner.quotas["buyers"] = quota
        await owner.gain(shard)
    await simulation.clock.sleep_ms(500)
    sampler = LiveRunSampler(simulation)
    task = asyncio.create_task(sampler.run())
    yield simulation, sampler, owners
    task.cancel()
    simulation.check_guarantees()


async def submit(owner: TaskInstance, name: str, **fields: object) -> None:
    reply = await owner.api.submit(build_job(name, **fields), "buyer")
    assert isinstance(reply, Ok), reply


async def submit_to(
    owner: TaskInstance, shard: str, name: str, **fields: object
) -> None:
    """Submit a job whose tasks are all queued in one shard."""
    owner.full_shards = set(owner.simulation.shards) - {shard}
    await submit(owner, name, **fields)
    owner.full_shards = set()


@pytest.mark.parametrize("count", [2, 3])
@pytest.mark.parametrize("quota", [1, 2, 5, 20])
def test_owners_together_respect_the_quota_and_use_it(count: int, quota: int) -> None:
    """Guards against a quota enforced only per instance, and against idle slots."""

    async def run() -> None:
        async with run_owners(count, quota) as (simulation, sampler, owners):
            for owner in owners:
                await submit(owner, f"job-{owner.session}", tasks=30, run_ms=1_000)
            started_ms = simulation.clock.now_ms()
            for owner in owners:
                await simulation.until_state("done", f"job-{owner.session}")
            took_ms = simulation.clock.now_ms() - started_ms
            assert max(sampler.counts) == quota
            # 1.3 s for each run and its start, so no slots of the quota are idle.
            assert took_ms < 30 * count / quota * 1_300 + 8_000

    run_virtual(run())


@pytest.mark.parametrize("quota", [2, 3, 12])
def test_shards_get_their_share_of_a_quota(quota: int) -> None:
    """Guards against one owner that keeps all slots of a team while others wait."""

    async def run() -> None:
        async with run_owners(3, quota) as (simulation, sampler, owners):
            first, second, _ = simulation.shards
            await submit_to(owners[0], first, "first", tasks=80, run_ms=1_000)
            await simulation.clock.sleep_ms(3_000)
            await submit_to(owners[1], second, "second", tasks=3, run_ms=500)
            await simulation.until_state("done", "second")
            assert "queued" in simulation.states("first")
            assert max(sampler.counts) == quota

    run_virtual(run())


@pytest.mark.parametrize("fault", ["none", "lost_replies", "outage"])
@pytest.mark.parametrize("count", [2, 3])
@pytest.mark.parametrize("pause_ms", [30, 400, 1_700])
def test_quota_holds_while_shards_move(fault: str, count: int, pause_ms: int) -> None:
    """Guards against grants that are counted twice or lost at a takeover.

    The former owner does not notice the takeover and continues until it is rejected.
    """

    async def run() -> None:
        async with run_owners(count, 4) as (simulation, sampler, owners):
            for owner in owners:
                await submit(owner, f"job-{owner.session}", tasks=20, run_ms=700)
            for step in range(24):
                next_owner = owners[(step + step // count) % count]
                for owner in owners:
                    owner.service.lost_reply_share = 0.3 * (fault == "lost_replies")
                    owner.service.down = fault == "outage" and step % 4 == 3
                await next_owner.gain(simulation.shards[step % count])
                await simulation.clock.sleep_ms(pause_ms)
            for owner in owners:
                owner.service.lost_reply_share, owner.service.down = 0.0, False
            for owner in owners:
                await simulation.until_state("done", f"job-{owner.session}")
            assert max(sampler.counts) <= 4
            assert sum(simulation.fleet.audit.tasks_done.values()) == 20 * count

    run_virtual(run())


def test_changed_quota_applies_to_new_starts() -> None:
    """Guards against a changed quota that some owner does not apply."""

    async def run() -> None:
        async with run_owners(3, None) as (simulation, sampler, owners):
            await submit(owners[0], "job", tasks=100, run_ms=2_000)
            await simulation.clock.sleep_ms(1_000)
            assert max(sampler.counts) == 100
            for name in ("later", "last"):
                await submit(owners[0], name, tasks=200, run_ms=2_000)
            for quota in (30, 6, 12):
                for owner in owners:
                    owner.quotas["buyers"] = quota
                await simulation.clock.sleep_ms(5_000)
                sampler.counts.clear()
                await simulation.clock.sleep_ms(5_000)
                assert max(sampler.counts) == quota
            for owner in owners:
                owner.quotas.clear()
            await simulation.until_state("done", "last")

    run_virtual(run())


def test_team_without_a_quota_causes_no_writes() -> None:
    """Guards against quota rows for teams that need none."""

    async def run() -> None:
        async with run_owners(2, None) as (simulation, _, owners):
            await submit(owners[0], "job", tasks=20, run_ms=300)
            await simulation.until_state("done", "job")
            assert simulation.table.scan(ROW_PREFIX, "", 9) == []

    run_virtual(run())


def test_grant_writes_stay_within_the_budget() -> None:
    """Guards against write contention on the row of a team for each start."""

    async def run() -> None:
        async with run_owners(3, 30) as (simulation, sampler, owners):
            for owner in owners:
                await submit(owner, f"job-{owner.session}", tasks=200, run_ms=300)
            started_ms, writes_before = (
                simulation.clock.now_ms(),
                simulation.table.writes[ROW_PREFIX],
            )
            for owner in owners:
                await simulation.until_state("done", f"job-{owner.session}")
            seconds = (simulation.clock.now_ms() - started_ms) / 1_000
            # 600 starts, but each of the three owners adjusts its grants a few times.
            writes = simulation.table.writes[ROW_PREFIX] - writes_before
            assert writes <= 3 * seconds
            assert max(sampler.counts) == 30

    run_virtual(run())


class DelayedWriteTable:
    """Fail one write with an unknown outcome, and keep it to be applied later."""

    def __init__(self) -> None:
        self.table = StandinTable()
        self.delays_next = False
        self.delayed: list[Operation] = []

    async def scan(self, prefix: str) -> Result[list[Row], Failure]:
        return Ok(self.table.scan(prefix, "", 100))

    async def read(self, key: str) -> Result[Row | None, Failure]:
        return Ok(self.table.read(key))

    async def commit(self, operations: list[Operation]) -> Any:
        if self.delays_next:
            self.delays_next, self.delayed = False, operations
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, "no answer"))
        return self.table.commit(operations, "test")


class FakeOwnedShards:
    """Fake the view of a current or former owner on its only shard."""

    def __init__(self) -> None:
        self.live_count, self.wanted_count = 0, 0

    def epochs(self) -> dict[str, int]:
        return {SHARD: 1}

    def live(self, shard: str, team: str) -> int:
        return self.live_count

    def count_startable(self) -> dict[str, dict[str, int]]:
        return {SHARD: {"buyers": self.wanted_count}}

    def signal(self, shard: str) -> None:
        return


def test_late_write_releases_no_grant_in_use() -> None:
    """Guards against a late write that lowers a grant whose slots are in use again."""

    async def run() -> None:
        clock, store, shards = VirtualClock(), DelayedWriteTable(), FakeOwnedShards()
        row = {"owner": "one", "epoch": 1}
        assert store.table.commit([Put(f"shards/{SHARD}", row, ABSENT)], "").is_ok()
        quotas = TeamQuotas(
            cast(TableStore, store), lambda _: 4, shards, clock, build_log(clock)
        )
        shards.wanted_count = 4
        await quotas.refresh()
        shards.live_count, shards.wanted_count = 1, 0
        await quotas.refresh()
        await clock.sleep_ms(3_000)
        store.delays_next = True
        await quotas.refresh()
        assert store.delayed
        shards.live_count, shards.wanted_count = 1, 3
        assert not quotas.has_room(SHARD, "buyers")
        await quotas.refresh()
        assert quotas.has_room(SHARD, "buyers")
        assert store.table.commit(store.delayed, "late").is_err()
        found = store.table.read(ROW_PREFIX + "buyers")
        assert found is not None
        assert found.value["grants"] == {SHARD: 4}

    run_virtual(run())


def test_former_owner_lowers_no_grant() -> None:
    """Guards against a former owner that lowers a grant that the new owner uses."""

    async def run() -> None:
        clock, store, shards = VirtualClock(), DelayedWriteTable(), FakeOwnedShards()
        row = {"owner": "two", "epoch": 2}
        grants = {"grants": {SHARD: 4}, "waiting": []}
        puts = [Put(f"shards/{SHARD}", row, ABSENT)]
        puts.append(Put(ROW_PREFIX + "buyers", grants, ABSENT))
        assert store.table.commit(puts, "").is_ok()
        quotas = TeamQuotas(
            cast(TableStore, store), lambda _: 4, shards, clock, build_log(clock)
        )
        for _ in range(3):
            await quotas.refresh()
            await clock.sleep_ms(3_000)
        found = store.table.read(ROW_PREFIX + "buyers")
        assert found is not None
        assert found.value == grants

    run_virtual(run())
