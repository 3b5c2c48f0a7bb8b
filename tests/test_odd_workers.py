"""Tests of odd entries in the list of workers and odd replies of workers."""

import json
from typing import Any

import pytest
from result import Err, Ok

from hyssopweir.agents import CommandResult
from hyssopweir.clock import Clock
from hyssopweir.events import Event, EventLog
from hyssopweir.input_bounds import InputError
from hyssopweir.platform.http_agent import (
    HttpAgent,
    HttpWorkerListing,
    parse_lease_reply,
    parse_task_name,
    parse_worker_entry,
)
from hyssopweir.platform.json_http_client import JsonHttpClient, Response
from hyssopweir.row_store import RowKey, Write
from hyssopweir.task_state import RunRef, TaskRef
from tests.odd_data import (
    DEEP_JSON,
    NESTED_JSON,
    ODD_BODIES,
    odd_variants,
    paths_of,
    replace_field,
)
from tests.platform_cluster import WorkerServer
from tests.row_fakes import FakeRowStore, MemoryRows, RowFaults
from tests.virtual_time import VirtualClock, run_virtual

ENTRY = {**WorkerServer().entry(9_000), "born": 1_764_000_000_000, "remainingMs": 900}
LEASE_REPLY = {
    "clockMs": 482_113,
    "born": 1_764_000_000_000,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb87a21d94b", 41, 12]],
    "finished": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
HUGE = b"1" + b"0" * 400


def entry_with(name: str, text: bytes) -> bytes:
    return replace_field({**ENTRY, name: 0}, (name,), text)


ODD_ENTRIES = [
    *ODD_BODIES,
    *(
        entry_with("address", text)
        for text in (
            b'"10.0.0.1:0"',
            b'"10.0.0.1:65536"',
            b'"10.0.0.1:99999999999999999999"',
            b'"10.0.0.1:-1"',
            b'"10.0.0.1:+80"',
            b'"10.0.0.1: 80"',
            '"10.0.0.1:８０"'.encode(),
            b'"10.0.0.1:"',
            b'"10.0.0.1"',
            b'":8080"',
            b'"host name:8080"',
            b'"10.0.0.256:8080"',
            b'"0.0.0.0:8080"',
            b'"224.0.0.1:8080"',
            b"8080",
            b'["10.0.0.1", 8080]',
        )
    ),
    *(
        replace_field(ENTRY, ("capacity", name), text)
        for name in ("cpu", "memMb", "gpu")
        for text in (b"-1", b"1e999", HUGE, b"1000000000000", b"true", b'"9"', b"null")
    ),
    *(
        entry_with(name, text)
        for name in ("born", "remainingMs", "sequence", "slots", "coldRemainingMs")
        for text in (b"-1", b"1e999", HUGE, b"NaN", b"true", b'"9"', b"[]", DEEP_JSON)
    ),
    entry_with("remainingMs", b"1e15"),
    entry_with("born", b"0.5"),
    *(
        entry_with(name, text)
        for name in ("service", "zone", "state", "labels", "capacity")
        for text in (b"null", b"4", b'""', b"[[]]", b"{}", rb'["\ud800"]', NESTED_JSON)
    ),
    entry_with("state", b'"resting"'),
    entry_with("machine", b"{}"),
    entry_with("version", b"[]"),
    entry_with("unknown", DEEP_JSON),
    entry_with("unknown", b"1e999"),
    entry_with("labels", json.dumps(["a"] * 10_000).encode()),
    entry_with("labels", json.dumps(["a" * 10_000]).encode()),
]


@pytest.mark.parametrize("value", ODD_ENTRIES, ids=lambda value: repr(value[:40]))
def test_odd_entry_names_no_worker_and_others_hold(value: bytes) -> None:
    """Guards against an entry of another writer that ends the reader of the list."""

    async def scenario() -> None:
        clock, rows, records = VirtualClock(), MemoryRows(), []
        log = EventLog("a", "dc", clock)
        log.subscribe(records.append)
        rows.apply([Write(RowKey("servers", "", "odd"), value, 0)])
        rows.apply(
            [Write(RowKey("servers", "", "good"), json.dumps(ENTRY).encode(), 0)]
        )
        store = FakeRowStore(rows, clock, RowFaults())
        listing = HttpWorkerListing(store, clock, log)
        for _ in range(3):
            assert list((await listing.refresh()).unwrap()) == ["good"]
            row = rows.rows[RowKey("servers", "", "odd")]
            rows.apply([Write(row.at, value, row.version)])
        faults = [rec for rec in records if rec.event is Event.BAD_INPUT]
        assert [rec.fields["source"] for rec in faults] == ["servers/odd"]

    run_virtual(scenario())


def test_worker_whose_entry_turns_unreadable_is_not_listed() -> None:
    """Guards against a worker that stays listed under its last readable entry."""

    async def scenario() -> None:
        clock, rows = VirtualClock(), MemoryRows()
        at = RowKey("servers", "", "w")
        rows.apply([Write(at, json.dumps(ENTRY).encode(), 0)])
        listing = HttpWorkerListing(
            FakeRowStore(rows, clock, RowFaults()), clock, EventLog("a", "dc", clock)
        )
        assert list((await listing.refresh()).unwrap()) == ["w"]
        rows.apply([Write(at, DEEP_JSON, 1)])
        assert not (await listing.refresh()).unwrap()
        rows.apply([Write(at, json.dumps(ENTRY).encode(), 2)])
        assert list((await listing.refresh()).unwrap()) == ["w"]

    run_virtual(scenario())


def test_entry_with_any_odd_value_is_read_or_rejected() -> None:
    """Guards against an entry whose parser raises what its reader does not expect."""
    for body in odd_variants(ENTRY):
        try:
            entry = parse_worker_entry("w", body)
        except InputError:
            continue
        assert 1 <= entry.port <= 65_535
        assert 0 <= min(entry.room) <= max(entry.room) <= 10_000_000
        assert 0 <= entry.born_ms < 2**53


class FixedClient(JsonHttpClient):
    """Client whose requests all have the same response."""

    def __init__(self, response: Response) -> None:
        super().__init__()
        self.response = response

    async def request(self, *_: Any, **__: Any) -> Any:
        return Ok(self.response)


@pytest.mark.parametrize(
    "reason", [None, 4, [], {}, [[]], {"a": []}, "unheard", float("inf"), 10**400]
)
def test_odd_reason_of_a_rejection_is_an_invalid_reply(reason: Any) -> None:
    """Guards against a reply of a worker that ends the cell by its type."""

    async def scenario() -> None:
        response = Response(409, {"reason": reason})
        client = FixedClient(response)
        agent = HttpAgent(client, client, EventLog("a", "dc", Clock()))
        entry = parse_worker_entry("w", json.dumps(ENTRY).encode())
        ref = RunRef(TaskRef("j", 0, 0, 0), 1)
        assert await agent.stop(entry, ref, 1, 100) is CommandResult.INVALID

    run_virtual(scenario())


def odd_replies() -> list[bytes]:
    replies = [b"null", b"[]", b"{}", b"3", b'"text"']
    for path in paths_of(LEASE_REPLY):
        replies += [
            replace_field(LEASE_REPLY, path, text)
            for text in (b"1e999", b"-1e999", HUGE, b"{}", b"true", b"[[]]")
        ]
    return replies


@pytest.mark.parametrize("body", odd_replies(), ids=lambda body: repr(body[:60]))
def test_odd_lease_reply_is_invalid_as_a_whole(body: bytes) -> None:
    """Guards against a reply that ends the cell, or an end that is skipped."""

    async def scenario() -> None:
        records: list[Any] = []
        log = EventLog("a", "dc", Clock())
        log.subscribe(records.append)
        client = FixedClient(Response(200, json.loads(body)))
        agent = HttpAgent(client, client, log)
        entry = parse_worker_entry("w", json.dumps(ENTRY).encode())
        for _ in range(3):
            reply = await agent.renew_leases(entry, 1, None, None, 0, 100)
            assert reply == Err(CommandResult.INVALID)
        assert [rec.event for rec in records] == [Event.BAD_INPUT]

    run_virtual(scenario())


@pytest.mark.parametrize(
    "name",
    [
        "",
        "a",
        "a.0.0",
        "a.0.0.-1",
        "a.0.0.1e9",
        "a.0.0.",
        "a.0.0.９",
        "a.0.0." + "9" * 99,
    ]
    + [None, 3, [], {}, "a.0.0." + "9" * 5_000],
)
def test_odd_task_name_is_not_read(name: Any) -> None:
    """Guards against a name that is taken for a task, or ends the reader."""
    with pytest.raises(InputError):
        parse_task_name(name)


def test_lease_reply_with_any_odd_value_is_read_or_rejected() -> None:
    """Guards against a reply whose parser raises what its reader does not expect."""
    for body in odd_variants(LEASE_REPLY):
        try:
            reply = parse_lease_reply(json.loads(body))
        except (ValueError, RecursionError):
            continue
        assert 0 <= reply.clock_ms < 2**53
        for run in reply.running:
            assert 0 <= run.percent <= 100
            assert 0 <= run.figure <= 1e9
