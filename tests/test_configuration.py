"""Configuration changes, their propagation and malformed rows, in virtual time."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from hyssopweir.codes import Code
from hyssopweir.configuration import (
    CONFIGURATION_ROW_KEY,
    ConfigurationKeeper,
    configuration_faults,
)
from hyssopweir.events import Event
from hyssopweir.invariants import Invariants
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import ABSENT, Put, TableStore
from tests.builders import build_log, build_settings
from tests.fakes import FakeNetwork, FakePeers, FakeTableService
from tests.virtual_time import VirtualClock, run_virtual

PROPAGATION_LIMIT_MS = 4_000
PRICE_CHECK = {"idempotent": True, "latency_target_ms": 200}
ONE_SERVICE = {"services": {"price-check": PRICE_CHECK}}
OTHER_SERVICE = {"services": {"offer": {"idempotent": False}}}


class KeeperCluster:
    """Several configuration keepers that share one table and one peer network."""

    def __init__(self, count: int = 3) -> None:
        clock = VirtualClock()
        self.table = StandinTable()
        self.network = FakeNetwork(clock)
        self.services = [FakeTableService(self.table, clock, n) for n in range(count)]
        self.logs = [build_log(clock, f"kista-{n}") for n in range(count)]
        self.keepers = [
            ConfigurationKeeper(
                build_settings(),
                TableStore(service, clock, log),
                FakePeers(self.network, log.instance),
                Invariants(clock, log),
                clock,
                log,
            )
            for service, log in zip(self.services, self.logs, strict=True)
        ]

    def put(self, value: dict[str, Any]) -> None:
        row = self.table.read(CONFIGURATION_ROW_KEY)
        expected = row.version if row is not None else ABSENT
        assert self.table.commit(
            [Put(CONFIGURATION_ROW_KEY, value, expected)], "operator"
        ).is_ok()

    def versions(self) -> list[int]:
        return [keeper.version for keeper in self.keepers]

    def events(self, event: Event) -> list[dict[str, Any]]:
        return [r.fields for log in self.logs for r in log if r.event is event]


def run_with_keepers(
    scenario: Callable[[KeeperCluster], Coroutine[Any, Any, None]],
) -> None:
    async def main() -> None:
        cluster = KeeperCluster()
        for keeper in cluster.keepers:
            await keeper.start()
        await asyncio.sleep(1)
        assert cluster.versions() == [1, 1, 1]
        await scenario(cluster)

    run_virtual(main())


def test_one_of_two_concurrent_changes_conflicts_with_the_difference() -> None:
    """Guards against a change that silently overwrites a concurrent one."""

    async def scenario(cluster: KeeperCluster) -> None:
        replies = await asyncio.gather(
            cluster.keepers[0].change(ONE_SERVICE, 1),
            cluster.keepers[1].change(OTHER_SERVICE, 1),
        )
        assert sorted(reply.is_ok() for reply in replies) == [False, True]
        failure = next(reply.err_value for reply in replies if reply.is_err())
        accepted = ONE_SERVICE if replies[0].is_ok() else OTHER_SERVICE
        assert failure.code is Code.CONFIGURATION_CONFLICT
        name = next(iter(accepted["services"]))
        paths = [change["path"] for change in failure.extra["difference"]]
        assert f"services.{name}.idempotent" in paths
        await asyncio.sleep(1)
        assert cluster.versions() == [2, 2, 2]
        assert cluster.keepers[2].body["services"] == accepted["services"]
        assert cluster.events(Event.CONFIGURATION_REFUSED)

    run_with_keepers(scenario)


@pytest.mark.parametrize("down", [[], [1], [1, 2]], ids=["up", "one down", "two down"])
@pytest.mark.parametrize(
    "is_partitioned", [False, True], ids=["connected", "partitioned"]
)
def test_change_reaches_all_instances_in_time(
    down: list[int], is_partitioned: bool
) -> None:
    """Guards against instances that follow only the table or only their peers."""

    async def scenario(cluster: KeeperCluster) -> None:
        for n in down:
            cluster.services[n].down = True
        if is_partitioned:
            pairs = [("kista-0", log.instance) for log in cluster.logs]
            cluster.network.cut.update(pairs)
        assert (await cluster.keepers[0].change(ONE_SERVICE, 1)).unwrap() == 2
        await asyncio.sleep(PROPAGATION_LIMIT_MS / 1_000)
        unreached = down if is_partitioned else []
        assert cluster.versions() == [1 if n in unreached else 2 for n in range(3)]

    run_with_keepers(scenario)


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"version": "9", "body": {}},
        {"version": True, "body": {}},
        {"version": 9, "body": []},
        {"version": 9, "body": {"services": {"a": {"idempotent": 1}}}},
        {"version": 1, "body": ONE_SERVICE, "more": 1},
        {"version": 1, "body": ONE_SERVICE},
    ],
    ids=str,
)
@pytest.mark.parametrize("by_notification", [False, True], ids=["row", "notification"])
def test_current_version_survives_malformed_input(
    value: dict[str, Any], by_notification: bool
) -> None:
    """Guards against a version that is reverted or lost through a malformed row."""

    async def scenario(cluster: KeeperCluster) -> None:
        (await cluster.keepers[0].change(OTHER_SERVICE, 1)).unwrap()
        await asyncio.sleep(1)
        if by_notification:
            cluster.network.nodes["kista-0"].broadcast("config_changed", value)
        else:
            cluster.put(value)
        await asyncio.sleep(5)
        assert cluster.versions() == [2, 2, 2]
        for keeper in cluster.keepers:
            assert keeper.body["services"] == OTHER_SERVICE["services"]
        reports = len(cluster.events(Event.BAD_INPUT))
        is_old_notification = by_notification and value == {
            "version": 1,
            "body": ONE_SERVICE,
        }
        assert reports == (0 if is_old_notification else 2 if by_notification else 3)
        assert not cluster.events(Event.INVARIANT_BREACH)
        # The next change overwrites the malformed row.
        assert (await cluster.keepers[1].change(ONE_SERVICE, 2)).unwrap() == 3
        await asyncio.sleep(1)
        assert cluster.versions() == [3, 3, 3]

    run_with_keepers(scenario)


@pytest.mark.parametrize("share", [0.5, 0.9])
def test_lost_replies_leave_one_outcome(share: float) -> None:
    """Guards against a change that is reported as refused but took effect."""

    async def scenario(cluster: KeeperCluster) -> None:
        for service in cluster.services:
            service.lost_reply_share = share
        accepted = 1
        for n in range(30):
            keeper = cluster.keepers[n % 3]
            reply = await keeper.change({"retired_workers": [f"w{n}"]}, keeper.version)
            if reply.is_ok():
                assert reply.unwrap() == accepted + 1
            else:
                assert reply.err_value.code is Code.CONFIGURATION_CONFLICT
            row = cluster.table.read(CONFIGURATION_ROW_KEY)
            assert row is not None
            assert row.value["version"] == accepted + reply.is_ok()
            accepted += reply.is_ok()
        assert accepted > 10

    run_with_keepers(scenario)


def test_change_in_an_outage_is_refused_and_changes_nothing() -> None:
    """Guards against a version that only one instance adopts."""

    async def scenario(cluster: KeeperCluster) -> None:
        cluster.services[0].down = True
        reply = await cluster.keepers[0].change(ONE_SERVICE, 1)
        assert reply.unwrap_err().code is Code.STORE_UNAVAILABLE
        await asyncio.sleep(1)
        assert cluster.versions() == [1, 1, 1]

    run_with_keepers(scenario)


@pytest.mark.parametrize(
    ("body", "paths"),
    [
        ([], ["$"]),
        ({"service": {}}, ["$"]),
        (
            {
                "services": {
                    "a": {},
                    "b": {"idempotent": True, "latency_target_ms": 0},
                },
                "teams": {"t": {"quota_slots": -1}},
            },
            ["$.services.a", "$.services.b.latency_target_ms", "$.teams.t.quota_slots"],
        ),
        ({"weights": {"evictions": float("nan")}}, ["$.weights.evictions"]),
        ({"batch": {"k": {"finish_by": "24:00"}}}, ["$.batch.k.finish_by"]),
    ],
    ids=str,
)
def test_invalid_body_is_refused_with_every_fault(body: Any, paths: list[str]) -> None:
    """Guards against validation that reports one fault at a time to operators."""

    async def scenario(cluster: KeeperCluster) -> None:
        failure = (await cluster.keepers[0].change(body, 1)).unwrap_err()
        assert failure.code is Code.CONFIGURATION_INVALID
        assert [fault["path"] for fault in failure.extra["faults"]] == paths
        assert [fault.path for fault in configuration_faults(body)] == paths
        assert cluster.versions() == [1, 1, 1]

    run_with_keepers(scenario)


def test_unchanged_row_is_validated_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against validation of the whole body at every periodic read."""
    checked: list[Any] = []

    def record_check(body: Any) -> list[Any]:
        checked.append(body)
        return configuration_faults(body)

    monkeypatch.setattr("hyssopweir.configuration.configuration_faults", record_check)

    async def scenario(cluster: KeeperCluster) -> None:
        await asyncio.sleep(10)
        before = len(checked)
        await asyncio.sleep(10)
        assert len(checked) == before
        cluster.put({"version": 2, "body": ONE_SERVICE})
        await asyncio.sleep(10)
        assert cluster.versions() == [2, 2, 2]
        assert len(checked) - before == len(cluster.keepers)

    run_with_keepers(scenario)
