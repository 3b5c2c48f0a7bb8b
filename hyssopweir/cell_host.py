"""Cell host of an instance: runs the cells it owns and claims vacant ones."""

import asyncio
import zlib
from collections.abc import Callable

from result import Err

from hyssopweir.agents import Agent
from hyssopweir.background_tasks import BackgroundTasks
from hyssopweir.cell import Cell, CellClaim, HostSettings
from hyssopweir.cell_heartbeats import (
    RETRY_MS,
    VACANT_CELL_POLL_MS,
    Candidate,
    CellHeartbeats,
    FailureDetector,
    Heartbeat,
    poll_interval_ms,
)
from hyssopweir.cell_layout import CellLayout, CellWorkers, WorkerListing
from hyssopweir.cell_moves import ANNOUNCE_INTERVAL_MS, CellMoves
from hyssopweir.cell_ownership import CellOwnership
from hyssopweir.clock import Clock, Millis
from hyssopweir.evacuations import Evacuations
from hyssopweir.events import Event, EventLog
from hyssopweir.process_delays import ProcessDelays
from hyssopweir.row_commits import OwnershipLostError
from hyssopweir.row_store import RowStore

FAILURE_DELAY_MS: Millis = 200
# The claim delay grows with the store's reply time, so that instances close to the
# store claim first.
REPLY_DELAY_FACTOR = 4
MAX_REPLY_DELAY_MS: Millis = 250
# Added to the claim delay of an instance that owns a cell: longer than the slowest
# instance without one takes to notice and claim a vacant cell. Owners of two cells each
# were busy all the time on a fleet where 91 instances had none.
OWNER_CLAIM_DELAY_MS: Millis = 1_500
# Added for each further cell that it owns, so that the least loaded owner goes first.
OWNED_CELL_DELAY_MS: Millis = 300
# Added to the claim delay while a released cell waits for the successor that its owner
# named: one slow poll of the heartbeats and the claim.
SUCCESSOR_WAIT_MS: Millis = 1_000
# Range of the claim jitter; it spans the time within which a claim becomes visible.
CLAIM_JITTER_MS: Millis = 300


class CellHost:
    """Host that claims vacant cells and runs them until it is released."""

    def __init__(
        self,
        settings: HostSettings,
        store: RowStore,
        agent: Agent,
        new_listing: Callable[[], WorkerListing],
        clock: Clock,
        log: EventLog,
        evacuations: Evacuations | None = None,
        delays: ProcessDelays | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._agent = agent
        self._new_listing = new_listing
        self._clock = clock
        self._log = log
        self._evacuations = evacuations
        self._delays = delays
        self._is_released = False
        self._ownerships: dict[str, CellOwnership] = {}
        self._vacant_since_ms: dict[str, Millis] = {}
        self._tasks = BackgroundTasks("cell_host", log)
        self._moves = CellMoves()
        self._is_moving = False
        # When this instance last announced itself as a candidate, None if it is none.
        self._announced_ms: Millis | None = None
        self._announcements = 0
        self.owned: dict[str, Cell] = {}

    async def run(self, layout: CellLayout, heartbeats: CellHeartbeats) -> None:
        """Poll the heartbeats and claim vacant cells until cancelled."""
        detector = FailureDetector(layout.size)
        read_ms = self._clock.now_ms()
        try:
            while True:
                sent_ms = self._clock.now_ms()
                reply = await heartbeats.read()
                if isinstance(reply, Err):
                    detector.record_outage()
                    self._moves.record_outage(self._clock.now_ms())
                    await self._clock.sleep_ms(RETRY_MS)
                    continue
                took_ms = self._clock.now_ms() - sent_ms
                detector.record_heartbeats(reply.ok_value, sent_ms - read_ms, took_ms)
                read_ms = sent_ms
                for cell in self._claimable(layout, heartbeats, detector):
                    if await self._claim(cell, layout, heartbeats, detector):
                        # An owner waits longer than others for the next cell.
                        break
                self._move_cells(layout, heartbeats, detector)
                await self._clock.sleep_ms(self._poll_delay_ms(layout))
        finally:
            self._tasks.close()

    def _move_cells(
        self, layout: CellLayout, heartbeats: CellHeartbeats, detector: FailureDetector
    ) -> None:
        """Hand a cell over to a larger instance, or announce this one as such."""
        capacity, now_ms = self._settings.capacity, self._clock.now_ms()
        if layout.size == 1 or not capacity:
            return
        self._moves.record(heartbeats.known, heartbeats.candidates, now_ms)
        is_candidate = (
            not self.owned
            and not self._is_released
            and self._moves.should_announce(capacity)
        )
        if is_candidate:
            self._announce(heartbeats, now_ms)
        else:
            self._announced_ms = None
            # Also the row of an earlier process of this instance.
            if self._settings.instance in heartbeats.candidates:
                self._tasks.spawn(heartbeats.withdraw(self._settings.instance))
        if self._is_moving or self._is_released or self._vacant_since_ms:
            return
        silent = [cell for cell in layout.cells() if detector.is_silent(cell)]
        for cell, owned in self.owned.items():
            successor = self._moves.choose_successor(cell, silent)
            if successor is not None and not owned.is_released:
                self._is_moving = True
                self._tasks.spawn(self._move(cell, owned, successor))
                return

    def _announce(self, heartbeats: CellHeartbeats, now_ms: Millis) -> None:
        if self._announced_ms is None:
            self._log.emit(Event.CANDIDATE_ANNOUNCED, capacity=self._settings.capacity)
        elif now_ms - self._announced_ms < ANNOUNCE_INTERVAL_MS:
            return
        self._announced_ms = now_ms
        self._announcements += 1
        settings = self._settings
        candidate = Candidate(settings.instance, settings.life, settings.capacity)
        self._tasks.spawn(heartbeats.announce(candidate, self._announcements))

    async def _move(self, cell: str, owned: Cell, successor: Candidate) -> None:
        self._log.emit(
            Event.CELL_MOVING,
            cell=cell,
            target=successor.instance,
            capacity=self._settings.capacity // len(self.owned),
            target_capacity=successor.capacity,
        )
        try:
            await owned.hand_over(successor.instance)
        finally:
            self._is_moving = False

    def _poll_delay_ms(self, layout: CellLayout) -> Millis:
        if self._vacant_since_ms:
            return VACANT_CELL_POLL_MS
        instance = self._settings.instance
        return poll_interval_ms(instance, layout.size, bool(self.owned))

    def _claimable(
        self, layout: CellLayout, heartbeats: CellHeartbeats, detector: FailureDetector
    ) -> list[str]:
        """Return the vacant cells whose claim delay has passed."""
        now_ms = self._clock.now_ms()
        claimable = []
        for cell in layout.cells():
            heartbeat = heartbeats.known.get(cell)
            if self._is_released or not self._is_vacant(cell, heartbeat, detector):
                self._vacant_since_ms.pop(cell, None)
                continue
            since_ms = self._vacant_since_ms.setdefault(cell, now_ms)
            successor = heartbeat.successor if heartbeat is not None else ""
            if now_ms - since_ms >= self._claim_delay_ms(
                cell, layout, heartbeats.reply_ms, successor
            ):
                claimable.append(cell)
        return claimable

    def _is_vacant(
        self, cell: str, heartbeat: Heartbeat | None, detector: FailureDetector
    ) -> bool:
        if cell in self.owned:
            return False
        return heartbeat is None or (
            heartbeat.is_released
            # The owner was an earlier process of this instance, or failed in this one.
            or heartbeat.instance == self._settings.instance
            or detector.is_silent(cell)
        )

    def _claim_delay_ms(
        self, cell: str, layout: CellLayout, reply_ms: Millis, successor: str
    ) -> Millis:
        if successor == self._settings.instance and not self.owned:
            return 0
        delay_ms = min(REPLY_DELAY_FACTOR * reply_ms, MAX_REPLY_DELAY_MS)
        if successor:
            delay_ms += SUCCESSOR_WAIT_MS
        if layout.size == 1:
            return delay_ms
        jitter_ms = (
            zlib.crc32(f"{cell}/{self._settings.instance}".encode()) % CLAIM_JITTER_MS
        )
        delay_ms += jitter_ms + self._settings.claim_delay_ms
        if not self.owned:
            return delay_ms
        further_cells = len(self.owned) - 1
        return delay_ms + OWNER_CLAIM_DELAY_MS + OWNED_CELL_DELAY_MS * further_cells

    async def _claim(
        self,
        cell: str,
        layout: CellLayout,
        heartbeats: CellHeartbeats,
        detector: FailureDetector,
    ) -> bool:
        """Claim a cell and run it; return whether the claim succeeded."""
        ownership = self._ownerships.get(cell)
        if ownership is None:
            ownership = CellOwnership(
                cell,
                self._settings.instance,
                self._settings.life,
                self._store,
                self._clock,
                self._log,
            )
            self._ownerships[cell] = ownership
        heartbeat = heartbeats.known.get(cell)
        silent_ms = detector.silent_ms(cell)
        grant = await ownership.claim(heartbeat, silent_ms)
        if grant is None:
            return False
        if self._is_released:
            await ownership.release(grant)
            return False
        del self._vacant_since_ms[cell]
        owned = self._new_cell(
            cell, layout, CellClaim(grant, ownership, heartbeats, heartbeat, silent_ms)
        )
        self.owned[cell] = owned
        self._tasks.spawn(self._run_cell(cell, owned))
        return True

    def _new_cell(self, cell: str, layout: CellLayout, claim: CellClaim) -> Cell:
        return Cell(
            cell,
            layout,
            claim,
            self._settings,
            self._store,
            self._agent,
            CellWorkers(self._new_listing(), layout, cell),
            self._clock,
            self._log,
            lambda: len(self.owned),
            self._evacuations,
            self._delays,
        )

    async def _run_cell(self, cell: str, owned: Cell) -> None:
        try:
            await owned.run()
        except OwnershipLostError:
            self._log.emit(Event.CELL_LOST, cell=cell)
        except Exception as exc:
            # The stored rows are authoritative: the next claim recovers from them.
            self._log.emit(Event.BACKGROUND_TASK_FAILED, task="cell", error=repr(exc))
            await self._clock.sleep_ms(FAILURE_DELAY_MS)
        finally:
            del self.owned[cell]

    async def release(self, limit_ms: Millis) -> None:
        """Hand over all owned cells and stop claiming cells."""
        self._is_released = True
        if self.owned:
            await asyncio.wait(
                [
                    asyncio.ensure_future(owned.hand_over())
                    for owned in self.owned.values()
                ],
                timeout=limit_ms / 1_000,
            )
