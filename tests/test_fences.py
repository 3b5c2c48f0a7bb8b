"""A former owner that was paused can change nothing when it goes on."""

import asyncio

from result import Err, Ok

from hyssopweir.codes import Code
from hyssopweir.commits import GroupCommit
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import ABSENT, Put, TableStore
from tests.builders import build_log, build_request
from tests.fakes import FakeTableService
from tests.random_load import Load
from tests.scenario import configure, run_system
from tests.system import Node, System
from tests.virtual_time import VirtualClock, run_virtual

SHARD, WORKER = "kista/r0", "kista-w0"


async def start_two(system: System) -> tuple[Node, Node]:
    """Start two instances, of which the first owns the shard with one worker."""
    first = system.start_node("kista-1", "kista")
    second = system.start_node("huddinge-1", "huddinge")
    await system.clock.sleep_ms(8_000)
    await configure(system)
    assert first.parts.ownership.epoch_of(SHARD) is not None
    return first, second


def test_worker_refuses_a_paused_former_owner() -> None:
    """Its slot count is stale: without the fence it would overfill the worker."""

    async def main(system: System) -> None:
        for worker_id in [name for name in system.listings if name != WORKER]:
            del system.listings[worker_id]
        first, second = await start_two(system)
        first.table.slowest_ms = 200
        load = Load(system)
        load.start(load.send(first, "slow-offer", "key-1", b"sill", 30_000))
        await system.clock.sleep_ms(1)
        # The read of the key's record is in transit; all that follows comes later.
        first.process.freeze()
        await system.clock.sleep_ms(8_000)
        assert second.parts.ownership.epoch_of(SHARD) is not None
        expires_ms = second.clock.now_ms() + 9_000
        for number in range(4):
            req = build_request(number, service="price-report", expires_ms=expires_ms)
            work = second.parts.dispatcher.execute(req, SHARD, ABSENT)
            second.process.spawn(work)
        await system.clock.sleep_ms(100)
        assert system.fleet.workers[WORKER].used_slots() == 4
        first.process.resume()
        await load.finish()
        assert system.fleet.account.violations == []
        assert isinstance(load.told[0].reply, Ok), load.told
        assert system.fleet.account.runs_of("planner/key-1") == 1

    run_system(1, main)


def test_table_refuses_a_write_under_an_old_epoch() -> None:
    """A task row that a former owner changed late would be started a second time."""

    async def main() -> None:
        clock, table = VirtualClock(), StandinTable()
        log = build_log(clock)
        store = TableStore(FakeTableService(table, clock), clock, log)
        commits = GroupCommit(store, lambda: "one", clock, log, 50)
        row = Put(f"shards/{SHARD}", {"owner": "one", "epoch": 1}, ABSENT)
        version = (await store.commit([row])).unwrap()[row.key]
        change = Put("tasks/price-watch/0", {"state": "queued"}, ABSENT)
        for owner, epoch in (("two", 2), ("one", 3)):
            late = asyncio.ensure_future(commits.commit(SHARD, 1, [change]))
            await asyncio.sleep(0)
            newer = Put(row.key, {"owner": owner, "epoch": epoch}, version)
            version = (await store.commit([newer])).unwrap()[row.key]
            await commits.flush()
            reply = await late
            assert isinstance(reply, Err)
            assert reply.err_value.code is Code.STORE_CONFLICT
        assert table.read(change.key) is None

    run_virtual(main())
