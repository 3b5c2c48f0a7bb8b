"""Writer of jobs, cancellations and reports into the request rows of other cells."""

from collections.abc import Sequence

from result import Ok

from hyssopweir.call_failures import CallFailures
from hyssopweir.cell_layout import request_key
from hyssopweir.cell_state import CANCEL_SUFFIX, REPORT_SUFFIX
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import EventLog
from hyssopweir.row_store import (
    ABSENT,
    Change,
    Committed,
    Conflict,
    Expect,
    RowStore,
    Write,
)

CALL_TIMEOUT_MS: Millis = 800
RETRY_MS: Millis = 150


class CellRequests:
    """Writer that repeats each write until the store replies."""

    def __init__(self, own: str, store: RowStore, clock: Clock, log: EventLog) -> None:
        self._store = store
        self._clock = clock
        self._failures = CallFailures("write into another cell", clock, log, cell=own)

    async def submit(self, cell: str, key: str, body: bytes) -> bool:
        """Store a job in another cell; return False if it is cancelled there."""
        request = request_key(cell, key)
        cancel = request_key(cell, key + CANCEL_SUFFIX)
        # A cancellation may reach the other cell first; the job must not start then.
        changes = (Write(request, body, ABSENT), Expect(cancel, ABSENT))
        outcome = await self._transact(changes)
        return isinstance(outcome, Committed) or request in outcome.rows

    async def cancel(self, cell: str, key: str) -> None:
        """Store the cancellation of a job in another cell."""
        cancel = request_key(cell, key + CANCEL_SUFFIX)
        await self._transact((Write(cancel, b"{}", ABSENT),))

    async def report(self, cell: str, key: str, body: bytes) -> None:
        """Store the end of a transferred task in the cell that transferred it."""
        report = request_key(cell, key + REPORT_SUFFIX)
        await self._transact((Write(report, body, ABSENT),))

    async def _transact(self, changes: Sequence[Change]) -> Committed | Conflict:
        while True:
            sent_ms = self._clock.now_ms()
            reply = await self._store.transact(changes, CALL_TIMEOUT_MS)
            self._failures.record(reply, sent_ms, CALL_TIMEOUT_MS)
            if isinstance(reply, Ok):
                return reply.ok_value
            await self._clock.sleep_ms(RETRY_MS)
