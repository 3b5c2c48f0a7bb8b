"""An instance's part in all cells: it owns some, and stands by to take others over."""

import asyncio
import zlib
from collections.abc import Callable

from result import Err

from hyssopweir.agents import Agent
from hyssopweir.background_tasks import BackgroundTasks
from hyssopweir.cell import Cell, CellClaim, HostSettings
from hyssopweir.cell_heartbeats import (
    RETRY_MS,
    VACANT_POLL_MS,
    CellHeartbeats,
    FailureDetector,
    Heartbeat,
    poll_interval_ms,
)
from hyssopweir.cell_layout import CellLayout, CellWorkers, WorkerListing
from hyssopweir.cell_ownership import CellOwnership
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.row_commits import OwnershipLostError
from hyssopweir.row_store import RowStore

FAILURE_PAUSE_MS: Millis = 200
# An instance close to the store claims before those further away.
REPLY_FACTOR = 4
MOST_REPLY_DELAY_MS: Millis = 250
# An instance that owns a cell leaves the next one to others for that long.
OWNED_DELAY_MS: Millis = 600
# Spreads the claims of many instances over the time in which one is seen.
SPREAD_MS: Millis = 300


class CellHost:
    """Acquire cells and look after them, again and again, until released."""

    def __init__(
        self,
        settings: HostSettings,
        store: RowStore,
        agent: Agent,
        new_listing: Callable[[], WorkerListing],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._store = store
        self._agent = agent
        self._new_listing = new_listing
        self._clock = clock
        self._log = log
        self._is_released = False
        self._owners: dict[str, CellOwnership] = {}
        self._vacant_ms: dict[str, Millis] = {}
        self._tasks = BackgroundTasks("cell_host", log)
        self.owned: dict[str, Cell] = {}

    async def run(self, layout: CellLayout, beats: CellHeartbeats) -> None:
        """Own cells whose owners are gone, until cancelled."""
        silence = FailureDetector(layout.size)
        read_ms = self._clock.now_ms()
        try:
            while True:
                sent_ms = self._clock.now_ms()
                reply = await beats.read()
                if isinstance(reply, Err):
                    silence.note_outage()
                    await self._clock.sleep_ms(RETRY_MS)
                    continue
                silence.note_beats(reply.ok_value, sent_ms - read_ms)
                read_ms = sent_ms
                for cell in self._claimable(layout, beats, silence):
                    await self._claim(cell, layout, beats, silence)
                await self._clock.sleep_ms(self._pause_ms(layout))
        finally:
            self._tasks.close()

    def _pause_ms(self, layout: CellLayout) -> Millis:
        if self._vacant_ms:
            return VACANT_POLL_MS
        instance = self._settings.instance
        return poll_interval_ms(instance, layout.size, bool(self.owned))

    def _claimable(
        self, layout: CellLayout, beats: CellHeartbeats, silence: FailureDetector
    ) -> list[str]:
        """Return the vacant cells that were left to other instances long enough."""
        now_ms = self._clock.now_ms()
        found = []
        for cell in layout.cells():
            beat = beats.known.get(cell)
            if self._is_released or not self._is_vacant(cell, beat, silence):
                self._vacant_ms.pop(cell, None)
                continue
            since_ms = self._vacant_ms.setdefault(cell, now_ms)
            if now_ms - since_ms >= self._delay_ms(cell, layout, beats.reply_ms):
                found.append(cell)
        return found

    def _is_vacant(
        self, cell: str, beat: Heartbeat | None, silence: FailureDetector
    ) -> bool:
        if cell in self.owned:
            return False
        return beat is None or (
            beat.is_released
            # The owner was a former process of this instance, or has failed here.
            or beat.instance == self._settings.instance
            or silence.is_silent(cell)
        )

    def _delay_ms(self, cell: str, layout: CellLayout, reply_ms: Millis) -> Millis:
        delay_ms = min(REPLY_FACTOR * reply_ms, MOST_REPLY_DELAY_MS)
        if layout.size == 1:
            return delay_ms
        spread = zlib.crc32(f"{cell}/{self._settings.instance}".encode()) % SPREAD_MS
        owned_ms = OWNED_DELAY_MS * len(self.owned)
        return delay_ms + spread + owned_ms + self._settings.claim_delay_ms

    async def _claim(
        self,
        cell: str,
        layout: CellLayout,
        beats: CellHeartbeats,
        silence: FailureDetector,
    ) -> None:
        owners = self._owners.get(cell)
        if owners is None:
            owners = CellOwnership(
                cell,
                self._settings.instance,
                self._settings.life,
                self._store,
                self._clock,
                self._log,
            )
            self._owners[cell] = owners
        beat = beats.known.get(cell)
        ownership = await owners.claim(beat, silence.silent_ms(cell))
        if ownership is None:
            return
        if self._is_released:
            await owners.release(ownership)
            return
        del self._vacant_ms[cell]
        owned = self._new_cell(cell, layout, CellClaim(ownership, owners, beats, beat))
        self.owned[cell] = owned
        self._tasks.spawn(self._look_after(cell, owned))

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
        )

    async def _look_after(self, cell: str, owned: Cell) -> None:
        try:
            await owned.run()
        except OwnershipLostError:
            self._log.emit(Event.CELL_LOST, cell=cell)
        except Exception as exc:
            # The rows are the truth: a new start reads them again.
            self._log.emit(Event.BACKGROUND_TASK_FAILED, task="cell", error=repr(exc))
            await self._clock.sleep_ms(FAILURE_PAUSE_MS)
        finally:
            del self.owned[cell]

    async def release(self, limit_ms: Millis) -> None:
        """Hand all owned cells over, and claim none any more."""
        self._is_released = True
        if self.owned:
            await asyncio.wait(
                [
                    asyncio.ensure_future(owned.hand_over())
                    for owned in self.owned.values()
                ],
                timeout=limit_ms / 1_000,
            )
