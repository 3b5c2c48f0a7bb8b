"""Platform and worker adapters against the stand-ins, over loopback sockets."""

import asyncio
import copy
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from result import Err, Ok

from hyssopweir.clock import Clock
from hyssopweir.codes import Code, Outcome
from hyssopweir.events import Event
from hyssopweir.fleet import Worker
from hyssopweir.fleet_file import check_fleet, load_fleet
from hyssopweir.platform_client import (
    HttpInstanceList,
    HttpObjectStore,
    HttpSession,
    HttpTableService,
)
from hyssopweir.standin_server import Parts, StandinServer, run_standin
from hyssopweir.table import ABSENT, Check, Delete, Put, Require, TableStore
from hyssopweir.worker_client import Fence, RequestRun, RunReport, RunState, TaskRun
from hyssopweir.worker_http import MOST_ANSWER_BYTES, HttpWorkerClient, report_to_dict
from tests.builders import build_log, build_worker

EXAMPLES = Path(__file__).parent.parent / "examples"
FLEET: dict[str, Any] = {
    "name": "test",
    "platform": {"host": "127.0.0.1", "port": 0},
    "list_lag_ms": 0,
    "services": {"price-check": {"run_ms": 5}, "banquet-offer": {"run_ms": 400}},
    "data_centres": [
        {"name": "kista", "workers": 2, "first_port": 0, "cores": 32, "memory_gb": 125}
        | {"slots": 2, "connections": 3}
    ],
}
UNKNOWN_COMMIT = (Code.STORE_OUTCOME_UNKNOWN, Outcome.UNKNOWN)
DOWN = (Code.STORE_UNAVAILABLE, Outcome.NOT_RUN)
JUNK = (Code.STORE_JUNK, Outcome.NOT_RUN)
NO_LIST = (Code.LIST_UNAVAILABLE, Outcome.NOT_RUN)
PUT = Put("a", {"n": 1}, ABSENT)


class Site:
    """Hold a running stand-in and clients of it."""

    def __init__(self, server: StandinServer, timeout_ms: int) -> None:
        self.server = server
        port = server.platform_port.port
        self.http = HttpSession({"host": "127.0.0.1", "port": port}, timeout_ms)
        self.table = HttpTableService(self.http)
        self.objects = HttpObjectStore(self.http)
        self.list = HttpInstanceList(self.http)
        self.client = HttpWorkerClient(connections_per_worker=3, call_timeout_ms=300)

    async def claim(self) -> tuple[HttpWorkerClient, Worker, Fence]:
        worker = (await self.list.read()).unwrap()[0].worker
        inventory = (await self.client.claim(worker, 3)).unwrap()
        return self.client, worker, Fence(3, inventory.incarnation)

    async def control(self, method: str, path: str, body: Any = None) -> Any:
        url = f"http://127.0.0.1:{self.server.control_port.port}/control/{path}"
        async with aiohttp.request(method, url, json=body) as reply:
            assert reply.status == 200, await reply.text()
            return await reply.json()


@asynccontextmanager
async def running(timeout_ms: int = 500) -> AsyncIterator[Site]:
    server = StandinServer(check_fleet(FLEET).unwrap(), Clock())
    await server.start()
    site = Site(server, timeout_ms)
    try:
        yield site
    finally:
        await site.http.stop()
        await site.client.close()
        await server.stop()


@asynccontextmanager
async def raw_server(reply: bytes | None) -> AsyncIterator[int]:
    """Answer each request with fixed bytes; None means never."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65_536)
        if reply is None:
            await reader.read()
        else:
            writer.write(reply)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        # Lets the handlers see that their connections have ended.
        await asyncio.sleep(0.02)


def http(body: bytes, status: str = "200 OK", head: str = "") -> bytes:
    head = f"Connection: close\r\nContent-Length: {len(body)}\r\n{head}\r\n"
    return f"HTTP/1.1 {status}\r\n{head}".encode() + body


def code_of(reply: Any) -> tuple[Code, Outcome]:
    assert isinstance(reply, Err), reply
    return reply.err_value.code, reply.err_value.outcome


def closed_ports(count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def request_run(run_id: str = "r#1", **fields: Any) -> RequestRun:
    return RequestRun(run_id, "req-1", "price-check", b"\x00\xff", 2_000)._replace(
        **fields
    )


def test_table_round_trip():
    """Guards against operations or rows that change on their way."""

    async def main() -> None:
        async with running() as site:
            first = (await site.table.commit([PUT, Put("b/1", {}, 0)], "t1")).unwrap()
            assert set(first) == {"a", "b/1"}
            row = (await site.table.read("a")).unwrap()
            assert row == ("a", first["a"], "t1", {"n": 1})
            assert (await site.table.read("none")).unwrap() is None
            rows = (await site.table.scan("", "a")).unwrap()
            assert [row.key for row in rows] == ["b/1"]
            conditions = [Check("a", first["a"]), Require("a", "n", 1)]
            delete = Delete("b/1", first["b/1"])
            assert (await site.table.commit([*conditions, delete], "t2")).is_ok()
            stale = await site.table.commit([PUT], "t3")
            assert code_of(stale) == (Code.STORE_CONFLICT, Outcome.NOT_RUN)

    asyncio.run(main())


def test_long_scan_is_cut_into_pages_without_loss():
    """Guards against rows lost where the server cuts a page short."""

    async def main() -> None:
        async with running(timeout_ms=5_000) as site:
            big = {"text": "x" * 1_500_000}
            for n in range(5):
                assert (await site.table.commit([Put(f"k/{n}", big, 0)], "t")).is_ok()
            first = (await site.table.scan("k/")).unwrap()
            assert 0 < len(first) < 5
            store = TableStore(site.table, Clock(), build_log(Clock()))
            assert len((await store.scan("k/")).unwrap()) == 5

    asyncio.run(main())


@pytest.mark.parametrize("key", ["a b", "a/../b?c#d%2F+&ü", "/control/list", "x" * 500])
def test_object_round_trip(key):
    """Guards against keys that change the path, and against changed bodies."""

    async def main() -> None:
        async with running(timeout_ms=5_000) as site:
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
        async with running(timeout_ms=150) as site:
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
        async with running() as site:
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


ROW = {"key": "a", "version": 1, "transaction": "t", "value": {}}
JUNK_BODIES = [
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff\xfe{}",
    b"[" * 100_000,
    b"1" * 5_000,
    *(
        json.dumps(data).encode()
        for data in (
            {"row": 5, "rows": [5], "versions": 5, "workers": [5]},
            {"row": {**ROW, "key": "b"}, "rows": [{**ROW, "key": "b"}]},
            {"row": {**ROW, "version": True}, "rows": [ROW, ROW], "versions": {}},
            {"row": {**ROW, "value": []}, "rows": {}, "versions": {"a": "1"}},
            {"versions": {"a": True}, "workers": [{**build_worker()._asdict()}]},
            {"versions": {"a": 0}, "workers": [{"leaving": False}]},
            {"versions": {"a": 1, "b": 2}},
        )
    ),
]
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
        async with running() as site:
            reply = await site.table.commit([PUT, Put("b", value, 0)], "t")
            assert code_of(reply) == JUNK
            assert (await site.table.read("a")).unwrap() is None

    asyncio.run(main())


def test_instance_list_lags():
    """Guards against a list that shows a change early, late or not at all."""

    async def main() -> None:
        async with running() as site:
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


def test_worker_round_trip():
    """Guards against calls or reports that change on their way."""

    async def main() -> None:
        async with running() as site:
            client, worker, fence = await site.claim()
            inventory = (await client.claim(worker, 3)).unwrap()
            report = (await client.execute(worker, fence, request_run())).unwrap()
            assert report.answer == b"price-check answers \x00\xff"
            assert (await client.lookup(worker, fence, "r#1")).unwrap() == report
            task = TaskRun("t#1", "watch", 60_000, 1.0, 1.0, 0, {"a": [1]}, None)
            lease_ms = inventory.clock_ms + 10_000
            assert (await client.start(worker, fence, task, lease_ms)).is_ok()
            seen = await client.watch(worker, fence, inventory.revision, 0, lease_ms)
            assert [run.run_id for run in seen.unwrap().runs] == ["t#1"]
            assert (await client.throttle(worker, fence, "t#1", 0.5)).is_ok()
            saved = (await client.checkpoint(worker, fence, "t#1")).unwrap()
            assert saved.checkpoint is not None
            stopped = (await client.stop(worker, fence, "t#1")).unwrap()
            assert stopped.state is RunState.STOPPED
            assert (await client.acknowledge(worker, fence, ["t#1"])).is_ok()
            for run_id, state in (("t#1", "forgotten"), ("t#2", "never_seen")):
                found = (await client.lookup(worker, fence, run_id)).unwrap()
                assert found.state.value == state
            account = await site.control("GET", "account?runs=1")
            assert account["violations"] == []
            assert account["runs"]["request_runs"] == {"r#1": 1}
            assert (account["task_runs"], account["evicted"]) == (1, 1)

    asyncio.run(main())


def test_worker_refusals():
    """Guards against refusals that lose their reason or the word "not run"."""

    async def main() -> None:
        async with running() as site:
            client, worker, fence = await site.claim()

            async def refusal(fence: Fence, **fields: Any) -> Code:
                run = request_run(**fields)
                code, outcome = code_of(await client.execute(worker, fence, run))
                assert outcome is Outcome.NOT_RUN
                return code

            assert (await client.execute(worker, fence, request_run())).is_ok()
            assert await refusal(fence) is Code.WORKER_REFUSED
            assert await refusal(Fence(2, fence.incarnation)) is Code.STALE_EPOCH
            assert await refusal(Fence(3, "other")) is Code.STALE_INCARNATION
            runs = [request_run(f"s#{n}", service="banquet-offer") for n in (0, 1)]
            slow = [
                asyncio.create_task(client.execute(worker, fence, run)) for run in runs
            ]
            await asyncio.sleep(0.1)
            assert await refusal(fence, run_id="x#1") is Code.WORKER_FULL
            await site.control("POST", "workers/kista-w0/leave")
            assert await refusal(fence, run_id="x#2") is Code.WORKER_LEAVING
            # A graceful leave cuts off no request in progress.
            assert all(isinstance(reply, Ok) for reply in await asyncio.gather(*slow))

    asyncio.run(main())


def test_worker_faults():
    """Guards against a wrong outcome when a worker dies, hangs or restarts."""

    async def main() -> None:
        async with running() as site:
            client, worker, fence = await site.claim()
            act = "workers/kista-w0/"
            await site.control("POST", act + "fail")
            failed = (await client.execute(worker, fence, request_run("f#1"))).unwrap()
            assert failed.state is RunState.FAILED
            await site.control("POST", act + "recover")
            await site.control("POST", act + "freeze")
            held = request_run("l#1", deadline_ms=100)
            late = await client.execute(worker, fence, held)
            assert code_of(late) == (Code.WORKER_UNREACHABLE, Outcome.UNKNOWN)
            await site.control("POST", act + "resume")
            await asyncio.sleep(0.1)
            found = (await client.lookup(worker, fence, "l#1")).unwrap()
            assert found.state is RunState.DONE
            slow = request_run("k#1", service="banquet-offer")
            cut = asyncio.create_task(client.execute(worker, fence, slow))
            await asyncio.sleep(0.1)
            await site.control("POST", act + "kill")
            assert code_of(await cut) == (Code.WORKER_UNREACHABLE, Outcome.UNKNOWN)
            dead = await client.claim(worker, 4)
            assert code_of(dead) == (Code.WORKER_UNREACHABLE, Outcome.NOT_RUN)
            await site.control("POST", act + "restart")
            again = (await client.claim(worker, 4)).unwrap()
            assert again.incarnation != fence.incarnation
            assert (await site.control("GET", "account"))["violations"] == []

    asyncio.run(main())


def test_connections_are_bounded_and_released():
    """Guards against connections beyond the limit or kept after ``release``."""

    async def main() -> None:
        async with running() as site:
            client, worker, fence = await site.claim()
            port = site.server.workers["kista-w0"].port
            inventory = (await client.claim(worker, 3)).unwrap()
            watch = (worker, fence, inventory.revision, 200, 0)
            calls = [asyncio.create_task(client.watch(*watch)) for _ in range(6)]
            await asyncio.sleep(0.1)
            assert port.connections() == 3
            blocked = await client.execute(worker, fence, request_run(deadline_ms=20))
            assert code_of(blocked) == (Code.WORKER_UNREACHABLE, Outcome.NOT_RUN)
            client.release(worker)
            assert all(isinstance(reply, Ok) for reply in await asyncio.gather(*calls))
            await asyncio.sleep(0.05)
            assert port.connections() == 0
            assert (await client.claim(worker, 4)).is_ok()
            assert port.connections() == 1
            client.release(worker)
            await asyncio.sleep(0.05)
            assert port.connections() == 0

    asyncio.run(main())


def test_account_reports_too_many_connections():
    """Guards against an account that is blind to the connection limit."""

    async def main() -> None:
        async with running() as site:
            worker = (await site.list.read()).unwrap()[0].worker
            clients = [HttpWorkerClient(3) for _ in range(4)]
            for client in clients:
                await client.claim(worker, 1)
            account = await site.control("GET", "account")
            assert [entry["promise"] for entry in account["violations"]] == ["capacity"]
            for client in clients:
                await client.close()

    asyncio.run(main())


@pytest.mark.parametrize("size", [MOST_ANSWER_BYTES, 2 * MOST_ANSWER_BYTES])
def test_too_large_answer(size):
    """Guards against an oversized answer that is delivered or called not run."""

    async def main() -> None:
        async with running() as site:
            client, worker, fence = await site.claim()
            run = request_run(body=b"x" * size, deadline_ms=10_000)
            code = code_of(await client.execute(worker, fence, run))
            assert code == (Code.BODY_TOO_LARGE, Outcome.RAN)

    asyncio.run(main())


REPORT = report_to_dict(RunReport("r#1", RunState.DONE, False, b"\x00", "req-1"))
WORKER_JUNK = [
    *(http(body) for body in JUNK_BODIES),
    *(
        http(json.dumps({**REPORT, **change}).encode())
        for change in (
            {"run_id": "r#2"},
            {"request_id": "req-2"},
            {"state": "running"},
            {"state": "sleeping"},
            {"answer": "?"},
            {"answer": None},
            {"progress": float("nan")},
            {"is_task": 0},
        )
    ),
    http(b'{"refusal": "OK", "detail": ""}', "409 Conflict"),
    http(b'{"refusal": "NO_SUCH", "detail": ""}', "409 Conflict"),
    http(b"{}", "400 Bad Request"),
    http(b"", "503 Service Unavailable"),
    http(b"", "500 Internal Server Error"),
    b"not http\r\n\r\n",
]


@pytest.mark.parametrize("reply", WORKER_JUNK)
def test_junk_of_worker(reply):
    """Guards against a junk answer that crashes, is delivered or is "not run"."""

    async def main() -> None:
        async with raw_server(reply) as port:
            client, worker = HttpWorkerClient(3), build_worker(port=port)
            got = await client.execute(worker, Fence(1, "i"), request_run())
            assert code_of(got) == (Code.WORKER_JUNK, Outcome.UNKNOWN)
            claimed = await client.claim(worker, 1)
            assert code_of(claimed) == (Code.WORKER_JUNK, Outcome.UNKNOWN)
            await client.close()

    asyncio.run(main())


def test_control_is_out_of_reach_of_the_scheduler():
    """Guards against control endpoints on a port that the scheduler knows."""

    async def main() -> None:
        async with running() as site:
            server = site.server
            ports = [server.platform_port.port]
            ports += [part.port.port for part in server.workers.values()]
            assert server.control_port.port not in ports
            for port in ports:
                url = f"http://127.0.0.1:{port}/control/workers/kista-w0/kill"
                async with aiohttp.request("POST", url) as reply:
                    assert reply.status == 404

    asyncio.run(main())


BROMMA = {"bromma": {"one_way_ms": 3}}


@pytest.mark.parametrize(
    ("path", "value", "fault"),
    [
        (["name"], "No Name", "$.name"),
        (["platform", "host"], "localhost", "$.platform.host"),
        (["services", "price-check", "run_ms"], -1, "$.services['price-check'].run_ms"),
        (["data_centres", 0, "cores"], "32", "$.data_centres[0].cores"),
        (["data_centres", 0, "first_port"], 65_535, "$.data_centres[0].first_port"),
        (["data_centres", 0, "links"], BROMMA, "$.data_centres[0].links.bromma"),
        (["data_centres", 1], FLEET["data_centres"][0], "$.data_centres[1].name"),
    ],
)
def test_fleet_faults_name_their_path(path, value, fault):
    """Guards against a fleet file whose fault is accepted or has no path."""
    data = copy.deepcopy(FLEET)
    part: Any = data
    for step in path[:-1]:
        part = part[step]
    if path[-1] == 1:
        part.append(value)
    else:
        part[path[-1]] = value
    assert [found.path for found in check_fleet(data).unwrap_err()] == [fault]


@pytest.mark.parametrize("text", [b"{", b"\xff", b"1" * 5_000, b"[" * 100_000])
def test_unreadable_fleet_file(tmp_path, text):
    """Guards against a crash on a file that is not JSON."""
    path = tmp_path / "fleet.json"
    path.write_bytes(text)
    (fault,) = load_fleet(path).unwrap_err()
    assert fault.code is Code.SETTINGS_UNREADABLE


@pytest.mark.parametrize(
    ("name", "workers", "centres"), [("karribank", 34, 4), ("norrstrom", 24, 3)]
)
def test_examples(name, workers, centres):
    """Guards against example fleets that do not load or miss workers."""
    fleet = load_fleet(EXAMPLES / f"{name}.json").unwrap()
    assert (len(fleet.workers), len(fleet.data_centres)) == (workers, centres)
    assert {(w.slots, w.connections) for w in fleet.workers} == {(8, 64)}
    assert any(not kind.idempotent for kind in fleet.services.values())


def test_platform_and_workers_as_separate_stand_ins(tmp_path):
    """Guards against parts that do not agree on the addresses of the workers."""

    async def main() -> None:
        data = copy.deepcopy(FLEET)
        data["platform"]["port"], first_port = closed_ports(2)
        data["data_centres"][0].update(first_port=first_port, workers=1)
        path = tmp_path / "fleet.json"
        path.write_text(json.dumps(data))
        until = asyncio.Event()
        parts = [
            asyncio.create_task(run_standin(path, part, until))
            for part in (Parts.PLATFORM, Parts.WORKERS)
        ]
        await asyncio.sleep(0.3)
        session = HttpSession(data["platform"], 500)
        (listing,) = (await HttpInstanceList(session).read()).unwrap()
        client = HttpWorkerClient(3)
        assert (await client.claim(listing.worker, 1)).is_ok()
        await client.close()
        await session.stop()
        until.set()
        assert all(reply.is_ok() for reply in await asyncio.gather(*parts))

    asyncio.run(main())
