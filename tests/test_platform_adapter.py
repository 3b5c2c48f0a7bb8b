"""Tests of the platform adapter: requests, replies, and input that it must reject."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from typing import IO, Any

import aiohttp
import pytest
from result import Err, Ok

from hyssopweir.agents import CommandResult, StartCommand, WorkerEntry, WorkerState
from hyssopweir.clock import Clock
from hyssopweir.codes import Code, Outcome
from hyssopweir.platform.http_agent import (
    HttpAgent,
    HttpWorkerListing,
    parse_task_name,
    parse_worker_entry,
    task_name,
)
from hyssopweir.platform.job_bodies import parse_workflow
from hyssopweir.platform.operator_configuration import parse_configuration
from hyssopweir.platform.settings import load_platform_settings
from hyssopweir.queue_policies import QueueTable
from hyssopweir.resources import Resources
from hyssopweir.row_store import Committed, Conflict, Expect, RowKey, Write
from hyssopweir.task_state import RunOutcome, RunRef, TaskRef
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
from tests.ports import free_ports

ROW_KEY = RowKey("jobs", "c0", "a")
JOB = "5c0e7a21d94b36f8"
RUN_REF = RunRef(TaskRef(JOB, 0, 1, 17), 2)
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


def worker_entry(cluster: PlatformCluster, worker_id: str = "i-1") -> WorkerEntry:
    value = json.dumps(cluster.worker.entry(cluster.worker_port)).encode()
    return parse_worker_entry(worker_id, value)


def test_rows_round_trip() -> None:
    """Guards against a condition or a value that is altered in encoding or decoding."""

    async def main() -> None:
        async with running_platform() as cluster:
            rows = cluster.rows
            written = await rows.transact([Write(ROW_KEY, b"\x00x", 0)], 1_000)
            assert written == Ok(Committed(1))
            rejected = await rows.transact(
                [Write(ROW_KEY, b"y", 0), Expect(ROW_KEY, 0)], 1_000
            )
            conflict = rejected.unwrap()
            assert isinstance(conflict, Conflict)
            assert conflict.rows[ROW_KEY].value == b"\x00x"
            page = (await rows.read_rows("jobs", "c0", "a", "b", 1_000)).unwrap()
            assert [row.at for row in page.rows] == [ROW_KEY]
            changes = (await rows.watch("jobs", 0, 10, 1_000)).unwrap()
            assert changes.rows[0].value == b"\x00x"
            cluster.store.rows.forget_history()
            lost = await rows.watch("jobs", 0, 10, 1_000)
            assert lost.unwrap_err().code is Code.STORE_HISTORY_LOST

    asyncio.run(main())


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
    """Guards against a rejection reported as an unknown outcome, or the reverse."""

    async def main() -> None:
        async with running_platform() as cluster:
            cluster.store.status = status
            reply = await cluster.rows.transact([Write(ROW_KEY, b"", 0)], 1_000)
            assert reply.unwrap_err().code is code
            assert reply.unwrap_err().outcome is outcome

    asyncio.run(main())


def test_outcome_of_write_without_reply_is_unknown() -> None:
    """Guards against a write whose lost reply is reported as a rejection."""

    async def main() -> None:
        async with running_platform() as cluster:
            cluster.store.delay_s = 1.0
            reply = await cluster.rows.transact([Write(ROW_KEY, b"", 0)], 100)
            assert reply.unwrap_err().code is Code.STORE_OUTCOME_UNKNOWN

    asyncio.run(main())


@pytest.mark.parametrize(
    ("status", "data", "expected"),
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
def test_worker_status_maps_to_command_result(
    status: int, data: Any, expected: CommandResult
) -> None:
    """Guards against a started run that is reported as not started."""

    async def main() -> None:
        async with running_platform() as cluster:
            cluster.worker.fixed_reply = (status, data)
            agent = HttpAgent(cluster.client, cluster.client, cluster.log())
            command = StartCommand(RUN_REF, "paint", 9_000, 7, saved="0b")
            reply = await agent.start(worker_entry(cluster), command, 1_000)
            assert reply.result is expected
            body = cluster.worker.requests[0][1]
            assert body == {
                "task": f"{JOB}.0.1.17",
                "run": 2,
                "spec": "paint",
                "deadlineMs": 9_000,
                "fencingToken": 7,
                "checkpointed": "0b",
            }

    asyncio.run(main())


def test_command_to_unreachable_or_replaced_worker() -> None:
    """Guards against capacity that stays reserved for a command that was never sent."""

    async def main() -> None:
        async with running_platform() as cluster:
            entry = worker_entry(cluster)._replace(port=free_ports(1)[0])
            agent = HttpAgent(cluster.client, cluster.client, cluster.log())
            refused = await agent.stop(entry, RUN_REF, 1, 500)
            assert refused is CommandResult.NO_LISTENER
            replaced = worker_entry(cluster, "i-2")
            assert (
                await agent.stop(replaced, RUN_REF, 1, 500) is CommandResult.OTHER_LIFE
            )

    asyncio.run(main())


def test_lease_reply_is_parsed() -> None:
    """Guards against a lease reply whose runs, ends or checkpoints are misread."""

    async def main() -> None:
        async with running_platform() as cluster:
            name = task_name(RUN_REF.task)
            cluster.worker.fixed_reply = (
                200,
                {
                    "clockMs": 10,
                    "born": 3,
                    "running": [[name, 2, "0b", 41, 17]],
                    "finished": [[58, name, 1, "lapsed", ""]],
                },
            )
            agent = HttpAgent(cluster.client, cluster.client, cluster.log())
            reply = await agent.renew_leases(
                worker_entry(cluster), 7, None, None, 0, 1_000
            )
            lease_reply = reply.unwrap()
            assert lease_reply.born_ms == 3
            assert lease_reply.running[0] == (RUN_REF, "0b", 41, 17.0)
            assert lease_reply.ended[0].how is RunOutcome.LAPSED
            assert "deadlineMs" not in cluster.worker.requests[0][1]
            cluster.worker.fixed_reply = (200, {"clockMs": 10, "running": [["junk"]]})
            malformed = await agent.renew_leases(
                worker_entry(cluster), 7, None, 9, 0, 1_000
            )
            assert malformed == Err(CommandResult.INVALID)

    asyncio.run(main())


def test_task_name_round_trip() -> None:
    """Guards against a task name that is parsed as another task."""
    assert parse_task_name(task_name(RUN_REF.task)) == RUN_REF.task


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
def test_malformed_worker_entry_is_skipped(value: bytes) -> None:
    """Guards against a malformed entry that hides the entries of other workers."""

    async def main() -> None:
        async with running_platform() as cluster:
            cluster.store.put(
                "servers", "i-1", cluster.worker.entry(cluster.worker_port)
            )
            cluster.store.put("servers", "i-2", value)
            listing = HttpWorkerListing(cluster.rows, Clock(), cluster.log())
            entries = (await listing.refresh()).unwrap()
            assert list(entries) == ["i-1"]
            entry = cluster.worker.entry(cluster.worker_port, state="draining")
            cluster.store.put("servers", "i-1", {**entry, "remainingMs": 1_500})
            changed = (await listing.refresh()).unwrap()
            assert changed["i-1"].state is WorkerState.LEAVING
            assert changed["i-1"].leaves_in_ms == 1_500

    asyncio.run(main())


def test_job_is_parsed_and_stored() -> None:
    """Guards against a job field that is lost between its body and the stored form."""
    queue = parse_configuration(json.dumps(CONFIGURATION).encode()).queues[0]
    workflow = parse_workflow(JOB, BODY, queue, 99)
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
def test_malformed_job_is_rejected(body: Any) -> None:
    """Guards against a malformed body that is accepted as a job."""
    queue = parse_configuration(json.dumps(CONFIGURATION).encode()).queues[0]
    with pytest.raises((KeyError, TypeError, ValueError)):
        parse_workflow(JOB, body, queue, 0)


def test_configuration_never_goes_back() -> None:
    """Guards against an older version that arrives late, and the wrong route prefix."""
    table = QueueTable()
    data = json.loads(json.dumps(CONFIGURATION))
    longer = {**data["routes"][0], "name": "night", "pathPrefix": PREFIX + "night/"}
    data["routes"].append(longer)
    assert table.apply_configuration(parse_configuration(json.dumps(data).encode()))
    older = parse_configuration(json.dumps({**CONFIGURATION, "version": 2}).encode())
    assert not table.apply_configuration(older)
    found = table.find(HOST_NAME.upper(), PREFIX + "night/1")
    assert found is not None
    assert found.name == "night"
    assert table.find("other.example", PREFIX) is None


def test_invalid_settings_are_rejected(tmp_path: Any) -> None:
    """Guards against a process that starts with incomplete settings."""
    path = tmp_path / "settings.json"
    path.write_text('{"instance": "", "callers": "nowhere"}')
    faults = load_platform_settings(path).unwrap_err()
    assert len(faults) >= 3
    assert {fault.code for fault in faults} == {Code.SETTINGS_INVALID}


async def wait_for_status(
    session: aiohttp.ClientSession, url: str, status: int, body: bytes = b""
) -> str:
    """Poll the URL until the response has the status and contains the body."""
    while True:
        try:
            async with session.get(url, headers={"Host": HOST_NAME}) as reply:
                text = await reply.text()
                if reply.status == status and body.decode() in text:
                    return text
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.02)


def test_instance_runs_job_end_to_end() -> None:
    """Guards against components that work alone but not together."""

    async def main() -> None:
        ports = free_ports(3)
        urls = [f"http://{HOST}:{port}" for port in ports]
        job_url = f"{urls[0]}{PREFIX}{JOB}"
        headers = {"Host": HOST_NAME, "Deadline-Ms": "3000"}
        async with (
            running_platform() as cluster,
            aiohttp.ClientSession() as session,
            cluster.instance(ports),
        ):
            await wait_for_status(session, f"{urls[1]}/readyz", 503)
            async with session.post(job_url, json=BODY, headers=headers) as early:
                assert early.status == 503
                assert early.headers["Retry-After"]
            cluster.store.put(
                "servers", "i-1", cluster.worker.entry(cluster.worker_port)
            )
            cluster.store.put("op", "config", CONFIGURATION)
            await wait_for_status(session, f"{urls[1]}/readyz", 200)
            await wait_for_status(session, job_url, 410)
            for _ in range(2):
                async with session.post(job_url, json=BODY, headers=headers) as reply:
                    assert reply.status == 200
            await wait_for_status(session, job_url, 200, b"completed")
            started = [
                body for path, body in cluster.worker.requests if path == "/run-start"
            ]
            assert sorted(body["task"] for body in started) == [
                f"{JOB}.0.0.0",
                f"{JOB}.0.0.1",
                f"{JOB}.0.1.0",
            ]
            no_pending = b'"pendingJobs": 0'
            await wait_for_status(session, f"{urls[0]}{PREFIX}", 200, no_pending)
            await wait_for_status(session, f"{urls[0]}/unknown/", 404)
            async with session.delete(job_url, headers=headers) as reply:
                assert reply.status == 200
            metrics = await wait_for_status(session, f"{urls[2]}/metrics", 200)
            assert 'hyssopweir_events_total{name="JOB_DONE"} 1.0' in metrics
            too_large = {"spec": "x" * 3_000, "phases": BODY["phases"]}
            async with session.post(job_url, json=too_large, headers=headers) as reply:
                assert reply.status == 413
            async with session.post(job_url, data=b"{", headers=headers) as reply:
                assert reply.status == 400
                assert (await reply.json())["name"] == "BAD_REQUEST"

    asyncio.run(asyncio.wait_for(main(), 30))


def read_other_line(output: IO[bytes]) -> bytes:
    """Return the next line that isn't about the store, which doesn't run here."""
    while True:
        line = output.readline()
        if b"STORE_CALL_FAILED" not in line:
            return line


def test_program_starts_and_stops(tmp_path: Any) -> None:
    """Guards against a fault of the entry point, which tests in one process bypass."""
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
    assert b"INSTANCE_STARTED" in read_other_line(program.stdout)
    program.send_signal(signal.SIGHUP)
    assert b"SETTINGS_RELOADED" in read_other_line(program.stdout)
    program.terminate()
    rest = program.stdout.read()
    assert program.wait(timeout=10) == 0
    assert b"INSTANCE_STOPPED" in rest


def test_program_reports_every_settings_fault(tmp_path: Any) -> None:
    """Guards against a program that reports only the first fault."""
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
