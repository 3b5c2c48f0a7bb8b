"""Fencing of a former shard owner that was paused and resumes after a takeover."""

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


async def start_two_instances(system: System) -> tuple[Node, Node]:
    """Start two instances, the first of which owns the shard."""
    former = system.start_node("kista-1", "kista")
    successor = system.start_node("huddinge-1", "huddinge")
    await system.clock.sleep_ms(8_000)
    await configure(system)
    assert former.parts.ownership.epoch_of(SHARD) is not None
    return former, successor


def test_worker_rejects_paused_former_owner() -> None:
    """Guards against a former owner that overloads a worker after a pause.

    Its slot count is outdated, so only the fence keeps it from using occupied slots.
    """

    async def main(system: System) -> None:
        for worker_id in [name for name in system.listings if name != WORKER]:
            del system.listings[worker_id]
        former, successor = await start_two_instances(system)
        former.table.max_delay_ms = 200
        load = Load(system)
        load.start(load.send(former, "slow-offer", "key-1", b"sill", 30_000))
        await system.clock.sleep_ms(1)
        # Freezes while the read of the key record is in transit, before the dispatch.
        former.process.freeze()
        await system.clock.sleep_ms(8_000)
        assert successor.parts.ownership.epoch_of(SHARD) is not None
        expires_ms = successor.clock.now_ms() + 9_000
        for number in range(4):
            req = build_request(number, service="price-report", expires_ms=expires_ms)
            execution = successor.parts.dispatcher.execute(req, SHARD, ABSENT)
            successor.process.spawn(execution)
        await system.clock.sleep_ms(100)
        assert system.fleet.workers[WORKER].used_slots() == 4
        former.process.resume()
        await load.finish()
        assert system.fleet.audit.violations == []
        assert isinstance(load.told[0].reply, Ok), load.told
        assert system.fleet.audit.count_request_runs("planner/key-1") == 1

    run_system(1, main)


def test_table_rejects_write_under_old_epoch() -> None:
    """Guards against a late write by a former owner, which would start a task twice."""

    async def main() -> None:
        clock, table = VirtualClock(), StandinTable()
        log = build_log(clock)
        store = TableStore(FakeTableService(table, clock), clock, log)
        commits = GroupCommit(store, lambda: "one", clock, log, 50)
        row = Put(f"shards/{SHARD}", {"owner": "one", "epoch": 1}, ABSENT)
        version = (await store.commit([row])).unwrap()[row.key]
        change = Put("tasks/price-watch/0", {"state": "queued"}, ABSENT)
        for owner, epoch in (("two", 2), ("one", 3)):
            pending_commit = asyncio.ensure_future(commits.commit(SHARD, 1, [change]))
            await asyncio.sleep(0)
            newer = Put(row.key, {"owner": owner, "epoch": epoch}, version)
            version = (await store.commit([newer])).unwrap()[row.key]
            await commits.flush()
            reply = await pending_commit
            assert isinstance(reply, Err)
            assert reply.err_value.code is Code.STORE_CONFLICT
        assert table.read(change.key) is None

    run_virtual(main())
