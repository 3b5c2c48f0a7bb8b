"""The configuration in force, in virtual time."""

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

IN_FORCE_MS = 4_000
PRICE_CHECK = {"idempotent": True, "latency_target_ms": 200}
ONE_SERVICE = {"services": {"price-check": PRICE_CHECK}}
OTHER_SERVICE = {"services": {"offer": {"idempotent": False}}}


class Rig:
    """Several keepers on one table."""

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


def in_rig(scenario: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        rig = Rig()
        for keeper in rig.keepers:
            await keeper.start()
        await asyncio.sleep(1)
        assert rig.versions() == [1, 1, 1]
        await scenario(rig)

    run_virtual(main())


def test_of_two_operators_at_once_one_is_shown_the_difference() -> None:
    """Guards against a change that silently overwrites another."""

    async def scenario(rig: Rig) -> None:
        replies = await asyncio.gather(
            rig.keepers[0].change(ONE_SERVICE, 1),
            rig.keepers[1].change(OTHER_SERVICE, 1),
        )
        assert sorted(reply.is_ok() for reply in replies) == [False, True]
        failure = next(reply.err_value for reply in replies if reply.is_err())
        accepted = ONE_SERVICE if replies[0].is_ok() else OTHER_SERVICE
        assert failure.code is Code.CONFIGURATION_CONFLICT
        name = next(iter(accepted["services"]))
        paths = [change["path"] for change in failure.extra["difference"]]
        assert f"services.{name}.idempotent" in paths
        await asyncio.sleep(1)
        assert rig.versions() == [2, 2, 2]
        assert rig.keepers[2].body["services"] == accepted["services"]
        assert rig.events(Event.CONFIGURATION_REFUSED)

    in_rig(scenario)


@pytest.mark.parametrize("down", [[], [1], [1, 2]], ids=["up", "one down", "two down"])
@pytest.mark.parametrize("cut", [False, True], ids=["linked", "cut"])
def test_change_is_in_force_everywhere_in_time(down: list[int], cut: bool) -> None:
    """Guards against instances that follow only by the table or only by peers."""

    async def scenario(rig: Rig) -> None:
        for n in down:
            rig.services[n].down = True
        if cut:
            pairs = [("kista-0", log.instance) for log in rig.logs]
            rig.network.cut.update(pairs)
        assert (await rig.keepers[0].change(ONE_SERVICE, 1)).unwrap() == 2
        await asyncio.sleep(IN_FORCE_MS / 1_000)
        unreached = down if cut else []
        assert rig.versions() == [1 if n in unreached else 2 for n in range(3)]

    in_rig(scenario)


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
@pytest.mark.parametrize("by_note", [False, True], ids=["row", "note"])
def test_version_in_force_survives_junk(value: dict[str, Any], by_note: bool) -> None:
    """Guards against a configuration that goes back, or is lost, by a bad row."""

    async def scenario(rig: Rig) -> None:
        (await rig.keepers[0].change(OTHER_SERVICE, 1)).unwrap()
        await asyncio.sleep(1)
        if by_note:
            rig.network.nodes["kista-0"].broadcast("config_changed", value)
        else:
            rig.put(value)
        await asyncio.sleep(5)
        assert rig.versions() == [2, 2, 2]
        for keeper in rig.keepers:
            assert keeper.body["services"] == OTHER_SERVICE["services"]
        reports = len(rig.events(Event.BAD_INPUT))
        is_old_note = by_note and value == {"version": 1, "body": ONE_SERVICE}
        assert reports == (0 if is_old_note else 2 if by_note else 3)
        assert not rig.events(Event.INVARIANT_BREACH)
        # The next change repairs the row.
        assert (await rig.keepers[1].change(ONE_SERVICE, 2)).unwrap() == 3
        await asyncio.sleep(1)
        assert rig.versions() == [3, 3, 3]

    in_rig(scenario)


@pytest.mark.parametrize("share", [0.5, 0.9])
def test_lost_replies_leave_one_outcome(share: float) -> None:
    """Guards against a change that is reported as refused but took effect."""

    async def scenario(rig: Rig) -> None:
        for service in rig.services:
            service.lost_reply_share = share
        accepted = 1
        for n in range(30):
            keeper = rig.keepers[n % 3]
            reply = await keeper.change({"retired_workers": [f"w{n}"]}, keeper.version)
            if reply.is_ok():
                assert reply.unwrap() == accepted + 1
            else:
                assert reply.err_value.code is Code.CONFIGURATION_CONFLICT
            row = rig.table.read(CONFIGURATION_ROW_KEY)
            assert row is not None
            assert row.value["version"] == accepted + reply.is_ok()
            accepted += reply.is_ok()
        assert accepted > 10

    in_rig(scenario)


def test_change_in_an_outage_is_refused_and_changes_nothing() -> None:
    """Guards against a version that only one instance has."""

    async def scenario(rig: Rig) -> None:
        rig.services[0].down = True
        reply = await rig.keepers[0].change(ONE_SERVICE, 1)
        assert reply.unwrap_err().code is Code.STORE_UNAVAILABLE
        await asyncio.sleep(1)
        assert rig.versions() == [1, 1, 1]

    in_rig(scenario)


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
    """Guards against operators who learn of their faults one at a time."""

    async def scenario(rig: Rig) -> None:
        failure = (await rig.keepers[0].change(body, 1)).unwrap_err()
        assert failure.code is Code.CONFIGURATION_INVALID
        assert [fault["path"] for fault in failure.extra["faults"]] == paths
        assert [fault.path for fault in configuration_faults(body)] == paths
        assert rig.versions() == [1, 1, 1]

    in_rig(scenario)


def test_unchanged_row_is_checked_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a check of the whole body with every periodic read."""
    checked: list[Any] = []

    def count(body: Any) -> list[Any]:
        checked.append(body)
        return configuration_faults(body)

    monkeypatch.setattr("hyssopweir.configuration.configuration_faults", count)

    async def scenario(rig: Rig) -> None:
        await asyncio.sleep(10)
        before = len(checked)
        await asyncio.sleep(10)
        assert len(checked) == before
        rig.put({"version": 2, "body": ONE_SERVICE})
        await asyncio.sleep(10)
        assert rig.versions() == [2, 2, 2]
        assert len(checked) - before == len(rig.keepers)

    in_rig(scenario)
