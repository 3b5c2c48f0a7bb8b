"""Tests of sessions and of takeover and handover of shards, in virtual time."""

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
    """Clock whose sleeps don't return while its instance is frozen."""

    def __init__(self) -> None:
        super().__init__()
        self.running = asyncio.Event()
        self.running.set()

    async def sleep_ms(self, delay_ms: Millis) -> None:
        await super().sleep_ms(delay_ms)
        await self.running.wait()


class EpochRecordingTable(StandinTable):
    """Table that records every epoch that is written to a shard row."""

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


class OwnershipInstance:
    """Session and ownership of one instance, with the components they depend on."""

    def __init__(
        self, cluster: "OwnershipCluster", name: str, data_centre: str
    ) -> None:
        self.clock = FreezableClock()
        self.log = EventLog(name, data_centre, self.clock)
        self.service = FakeTableService(
            cluster.table, self.clock, seed=cluster.next_seed()
        )
        store = TableStore(self.service, self.clock, self.log)
        cfg = build_settings(instance=name, data_centre=data_centre)
        self.membership = Membership(
            cfg, store, self.clock, self.log, lambda: (7_000, 8_000), lambda: 1
        )
        self.membership.set_ready(True)
        listing = FakeInstanceList(build_listings(build_workers(8 * SHARDS)))
        fleet = FleetView(listing, self.clock, self.log, 500)
        self.peers = FakePeers(cluster.network, self.membership.session)
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


class OwnershipCluster:
    """Simulated cluster: several instances on one table."""

    def __init__(self, names: Sequence[str], seed: int = 0) -> None:
        self.table = EpochRecordingTable()
        self.network = FakeNetwork(VirtualClock())
        self._random = random.Random(seed)
        self.instances = [OwnershipInstance(self, name, "kista") for name in names]

    def next_seed(self) -> int:
        return self._random.randrange(10**6)

    async def start(self) -> None:
        await asyncio.gather(*(instance.start() for instance in self.instances))

    async def join(self, name: str, data_centre: str = "kista") -> OwnershipInstance:
        instance = OwnershipInstance(self, name, data_centre)
        self.instances.append(instance)
        await instance.start()
        return instance

    def owners(self) -> dict[str, str]:
        return {row.key: row.value["owner"] for row in self.rows("shards/")}

    def rows(self, prefix: str) -> list[Row]:
        return self.table.scan(prefix, "", 1_000)

    def busiest(self) -> OwnershipInstance:
        return max(self.instances, key=lambda instance: len(instance.ownership.owned()))

    def all_shards_owned(self) -> bool:
        """Check that each shard is owned by the live instance that its row names."""
        rows = {row.key.removeprefix("shards/"): row for row in self.rows("shards/")}
        owned = {
            shard: (instance.membership.session, epoch)
            for instance in self.instances
            if instance.alive and instance.clock.running.is_set()
            for shard, epoch in instance.ownership.owned().items()
        }
        return len(rows) == SHARDS and all(
            owned.get(shard) == (row.value["owner"], row.value["epoch"])
            for shard, row in rows.items()
        )

    def check_epochs(self) -> None:
        """Check that epochs only increase and that the newest has at most one owner."""
        for key, epochs in self.table.epochs.items():
            assert epochs == list(range(1, len(epochs) + 1)), key
        for row in self.rows("shards/"):
            shard = row.key.removeprefix("shards/")
            current_owners = [
                instance.membership.session
                for instance in self.instances
                if instance.ownership.epoch_of(shard) == row.value.get("epoch", -1)
            ]
            assert current_owners in ([], [row.value.get("owner")])


async def sleep(ms: Millis) -> None:
    await asyncio.sleep(ms / 1_000)


async def wait_for_condition(condition: Callable[[], bool], limit_ms: Millis) -> Millis:
    """Wait until ``condition()`` is true and return the time that it took."""
    for waited_ms in range(0, limit_ms + 1, 10):
        if condition():
            return waited_ms
        await sleep(10)
    raise AssertionError(f"not reached within {limit_ms} ms")


def run_in_cluster(
    scenario: Callable[[OwnershipCluster], Coroutine[Any, Any, None]],
    names: Sequence[str] = ("kista-1", "kista-2", "kista-3"),
    seed: int = 0,
) -> None:
    async def main() -> None:
        cluster = OwnershipCluster(names, seed)
        await cluster.start()
        await wait_for_condition(cluster.all_shards_owned, 5_000)
        # The rebalancing after the start takes less than this.
        await sleep(12_000)
        await scenario(cluster)
        cluster.check_epochs()

    run_virtual(main())


@pytest.mark.parametrize("phase_ms", range(0, 1_000, 125))
def test_shards_of_a_killed_owner_are_taken_over_in_time(phase_ms: Millis) -> None:
    """Guards against urgent work that waits longer than promised for a takeover."""

    async def scenario(cluster: OwnershipCluster) -> None:
        await sleep(phase_ms)
        victim = cluster.busiest()
        await victim.kill()
        await wait_for_condition(cluster.all_shards_owned, TAKEOVER_MS)
        key = session_key(victim.membership.session)
        await wait_for_condition(lambda: cluster.table.read(key) is None, 2_000)

    run_in_cluster(scenario)


def test_gone_handler_is_called_once_per_session() -> None:
    """Guards against calls that wait forever for an instance that is gone."""

    async def scenario(cluster: OwnershipCluster) -> None:
        victim, observer = cluster.instances[:2]
        gone: list[str] = []
        observer.membership.on_gone(gone.append)
        await victim.kill()
        await sleep(TAKEOVER_MS)
        assert gone == [victim.membership.session]

    run_in_cluster(scenario)


@pytest.mark.parametrize("fault", ["down", "writes_down"])
@pytest.mark.parametrize("outage_ms", [1_500, 2_100, 3_900, 60_000])
def test_outage_of_the_table_moves_no_shard(fault: str, outage_ms: Millis) -> None:
    """Guards against mass takeover: an outage stops all heartbeats at once."""

    async def scenario(cluster: OwnershipCluster) -> None:
        before = dict(cluster.table.epochs)
        owned = [instance.ownership.owned() for instance in cluster.instances]
        for instance in cluster.instances:
            setattr(instance.service, fault, True)
        await sleep(outage_ms)
        assert [instance.ownership.owned() for instance in cluster.instances] == owned
        observing = [
            instance.membership.is_observing() for instance in cluster.instances
        ]
        assert outage_ms < 3_000 or not any(observing)
        for delay_ms, instance in enumerate(cluster.instances):
            await sleep(400 * delay_ms)
            setattr(instance.service, fault, False)
        await sleep(20_000)
        assert cluster.table.epochs == before
        assert [instance.ownership.owned() for instance in cluster.instances] == owned

    run_in_cluster(scenario)


def test_owner_that_dies_in_an_outage_is_replaced_after_it() -> None:
    """Guards against a takeover that never happens after observation has restarted."""

    async def scenario(cluster: OwnershipCluster) -> None:
        for instance in cluster.instances:
            instance.service.down = True
        await sleep(10_000)
        await cluster.busiest().kill()
        await sleep(10_000)
        for instance in cluster.instances:
            instance.service.down = not instance.alive
        await wait_for_condition(cluster.all_shards_owned, TAKEOVER_MS)

    run_in_cluster(scenario)


def test_owner_that_was_frozen_drops_its_shards_and_opens_a_session() -> None:
    """Guards against two owners of a shard after a pause of the first one."""

    async def scenario(cluster: OwnershipCluster) -> None:
        instance = cluster.busiest()
        lost: list[str] = []
        instance.ownership.on_lost(lost.append)
        owned, session = instance.ownership.owned(), instance.membership.session
        instance.clock.running.clear()
        await wait_for_condition(cluster.all_shards_owned, TAKEOVER_MS)
        await sleep(5_000)
        assert instance.ownership.owned() == owned
        instance.clock.running.set()
        await wait_for_condition(lambda: sorted(lost) == sorted(owned), 100)
        await wait_for_condition(lambda: instance.membership.session != session, 1_000)
        assert instance.events(Event.SESSION_LOST)
        await sleep(12_000)
        assert cluster.all_shards_owned()

    run_in_cluster(scenario)


def test_one_of_two_concurrent_claims_wins() -> None:
    """Guards against a claim that ignores the version of the shard row."""

    async def main() -> None:
        cluster = OwnershipCluster(["kista-1", "kista-2"])
        for instance in cluster.instances:
            instance.service.latency_ms = 20
            await instance.services[0].refresh()
        # Both scan before either has a session row, so both rank themselves first.
        for instance in cluster.instances:
            await instance.membership._scan()
        for instance in cluster.instances:
            await instance.membership._write_heartbeat()
        await asyncio.gather(
            *(instance.ownership.refresh() for instance in cluster.instances)
        )
        conflicts = [
            instance.events(Event.SHARD_CLAIM_CONFLICT)
            for instance in cluster.instances
        ]
        assert sum(map(len, conflicts)) == SHARDS
        # An owner's session that has not been observed yet must not count as deleted.
        await asyncio.gather(
            *(instance.ownership.refresh() for instance in cluster.instances)
        )
        assert cluster.all_shards_owned()
        assert all(epochs == [1] for epochs in cluster.table.epochs.values())
        cluster.check_epochs()

    run_virtual(main())


@pytest.mark.parametrize("outage_ms", [0, 5_000])
def test_graceful_shutdown_hands_all_shards_over(outage_ms: Millis) -> None:
    """Guards against shards without an owner until the ended session expires."""

    async def scenario(cluster: OwnershipCluster) -> None:
        instance = cluster.busiest()
        instance.service.down = outage_ms > 0
        stop = asyncio.create_task(instance.ownership.hand_over())
        await sleep(outage_ms)
        instance.service.down = False
        await asyncio.wait_for(stop, 2)
        await instance.membership.leave()
        assert not instance.ownership.owned()
        assert instance.membership.session not in cluster.owners().values()
        instance.alive = False
        # The notification makes the new owners refresh before their next scan.
        await wait_for_condition(cluster.all_shards_owned, 100)
        assert cluster.table.read(session_key(instance.membership.session)) is None

    run_in_cluster(scenario)


def test_last_instance_stops_without_waiting_for_a_new_owner() -> None:
    """Guards against a shutdown that hangs when no instance can own the shards."""

    async def scenario(cluster: OwnershipCluster) -> None:
        await asyncio.wait_for(cluster.instances[0].ownership.hand_over(), 1)
        await cluster.instances[0].membership.leave()
        await cluster.instances[0].kill()
        await cluster.join("kista-2")
        await wait_for_condition(cluster.all_shards_owned, 3_000)

    run_in_cluster(scenario, ["kista-1"])


@pytest.mark.parametrize(
    ("data_centre", "moved"), [("kista", None), ("arlanda", 0)], ids=["near", "far"]
)
def test_new_instance_gets_its_shards_one_by_one(
    data_centre: str, moved: int | None
) -> None:
    """Guards against a burst of handovers, and against a remote owner."""

    async def scenario(cluster: OwnershipCluster) -> None:
        initial_writes = sum(map(len, cluster.table.epochs.values()))
        instance = await cluster.join("kista-9", data_centre)
        await sleep(4_900)
        assert not instance.ownership.owned()
        count = 0
        for _ in range(20):
            await sleep(500)
            writes = sum(map(len, cluster.table.epochs.values())) - initial_writes
            assert writes - count <= len(cluster.instances)
            count = writes
        assert cluster.all_shards_owned()
        expected = len(instance.ownership.owned()) if moved is None else moved
        assert count == expected
        assert moved is not None or count > 0

    run_in_cluster(scenario)


def test_instance_that_is_not_ready_gets_no_shard() -> None:
    """Guards against shards owned by an instance that rejects requests."""

    async def scenario(cluster: OwnershipCluster) -> None:
        idle = next(
            instance
            for instance in cluster.instances
            if instance is not cluster.busiest()
        )
        idle.membership.set_ready(False)
        await sleep(1_500)
        owned = idle.ownership.owned()
        await cluster.busiest().kill()
        await wait_for_condition(cluster.all_shards_owned, TAKEOVER_MS + 500)
        assert idle.ownership.owned().keys() <= owned.keys()

    run_in_cluster(scenario)


def test_rejected_epoch_is_dropped_and_claimed_again() -> None:
    """Guards against an owner that keeps using an epoch that a worker rejects."""

    async def scenario(cluster: OwnershipCluster) -> None:
        instance = cluster.busiest()
        shard, epoch = next(iter(instance.ownership.owned().items()))
        instance.ownership.lost(shard, epoch - 1)
        assert instance.ownership.epoch_of(shard) == epoch
        instance.ownership.lost(shard, epoch)
        assert instance.ownership.epoch_of(shard) is None
        await wait_for_condition(
            lambda: instance.ownership.epoch_of(shard) == epoch + 1, 100
        )

    run_in_cluster(scenario)


@pytest.mark.parametrize("share", [0.3, 0.9])
def test_lost_replies_lose_no_shard(share: float) -> None:
    """Guards against owners that miss their own writes when replies are lost."""

    async def scenario(cluster: OwnershipCluster) -> None:
        for instance in cluster.instances:
            instance.service.lost_reply_share = share
        await cluster.busiest().kill()
        await sleep(30_000)
        for instance in cluster.instances:
            instance.service.lost_reply_share = 0.0
        await wait_for_condition(cluster.all_shards_owned, TAKEOVER_MS)

    run_in_cluster(scenario)


@pytest.mark.parametrize(
    "value",
    [{}, {"owner": 5, "epoch": 9}, {"owner": "x", "epoch": "9"}, {"epoch": 0}],
)
def test_malformed_shard_row_is_logged_once(value: dict[str, Any]) -> None:
    """Guards against a malformed row that ends the scan or fills the log."""

    async def scenario(cluster: OwnershipCluster) -> None:
        instance = cluster.busiest()
        for prefix in ("shards/", "sessions/"):
            row = cluster.rows(prefix)[0]
            cluster.table.commit([Put(prefix + "junk", value, 0)], "junk")
            if prefix == "shards/":
                cluster.table.commit([Put(row.key, value, row.version)], "junk")
        await sleep(5_000)
        reports = [fields["source"] for fields in instance.events(Event.BAD_INPUT)]
        assert reports.count("shards/junk") == 1
        assert reports.count("sessions/junk") == 1
        assert not instance.events(Event.BACKGROUND_TASK_FAILED)
        cluster.table.epochs.clear()

    run_in_cluster(scenario)


class InjectedFault(NamedTuple):
    """Fault of one instance for a limited time."""

    index: int
    kind: str
    wait_ms: Millis
    duration_ms: Millis


FAULT_KINDS = [
    "down",
    "writes_down",
    "lost_replies",
    "slow",
    "frozen",
    "killed",
    "handover",
]
FAULTS = st.lists(
    st.builds(
        InjectedFault,
        st.integers(0, 3),
        st.sampled_from(FAULT_KINDS),
        st.integers(0, 4_000),
        st.sampled_from([50, 900, 2_500, 5_000, 9_000]),
    ),
    max_size=8,
)


async def apply_fault(cluster: OwnershipCluster, fault: InjectedFault) -> None:
    instance = cluster.instances[fault.index]
    if not instance.alive:
        return
    match fault.kind:
        case "killed":
            if sum(other.alive for other in cluster.instances) > 1:
                await instance.kill()
                await cluster.join(f"kista-1{len(cluster.instances)}")
        case "handover":
            await asyncio.wait_for(instance.ownership.hand_over(), 70)
            instance.ownership._is_stopping = False
            instance.membership.set_ready(True)
        case "frozen":
            instance.clock.running.clear()
            await sleep(fault.duration_ms)
            instance.clock.running.set()
        case "slow":
            instance.service.latency_ms = 700
            await sleep(fault.duration_ms)
            instance.service.latency_ms = 2
        case "lost_replies":
            instance.service.lost_reply_share = 0.7
            await sleep(fault.duration_ms)
            instance.service.lost_reply_share = 0.0
        case kind:
            setattr(instance.service, kind, True)
            await sleep(fault.duration_ms)
            setattr(instance.service, kind, not instance.alive)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(faults=FAULTS, seed=st.integers(0, 10**6))
def test_random_faults_leave_one_owner_of_the_newest_epoch(
    faults: list[InjectedFault], seed: int
) -> None:
    """Guards against two owners of a shard, or none in the end, in combined faults."""

    async def scenario(cluster: OwnershipCluster) -> None:
        fault_tasks = []
        for fault in faults:
            fault_tasks.append(asyncio.create_task(apply_fault(cluster, fault)))
            for _ in range(0, fault.wait_ms, 100):
                await sleep(100)
                cluster.check_epochs()
        while not all(task.done() for task in fault_tasks):
            await sleep(100)
            cluster.check_epochs()
        await asyncio.gather(*fault_tasks)
        await wait_for_condition(cluster.all_shards_owned, 20_000)

    run_in_cluster(scenario, ["kista-1", "kista-2", "kista-3", "kista-4"], seed)
