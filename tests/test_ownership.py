"""Sessions, takeover and hand-over of shards, in virtual time."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Failure
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet_view import FleetView
from hyssopweir.membership import Membership, session_key
from hyssopweir.ownership import Ownership
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import Operation, Put, Row, TableStore
from tests.builders import build_listings, build_settings, build_workers
from tests.fakes import FakeInstanceList, FakeNetwork, FakePeers, FakeTableService
from tests.virtual_time import VirtualClock, run_virtual

SHARDS = 5
TAKEOVER_MS = 6_700


class FreezableClock(VirtualClock):
    """Hold every sleeper of one instance while it is frozen."""

    def __init__(self) -> None:
        super().__init__()
        self.running = asyncio.Event()
        self.running.set()

    async def sleep_ms(self, delay_ms: Millis) -> None:
        await super().sleep_ms(delay_ms)
        await self.running.wait()


class WatchedTable(StandinTable):
    """Record every epoch that was ever written to a shard row."""

    def __init__(self) -> None:
        super().__init__()
        self.epochs: dict[str, list[int]] = defaultdict(list)

    def commit(
        self,
        operations: Sequence[Operation],
        transaction: str,
    ) -> Result[dict[str, int], Failure]:
        reply = super().commit(operations, transaction)
        for op in operations if reply.is_ok() else ():
            if isinstance(op, Put) and op.key.startswith("shards/"):
                self.epochs[op.key].append(op.value.get("epoch", 0))
        return reply


class Node:
    """One instance: session, ownership and what they need."""

    def __init__(self, rig: "Rig", name: str, data_centre: str) -> None:
        self.clock = FreezableClock()
        self.log = EventLog(name, data_centre, self.clock)
        self.service = FakeTableService(rig.table, self.clock, seed=rig.seed())
        store = TableStore(self.service, self.clock, self.log)
        cfg = build_settings(instance=name, data_centre=data_centre)
        self.membership = Membership(
            cfg, store, self.clock, self.log, lambda: (7_000, 8_000), lambda: 1
        )
        self.membership.set_ready(True)
        listing = FakeInstanceList(build_listings(build_workers(8 * SHARDS)))
        fleet = FleetView(listing, self.clock, self.log, 500)
        self.peers = FakePeers(rig.network, self.membership.session)
        self.ownership = Ownership(
            cfg, store, self.membership, fleet, self.peers, self.clock, self.log
        )
        self.services = (fleet, self.membership, self.ownership)
        self.alive = True

    async def start(self) -> None:
        for service in self.services:
            await service.start()

    async def kill(self) -> None:
        self.alive = False
        self.service.down = True
        self.peers.disconnect()
        for service in self.services:
            await service.stop()

    def events(self, event: Event) -> list[dict[str, Any]]:
        return [record.fields for record in self.log if record.event is event]


class Rig:
    """Several instances on one table."""

    def __init__(self, names: Sequence[str], seed: int = 0) -> None:
        self.table = WatchedTable()
        self.network = FakeNetwork(VirtualClock())
        self._random = random.Random(seed)
        self.nodes = [Node(self, name, "kista") for name in names]

    def seed(self) -> int:
        return self._random.randrange(10**6)

    async def start(self) -> None:
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def join(self, name: str, data_centre: str = "kista") -> Node:
        node = Node(self, name, data_centre)
        self.nodes.append(node)
        await node.start()
        return node

    def owners(self) -> dict[str, str]:
        return {row.key: row.value["owner"] for row in self.rows("shards/")}

    def rows(self, prefix: str) -> list[Row]:
        return self.table.scan(prefix, "", 1_000)

    def busiest(self) -> Node:
        return max(self.nodes, key=lambda node: len(node.ownership.owned()))

    def all_held(self) -> bool:
        """Each shard is held by the live instance that its row names."""
        rows = {row.key.removeprefix("shards/"): row for row in self.rows("shards/")}
        held = {
            shard: (node.membership.session, epoch)
            for node in self.nodes
            if node.alive and node.clock.running.is_set()
            for shard, epoch in node.ownership.owned().items()
        }
        return len(rows) == SHARDS and all(
            held.get(shard) == (row.value["owner"], row.value["epoch"])
            for shard, row in rows.items()
        )

    def check(self) -> None:
        """Epochs only grow, and at most one instance holds the newest of a shard."""
        for key, epochs in self.table.epochs.items():
            assert epochs == list(range(1, len(epochs) + 1)), key
        for row in self.rows("shards/"):
            shard = row.key.removeprefix("shards/")
            holders = [
                node.membership.session
                for node in self.nodes
                if node.ownership.epoch_of(shard) == row.value.get("epoch", -1)
            ]
            assert holders in ([], [row.value.get("owner")])


async def sleep(ms: Millis) -> None:
    await asyncio.sleep(ms / 1_000)


async def until(holds: Callable[[], bool], limit_ms: Millis) -> Millis:
    """Wait until ``holds`` and return after how long it did."""
    for waited_ms in range(0, limit_ms + 1, 10):
        if holds():
            return waited_ms
        await sleep(10)
    raise AssertionError(f"not reached within {limit_ms} ms")


def in_rig(
    scenario: Callable[[Rig], Coroutine[Any, Any, None]],
    names: Sequence[str] = ("kista-1", "kista-2", "kista-3"),
    seed: int = 0,
) -> None:
    async def main() -> None:
        rig = Rig(names, seed)
        await rig.start()
        await until(rig.all_held, 5_000)
        # Rebalancing of the start is over after this.
        await sleep(12_000)
        await scenario(rig)
        rig.check()

    run_virtual(main())


@pytest.mark.parametrize("phase_ms", range(0, 1_000, 125))
def test_shards_of_a_killed_owner_are_taken_over_in_time(phase_ms: Millis) -> None:
    """Guards against urgent work that waits longer than promised for a new owner."""

    async def scenario(rig: Rig) -> None:
        await sleep(phase_ms)
        victim = rig.busiest()
        await victim.kill()
        await until(rig.all_held, TAKEOVER_MS)
        key = session_key(victim.membership.session)
        await until(lambda: rig.table.read(key) is None, 2_000)

    in_rig(scenario)


def test_end_of_a_session_is_reported_once() -> None:
    """Guards against calls that wait for ever for an instance that is gone."""

    async def scenario(rig: Rig) -> None:
        victim, watcher = rig.nodes[:2]
        gone: list[str] = []
        watcher.membership.on_gone(gone.append)
        await victim.kill()
        await sleep(TAKEOVER_MS)
        assert gone == [victim.membership.session]

    in_rig(scenario)


@pytest.mark.parametrize("fault", ["down", "writes_down"])
@pytest.mark.parametrize("outage_ms", [1_500, 2_100, 3_900, 60_000])
def test_outage_of_the_table_moves_no_shard(fault: str, outage_ms: Millis) -> None:
    """Guards against mass takeover: in an outage all heartbeats stop at once."""

    async def scenario(rig: Rig) -> None:
        before = dict(rig.table.epochs)
        held = [node.ownership.owned() for node in rig.nodes]
        for node in rig.nodes:
            setattr(node.service, fault, True)
        await sleep(outage_ms)
        assert [node.ownership.owned() for node in rig.nodes] == held
        observing = [node.membership.is_observing() for node in rig.nodes]
        assert outage_ms < 3_000 or not any(observing)
        for delay_ms, node in enumerate(rig.nodes):
            await sleep(400 * delay_ms)
            setattr(node.service, fault, False)
        await sleep(20_000)
        assert rig.table.epochs == before
        assert [node.ownership.owned() for node in rig.nodes] == held

    in_rig(scenario)


def test_owner_that_dies_in_an_outage_is_replaced_after_it() -> None:
    """Guards against a takeover that never happens because observation restarted."""

    async def scenario(rig: Rig) -> None:
        for node in rig.nodes:
            node.service.down = True
        await sleep(10_000)
        await rig.busiest().kill()
        await sleep(10_000)
        for node in rig.nodes:
            node.service.down = not node.alive
        await until(rig.all_held, TAKEOVER_MS)

    in_rig(scenario)


def test_owner_that_was_frozen_drops_its_shards_and_opens_a_session() -> None:
    """Guards against two owners after a pause."""

    async def scenario(rig: Rig) -> None:
        node = rig.busiest()
        lost: list[str] = []
        node.ownership.on_lost(lost.append)
        held, session = node.ownership.owned(), node.membership.session
        node.clock.running.clear()
        await until(rig.all_held, TAKEOVER_MS)
        await sleep(5_000)
        assert node.ownership.owned() == held
        node.clock.running.set()
        await until(lambda: sorted(lost) == sorted(held), 100)
        await until(lambda: node.membership.session != session, 1_000)
        assert node.events(Event.SESSION_LOST)
        await sleep(12_000)
        assert rig.all_held()

    in_rig(scenario)


def test_of_two_candidates_at_once_one_wins() -> None:
    """Guards against a claim that does not depend on the shard row's version."""

    async def main() -> None:
        rig = Rig(["kista-1", "kista-2"])
        for node in rig.nodes:
            node.service.latency_ms = 20
            await node.services[0].refresh()
        # Both scan before either has a row, so both rank themselves first.
        for node in rig.nodes:
            await node.membership._scan()
        for node in rig.nodes:
            await node.membership._write_heartbeat()
        await asyncio.gather(*(node.ownership.refresh() for node in rig.nodes))
        conflicts = [node.events(Event.SHARD_CLAIM_CONFLICT) for node in rig.nodes]
        assert sum(map(len, conflicts)) == SHARDS
        # The owner's session has not been seen yet, which must not pass for deleted.
        await asyncio.gather(*(node.ownership.refresh() for node in rig.nodes))
        assert rig.all_held()
        assert all(epochs == [1] for epochs in rig.table.epochs.values())
        rig.check()

    run_virtual(main())


@pytest.mark.parametrize("outage_ms", [0, 5_000])
def test_planned_stop_hands_all_shards_over(outage_ms: Millis) -> None:
    """Guards against shards that wait for the expiry of a session that ended."""

    async def scenario(rig: Rig) -> None:
        node = rig.busiest()
        node.service.down = outage_ms > 0
        stop = asyncio.create_task(node.ownership.hand_over())
        await sleep(outage_ms)
        node.service.down = False
        await asyncio.wait_for(stop, 2)
        await node.membership.leave()
        assert not node.ownership.owned()
        assert node.membership.session not in rig.owners().values()
        node.alive = False
        # The note makes the new owners refresh before their next scan.
        await until(rig.all_held, 100)
        assert rig.table.read(session_key(node.membership.session)) is None

    in_rig(scenario)


def test_lone_instance_stops_without_waiting_for_a_successor() -> None:
    """Guards against a planned stop that hangs when nobody can take the shards."""

    async def scenario(rig: Rig) -> None:
        await asyncio.wait_for(rig.nodes[0].ownership.hand_over(), 1)
        await rig.nodes[0].membership.leave()
        await rig.nodes[0].kill()
        await rig.join("kista-2")
        await until(rig.all_held, 3_000)

    in_rig(scenario, ["kista-1"])


@pytest.mark.parametrize(
    ("data_centre", "moved"), [("kista", None), ("arlanda", 0)], ids=["near", "far"]
)
def test_new_instance_gets_its_shards_one_by_one(
    data_centre: str, moved: int | None
) -> None:
    """Guards against a burst of hand-overs, and against a remote owner."""

    async def scenario(rig: Rig) -> None:
        start = sum(map(len, rig.table.epochs.values()))
        node = await rig.join("kista-9", data_centre)
        await sleep(4_900)
        assert not node.ownership.owned()
        count = 0
        for _ in range(20):
            await sleep(500)
            now = sum(map(len, rig.table.epochs.values())) - start
            assert now - count <= len(rig.nodes)
            count = now
        assert rig.all_held()
        expected = len(node.ownership.owned()) if moved is None else moved
        assert count == expected
        assert moved is not None or count > 0

    in_rig(scenario)


def test_instance_that_is_not_ready_gets_no_shard() -> None:
    """Guards against shards at an instance that refuses requests."""

    async def scenario(rig: Rig) -> None:
        idle = next(node for node in rig.nodes if node is not rig.busiest())
        idle.membership.set_ready(False)
        await sleep(1_500)
        held = idle.ownership.owned()
        await rig.busiest().kill()
        await until(rig.all_held, TAKEOVER_MS + 500)
        assert idle.ownership.owned().keys() <= held.keys()

    in_rig(scenario)


def test_refused_epoch_is_dropped_and_claimed_anew() -> None:
    """Guards against an owner that goes on with an epoch that a worker refuses."""

    async def scenario(rig: Rig) -> None:
        node = rig.busiest()
        shard, epoch = next(iter(node.ownership.owned().items()))
        node.ownership.lost(shard, epoch - 1)
        assert node.ownership.epoch_of(shard) == epoch
        node.ownership.lost(shard, epoch)
        assert node.ownership.epoch_of(shard) is None
        await until(lambda: node.ownership.epoch_of(shard) == epoch + 1, 100)

    in_rig(scenario)


@pytest.mark.parametrize("share", [0.3, 0.9])
def test_lost_replies_cost_no_shard(share: float) -> None:
    """Guards against owners that do not know what they wrote."""

    async def scenario(rig: Rig) -> None:
        for node in rig.nodes:
            node.service.lost_reply_share = share
        await rig.busiest().kill()
        await sleep(30_000)
        for node in rig.nodes:
            node.service.lost_reply_share = 0.0
        await until(rig.all_held, TAKEOVER_MS)

    in_rig(scenario)


@pytest.mark.parametrize(
    "value",
    [{}, {"owner": 5, "epoch": 9}, {"owner": "x", "epoch": "9"}, {"epoch": 0}],
)
def test_junk_in_a_shard_row_is_reported_once(value: dict[str, Any]) -> None:
    """Guards against a scan that ends, or a log that fills, at a row of junk."""

    async def scenario(rig: Rig) -> None:
        node = rig.busiest()
        for prefix in ("shards/", "sessions/"):
            row = rig.rows(prefix)[0]
            rig.table.commit([Put(prefix + "junk", value, 0)], "junk")
            if prefix == "shards/":
                rig.table.commit([Put(row.key, value, row.version)], "junk")
        await sleep(5_000)
        reports = [fields["source"] for fields in node.events(Event.BAD_INPUT)]
        assert reports.count("shards/junk") == 1
        assert reports.count("sessions/junk") == 1
        assert not node.events(Event.BACKGROUND_TASK_FAILED)
        rig.table.epochs.clear()

    in_rig(scenario)


class Fault(NamedTuple):
    """Let one instance suffer a fault for some time."""

    node: int
    kind: str
    wait_ms: Millis
    for_ms: Millis


KINDS = ["down", "writes_down", "lost_replies", "slow", "frozen", "killed", "handover"]
FAULTS = st.lists(
    st.builds(
        Fault,
        st.integers(0, 3),
        st.sampled_from(KINDS),
        st.integers(0, 4_000),
        st.sampled_from([50, 900, 2_500, 5_000, 9_000]),
    ),
    max_size=8,
)


async def suffer(rig: Rig, fault: Fault) -> None:
    node = rig.nodes[fault.node]
    if not node.alive:
        return
    match fault.kind:
        case "killed":
            if sum(other.alive for other in rig.nodes) > 1:
                await node.kill()
                await rig.join(f"kista-1{len(rig.nodes)}")
        case "handover":
            await asyncio.wait_for(node.ownership.hand_over(), 70)
            node.ownership._is_stopping = False
            node.membership.set_ready(True)
        case "frozen":
            node.clock.running.clear()
            await sleep(fault.for_ms)
            node.clock.running.set()
        case "slow":
            node.service.latency_ms = 700
            await sleep(fault.for_ms)
            node.service.latency_ms = 2
        case "lost_replies":
            node.service.lost_reply_share = 0.7
            await sleep(fault.for_ms)
            node.service.lost_reply_share = 0.0
        case kind:
            setattr(node.service, kind, True)
            await sleep(fault.for_ms)
            setattr(node.service, kind, not node.alive)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(faults=FAULTS, seed=st.integers(0, 10**6))
def test_one_holder_of_the_newest_epoch(faults: list[Fault], seed: int) -> None:
    """Guards against two owners, or none at last, under combined faults."""

    async def scenario(rig: Rig) -> None:
        suffering = []
        for fault in faults:
            suffering.append(asyncio.create_task(suffer(rig, fault)))
            for _ in range(0, fault.wait_ms, 100):
                await sleep(100)
                rig.check()
        while not all(task.done() for task in suffering):
            await sleep(100)
            rig.check()
        await asyncio.gather(*suffering)
        await until(rig.all_held, 20_000)

    in_rig(scenario, ["kista-1", "kista-2", "kista-3", "kista-4"], seed)
