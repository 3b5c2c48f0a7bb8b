"""Platform and worker adapters against the stand-ins, over loopback sockets."""

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
    """Guards against operations or rows that change on their way."""

    async def main() -> None:
        async with running_stand_in() as site:
            first = (await site.table.commit([PUT, Put("b/1", {}, 0)], "t1")).unwrap()
            assert set(first) == {"a", "b/1"}
            row = (await site.table.read("a")).unwrap()
            assert row == ("a", first["a"], "t1", {"n": 1})
            assert (await site.table.read("none")).unwrap() is None
            page = (await site.table.scan("", "a")).unwrap()
            assert ([row.key for row in page.rows], page.more) == (["b/1"], False)
            conditions = [Check("a", first["a"]), Require("a", "n", 1)]
            delete = Delete("b/1", first["b/1"])
            assert (await site.table.commit([*conditions, delete], "t2")).is_ok()
            stale = await site.table.commit([PUT], "t3")
            assert code_of(stale) == (Code.STORE_CONFLICT, Outcome.NOT_RUN)

    asyncio.run(main())


def test_unchanged_rows_are_not_sent_again_and_changes_are_seen():
    """Guards against a conditional read that shows an old row or an old scan."""

    async def main() -> None:
        async with running_stand_in() as site:
            expected: dict[str, int] = {}
            for n, key in enumerate(("k/1", "k/2", "k/1")):
                put = Put(key, {"n": n}, expected.get(key, 0))
                expected |= (await site.table.commit([put], f"t{n}")).unwrap()
                for _ in range(2):
                    page = (await site.table.scan("k/")).unwrap()
                    assert {row.key: row.version for row in page.rows} == expected
                    row = (await site.table.read(key)).unwrap()
                    assert (row.version, row.value) == (expected[key], {"n": n})
            delete = Delete("k/1", expected["k/1"])
            assert (await site.table.commit([delete], "t4")).is_ok()
            assert (await site.table.read("k/1")).unwrap() is None
            page = (await site.table.scan("k/")).unwrap()
            assert [row.key for row in page.rows] == ["k/2"]

    asyncio.run(main())


def test_long_scan_is_cut_into_pages_without_loss():
    """Guards against rows lost where the server cuts a page short."""

    async def main() -> None:
        async with running_stand_in(timeout_ms=5_000) as site:
            big = {"text": "x" * 1_500_000}
            for n in range(5):
                assert (await site.table.commit([Put(f"k/{n}", big, 0)], "t")).is_ok()
            first = (await site.table.scan("k/")).unwrap()
            assert 0 < len(first.rows) < 5
            assert first.more
            store = TableStore(site.table, Clock(), build_log(Clock()))
            assert len((await store.scan("k/")).unwrap()) == 5

    asyncio.run(main())


@pytest.mark.parametrize("key", ["a b", "a/../b?c#d%2F+&ü", "/control/list", "x" * 500])
def test_object_round_trip(key):
    """Guards against keys that change the path, and against changed bodies."""

    async def main() -> None:
        async with running_stand_in(timeout_ms=5_000) as site:
            body = bytes(range(256)) * 16_384
            assert (await site.objects.get(key)).unwrap() is None
            assert (await site.objects.put(key, body)).is_ok()
            assert (await site.objects.get(key)).unwrap() == body
            assert set(site.server.platform.objects) == {key}

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
def test_platform_faults(part, faults, read, write):
    """Guards against a write of unknown outcome that is called not run."""

    async def main() -> None:
        async with running_stand_in(timeout_ms=150) as site:
            await site.control("POST", f"faults/{part}", faults)
            if part == "table":
                got = await site.table.read("a")
                put = await site.table.commit([PUT], "t")
            else:
                got, put = await site.objects.get("a"), await site.objects.put("a", b"")
            assert (code_of(got) if read else got.ok_value) == read
            assert code_of(put) == write

    asyncio.run(main())


def test_lost_reply_is_read_back():
    """Guards against a lost reply that repeats the write or hides it."""

    async def main() -> None:
        async with running_stand_in() as site:
            log = build_log(Clock())
            store = TableStore(site.table, Clock(), log)
            faults = site.server.platform.faults["table"]
            faults.lost_reply_share = 1.0
            writing = asyncio.create_task(store.commit([PUT]))
            await asyncio.sleep(0.1)
            assert site.server.platform.table.commits == 1
            faults.lost_reply_share = 0.0
            versions = (await writing).unwrap()
            assert (await store.read("a")).unwrap().version == versions["a"]
            assert site.server.platform.table.rows_written == 1
            assert Event.STORE_READ_BACK in [record.event for record in log]

    asyncio.run(main())


def test_no_connection_means_not_run():
    """Guards against an outage that looks like a write of unknown outcome."""

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
def test_raw_replies_of_platform(reply, read, commit):
    """Guards against replies that crash the caller or pass for an answer."""

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
def test_malformed_write_leaves_nothing_behind(value):
    """Guards against a crash, or a transaction that fails in the middle."""

    async def main() -> None:
        async with running_stand_in() as site:
            reply = await site.table.commit([PUT, Put("b", value, 0)], "t")
            assert code_of(reply) == JUNK
            assert (await site.table.read("a")).unwrap() is None

    asyncio.run(main())


def test_instance_list_lags():
    """Guards against a list that shows a change early, late or not at all."""

    async def main() -> None:
        async with running_stand_in() as site:
            await site.control("POST", "list", {"lag_ms": 150})
            await site.control("POST", "workers/kista-w0/leave")
            await site.control("POST", "workers/kista-w1/kill")
            for _ in range(2):
                early = (await site.list.read()).unwrap()
                assert [entry.leaving for entry in early] == [False, False]
            await asyncio.sleep(0.2)
            (left,) = (await site.list.read()).unwrap()
            assert left.leaving
            assert left.worker == site.server.workers["kista-w0"].worker.worker

    asyncio.run(main())


@pytest.mark.parametrize(
    ("heads", "is_read"),
    [(["", ""], [True, False]), (['ETag: "1"\r\n'] * 2, [True, True])],
    ids=["list without a tag", "list with a tag"],
)
def test_unchanged_list_is_kept_only_if_it_had_a_tag(heads, is_read):
    """Guards against an empty reply that is taken for an empty or an old list."""

    async def main() -> None:
        whole = http(b'{"workers": []}', head=heads[0])
        unchanged = http(b"", "304 Not Modified", heads[1])
        reads: list[bool] = []
        listing = HttpInstanceList(HttpSession({"host": "127.0.0.1", "port": 1}, 500))
        for reply in (whole, unchanged):
            async with raw_server(reply) as port:
                session = HttpSession({"host": "127.0.0.1", "port": port}, 500)
                listing._http = session
                reads.append((await listing.read()).is_ok())
                await session.stop()
        assert reads == is_read

    asyncio.run(main())
