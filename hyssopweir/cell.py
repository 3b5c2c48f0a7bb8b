"""A cell: a shard of workers and jobs that one instance at a time owns."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from functools import partial
from typing import NamedTuple

from result import Err

from hyssopweir.agent_link import LONGEST_LEASE_MS, AgentLink, lease_times
from hyssopweir.agents import Agent, WorkerEntry, WorkerState
from hyssopweir.call_failures import CallFailures
from hyssopweir.cell_demand import DemandReport
from hyssopweir.cell_heartbeats import CellHeartbeats, Heartbeat
from hyssopweir.cell_layout import CellLayout, WorkerListing, requests_table
from hyssopweir.cell_maintenance import CellMaintenance
from hyssopweir.cell_ownership import CellOwnership, OwnershipGrant
from hyssopweir.cell_requests import CellRequests
from hyssopweir.cell_scheduler import CellScheduler
from hyssopweir.cell_spread import CellSpread
from hyssopweir.cell_state import (
    CANCEL_SUFFIX,
    INTERFERENCE_KEY,
    PROGRESS_TABLE,
    REPORT_SUFFIX,
    CellState,
)
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code
from hyssopweir.evacuations import Evacuations
from hyssopweir.events import Event, EventLog
from hyssopweir.fencing import FencingTokens
from hyssopweir.input_bounds import (
    PARSE_ERRORS,
    InputError,
    describe_fault,
    parse_bounded_json,
)
from hyssopweir.job_transfers import (
    JobTransfers,
    encode_transfer,
)
from hyssopweir.ownership_proof import OwnershipProof
from hyssopweir.process_delays import ProcessDelays
from hyssopweir.row_commits import OwnershipLostError, RowCommits, commit_pause_ms
from hyssopweir.row_store import (
    ABSENT,
    MAX_ROW_BYTES,
    RowKey,
    RowStore,
    StoredRow,
    read_all,
)
from hyssopweir.run_commands import RunCommands
from hyssopweir.run_reports import RunReports
from hyssopweir.spare_capacity import (
    fitting_tasks,
    reclaimable_capacity,
    spare_capacity,
)
from hyssopweir.task_transfers import TaskTransfers, lost_without_worker
from hyssopweir.workflow_progress import (
    WorkflowProgress,
    WorkflowState,
    decode_progress_summary,
    ended_progress,
    workflow_key,
)
from hyssopweir.workflows import Workflow, decode_workflow

READ_TIMEOUT_MS: Millis = 1_500
WATCH_WAIT_MS: Millis = 1_000
RETRY_MS: Millis = 60
LISTING_INTERVAL_MS: Millis = 150
# An idle worker that is missing from the listing is dropped after this time.
UNLISTED_DROP_MS: Millis = 15_000
HANDOVER_TIMEOUT_MS: Millis = 700
# A fault that recurs with each reply leaves time for a renewal well within a lease.
LINK_RESTART_MS: Millis = 500
UNFINISHED_STATES = (WorkflowState.PENDING, WorkflowState.ACTIVE)


class HostSettings(NamedTuple):
    """Settings of the cell host and its cells.

    ``life`` identifies one process lifetime of the instance. ``writes_per_second`` is
    the store's write rate for all instances together. A small instance waits for
    ``claim_delay_ms`` before it claims a vacant cell, so that larger ones go first.
    Workers grant leases of at most ``longest_lease_ms``. ``capacity`` is what the
    instance can carry, in thousandths of what a loaded cell needs; 0 is unknown. A task
    takes ``remote_factor`` times as long away from its home rack.
    """

    instance: str
    life: str
    retention_ms: Millis
    writes_per_second: float
    claim_delay_ms: Millis = 0
    longest_lease_ms: Millis = LONGEST_LEASE_MS
    capacity: int = 0
    remote_factor: float = 1.0


class CellClaim(NamedTuple):
    """A successful claim of a cell, with the last heartbeat of its previous owner.

    That heartbeat was seen unchanged for ``silent_ms`` before the claim.
    """

    grant: OwnershipGrant
    ownership: CellOwnership
    heartbeats: CellHeartbeats
    previous_heartbeat: Heartbeat | None
    silent_ms: Millis


class Cell:
    """Cell in operation, from its claim until ownership is lost or released."""

    def __init__(
        self,
        name: str,
        layout: CellLayout,
        claim: CellClaim,
        settings: HostSettings,
        store: RowStore,
        agent: Agent,
        listing: WorkerListing,
        clock: Clock,
        log: EventLog,
        count_owned: Callable[[], int],
        evacuations: Evacuations | None = None,
        delays: ProcessDelays | None = None,
    ) -> None:
        self._delays = delays or ProcessDelays(clock, log)
        self._count_owned = count_owned
        self._successor = ""
        self._claim = claim
        self._settings = settings
        self._store = store
        self._agent = agent
        self._listing = listing
        self._clock = clock
        self._log = log
        self.state = CellState(name, claim.grant.epoch, clock, log, evacuations)
        self._proof = OwnershipProof(name, clock, log)
        self._tokens = FencingTokens(claim.grant.epoch)
        self.state.commits = RowCommits(
            store,
            claim.grant.guard,
            self._encode,
            commit_pause_ms(layout.size, settings.writes_per_second),
            clock,
            log,
        )
        self._commands = RunCommands(self.state)
        self.state.stop_runs = self._commands.stop_all
        self._reports = RunReports(self.state, self._commands)
        requests = CellRequests(name, store, clock, log)
        spread = CellSpread(name, layout.size, settings.writes_per_second)
        self._transfers = JobTransfers(
            self.state, claim.heartbeats, store, requests, spread
        )
        self._task_transfers = TaskTransfers(
            self.state, claim.heartbeats, requests, spread
        )
        self._scheduler = CellScheduler(
            self.state,
            self._commands,
            self._transfers.spread_job,
            self._task_transfers.record_short_steps,
            settings.remote_factor,
        )
        self.state.cancel_transfers = self._task_transfers.cancel_all
        self._maintenance = CellMaintenance(
            self.state,
            self._commands,
            self._scheduler,
            self._transfers,
            self._task_transfers,
            settings.retention_ms,
        )
        self._times = lease_times(settings.longest_lease_ms)
        self._claimed_ms = clock.now_ms()
        self._ownership_lost = asyncio.Event()
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._unlisted_since_ms: dict[str, Millis] = {}
        self._requests_version = 0
        self._read_failures = CallFailures("cell read", clock, log, cell=name)
        self._watch_failures = CallFailures("request watch", clock, log, cell=name)
        self._heartbeat_count = 0
        self._heartbeat_version = (
            claim.previous_heartbeat.version if claim.previous_heartbeat else ABSENT
        )
        self._has_other_cells = layout.size > 1
        self.is_released = False
        self._heartbeat_requested = asyncio.Event()
        self._release_stored = asyncio.Event()
        self._is_recovered = False
        self._demand = DemandReport(self.state)
        # Reported in heartbeats until the jobs are recovered.
        self._previous_queues = (
            claim.previous_heartbeat.queues if claim.previous_heartbeat else {}
        )
        self._requests_table = requests_table(name)

    async def run(self) -> None:
        """Recover and run the cell; raise ``OwnershipLostError`` when superseded."""
        tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        # Start heartbeats before recovery so that other instances see the new owner.
        tasks.append(loop.create_task(self._send_heartbeats()))
        tasks.append(loop.create_task(self._proof.run()))
        self.state.evacuations.subscribe(self.state.wake.set)
        try:
            await self._recover()
            coroutines = (
                self.state.commits.run(),
                self._watch_requests(),
                self._watch_workers(),
                self._scheduler.run(),
                self._maintenance.run(),
                self._await_loss(),
            )
            tasks.extend(loop.create_task(coroutine) for coroutine in coroutines)
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            self.state.evacuations.unsubscribe(self.state.wake.set)
            for task in [*tasks, *self._link_tasks.values()]:
                task.cancel()
            self._commands.close()
            self._transfers.close()
            self._task_transfers.close()
            self.state.commits.fail()

    async def hand_over(self, successor: str = "") -> None:
        """Drain commands, store pending rows and release the cell.

        Other instances let ``successor`` claim it first.
        """
        self._successor = successor
        await self._commands.drain(HANDOVER_TIMEOUT_MS)
        await asyncio.wait(
            [self.state.commits.stored()], timeout=HANDOVER_TIMEOUT_MS / 1_000
        )
        await self._claim.ownership.release(self._claim.grant)
        self.is_released = True
        self._heartbeat_requested.set()
        release_stored = asyncio.ensure_future(self._release_stored.wait())
        await asyncio.wait([release_stored], timeout=HANDOVER_TIMEOUT_MS / 1_000)
        self._ownership_lost.set()

    async def _send_heartbeats(self) -> None:
        """Write heartbeats until cancelled or superseded."""
        heartbeats = self._claim.heartbeats
        while True:
            self._heartbeat_requested.clear()
            heartbeat = self._next_heartbeat()
            sent_ms = self._clock.boot_ms()
            outcome = await heartbeats.write(self.state.cell, heartbeat)
            self._heartbeat_version = outcome.version
            if not outcome.is_stored:
                continue
            self._proof.record_proof(sent_ms)
            self._record_takeover(heartbeat)
            if heartbeat.is_released:
                self._release_stored.set()
            requested = asyncio.ensure_future(self._heartbeat_requested.wait())
            await asyncio.wait([requested], timeout=heartbeats.interval_ms / 1_000)
            requested.cancel()

    def _record_takeover(self, stored: Heartbeat) -> None:
        """Record since when no heartbeat of a previous owner can be stored.

        If this heartbeat replaced the one that the previous owner was seen with before
        the claim, there was none in between.
        """
        former = self._claim.previous_heartbeat
        seen_version = former.version if former is not None else ABSENT
        is_unchanged = stored.version == seen_version
        if is_unchanged and not self._claim.grant.has_silent_former:
            self._proof.record_takeover(self._claimed_ms - self._claim.silent_ms)
        else:
            self._proof.record_takeover(self._clock.now_ms())

    def _next_heartbeat(self) -> Heartbeat:
        self._heartbeat_count += 1
        return Heartbeat(
            self._settings.instance,
            self._settings.life,
            self.state.epoch,
            self._heartbeat_count,
            self.is_released,
            spare_capacity(self.state) if self._has_other_cells else {},
            (
                self.state.pending_by_queue()
                if self._is_recovered
                else self._previous_queues
            ),
            self._heartbeat_version,
            reclaimable_capacity(self.state) if self._has_other_cells else {},
            self._long_leases(),
            lost_without_worker(self.state) if self._has_other_cells else {},
            fitting_tasks(self.state) if self._has_other_cells else {},
            self._demand.next(self._scheduler.order.places),
            self._settings.capacity // max(self._count_owned(), 1),
            self._successor,
        )

    def _long_leases(self) -> tuple[str, ...]:
        """Return the workers with leases that a successor would take for shorter."""
        known = [
            worker_id
            for worker_id, link in self.state.links.items()
            if link.has_long_lease()
        ]
        if not self._claim.previous_heartbeat or self._have_former_leases_ended():
            return tuple(known)
        unheard = (
            worker_id
            for worker_id in self._claim.previous_heartbeat.long_leases
            if not self._has_reported(worker_id)
        )
        return tuple(dict.fromkeys([*known, *unheard]))

    def _have_former_leases_ended(self) -> bool:
        """Return whether all leases that former owners granted have expired."""
        former_ms = self._proof.former_ms
        if former_ms is None:
            return False
        return self._clock.now_ms() - former_ms > self._times.unknown_ms

    def _may_be_extended(self, worker_id: str, born_ms: Millis) -> bool:
        """Return whether calls for a former process may have extended its leases.

        The former owner tells so in its heartbeat if it knew of the restart. Otherwise
        it recorded the runs that it started since with the earlier birth.
        """
        former = self._claim.previous_heartbeat
        if former is not None and worker_id in former.long_leases:
            return True
        runs = self.state.runs_on(worker_id)
        return born_ms > 0 and any(run.born_ms != born_ms for run in runs)

    async def _await_loss(self) -> None:
        await self._ownership_lost.wait()
        raise OwnershipLostError

    def _encode(self, key: RowKey) -> bytes | None:
        if key.table == self._requests_table:
            return None
        if key.key == INTERFERENCE_KEY:
            return self.state.interference_model.encode(self.state.next_stamp())
        if key.key in self.state.transferred:
            return encode_transfer(
                self.state.transferred[key.key], self.state.next_stamp()
            )
        progress = self.state.jobs.get(key.key)
        if progress is None:
            return None
        with self.state.guard(key.key):
            value = progress.encode(self.state.next_stamp())
            if len(value) <= MAX_ROW_BYTES:
                return value
            # The store would refuse it, and with it all other rows of the cell.
            raise InputError(f"the progress takes {len(value)} bytes")
        return self.state.jobs[key.key].encode(self.state.next_stamp())

    async def _recover(self) -> None:
        started_ms = self._clock.now_ms()
        # The guard rejects writes of previous owners while both tables are read.
        requests = await self._read(self._requests_table)
        self._requests_version = requests[1]
        progress = await self._read(PROGRESS_TABLE)
        for row in progress[0]:
            self.state.commits.record_version(row.at, row.version)
        stored = {row.at.key: row for row in progress[0]}
        if INTERFERENCE_KEY in stored:
            self._restore_interference(stored.pop(INTERFERENCE_KEY))
        for row in requests[0]:
            self._process_request(row, stored)
        self._is_recovered = True
        self._demand.record_recovery()
        self._log.emit(
            Event.CELL_RECOVERED,
            cell=self.state.cell,
            epoch=self.state.epoch,
            jobs=len(self.state.jobs),
            took_ms=self._clock.now_ms() - started_ms,
        )

    def _restore_interference(self, row: StoredRow) -> None:
        try:
            self.state.interference_model.restore(row.value)
        except (ValueError, KeyError, TypeError) as exc:
            self._log.emit(Event.BAD_INPUT, row=row.at.key, error=repr(exc))

    async def _read(self, table: str) -> tuple[list[StoredRow], int]:
        while True:
            sent_ms = self._clock.now_ms()
            reply = await read_all(self._store, table, self.state.cell, READ_TIMEOUT_MS)
            self._read_failures.record(reply, sent_ms, READ_TIMEOUT_MS)
            if not isinstance(reply, Err):
                return reply.ok_value.rows, reply.ok_value.version
            await self._clock.sleep_ms(RETRY_MS)

    async def _watch_requests(self) -> None:
        while True:
            sent_ms = self._clock.now_ms()
            timeout_ms = WATCH_WAIT_MS + READ_TIMEOUT_MS
            reply = await self._store.watch(
                self._requests_table,
                self._requests_version,
                WATCH_WAIT_MS,
                timeout_ms,
            )
            self._watch_failures.record(reply, sent_ms, timeout_ms)
            if isinstance(reply, Err):
                await self._clock.sleep_ms(RETRY_MS)
                if reply.err_value.code is not Code.STORE_HISTORY_LOST:
                    continue
                rows = await self._read_newer_requests()
            else:
                rows = reply.ok_value.rows
                self._requests_version = reply.ok_value.version
            for row in rows:
                if row.at.part == self.state.cell:
                    self._process_request(row, {})

    async def _read_newer_requests(self) -> list[StoredRow]:
        """Read the requests again and return those that were not read before.

        The deletion of an ended job may not be stored yet; its rows start no new job.
        """
        processed_version = self._requests_version
        rows, self._requests_version = await self._read(self._requests_table)
        return [row for row in rows if row.version > processed_version]

    def _process_request(self, row: StoredRow, stored: Mapping[str, StoredRow]) -> None:
        """Process a request row: a job, a cancellation or the end of a task."""
        key = row.at.key
        if row.is_deleted:
            return
        self.state.commits.record_version(row.at, row.version)
        if key.endswith(CANCEL_SUFFIX):
            self._cancel(key.removesuffix(CANCEL_SUFFIX))
            return
        if key.endswith(REPORT_SUFFIX):
            self._task_transfers.process_report(row)
            return
        if key in self.state.jobs or key in self.state.transferred:
            return
        try:
            data = parse_bounded_json(stored[key].value) if key in stored else {}
            if "moved" in data:
                self._transfers.restore(row, data)
                return
            progress = WorkflowProgress(_decode_request(row))
            if key in stored:
                progress.restore(data, self._clock.now_ms())
        except PARSE_ERRORS as exc:
            self._set_row_aside(row, stored.get(key), exc)
            return
        if progress.workflow.home and key not in stored:
            self._log.emit(
                Event.JOB_RECEIVED,
                job=key,
                cell=self.state.cell,
                home=progress.workflow.home,
            )
        with self.state.guard(key):
            self.state.add(progress)

    def _set_row_aside(
        self, request: StoredRow, stored: StoredRow | None, exc: Exception
    ) -> None:
        """End a job with unreadable rows, unless it has ended or was transferred."""
        job = request.at.key
        summary = None
        if stored is not None:
            with suppress(InputError):
                summary = decode_progress_summary(stored.value)
        if summary is None or summary.state in UNFINISHED_STATES and not summary.cell:
            self.state.set_aside(job, exc)
        elif summary.cell:
            self._log.emit(Event.BAD_INPUT, row=job, error=describe_fault(exc))
        else:
            ended = ended_progress(job, summary.state, self._clock.now_ms())
            self.state.jobs[job] = ended

    def _cancel(self, job: str) -> None:
        if job in self.state.transferred:
            self._log_cancellation(job, "transferred")
            self._transfers.cancel(job)
            return
        progress = self.state.jobs.get(job)
        if progress is None:
            self._log_cancellation(job, "unknown")
            # The row rejects a later submission; it is deleted like an ended job.
            self.state.unmatched.setdefault(job + CANCEL_SUFFIX, self._clock.now_ms())
            return
        if progress.is_final():
            return
        self._log_cancellation(job, "running")
        progress.cancel(self._clock.now_ms())
        self.state.mark_changed(progress)
        self._commands.stop_all(progress.runs(), "job was cancelled")
        self._task_transfers.resume(progress)

    def _log_cancellation(self, job: str, known_as: str) -> None:
        self._log.emit(
            Event.JOB_CANCEL_READ, job=job, cell=self.state.cell, known_as=known_as
        )

    async def _watch_workers(self) -> None:
        while True:
            reply = await self._listing.refresh()
            if isinstance(reply, Err):
                # The last listing stays in use while the store is unavailable.
                await self._clock.sleep_ms(RETRY_MS)
                continue
            self._sync_workers(reply.ok_value)
            await self._clock.sleep_ms(LISTING_INTERVAL_MS)

    def _sync_workers(self, entries: Mapping[str, WorkerEntry]) -> None:
        for worker_id, entry in entries.items():
            link = self.state.links.get(worker_id)
            if link is None:
                self._open_link(entry)
                continue
            if link.entry != entry:
                self._log_leaving(link, entry)
                link.load.update_entry(entry, self._clock.now_ms())
                self.state.wake.set()
                # An entry may be older than the last reply, and a birth later than the
                # next one if the time of day was set back.
                is_later = entry.born_ms > link.born_ms > 0
                if is_later and entry.born_ms not in link.former_births:
                    link.record_listed_restart(entry.born_ms)
                    self._reports.detect_restart(link, entry.born_ms, "list")
        now_ms = self._clock.now_ms()
        for worker_id, link in list(self.state.links.items()):
            if link.load.is_listed and worker_id not in entries:
                self._log.emit(
                    Event.WORKER_UNLISTED,
                    worker=worker_id,
                    cell=self.state.cell,
                    runs=len(link.load.runs),
                )
            link.load.is_listed = worker_id in entries
            if link.load.is_listed:
                self._unlisted_since_ms.pop(worker_id, None)
            elif (
                now_ms - self._unlisted_since_ms.setdefault(worker_id, now_ms)
                > UNLISTED_DROP_MS
            ):
                self._drop_link(link)
        self._lapse_unreported(entries, now_ms)

    def _log_leaving(self, link: AgentLink, entry: WorkerEntry) -> None:
        states = (link.entry.state, entry.state)
        if states != (WorkerState.READY, WorkerState.LEAVING):
            return
        self._log.emit(
            Event.WORKER_LEAVING,
            worker=entry.worker_id,
            cell=self.state.cell,
            leaves_in_ms=entry.leaves_in_ms,
            runs=len(link.load.runs),
            servers=link.load.servers,
            lasting_cpu=link.load.lasting.cpu,
        )

    def _open_link(self, entry: WorkerEntry) -> None:
        link = AgentLink(
            entry,
            self._tokens,
            self._agent,
            self._clock,
            self._log,
            self._reports.process_lease_reply,
            self._ownership_lost.set,
            self._proof,
            self._times,
            lambda link: self._reports.lapse_all(link, "lease has expired"),
            partial(self._may_be_extended, entry.worker_id),
            self.state.evacuations,
            self._delays,
        )
        link.load.update_entry(entry, self._clock.now_ms())
        self.state.links[entry.worker_id] = link
        self._log.emit(
            Event.WORKER_LISTED,
            worker=entry.worker_id,
            cell=self.state.cell,
            rack=entry.rack,
            state=entry.state.value,
            cpu=entry.room.cpu,
            memory_mb=entry.room.memory_mb,
            age_ms=self._clock.wall_ms() - entry.born_ms,
        )
        loop = asyncio.get_running_loop()
        self._link_tasks[entry.worker_id] = loop.create_task(self._run_link(link))

    async def _run_link(self, link: AgentLink) -> None:
        """Renew the leases of a worker, also after a fault in the handling of a reply.

        Otherwise the runs of the worker would lapse, and nobody would notice it.
        """
        while True:
            try:
                await link.run()
            except Exception as exc:
                self.state.faults.record(f"link to {link.entry.worker_id}", exc)
            await self._clock.sleep_ms(LINK_RESTART_MS)

    def _drop_link(self, link: AgentLink) -> None:
        if link.load.runs:
            return
        worker_id = link.entry.worker_id
        self._log.emit(Event.WORKER_GONE, worker=worker_id)
        self._link_tasks.pop(worker_id).cancel()
        del self.state.links[worker_id]
        self.state.interference_model.forget_worker(worker_id)
        self._unlisted_since_ms.pop(worker_id, None)

    def _lapse_unreported(
        self, entries: Mapping[str, WorkerEntry], now_ms: Millis
    ) -> None:
        """End runs on workers that are unlisted and never reported to this owner.

        This owner granted them no lease, and those of previous ones have expired,
        whenever the entry of the worker disappeared.
        """
        former_ms = self._proof.former_ms
        if former_ms is None or now_ms - former_ms <= self._times.unlisted_ms:
            return
        silent_workers = {
            run.worker
            for progress in self.state.jobs.values()
            for run in progress.runs()
            if run.worker not in entries and not self._has_reported(run.worker)
        }
        for worker_id in silent_workers:
            link = self.state.links.get(worker_id)
            listed_born_ms = link.entry.born_ms if link is not None else 0
            if self._have_former_leases_ended() or not self._may_be_extended(
                worker_id, listed_born_ms
            ):
                self._reports.lapse_unlisted(worker_id)

    def _has_reported(self, worker_id: str) -> bool:
        link = self.state.links.get(worker_id)
        return link is not None and link.load.is_confirmed


def _decode_request(row: StoredRow) -> Workflow:
    workflow = decode_workflow(row.value)
    if workflow_key(workflow) != row.at.key:
        raise InputError("the row of a job names another job")
    return workflow
