"""Team quotas over several owners, judged by the runs at the workers."""

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
from .task_simulation import SHARD, Instance, TaskSimulation
from .virtual_time import VirtualClock, run_virtual

NAMES = ("one", "two", "three")
RACK = 8


class Meter:
    """Sample the live runs of tasks at all workers."""

    def __init__(self, world: TaskSimulation) -> None:
        self.world = world
        self.counts: list[int] = []

    async def run(self) -> None:
        while True:
            machines = self.world.fleet.workers.values()
            self.counts.append(sum(machine.used_slots() for machine in machines))
            await self.world.clock.sleep_ms(5)


@contextlib.asynccontextmanager
async def owners_of(
    count: int, quota: int | None
) -> AsyncIterator[tuple[TaskSimulation, Meter, list[Instance]]]:
    """Give one rack to each of several owners, which know the same quota."""
    world = TaskSimulation(workers=RACK * count)
    owners = [await world.instance(name) for name in NAMES[:count]]
    for one, shard in zip(owners, world.shards, strict=True):
        if quota is not None:
            one.quotas["buyers"] = quota
        await one.gain(shard)
    await world.clock.sleep_ms(500)
    meter = Meter(world)
    task = asyncio.create_task(meter.run())
    yield world, meter, owners
    task.cancel()
    world.judge()


async def submit(one: Instance, name: str, **fields: object) -> None:
    reply = await one.desk.submit(build_job(name, **fields), "buyer")
    assert isinstance(reply, Ok), reply


async def submit_to(one: Instance, shard: str, name: str, **fields: object) -> None:
    """Submit a job all of whose tasks are queued in one shard."""
    one.full_shards = set(one.world.shards) - {shard}
    await submit(one, name, **fields)
    one.full_shards = set()


@pytest.mark.parametrize("count", [2, 3])
@pytest.mark.parametrize("quota", [1, 2, 5, 20])
def test_owners_together_keep_the_quota_and_use_it(count: int, quota: int) -> None:
    """Guards against a quota that holds only per instance, and against idle slots."""

    async def run() -> None:
        async with owners_of(count, quota) as (world, meter, owners):
            for one in owners:
                await submit(one, f"job-{one.session}", tasks=30, run_ms=1_000)
            begun_ms = world.clock.now_ms()
            for one in owners:
                await world.until_state("done", f"job-{one.session}")
            took_ms = world.clock.now_ms() - begun_ms
            assert max(meter.counts) == quota
            # 1.3 s for each run and its start: slots of the quota are not left idle.
            assert took_ms < 30 * count / quota * 1_300 + 8_000

    run_virtual(run())


@pytest.mark.parametrize("quota", [2, 3, 12])
def test_shards_get_their_share_of_a_quota(quota: int) -> None:
    """Guards against one owner that keeps all slots of a team while others wait."""

    async def run() -> None:
        async with owners_of(3, quota) as (world, meter, owners):
            first, second, _ = world.shards
            await submit_to(owners[0], first, "first", tasks=80, run_ms=1_000)
            await world.clock.sleep_ms(3_000)
            await submit_to(owners[1], second, "second", tasks=3, run_ms=500)
            await world.until_state("done", "second")
            assert "queued" in world.states("first")
            assert max(meter.counts) == quota

    run_virtual(run())


@pytest.mark.parametrize("fault", ["none", "lost_replies", "outage"])
@pytest.mark.parametrize("count", [2, 3])
@pytest.mark.parametrize("pause_ms", [30, 400, 1_700])
def test_quota_holds_while_shards_move(fault: str, count: int, pause_ms: int) -> None:
    """Guards against grants that are counted twice or lost at a takeover.

    The former owner does not know of the takeover and goes on until it is refused.
    """

    async def run() -> None:
        async with owners_of(count, 4) as (world, meter, owners):
            for one in owners:
                await submit(one, f"job-{one.session}", tasks=20, run_ms=700)
            for turn in range(24):
                owner = owners[(turn + turn // count) % count]
                for one in owners:
                    one.service.lost_reply_share = 0.3 * (fault == "lost_replies")
                    one.service.down = fault == "outage" and turn % 4 == 3
                await owner.gain(world.shards[turn % count])
                await world.clock.sleep_ms(pause_ms)
            for one in owners:
                one.service.lost_reply_share, one.service.down = 0.0, False
            for one in owners:
                await world.until_state("done", f"job-{one.session}")
            assert max(meter.counts) <= 4
            assert sum(world.fleet.account.tasks_done.values()) == 20 * count

    run_virtual(run())


def test_quota_that_changes_takes_effect_for_new_starts() -> None:
    """Guards against a changed quota that some owner does not follow."""

    async def run() -> None:
        async with owners_of(3, None) as (world, meter, owners):
            await submit(owners[0], "job", tasks=100, run_ms=2_000)
            await world.clock.sleep_ms(1_000)
            assert max(meter.counts) == 100
            for name in ("later", "last"):
                await submit(owners[0], name, tasks=200, run_ms=2_000)
            for quota in (30, 6, 12):
                for one in owners:
                    one.quotas["buyers"] = quota
                await world.clock.sleep_ms(5_000)
                meter.counts.clear()
                await world.clock.sleep_ms(5_000)
                assert max(meter.counts) == quota
            for one in owners:
                one.quotas.clear()
            await world.until_state("done", "last")

    run_virtual(run())


def test_team_without_a_quota_costs_no_writes() -> None:
    """Guards against rows for teams that need none."""

    async def run() -> None:
        async with owners_of(2, None) as (world, _, owners):
            await submit(owners[0], "job", tasks=20, run_ms=300)
            await world.until_state("done", "job")
            assert world.table.scan(ROW_PREFIX, "", 9) == []

    run_virtual(run())


def test_writes_of_grants_stay_within_the_budget() -> None:
    """Guards against a row that all starts of a team contend for."""

    async def run() -> None:
        async with owners_of(3, 30) as (world, meter, owners):
            for one in owners:
                await submit(one, f"job-{one.session}", tasks=200, run_ms=300)
            begun_ms, before = world.clock.now_ms(), world.table.writes[ROW_PREFIX]
            for one in owners:
                await world.until_state("done", f"job-{one.session}")
            seconds = (world.clock.now_ms() - begun_ms) / 1_000
            # 600 starts; each of the three owners adjusts its grants a few times.
            writes = world.table.writes[ROW_PREFIX] - before
            assert writes <= 3 * seconds
            assert max(meter.counts) == 30

    run_virtual(run())


class LateTable:
    """Give no answer to one write, and apply it later."""

    def __init__(self) -> None:
        self.table = StandinTable()
        self.holds_next = False
        self.held: list[Operation] = []

    async def scan(self, prefix: str) -> Result[list[Row], Failure]:
        return Ok(self.table.scan(prefix, "", 100))

    async def read(self, key: str) -> Result[Row | None, Failure]:
        return Ok(self.table.read(key))

    async def commit(self, operations: list[Operation]) -> Any:
        if self.holds_next:
            self.holds_next, self.held = False, operations
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, "no answer"))
        return self.table.commit(operations, "test")


class OneShard:
    """Hold a shard as its owner, or a former owner, knows it."""

    def __init__(self) -> None:
        self.count, self.wants = 0, 0

    def epochs(self) -> dict[str, int]:
        return {SHARD: 1}

    def live(self, shard: str, team: str) -> int:
        return self.count

    def wanted(self) -> dict[str, dict[str, int]]:
        return {SHARD: {"buyers": self.wants}}

    def signal(self, shard: str) -> None:
        return


def test_write_that_arrives_late_takes_back_no_grant_in_use() -> None:
    """Guards against a grant that is lowered after its slots were used again."""

    async def run() -> None:
        clock, store, shards = VirtualClock(), LateTable(), OneShard()
        row = {"owner": "one", "epoch": 1}
        assert store.table.commit([Put(f"shards/{SHARD}", row, ABSENT)], "").is_ok()
        quotas = TeamQuotas(
            cast(TableStore, store), lambda _: 4, shards, clock, build_log(clock)
        )
        shards.wants = 4
        await quotas.refresh()
        shards.count, shards.wants = 1, 0
        await quotas.refresh()
        await clock.sleep_ms(3_000)
        store.holds_next = True
        await quotas.refresh()
        assert store.held
        shards.count, shards.wants = 1, 3
        assert not quotas.has_room(SHARD, "buyers")
        await quotas.refresh()
        assert quotas.has_room(SHARD, "buyers")
        assert store.table.commit(store.held, "late").is_err()
        found = store.table.read(ROW_PREFIX + "buyers")
        assert found is not None
        assert found.value["grants"] == {SHARD: 4}

    run_virtual(run())


def test_former_owner_takes_no_grant_back() -> None:
    """Guards against a grant that is lowered while the new owner uses it."""

    async def run() -> None:
        clock, store, shards = VirtualClock(), LateTable(), OneShard()
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
