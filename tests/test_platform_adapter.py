"""The adapter speaks the users' platform, and passes nothing on that it can't read."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from typing import Any

import aiohttp
import pytest
from result import Err, Ok

from hyssopweir.agents import CommandResult, StartCommand, WorkerEntry, WorkerState
from hyssopweir.clock import Clock
from hyssopweir.codes import Code, Outcome
from hyssopweir.platform.http_agent import (
    HttpAgent,
    HttpWorkerListing,
    entry_of,
    task_name,
    task_ref,
)
from hyssopweir.platform.job_bodies import workflow_of
from hyssopweir.platform.operator_configuration import configuration_of
from hyssopweir.platform.settings import load_platform_settings
from hyssopweir.queue_policies import QueueTable
from hyssopweir.resources import Resources
from hyssopweir.row_store import Committed, Conflict, Expect, RowKey, Write
from hyssopweir.workflow_progress import RunEnd, RunRef, TaskRef
from hyssopweir.workflows import decode_workflow, encode_workflow
from tests.platform_cluster import (
    CONFIGURATION,
    HOST,
    HOST_NAME,
    PREFIX,
    PlatformCluster,
    WorkerServer,
    running_platform,
)

AT = RowKey("jobs", "c0", "a")
JOB = "5c0e7a21d94b36f8"
REF = RunRef(TaskRef(JOB, 0, 1, 17), 2)
BODY = {
    "spec": "paint",
    "phases": [
        {"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 90, "affinity": "r1-3"},
        {
            "count": 1,
            "cpu": 2_000,
            "memMb": 1_024,
            "after": [0],
            "checkpointing": True,
            "fillCount": True,
            "antiAffinity": 2,
            "speculative": True,
            "image": "p1",
        },
    ],
}


def worker_entry(site: PlatformCluster, worker_id: str = "i-1") -> WorkerEntry:
    value = json.dumps(site.worker.entry(site.worker_port)).encode()
    return entry_of(worker_id, value)


def test_rows_round_trip() -> None:
    """Guards against a condition or a value that changes on its way."""

    async def play() -> None:
        async with running_platform() as site:
            rows = site.rows
            done = await rows.transact([Write(AT, b"\x00x", 0)], 1_000)
            assert done == Ok(Committed(1))
            clash = await rows.transact([Write(AT, b"y", 0), Expect(AT, 0)], 1_000)
            conflict = clash.unwrap()
            assert isinstance(conflict, Conflict)
            assert conflict.rows[AT].value == b"\x00x"
            page = (await rows.read_rows("jobs", "c0", "a", "b", 1_000)).unwrap()
            assert [row.at for row in page.rows] == [AT]
            changes = (await rows.watch("jobs", 0, 10, 1_000)).unwrap()
            assert changes.rows[0].value == b"\x00x"
            site.store.rows.forget_history()
            lost = await rows.watch("jobs", 0, 10, 1_000)
            assert lost.unwrap_err().code is Code.STORE_HISTORY_LOST

    asyncio.run(play())


@pytest.mark.parametrize(
    ("status", "code", "outcome"),
    [
        (503, Code.STORE_UNAVAILABLE, Outcome.NOT_RUN),
        (429, Code.STORE_UNAVAILABLE, Outcome.NOT_RUN),
        (400, Code.STORE_JUNK, Outcome.NOT_RUN),
    ],
)
def test_refused_write_took_no_effect(
    status: int, code: Code, outcome: Outcome
) -> None:
    """Guards against a refusal that is taken for an unknown outcome, or the reverse."""

    async def play() -> None:
        async with running_platform() as site:
            site.store.status = status
            reply = await site.rows.transact([Write(AT, b"", 0)], 1_000)
            assert reply.unwrap_err().code is code
            assert reply.unwrap_err().outcome is outcome

    asyncio.run(play())


def test_write_without_answer_is_unknown() -> None:
    """Guards against a lost reply that is taken for a refusal."""

    async def play() -> None:
        async with running_platform() as site:
            site.store.delay_s = 1.0
            reply = await site.rows.transact([Write(AT, b"", 0)], 100)
            assert reply.unwrap_err().code is Code.STORE_OUTCOME_UNKNOWN

    asyncio.run(play())


@pytest.mark.parametrize(
    ("status", "data", "verdict"),
    [
        (200, {"clockMs": 1}, CommandResult.ACCEPTED),
        (409, {"reason": "fence"}, CommandResult.FENCED),
        (409, {"reason": "old"}, CommandResult.STALE),
        (409, {"reason": "late"}, CommandResult.LATE),
        (409, {"reason": "room"}, CommandResult.NO_ROOM),
        (409, {"reason": "ticket"}, CommandResult.NO_TICKET),
        (409, {}, CommandResult.INVALID),
        (429, None, CommandResult.UNHEALTHY),
        (503, None, CommandResult.UNHEALTHY),
        (421, None, CommandResult.OTHER_LIFE),
        (400, None, CommandResult.INVALID),
    ],
)
def test_verdicts(status: int, data: Any, verdict: CommandResult) -> None:
    """Guards against a start that is thought not to have happened, but has."""

    async def play() -> None:
        async with running_platform() as site:
            site.worker.answer = (status, data)
            agent = HttpAgent(site.calls)
            order = StartCommand(REF, "paint", 9_000, 7, saved="0b")
            assert await agent.start(worker_entry(site), order, 1_000) is verdict
            body = site.worker.calls[0][1]
            assert body == {
                "task": f"{JOB}.0.1.17",
                "run": 2,
                "spec": "paint",
                "deadlineMs": 9_000,
                "fencingToken": 7,
                "checkpointed": "0b",
            }

    asyncio.run(play())


def test_calls_to_a_worker_that_is_gone() -> None:
    """Guards against an order that was never sent and keeps its room."""

    async def play() -> None:
        async with running_platform() as site:
            entry = worker_entry(site)._replace(port=free_ports(1)[0])
            agent = HttpAgent(site.calls)
            assert await agent.stop(entry, REF, 1, 500) is CommandResult.NOT_SENT
            wrong = worker_entry(site, "i-2")
            assert await agent.stop(wrong, REF, 1, 500) is CommandResult.OTHER_LIFE

    asyncio.run(play())


def test_holding_is_decoded() -> None:
    """Guards against a run, an end or a checkpoint that is misread."""

    async def play() -> None:
        async with running_platform() as site:
            name = task_name(REF.task)
            site.worker.answer = (
                200,
                {
                    "clockMs": 10,
                    "born": 3,
                    "running": [[name, 2, "0b", 41, 17]],
                    "finished": [[58, name, 1, "lapsed", ""]],
                },
            )
            agent = HttpAgent(site.calls)
            reply = await agent.hold(worker_entry(site), 7, 57, None, 0, 1_000)
            holding = reply.unwrap()
            assert holding.born_ms == 3
            assert holding.running[0] == (REF, "0b", 41, 17.0)
            assert holding.ended[0].how is RunEnd.LAPSED
            assert "deadlineMs" not in site.worker.calls[0][1]
            site.worker.answer = (200, {"clockMs": 10, "running": [["junk"]]})
            broken = await agent.hold(worker_entry(site), 7, 57, 9, 0, 1_000)
            assert broken == Err(CommandResult.INVALID)

    asyncio.run(play())


def test_task_names() -> None:
    assert task_ref(task_name(REF.task)) == REF.task


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        b"[]",
        b"3",
        b"{}",
        json.dumps(WorkerServer().entry(1, state="resting")).encode(),
        json.dumps(WorkerServer().entry(1, service=4)).encode(),
        json.dumps(WorkerServer().entry(1, capacity={"cpu": "9", "memMb": 1})).encode(),
        json.dumps(WorkerServer().entry(1, address="nowhere")).encode(),
        json.dumps(WorkerServer().entry(1, labels=None)).encode(),
    ],
)
def test_unreadable_entry_names_no_worker(value: bytes) -> None:
    """Guards against an entry of another writer that hides the others."""

    async def play() -> None:
        async with running_platform() as site:
            site.store.put("servers", "i-1", site.worker.entry(site.worker_port))
            site.store.put("servers", "i-2", value)
            listing = HttpWorkerListing(site.rows, Clock(), site.log())
            entries = (await listing.refresh()).unwrap()
            assert list(entries) == ["i-1"]
            entry = site.worker.entry(site.worker_port, state="draining")
            site.store.put("servers", "i-1", {**entry, "remainingMs": 1_500})
            changed = (await listing.refresh()).unwrap()
            assert changed["i-1"].state is WorkerState.LEAVING
            assert changed["i-1"].leaves_in_ms == 1_500

    asyncio.run(play())


def test_job_is_decoded_and_stored() -> None:
    """Guards against a field of a job that is lost on the way to the owner."""
    queue = configuration_of(json.dumps(CONFIGURATION).encode()).queues[0]
    workflow = workflow_of(JOB, BODY, queue, 99)
    first, second = workflow.steps
    assert first.room == Resources(500, 256, 0)
    assert first.home_rack == "r1-3"
    assert (second.after, second.checkpoints, second.is_filler) == ((0,), True, True)
    assert (second.most_per_worker, second.may_run_twice) == (2, True)
    assert (workflow.most_failures, workflow.slack_ms) == (3, 300)
    assert decode_workflow(encode_workflow(workflow)) == workflow


@pytest.mark.parametrize(
    "body",
    [
        [],
        {},
        {"phases": []},
        {"phases": [{"count": 0}]},
        {"phases": [{"count": 1, "cpu": -1}]},
        {"phases": [{"count": 1, "after": [0]}]},
        {"phases": [{"count": 10**6}]},
        {"spec": 5, "phases": [{"count": 1}]},
        {"phases": [3]},
        {"phases": [{"count": 1, "requirements": 5}]},
        {"phases": [{"count": 1, "after": 0.5}]},
        {"spec": "x" * 4_001, "phases": [{"count": 1}]},
    ],
)
def test_malformed_job_is_refused(body: Any) -> None:
    queue = configuration_of(json.dumps(CONFIGURATION).encode()).queues[0]
    with pytest.raises((KeyError, TypeError, ValueError)):
        workflow_of(JOB, body, queue, 0)


def test_configuration_never_goes_back() -> None:
    """Guards against an older version that arrives late, and the wrong prefix."""
    table = QueueTable()
    data = json.loads(json.dumps(CONFIGURATION))
    longer = {**data["routes"][0], "name": "night", "pathPrefix": PREFIX + "night/"}
    data["routes"].append(longer)
    assert table.take(configuration_of(json.dumps(data).encode()))
    older = configuration_of(json.dumps({**CONFIGURATION, "version": 2}).encode())
    assert not table.take(older)
    found = table.find(HOST_NAME.upper(), PREFIX + "night/1")
    assert found is not None
    assert found.name == "night"
    assert table.find("other.example", PREFIX) is None


def test_settings_are_checked(tmp_path: Any) -> None:
    """Guards against a process that starts with half of its settings."""
    path = tmp_path / "settings.json"
    path.write_text('{"instance": "", "callers": "nowhere"}')
    faults = load_platform_settings(path).unwrap_err()
    assert len(faults) >= 3
    assert {fault.code for fault in faults} == {Code.SETTINGS_INVALID}


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def until_status(
    session: aiohttp.ClientSession, url: str, status: int, body: bytes = b""
) -> str:
    """Ask until the answer has the status and contains the body."""
    while True:
        try:
            async with session.get(url, headers={"Host": HOST_NAME}) as reply:
                text = await reply.text()
                if reply.status == status and body.decode() in text:
                    return text
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.02)


def test_instance_serves_a_job_from_end_to_end() -> None:
    """Guards against parts that work alone and not together."""

    async def play() -> None:
        ports = free_ports(3)
        urls = [f"http://{HOST}:{port}" for port in ports]
        job_url = f"{urls[0]}{PREFIX}{JOB}"
        headers = {"Host": HOST_NAME, "Deadline-Ms": "3000"}
        async with (
            running_platform() as site,
            aiohttp.ClientSession() as session,
            site.instance(ports),
        ):
            await until_status(session, f"{urls[1]}/readyz", 503)
            async with session.post(job_url, json=BODY, headers=headers) as early:
                assert early.status == 503
                assert early.headers["Retry-After"]
            site.store.put("servers", "i-1", site.worker.entry(site.worker_port))
            site.store.put("op", "config", CONFIGURATION)
            await until_status(session, f"{urls[1]}/readyz", 200)
            await until_status(session, job_url, 410)
            for _ in range(2):
                async with session.post(job_url, json=BODY, headers=headers) as reply:
                    assert reply.status == 200
            await until_status(session, job_url, 200, b"completed")
            started = [body for path, body in site.worker.calls if path == "/run-start"]
            assert sorted(body["task"] for body in started) == [
                f"{JOB}.0.0.0",
                f"{JOB}.0.0.1",
                f"{JOB}.0.1.0",
            ]
            none = b'"pendingJobs": 0'
            await until_status(session, f"{urls[0]}{PREFIX}", 200, none)
            await until_status(session, f"{urls[0]}/unknown/", 404)
            async with session.delete(job_url, headers=headers) as reply:
                assert reply.status == 200
            metrics = await until_status(session, f"{urls[2]}/metrics", 200)
            assert 'hyssopweir_events_total{name="JOB_DONE"} 1.0' in metrics
            big = {"spec": "x" * 3_000, "phases": BODY["phases"]}
            async with session.post(job_url, json=big, headers=headers) as reply:
                assert reply.status == 413
            async with session.post(job_url, data=b"{", headers=headers) as reply:
                assert reply.status == 400
                assert (await reply.json())["name"] == "BAD_REQUEST"

    asyncio.run(asyncio.wait_for(play(), 30))


def test_program_starts_and_stops(tmp_path: Any) -> None:
    """Guards against a program that fails outside the parts that other tests build."""
    callers, readiness, metrics, store = free_ports(4)
    path = tmp_path / "settings.json"
    data = {
        "instance": "edge-1",
        "data_centre": "depot-north",
        "callers": f"{HOST}:{callers}",
        "readiness": f"{HOST}:{readiness}",
        "metrics_port": metrics,
        "store": f"{HOST}:{store}",
        "keep_s": 120,
        "stop_limit_s": 1,
    }
    path.write_text(json.dumps(data))
    program = subprocess.Popen(
        [sys.executable, "-m", "hyssopweir.platform"],
        env={**os.environ, "HYSSOPWEIR_NODE_FILE": str(path)},
        stdout=subprocess.PIPE,
    )
    assert program.stdout is not None
    assert b"INSTANCE_STARTED" in program.stdout.readline()
    program.send_signal(signal.SIGHUP)
    assert b"SETTINGS_RELOADED" in program.stdout.readline()
    program.terminate()
    rest = program.stdout.read()
    assert program.wait(timeout=10) == 0
    assert b"INSTANCE_STOPPED" in rest


def test_program_names_every_fault_of_its_settings(tmp_path: Any) -> None:
    path = tmp_path / "settings.json"
    path.write_text("{}")
    program = subprocess.run(
        [sys.executable, "-m", "hyssopweir.platform"],
        env={**os.environ, "HYSSOPWEIR_NODE_FILE": str(path)},
        capture_output=True,
        check=False,
    )
    assert program.returncode == Code.SETTINGS_INVALID
    assert program.stderr.count(b"SETTINGS_INVALID") == 8
