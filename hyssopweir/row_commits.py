"""Grouped writes of an owner, which hold only while it is the owner."""

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure
from hyssopweir.events import Event, EventLog
from hyssopweir.row_store import (
    Change,
    Committed,
    Conflict,
    Expect,
    Remove,
    RowKey,
    RowStore,
    Write,
)

# The platform's store takes at most 100 entries in a transaction, and each row that is
# written counts twice, with its condition.
MOST_ROWS = 48
# Rows of a transaction are kept well below its limit of 1 MB, in base64.
MOST_BYTES = 400_000
# A reply later than this is taken for lost; a repeated write is harmless.
LEAST_TIMEOUT_MS: Millis = 150
MOST_TIMEOUT_MS: Millis = 1_500
TIMEOUT_FACTOR = 5
RETRY_MS: Millis = 60
# Share of the store's writes that the owners of all cells may make.
OWNERS_SHARE = 0.5
# A pause as short as one transaction saves nothing.
LEAST_PAUSE_MS: Millis = 5

Encoder = Callable[[RowKey], bytes | None]


class OwnershipLostError(Exception):
    """Report that another instance owns the cell."""


def commit_pause_ms(cells: int, writes_per_second: float) -> Millis:
    """Return the pause between transactions that keeps all owners within the rate."""
    pause_ms = int(1_000 * cells / (OWNERS_SHARE * writes_per_second))
    return pause_ms if cells > 1 and pause_ms >= LEAST_PAUSE_MS else 0


class AdaptiveTimeout:
    """Derive a timeout from the latest reply times, in ms."""

    def __init__(self) -> None:
        self._typical_ms = 30.0

    def timeout_ms(self) -> Millis:
        """Return how long to wait for the next reply."""
        wanted = int(TIMEOUT_FACTOR * self._typical_ms)
        return min(max(wanted, LEAST_TIMEOUT_MS), MOST_TIMEOUT_MS)

    def learn(self, reply: Result[object, Failure], took_ms: Millis) -> None:
        """Follow the time of a reply, and wait longer after one that did not come."""
        if isinstance(reply, Ok):
            self._typical_ms += (took_ms - self._typical_ms) / 4
        elif reply.err_value.code is Code.STORE_OUTCOME_UNKNOWN:
            self._typical_ms = min(self._typical_ms * 2, MOST_TIMEOUT_MS)


class RowCommits:
    """Write marked rows of one part, as ``encode`` gives them at that moment.

    Every transaction requires the owner's row in the version ``guard``, so all versions
    that differ from the expected ones stem from an earlier attempt of this object.
    """

    def __init__(
        self,
        store: RowStore,
        guard: Expect,
        encode: Encoder,
        pause_ms: Millis,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._store = store
        self._guard = guard
        self._encode = encode
        self._pause_ms = pause_ms
        self._clock = clock
        self._log = log
        self._versions: dict[RowKey, int] = {}
        self._marked: dict[RowKey, None] = {}
        self._waiting: list[asyncio.Future[None]] = []
        self._wanted = asyncio.Event()
        self.timer = AdaptiveTimeout()
        self.stored_ms = clock.now_ms()

    def learn(self, key: RowKey, version: int) -> None:
        """Take over the version of a row that was read."""
        self._versions[key] = version

    def mark(self, key: RowKey) -> None:
        """Have a row written with the next transaction."""
        self._marked[key] = None
        self._wanted.set()

    def stored(self) -> asyncio.Future[None]:
        """Return a future that is done once all rows marked so far are stored."""
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if not self._marked:
            # Rows that are being written belong to earlier callers.
            self._wanted.set()
        self._waiting.append(fut)
        return fut

    def fail(self) -> None:
        """Cancel what waits, since nothing more is written."""
        for fut in self._waiting:
            fut.cancel()
        self._waiting.clear()

    async def run(self) -> None:
        """Write until cancelled; raise ``OwnershipLostError`` when superseded."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            keys, waiting = list(self._marked), list(self._waiting)
            self._marked.clear()
            self._waiting.clear()
            try:
                while keys:
                    keys = await self._write_some(keys)
            except BaseException:
                self._waiting.extend(waiting)
                self.fail()
                raise
            self.stored_ms = self._clock.now_ms()
            for fut in waiting:
                if not fut.done():
                    fut.set_result(None)
            if self._pause_ms:
                await self._clock.sleep_ms(self._pause_ms)

    async def _write_some(self, keys: Sequence[RowKey]) -> list[RowKey]:
        """Write the first rows; return those that are left."""
        while True:
            changes, count = self._changes(keys)
            if await self._transact(changes):
                return list(keys[count:])

    def _changes(self, keys: Sequence[RowKey]) -> tuple[list[Change], int]:
        changes: list[Change] = [self._guard]
        size = count = 0
        for key in keys[:MOST_ROWS]:
            value = self._encode(key)
            size += len(value or b"")
            if count and size > MOST_BYTES:
                break
            count += 1
            expected = self._versions.get(key, 0)
            if value is not None:
                changes.append(Write(key, value, expected))
            elif expected:
                changes.append(Remove(key, expected))
        return changes, count

    async def _transact(self, changes: Sequence[Change]) -> bool:
        sent_ms = self._clock.now_ms()
        reply = await self._store.transact(changes, self.timer.timeout_ms())
        self.timer.learn(reply, self._clock.now_ms() - sent_ms)
        if isinstance(reply, Err):
            await self._note_failure(reply.err_value, len(changes))
            return False
        outcome = reply.ok_value
        if isinstance(outcome, Committed):
            for change in changes[1:]:
                self._versions[change.at] = outcome.version
                if isinstance(change, Remove):
                    self._versions.pop(change.at, None)
            return True
        self._adopt(changes, outcome)
        return False

    async def _note_failure(self, failure: Failure, changes: int) -> None:
        if failure.code is Code.STORE_OUTCOME_UNKNOWN:
            return
        if failure.code is not Code.STORE_UNAVAILABLE:
            self._log.emit(Event.STORE_REFUSED, rows=changes - 1, detail=failure.detail)
        await self._clock.sleep_ms(RETRY_MS)

    def _adopt(self, changes: Sequence[Change], conflict: Conflict) -> None:
        guard = conflict.rows.get(self._guard.at)
        if guard is None or guard.version != self._guard.expected:
            raise OwnershipLostError
        for change in changes[1:]:
            row = conflict.rows.get(change.at)
            self._versions[change.at] = row.version if row is not None else 0
        self._log.emit(Event.STORE_READ_BACK, rows=len(changes) - 1)
