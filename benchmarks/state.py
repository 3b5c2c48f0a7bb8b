"""Cost of each worker, task, session, shard, configuration and peer notification."""

import asyncio
import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, cast

from result import Ok

from benchmarks.slopes import Point, Slope, average_cpu_us, measure
from hyssopweir.clock import HybridTimestamp
from hyssopweir.configuration import ConfigurationKeeper, fill_defaults
from hyssopweir.contracts import JobRow, Reason, TaskRow
from hyssopweir.fleet import Worker
from hyssopweir.fleet_view import FleetView
from hyssopweir.invariants import Invariants
from hyssopweir.membership import Membership
from hyssopweir.messages import Notification, encode_message, parse_message
from hyssopweir.ownership import Ownership
from hyssopweir.platform_client import HttpReply, listing_to_dict, parse_listings
from hyssopweir.slots import SlotLedger
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import ABSENT, Put, TableStore
from hyssopweir.task_rows import Job, QueueRow, TaskEntry, initial_task_row
from hyssopweir.worker_client import Inventory
from hyssopweir.worker_links import WorkerLinks
from tests.builders import (
    build_job,
    build_listings,
    build_log,
    build_settings,
    build_workers,
)
from tests.fakes import (
    FakeInstanceList,
    FakeNetwork,
    FakePeers,
    FakeTableService,
)
from tests.virtual_time import VirtualClock, run_virtual

TEAMS = 55
SERVICES = 40
REASONS_PER_TASK = 3
# The time to open links grows faster than linearly with their number.
MAX_LINKS = 2_000


class SilentWorkerClient:
    """Worker client that grants claims and never ends a watch.

    This leaves only the links themselves to be measured.
    """

    async def claim(self, worker: Worker, epoch: int) -> Any:
        return Ok(Inventory(f"{worker.worker_id}-1", 1, 0, False, ()))

    async def watch(self, *_: Any) -> Any:
        await asyncio.Event().wait()


def measure_state(counts: Sequence[int]) -> list[Slope]:
    """Measure the state of workers, worker links and tasks at each of ``counts``."""
    return [
        measure("worker in the slot ledger", _build_ledger, counts),
        measure("worker in the fleet view", _build_fleet_view, counts),
        Slope("worker in an instance list read", [_measure_list(n) for n in counts]),
        Slope(
            "worker link and ledger",
            [_measure_links(min(n, MAX_LINKS)) for n in counts],
        ),
        measure("task row read from JSON", _parse_task_rows, counts),
        measure("task entry without its row", _build_entries, counts),
        measure("task row as JSON, bytes of text", _encode_task_rows, counts),
    ]


def measure_scans(counts: Sequence[int]) -> list[Slope]:
    """Measure one scan of ``count`` sessions and one of ``count`` shards."""
    return [
        measure(
            "session in one scan",
            _build_and_scan(_fill_sessions, _scan_sessions),
            counts,
        ),
        measure(
            "shard in one scan, 24 sessions",
            _build_and_scan(_fill_shards, _scan_shards),
            counts,
        ),
    ]


def _build_ledger(count: int) -> SlotLedger:
    clock = VirtualClock()
    ledger = SlotLedger(Invariants(clock, build_log(clock)), 2)
    for worker in build_workers(count):
        ledger.track_worker(worker)
        ledger.confirm(worker.worker_id, ())
    return ledger


def _encode_list(count: int) -> bytes:
    rows = [listing_to_dict(item) for item in build_listings(build_workers(count))]
    return json.dumps({"workers": rows}).encode()


def _measure_list(count: int) -> Point:
    """Measure parsing of an instance list; the bytes are the length of its text."""
    reply = HttpReply(200, _encode_list(count))
    return Point(
        count,
        len(reply.body),
        average_cpu_us(lambda _: parse_listings(reply), count, 5),
    )


def _build_fleet_view(count: int) -> FleetView:
    clock = VirtualClock()
    instance_list = FakeInstanceList(build_listings(build_workers(count)))
    view = FleetView(instance_list, clock, build_log(clock), 500)
    run_virtual(view.refresh())
    instance_list.listings = []
    return view


def _measure_links(count: int) -> Point:
    """Measure the links while the event loop runs; their state is in its tasks."""

    async def run(trace_memory: bool) -> tuple[int, float]:
        links, shards = await _build_links(count)
        gc.collect()
        if trace_memory:
            tracemalloc.start()
        started_ns = time.process_time_ns()
        for shard in shards:
            links.shard_gained(shard, 1)
        await asyncio.sleep(0.01)
        us = (time.process_time_ns() - started_ns) / 1_000
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        await links.on_stop()
        return size, us

    return Point(count, run_virtual(run(True))[0], run_virtual(run(False))[1])


async def _build_links(count: int) -> tuple[WorkerLinks, list[str]]:
    clock = VirtualClock()
    log = build_log(clock)
    instance_list = FakeInstanceList(build_listings(build_workers(count)))
    view = FleetView(instance_list, clock, log, 500)
    await view.refresh()
    ledger = SlotLedger(Invariants(clock, log), 2)
    timing = build_settings()["timing"]
    client: Any = SilentWorkerClient()
    links = WorkerLinks(view, client, ledger, cast(Any, None), timing, clock, log)
    return links, view.shards()


def task_row(number: int) -> TaskRow:
    """Return the row of a running task with the reasons that a usual start records."""
    reason: Reason = {
        "at_ms": 1_700_000_000_000,
        "event": "TASK_STARTING",
        "by": "kista-1",
        "text": "run 1: kista-w1 was chosen: the task needs 1 cores and 1 GB of "
        "memory, and the worker had 32 cores and 125 GB free, the closest fit. It "
        "would also have fitted elsewhere: "
        + "; ".join(f"kista-w{n} had 32 cores and 125 GB free" for n in range(4)),
        "figures": {"free": {f"kista-w{n}": {"cores": 32.0} for n in range(5)}},
    }
    row = initial_task_row(
        f"price-watch-{number // 200}", number % 200, "kista/r0", reason
    )
    row["reasons"] = [reason] * REASONS_PER_TASK
    return cast(TaskRow, {**row, "state": "running", "run": 1, "worker": "kista-w1"})


def _parse_task_rows(count: int) -> list[TaskRow]:
    return [json.loads(json.dumps(task_row(number))) for number in range(count)]


def _encode_task_rows(count: int) -> list[str]:
    return [json.dumps(task_row(number)) for number in range(count)]


def _build_entries(count: int) -> list[TaskEntry]:
    job_row: JobRow = {
        "spec": build_job(),
        "digest": "",
        "cancelled": False,
        "accepted_by": "kista-1",
    }
    job, row = Job(job_row), task_row(0)
    return [_build_entry(job, row, number) for number in range(count)]


def _build_entry(job: Job, row: TaskRow, number: int) -> TaskEntry:
    queue_row: QueueRow = {
        "job": f"price-watch-{number // 200}",
        "n": number % 200,
        "urgent": False,
        "at_ms": 1_700_000_000_000 + number,
    }
    return TaskEntry(job, row, number + 10_000, queue_row, number + 10_001, 0)


class ScanInstance:
    """Membership and ownership of one instance on a given table."""

    def __init__(self, table: StandinTable) -> None:
        clock = VirtualClock()
        log, cfg = build_log(clock), build_settings()
        self.store = TableStore(
            FakeTableService(table, clock, latency_ms=0), clock, log
        )
        self.membership = Membership(
            cfg, self.store, clock, log, lambda: (1, 2), lambda: 1
        )
        view = FleetView(FakeInstanceList([]), clock, log, 500)
        peers = FakePeers(FakeNetwork(clock), self.membership.session)
        self.ownership = Ownership(
            cfg, self.store, self.membership, view, peers, clock, log
        )


def _build_and_scan(
    fill: Callable[[StandinTable, int], None],
    scan: Callable[[ScanInstance], Any],
) -> Callable[[int], Any]:
    def build(count: int) -> Any:
        table = StandinTable()
        fill(table, count)
        instance = ScanInstance(table)
        run_virtual(scan(instance))
        return instance.membership, instance.ownership

    return build


def session_row(number: int) -> dict[str, Any]:
    """Return the table row of a ready session."""
    return {
        "instance": f"entry-{number}",
        "data_centre": f"dc-{number % 9}",
        "host": "127.0.0.1",
        "peer_port": 9_000,
        "caller_port": 9_001,
        "heartbeat": 1,
        "configuration": 1,
        "ready": True,
    }


def _fill_sessions(table: StandinTable, count: int) -> None:
    for number in range(count):
        put = Put(f"sessions/{number:032x}", session_row(number), ABSENT)
        table.commit([put], "fill")


def _fill_shards(table: StandinTable, count: int) -> None:
    _fill_sessions(table, 24)
    for number in range(count):
        row = {"owner": f"{number % 24:032x}", "epoch": 3}
        key = f"shards/dc-{number % 9}/r{number}"
        table.commit([Put(key, row, ABSENT)], "fill")


async def _scan_sessions(instance: ScanInstance) -> None:
    await instance.membership.refresh()


async def _scan_shards(instance: ScanInstance) -> None:
    await instance.membership.refresh()
    await instance.ownership.refresh()


def configuration_body(teams: int = TEAMS) -> dict[str, Any]:
    """Return a configuration body with the target number of services and teams."""
    return {
        "services": {
            f"service-{n}": {"idempotent": n % 2 == 0, "latency_target_ms": 50}
            for n in range(SERVICES)
        },
        "batch": {f"kind-{n}": {"paused": False} for n in range(teams)},
        "teams": {f"team-{n}": {"quota_slots": 100} for n in range(teams)},
    }


def measure_configuration(repeats: int) -> list[Slope]:
    """Measure a read of the unchanged and of a changed row, by number of teams."""
    return [
        Slope(
            name,
            [_measure_configuration(teams, repeats, changed) for teams in TEAM_COUNTS],
        )
        for name, changed in (
            ("configuration read, row unchanged, by teams", False),
            ("configuration read, row changed, by teams", True),
        )
    ]


TEAM_COUNTS = (5, 20, TEAMS)


def _measure_configuration(teams: int, repeats: int, changed: bool) -> Point:
    clock = VirtualClock()
    table, log = StandinTable(), build_log(clock)
    store = TableStore(FakeTableService(table, clock, latency_ms=0), clock, log)
    peers = FakePeers(FakeNetwork(clock), "one")
    keeper = ConfigurationKeeper(
        build_settings(), store, peers, Invariants(clock, log), clock, log
    )
    body = fill_defaults(configuration_body(teams))
    row_version = ABSENT

    def write(version: int) -> None:
        nonlocal row_version
        put = Put("config/current", {"version": version, "body": body}, row_version)
        row_version = table.commit([put], "write").unwrap()["config/current"]

    async def run(count: int) -> None:
        for number in range(count):
            if changed:
                write(number + 2)
            await keeper.refresh()

    write(1)
    run_virtual(run(1))
    text_bytes = len(json.dumps(body))
    return Point(
        teams,
        text_bytes,
        average_cpu_us(lambda n: run_virtual(run(n)), repeats) / repeats,
    )


def measure_notifications(counts: Sequence[int]) -> list[Slope]:
    """Measure encoding and decoding of a load notification for ``count`` shards."""
    return [
        Slope(
            "shard in a load note, bytes on the wire",
            [_measure_notification(n) for n in counts],
        )
    ]


def _measure_notification(count: int) -> Point:
    load = {"free": 40, "queued": 0, "wait_ms": 0}
    notification = Notification(
        "load",
        {"shards": {f"dc-{n % 9}/r{n}": load for n in range(count)}},
        HybridTimestamp(1_700_000_000_000, 0),
    )
    frame = encode_message(notification).unwrap()
    us = average_cpu_us(
        lambda _: parse_message(encode_message(notification).unwrap()),
        count,
        repeats=20,
    )
    return Point(count, len(frame), us)
