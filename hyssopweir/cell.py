"""One cell: a set of workers and jobs that one instance at a time looks after."""

import asyncio
import json
from collections.abc import Mapping
from typing import NamedTuple

from result import Err

from hyssopweir.agent_link import UNLISTED_LEASE_MS, AgentLink
from hyssopweir.agents import Agent, WorkerEntry
from hyssopweir.cell_heartbeats import CellHeartbeats, Heartbeat
from hyssopweir.cell_layout import CellLayout, WorkerListing, requests_table
from hyssopweir.cell_maintenance import CellMaintenance
from hyssopweir.cell_ownership import CellOwnership, OwnershipGrant
from hyssopweir.cell_scheduler import CellScheduler
from hyssopweir.cell_state import (
    CANCEL_SUFFIX,
    HARM_KEY,
    PROGRESS_TABLE,
    CellState,
)
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code
from hyssopweir.events import Event, EventLog
from hyssopweir.job_transfers import (
    JobTransfers,
    encode_moved,
    rooms_of,
)
from hyssopweir.row_commits import OwnershipLostError, RowCommits, commit_pause_ms
from hyssopweir.row_store import ABSENT, RowKey, RowStore, StoredRow, read_all
from hyssopweir.run_commands import RunCommands
from hyssopweir.run_reports import RunReports
from hyssopweir.workflow_progress import WorkflowProgress
from hyssopweir.workflows import decode_workflow

READ_TIMEOUT_MS: Millis = 1_500
WATCH_MS: Millis = 1_000
RETRY_MS: Millis = 60
LISTING_PAUSE_MS: Millis = 150
# A worker that is not listed and runs nothing is dropped after that time.
DROP_MS: Millis = 15_000
HAND_OVER_MS: Millis = 700


class HostSettings(NamedTuple):
    """Hold what cells and their host take from the settings.

    The store takes ``writes_per_second`` of all instances together. A small instance
    leaves a cell to larger ones for ``reluctance_ms``.
    """

    instance: str
    life: str
    keep_ms: Millis
    writes_per_second: float
    claim_delay_ms: Millis = 0


class CellClaim(NamedTuple):
    """Hold a claim of a cell, and the last beat of its former owner."""

    ownership: OwnershipGrant
    owners: CellOwnership
    beats: CellHeartbeats
    former: Heartbeat | None


class Cell:
    """Own a cell from one acquisition to its loss or release."""

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
    ) -> None:
        self._claim = claim
        self._settings = settings
        self._store = store
        self._agent = agent
        self._listing = listing
        self._clock = clock
        self._log = log
        self.state = CellState(name, claim.ownership.epoch, clock, log)
        self.state.commits = RowCommits(
            store,
            claim.ownership.guard,
            self._encode,
            commit_pause_ms(layout.size, settings.writes_per_second),
            clock,
            log,
        )
        self._orders = RunCommands(self.state)
        self._reports = RunReports(self.state, self._orders)
        self._scheduler = CellScheduler(self.state, self._orders)
        self._transfers = JobTransfers(self.state, claim.beats, store)
        self._upkeep = CellMaintenance(
            self.state,
            self._orders,
            self._scheduler,
            self._transfers,
            settings.keep_ms,
        )
        self._lost = asyncio.Event()
        self._holds: dict[str, asyncio.Task[None]] = {}
        self._unlisted_ms: dict[str, Millis] = {}
        self._requests_version = 0
        self._beats = 0
        self._beat_version = claim.former.version if claim.former else ABSENT
        self._has_neighbours = layout.size > 1
        self._is_released = False
        self._beat_wanted = asyncio.Event()
        self._release_shown = asyncio.Event()
        self._is_recovered = False
        # Shown until the jobs are read.
        self._former_queues = claim.former.queues if claim.former else {}
        self._requests = requests_table(name)

    async def run(self) -> None:
        """Look after the cell; raise ``OwnershipLostError`` when superseded."""
        tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        # Others see the new owner before it has read the jobs.
        tasks.append(loop.create_task(self._beat()))
        try:
            await self._recover()
            parts = (
                self.state.commits.run(),
                self._watch_requests(),
                self._watch_workers(),
                self._scheduler.run(),
                self._upkeep.run(),
                self._await_loss(),
            )
            tasks.extend(loop.create_task(part) for part in parts)
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in [*tasks, *self._holds.values()]:
                task.cancel()
            self._orders.close()
            self._transfers.close()
            self.state.commits.fail()

    async def hand_over(self) -> None:
        """Finish what was ordered, store it, and let another instance take over."""
        await self._orders.drain(HAND_OVER_MS)
        await asyncio.wait([self.state.commits.stored()], timeout=HAND_OVER_MS / 1_000)
        await self._claim.owners.release(self._claim.ownership)
        self._is_released = True
        self._beat_wanted.set()
        shown = asyncio.ensure_future(self._release_shown.wait())
        await asyncio.wait([shown], timeout=HAND_OVER_MS / 1_000)
        self._lost.set()

    async def _beat(self) -> None:
        """Show that this owner is alive, until cancelled or superseded."""
        beats = self._claim.beats
        while True:
            self._beat_wanted.clear()
            beat = self._next_beat()
            outcome = await beats.write(self.state.cell, beat)
            self._beat_version = outcome.version
            if not outcome.is_stored:
                continue
            if beat.is_released:
                self._release_shown.set()
            wanted = asyncio.ensure_future(self._beat_wanted.wait())
            await asyncio.wait([wanted], timeout=beats.interval_ms / 1_000)
            wanted.cancel()

    def _next_beat(self) -> Heartbeat:
        self._beats += 1
        return Heartbeat(
            self._settings.instance,
            self._settings.life,
            self.state.epoch,
            self._beats,
            self._is_released,
            rooms_of(self.state) if self._has_neighbours else {},
            (
                self.state.pending_by_queue()
                if self._is_recovered
                else self._former_queues
            ),
            self._beat_version,
        )

    async def _await_loss(self) -> None:
        await self._lost.wait()
        raise OwnershipLostError

    def _encode(self, key: RowKey) -> bytes | None:
        if key.table == self._requests:
            return None
        if key.key == HARM_KEY:
            return self.state.harm.encode(self.state.next_stamp())
        if key.key in self.state.moved:
            return encode_moved(self.state.moved[key.key], self.state.next_stamp())
        progress = self.state.jobs.get(key.key)
        return progress.encode(self.state.next_stamp()) if progress else None

    async def _recover(self) -> None:
        started_ms = self._clock.now_ms()
        # The guard keeps former owners from writing while both tables are read.
        requests = await self._read(self._requests)
        self._requests_version = requests[1]
        progress = await self._read(PROGRESS_TABLE)
        for row in progress[0]:
            self.state.commits.learn(row.at, row.version)
        stored = {row.at.key: row for row in progress[0]}
        if HARM_KEY in stored:
            self._restore_harm(stored.pop(HARM_KEY))
        for row in requests[0]:
            self._take_request(row, stored)
        self._is_recovered = True
        self._log.emit(
            Event.CELL_RECOVERED,
            cell=self.state.cell,
            epoch=self.state.epoch,
            jobs=len(self.state.jobs),
            took_ms=self._clock.now_ms() - started_ms,
        )

    def _restore_harm(self, row: StoredRow) -> None:
        try:
            self.state.harm.restore(row.value)
        except (ValueError, KeyError, TypeError) as exc:
            self._log.emit(Event.BAD_INPUT, row=row.at.key, error=repr(exc))

    async def _read(self, table: str) -> tuple[list[StoredRow], int]:
        while True:
            reply = await read_all(self._store, table, self.state.cell, READ_TIMEOUT_MS)
            if not isinstance(reply, Err):
                return reply.ok_value.rows, reply.ok_value.version
            await self._clock.sleep_ms(RETRY_MS)

    async def _watch_requests(self) -> None:
        while True:
            reply = await self._store.watch(
                self._requests,
                self._requests_version,
                WATCH_MS,
                WATCH_MS + READ_TIMEOUT_MS,
            )
            if isinstance(reply, Err):
                await self._clock.sleep_ms(RETRY_MS)
                if reply.err_value.code is not Code.STORE_HISTORY_LOST:
                    continue
                rows, self._requests_version = await self._read(self._requests)
            else:
                rows = reply.ok_value.rows
                self._requests_version = reply.ok_value.version
            for row in rows:
                if row.at.part == self.state.cell:
                    self._take_request(row, {})

    def _take_request(self, row: StoredRow, stored: Mapping[str, StoredRow]) -> None:
        """Take an accepted job or a cancellation."""
        key = row.at.key
        if row.is_deleted:
            return
        self.state.commits.learn(row.at, row.version)
        if key.endswith(CANCEL_SUFFIX):
            self._cancel(key.removesuffix(CANCEL_SUFFIX))
            return
        if key in self.state.jobs or key in self.state.moved:
            return
        try:
            data = json.loads(stored[key].value) if key in stored else {}
            if "moved" in data:
                self._transfers.restore(row, data)
                return
            progress = WorkflowProgress(decode_workflow(row.value))
            if key in stored:
                progress.restore(data, self._clock.now_ms())
        except (ValueError, KeyError, TypeError) as exc:
            self._log.emit(Event.BAD_INPUT, row=key, error=repr(exc))
            return
        self.state.add(progress)

    def _cancel(self, job: str) -> None:
        if job in self.state.moved:
            self._transfers.cancel(job)
            return
        progress = self.state.jobs.get(job)
        if progress is None:
            # Refuses a submission that comes later; deleted like an ended job.
            self.state.lone_cancels.setdefault(job, self._clock.now_ms())
            return
        if progress.is_final():
            return
        progress.cancel(self._clock.now_ms())
        self.state.changed(progress)
        self._orders.stop_all(progress.runs(), "job is cancelled")

    async def _watch_workers(self) -> None:
        while True:
            reply = await self._listing.refresh()
            if isinstance(reply, Err):
                # The last listing stays in use while the store is away.
                await self._clock.sleep_ms(RETRY_MS)
                continue
            self._sync_workers(reply.ok_value)
            await self._clock.sleep_ms(LISTING_PAUSE_MS)

    def _sync_workers(self, entries: Mapping[str, WorkerEntry]) -> None:
        for worker_id, entry in entries.items():
            link = self.state.links.get(worker_id)
            if link is None:
                self._open_link(entry)
                continue
            if link.entry != entry:
                link.load.entry = entry
                self.state.wake.set()
        self._end_replaced(entries)
        now_ms = self._clock.now_ms()
        for worker_id, link in list(self.state.links.items()):
            link.load.is_listed = worker_id in entries
            if link.load.is_listed:
                self._unlisted_ms.pop(worker_id, None)
            elif now_ms - self._unlisted_ms.setdefault(worker_id, now_ms) > DROP_MS:
                self._drop_link(link)
        self._lapse_unknown(entries, now_ms)

    def _open_link(self, entry: WorkerEntry) -> None:
        link = AgentLink(
            entry,
            self.state.epoch,
            self._agent,
            self._clock,
            self._log,
            self._reports.take,
            self._lost.set,
            lambda link: self._reports.lapse_all(link, "lease has ended"),
        )
        self.state.links[entry.worker_id] = link
        loop = asyncio.get_running_loop()
        self._holds[entry.worker_id] = loop.create_task(link.run())

    def _drop_link(self, link: AgentLink) -> None:
        if link.load.runs:
            return
        worker_id = link.entry.worker_id
        self._log.emit(Event.WORKER_GONE, worker=worker_id)
        self._holds.pop(worker_id).cancel()
        del self.state.links[worker_id]
        self._unlisted_ms.pop(worker_id, None)

    def _end_replaced(self, entries: Mapping[str, WorkerEntry]) -> None:
        """End the runs of workers whose place another worker has taken."""
        places = {(entry.host, entry.port): entry for entry in entries.values()}
        for worker_id, link in self.state.links.items():
            if not link.load.runs:
                continue
            successor = places.get((link.entry.host, link.entry.port))
            if successor is not None and worker_id not in entries:
                self._reports.lapse_all(link, "another worker has its address")

    def _lapse_unknown(
        self, entries: Mapping[str, WorkerEntry], now_ms: Millis
    ) -> None:
        """End runs on unlisted workers that this owner has never heard."""
        unknown = {
            run.worker
            for progress in self.state.jobs.values()
            for run in progress.runs()
            if run.worker not in entries and not self._was_heard(run.worker)
        }
        for worker_id in unknown:
            since_ms = self._unlisted_ms.setdefault(worker_id, now_ms)
            if now_ms - since_ms > UNLISTED_LEASE_MS:
                self._reports.lapse_unlisted(worker_id)

    def _was_heard(self, worker_id: str) -> bool:
        link = self.state.links.get(worker_id)
        return link is not None and link.load.is_confirmed
