"""An instance's part in a cell: it owns the cell, or stands by to take it over."""

import asyncio
from collections.abc import Callable

from hyssopweir.agents import Agent
from hyssopweir.cell import Cell, WorkerListing
from hyssopweir.cell_ownership import CellOwnership
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.row_commits import OwnershipLostError
from hyssopweir.row_store import RowStore

FAILURE_PAUSE_MS: Millis = 200


class CellHost:
    """Acquire a cell and look after it, again and again, until released."""

    def __init__(
        self,
        cell: str,
        instance: str,
        life: str,
        store: RowStore,
        agent: Agent,
        new_listing: Callable[[], WorkerListing],
        keep_ms: Millis,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._cell = cell
        self._life = life
        self._store = store
        self._agent = agent
        self._new_listing = new_listing
        self._keep_ms = keep_ms
        self._clock = clock
        self._log = log
        self._owners = CellOwnership(cell, instance, life, store, clock, log)
        self._owners.may_claim = lambda: not self._is_released
        self._is_released = False
        self._owned: Cell | None = None

    async def run(self) -> None:
        """Own the cell whenever its owner is gone, until cancelled."""
        while True:
            try:
                await self._own()
            except OwnershipLostError:
                self._log.emit(Event.CELL_LOST, cell=self._cell)
            except Exception as exc:
                # The rows are the truth: a new start reads them again.
                self._log.emit(
                    Event.BACKGROUND_TASK_FAILED, task="cell", error=repr(exc)
                )
                await self._clock.sleep_ms(FAILURE_PAUSE_MS)
            finally:
                self._owned = None

    async def _own(self) -> None:
        ownership = await self._owners.acquire()
        cell = Cell(
            self._cell,
            self._life,
            ownership,
            self._owners,
            self._store,
            self._agent,
            self._new_listing(),
            self._keep_ms,
            self._clock,
            self._log,
        )
        self._owned = cell
        await cell.run()

    async def release(self, limit_ms: Millis) -> None:
        """Hand the cell over if owned, and claim it no more."""
        self._is_released = True
        if self._owned is not None:
            await asyncio.wait(
                [asyncio.ensure_future(self._owned.hand_over())],
                timeout=limit_ms / 1_000,
            )
