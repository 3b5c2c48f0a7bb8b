"""Calls of workers over HTTP."""

import asyncio
import copy
import json
from typing import Any

import aiohttp
import pytest
from result import Ok

from hyssopweir.codes import Code, Outcome
from hyssopweir.fleet_file import check_fleet, load_fleet
from hyssopweir.platform_client import (
    HttpInstanceList,
    HttpSession,
)
from hyssopweir.standin_server import StandinComponents, run_standin
from hyssopweir.worker_client import Fence, RunReport, RunState, TaskRun
from hyssopweir.worker_http import MOST_ANSWER_BYTES, HttpWorkerClient, report_to_dict
from tests.builders import build_worker
from tests.http_cluster import (
    EXAMPLES,
    FLEET,
    JUNK_BODIES,
    build_request_run,
    closed_ports,
    code_of,
    http,
    raw_server,
    running_stand_in,
)


def test_worker_round_trip():
    """Guards against calls or reports that change on their way."""

    async def main() -> None:
        async with running_stand_in() as site:
            client, worker, fence = await site.claim()
            inventory = (await client.claim(worker, 3)).unwrap()
            report = (await client.execute(worker, fence, build_request_run())).unwrap()
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
        async with running_stand_in() as site:
            client, worker, fence = await site.claim()

            async def refusal(fence: Fence, **fields: Any) -> Code:
                run = build_request_run(**fields)
                code, outcome = code_of(await client.execute(worker, fence, run))
                assert outcome is Outcome.NOT_RUN
                return code

            assert (await client.execute(worker, fence, build_request_run())).is_ok()
            assert await refusal(fence) is Code.WORKER_REFUSED
            assert await refusal(Fence(2, fence.incarnation)) is Code.STALE_EPOCH
            assert await refusal(Fence(3, "other")) is Code.STALE_INCARNATION
            runs = [
                build_request_run(f"s#{n}", service="banquet-offer") for n in (0, 1)
            ]
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


def test_worker_refuses_calls_for_another():
    """Guards against two owners of one worker whose address an ended one had before."""

    async def main() -> None:
        async with running_stand_in() as site:
            client, worker, fence = await site.claim()
            other = worker._replace(worker_id="kista-w9")
            refused = (Code.WORKER_REFUSED, Outcome.NOT_RUN)
            assert code_of(await client.claim(other, 9)) == refused
            run = build_request_run("o#1")
            assert code_of(await client.execute(other, fence, run)) == refused
            # The claim in another worker's name has not raised the epoch.
            assert (await client.execute(worker, fence, build_request_run())).is_ok()

    asyncio.run(main())


def test_worker_faults():
    """Guards against a wrong outcome when a worker dies, hangs or restarts."""

    async def main() -> None:
        async with running_stand_in() as site:
            client, worker, fence = await site.claim()
            act = "workers/kista-w0/"
            await site.control("POST", act + "fail")
            failed = (
                await client.execute(worker, fence, build_request_run("f#1"))
            ).unwrap()
            assert failed.state is RunState.FAILED
            await site.control("POST", act + "recover")
            await site.control("POST", act + "freeze")
            held = build_request_run("l#1", deadline_ms=100)
            late = await client.execute(worker, fence, held)
            assert code_of(late) == (Code.WORKER_UNREACHABLE, Outcome.UNKNOWN)
            await site.control("POST", act + "resume")
            await asyncio.sleep(0.1)
            found = (await client.lookup(worker, fence, "l#1")).unwrap()
            assert found.state is RunState.DONE
            slow = build_request_run("k#1", service="banquet-offer")
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
        async with running_stand_in() as site:
            client, worker, fence = await site.claim()
            port = site.server.workers["kista-w0"].port
            inventory = (await client.claim(worker, 3)).unwrap()
            watch = (worker, fence, inventory.revision, 200, 0)
            calls = [asyncio.create_task(client.watch(*watch)) for _ in range(6)]
            await asyncio.sleep(0.1)
            assert port.connections() == 3
            blocked = await client.execute(
                worker, fence, build_request_run(deadline_ms=20)
            )
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
        async with running_stand_in() as site:
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
        async with running_stand_in() as site:
            client, worker, fence = await site.claim()
            run = build_request_run(body=b"x" * size, deadline_ms=10_000)
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
            {"usage": {"at_ms": 1, "cores": -1.0, "memory_gb": 1.0}},
            {"usage": {"at_ms": 1, "cores": float("nan"), "memory_gb": 1.0}},
            {"out_of_memory": 1},
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
            got = await client.execute(worker, Fence(1, "i"), build_request_run())
            assert code_of(got) == (Code.WORKER_JUNK, Outcome.UNKNOWN)
            claimed = await client.claim(worker, 1)
            assert code_of(claimed) == (Code.WORKER_JUNK, Outcome.UNKNOWN)
            await client.close()

    asyncio.run(main())


def test_control_is_out_of_reach_of_the_scheduler():
    """Guards against control endpoints on a port that the scheduler knows."""

    async def main() -> None:
        async with running_stand_in() as site:
            server = site.server
            ports = [server.platform_listener.port]
            ports += [part.port.port for part in server.workers.values()]
            assert server.control_listener.port not in ports
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
            for part in (StandinComponents.PLATFORM, StandinComponents.WORKERS)
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
