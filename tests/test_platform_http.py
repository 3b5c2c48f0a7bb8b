"""Tests of the platform's HTTP clients against a stand-in server on loopback."""

import asyncio
from typing import Any

import pytest

from hyssopweir.clock import Clock
from hyssopweir.codes import Code, Outcome
from hyssopweir.events import Event
from hyssopweir.platform_client import (
    HttpInstanceList,
    HttpObjectStore,
    HttpSession,
    HttpTableService,
)
from hyssopweir.table import Check, Delete, Put, Require, TableStore
from tests.builders import build_log
from tests.http_cluster import (
    DOWN,
    JUNK,
    JUNK_BODIES,
    NO_LIST,
    PUT,
    UNKNOWN_COMMIT,
    closed_ports,
    code_of,
    http,
    raw_server,
    running_stand_in,
)


def test_table_round_trip():
    """Guards against operations or rows that encoding or parsing changes."""

    async def main() -> None:
        async with running_stand_in() as cluster:
            first = (
                await cluster.table.commit([PUT, Put("b/1", {}, 0)], "t1")
            ).unwrap()
            assert set(first) == {"a", "b/1"}
            row = (await cluster.table.read("a")).unwrap()
            assert row == ("a", first["a"], "t1", {"n": 1})
            assert (await cluster.table.read("none")).unwrap() is None
            page = (await cluster.table.scan("", "a")).unwrap()
            assert ([row.key for row in page.rows], page.more) == (["b/1"], False)
            conditions = [Check("a", first["a"]), Require("a", "n", 1)]
            delete = Delete("b/1", first["b/1"])
            assert (await cluster.table.commit([*conditions, delete], "t2")).is_ok()
            stale = await cluster.table.commit([PUT], "t3")
            assert code_of(stale) == (Code.STORE_CONFLICT, Outcome.NOT_RUN)

    asyncio.run(main())


def test_conditional_reads_return_the_latest_rows():
    """Guards against a conditional read that returns a stale row or scan."""

    async def main() -> None:
        async with running_stand_in() as cluster:
            expected: dict[str, int] = {}
            for n, key in enumerate(("k/1", "k/2", "k/1")):
                put = Put(key, {"n": n}, expected.get(key, 0))
                expected |= (await cluster.table.commit([put], f"t{n}")).unwrap()
                for _ in range(2):
                    page = (await cluster.table.scan("k/")).unwrap()
                    assert {row.key: row.version for row in page.rows} == expected
                    row = (await cluster.table.read(key)).unwrap()
                    assert (row.version, row.value) == (expected[key], {"n": n})
            delete = Delete("k/1", expected["k/1"])
            assert (await cluster.table.commit([delete], "t4")).is_ok()
            assert (await cluster.table.read("k/1")).unwrap() is None
            page = (await cluster.table.scan("k/")).unwrap()
            assert [row.key for row in page.rows] == ["k/2"]

    asyncio.run(main())


def test_paged_scan_returns_all_rows():
    """Guards against rows lost when the server ends a page before its limit."""

    async def main() -> None:
        async with running_stand_in(timeout_ms=5_000) as cluster:
            big = {"text": "x" * 1_500_000}
            for n in range(5):
                assert (
                    await cluster.table.commit([Put(f"k/{n}", big, 0)], "t")
                ).is_ok()
            first = (await cluster.table.scan("k/")).unwrap()
            assert 0 < len(first.rows) < 5
            assert first.more
            store = TableStore(cluster.table, Clock(), build_log(Clock()))
            assert len((await store.scan("k/")).unwrap()) == 5

    asyncio.run(main())


@pytest.mark.parametrize("key", ["a b", "a/../b?c#d%2F+&ü", "/control/list", "x" * 500])
def test_object_round_trip(key):
    """Guards against keys that alter the URL path, and against altered bodies."""

    async def main() -> None:
        async with running_stand_in(timeout_ms=5_000) as cluster:
            body = bytes(range(256)) * 16_384
            assert (await cluster.objects.get(key)).unwrap() is None
            assert (await cluster.objects.put(key, body)).is_ok()
            assert (await cluster.objects.get(key)).unwrap() == body
            assert set(cluster.server.platform.objects) == {key}

    asyncio.run(main())


@pytest.mark.parametrize(
    ("part", "faults", "read", "write"),
    [
        ("table", {"down": True}, DOWN, DOWN),
        ("table", {"writes_down": True}, None, DOWN),
        ("table", {"slow_ms": 400}, DOWN, UNKNOWN_COMMIT),
        ("table", {"lost_reply_share": 1}, DOWN, UNKNOWN_COMMIT),
        ("objects", {"down": True}, DOWN, DOWN),
        ("objects", {"slow_ms": 400}, DOWN, UNKNOWN_COMMIT),
        ("objects", {"lost_reply_share": 1}, DOWN, UNKNOWN_COMMIT),
    ],
)
def test_outcome_of_calls_under_platform_faults(part, faults, read, write):
    """Guards against reporting a write of unknown outcome as not run."""

    async def main() -> None:
        async with running_stand_in(timeout_ms=150) as cluster:
            await cluster.control("POST", f"faults/{part}", faults)
            if part == "table":
                read_result = await cluster.table.read("a")
                put = await cluster.table.commit([PUT], "t")
            else:
                read_result, put = await cluster.objects.get(
                    "a"
                ), await cluster.objects.put("a", b"")
            assert (code_of(read_result) if read else read_result.ok_value) == read
            assert code_of(put) == write

    asyncio.run(main())


def test_commit_with_a_lost_reply_is_read_back():
    """Guards against a lost reply that repeats the write or conceals it."""

    async def main() -> None:
        async with running_stand_in() as cluster:
            log = build_log(Clock())
            store = TableStore(cluster.table, Clock(), log)
            faults = cluster.server.platform.faults["table"]
            faults.lost_reply_share = 1.0
            commit_task = asyncio.create_task(store.commit([PUT]))
            await asyncio.sleep(0.1)
            assert cluster.server.platform.table.commits == 1
            faults.lost_reply_share = 0.0
            versions = (await commit_task).unwrap()
            assert (await store.read("a")).unwrap().version == versions["a"]
            assert cluster.server.platform.table.rows_written == 1
            assert Event.STORE_READ_BACK in [record.event for record in log]

    asyncio.run(main())


def test_no_connection_means_not_run():
    """Guards against reporting an unknown outcome although nothing was sent."""

    async def main() -> None:
        (port,) = closed_ports(1)
        session = HttpSession({"host": "127.0.0.1", "port": port}, 500)
        table, objects = HttpTableService(session), HttpObjectStore(session)
        assert code_of(await table.read("a")) == DOWN
        assert code_of(await table.scan("a")) == DOWN
        assert code_of(await table.commit([PUT], "t")) == DOWN
        assert code_of(await objects.put("a", b"")) == DOWN
        assert code_of(await objects.get("a")) == DOWN
        assert code_of(await HttpInstanceList(session).read()) == NO_LIST
        await session.stop()

    asyncio.run(main())


RAW_REPLIES: list[tuple[bytes | None, Any, Any]] = [
    *((http(body), JUNK, UNKNOWN_COMMIT) for body in JUNK_BODIES),
    (b"", DOWN, UNKNOWN_COMMIT),
    (None, DOWN, UNKNOWN_COMMIT),
    (b"\x00\xffnot http\r\n\r\n", JUNK, UNKNOWN_COMMIT),
    (http(b'{"row": null}')[:-3], DOWN, UNKNOWN_COMMIT),
    (http(b"", head="Transfer-Encoding: chunked\r\n"), JUNK, UNKNOWN_COMMIT),
    (http(b"{}", head="Content-Encoding: gzip\r\n"), JUNK, UNKNOWN_COMMIT),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", JUNK, UNKNOWN_COMMIT),
    (http(b"", "302 Found", "Location: /x\r\n"), JUNK, UNKNOWN_COMMIT),
    (http(b"", "304 Not Modified", 'ETag: "1"\r\n'), JUNK, UNKNOWN_COMMIT),
    (http(b'{"rows": [], "more": true}'), JUNK, UNKNOWN_COMMIT),
    (http(b"", "404 Not Found"), JUNK, UNKNOWN_COMMIT),
    (http(b"junk", "409 Conflict"), JUNK, UNKNOWN_COMMIT),
    (http(b"", "500 Internal Server Error"), DOWN, UNKNOWN_COMMIT),
    (http(b"", "503 Service Unavailable"), DOWN, DOWN),
]


@pytest.mark.parametrize(("reply", "read", "commit"), RAW_REPLIES)
def test_malformed_platform_replies(reply, read, commit):
    """Guards against replies that raise in the client or are taken for valid."""

    async def main() -> None:
        async with raw_server(reply) as port:
            session = HttpSession({"host": "127.0.0.1", "port": port}, 300)
            table = HttpTableService(session)
            assert code_of(await table.read("a")) == read
            assert code_of(await table.scan("a")) == read
            assert code_of(await table.commit([PUT], "t")) == commit
            assert code_of(await HttpInstanceList(session).read()) == NO_LIST
            await session.stop()

    asyncio.run(main())


@pytest.mark.parametrize("value", [{"n": float("nan")}, {"n": object()}, "text"])
def test_malformed_commit_writes_nothing(value):
    """Guards against an exception and against a partly applied transaction."""

    async def main() -> None:
        async with running_stand_in() as cluster:
            reply = await cluster.table.commit([PUT, Put("b", value, 0)], "t")
            assert code_of(reply) == JUNK
            assert (await cluster.table.read("a")).unwrap() is None

    asyncio.run(main())


def test_instance_list_shows_changes_after_its_lag():
    """Guards against a list that shows a change too early, too late or never."""

    async def main() -> None:
        async with running_stand_in() as cluster:
            await cluster.control("POST", "list", {"lag_ms": 150})
            await cluster.control("POST", "workers/kista-w0/leave")
            await cluster.control("POST", "workers/kista-w1/kill")
            for _ in range(2):
                early = (await cluster.list.read()).unwrap()
                assert [entry.leaving for entry in early] == [False, False]
            await asyncio.sleep(0.2)
            (left,) = (await cluster.list.read()).unwrap()
            assert left.leaving
            assert left.worker == cluster.server.workers["kista-w0"].worker.worker

    asyncio.run(main())


@pytest.mark.parametrize(
    ("heads", "is_read"),
    [(["", ""], [True, False]), (['ETag: "1"\r\n'] * 2, [True, True])],
    ids=["list without a tag", "list with a tag"],
)
def test_not_modified_is_accepted_only_with_an_entity_tag(heads, is_read):
    """Guards against a 304 that is accepted although no list with a tag was read."""

    async def main() -> None:
        complete = http(b'{"workers": []}', head=heads[0])
        not_modified = http(b"", "304 Not Modified", heads[1])
        reads: list[bool] = []
        listing = HttpInstanceList(HttpSession({"host": "127.0.0.1", "port": 1}, 500))
        for reply in (complete, not_modified):
            async with raw_server(reply) as port:
                session = HttpSession({"host": "127.0.0.1", "port": port}, 500)
                listing._http = session
                reads.append((await listing.read()).is_ok())
                await session.stop()
        assert reads == is_read

    asyncio.run(main())
