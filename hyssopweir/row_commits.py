"""Group commit of an owner's rows, conditional on its ownership."""

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

# The platform's store accepts at most 100 entries per transaction, and a written row
# takes two of them: the write and its condition.
MAX_ROWS = 48
# Base64 inflates the rows, and the store limits a transaction to 1 MB.
MAX_BYTES = 400_000
# A reply that takes longer counts as lost. Writes are idempotent and can be repeated.
MIN_TIMEOUT_MS: Millis = 150
MAX_TIMEOUT_MS: Millis = 1_500
TIMEOUT_FACTOR = 5
RETRY_MS: Millis = 60
# Share of the store's write rate that the owners of all cells may use together.
OWNERS_WRITE_SHARE = 0.5
# A pause no longer than one transaction does not reduce the number of writes.
MIN_PAUSE_MS: Millis = 5

Encoder = Callable[[RowKey], bytes | None]


class OwnershipLostError(Exception):
    """Raised when another instance has become the owner of the cell."""


def commit_pause_ms(cells: int, writes_per_second: float) -> Millis:
    """Return the pause between transactions that limits all owners to their rate."""
    pause_ms = int(1_000 * cells / (OWNERS_WRITE_SHARE * writes_per_second))
    return pause_ms if cells > 1 and pause_ms >= MIN_PAUSE_MS else 0


class AdaptiveTimeout:
    """Timeout that adapts to a moving average of reply times, in ms."""

    def __init__(self) -> None:
        self._average_ms = 30.0

    def timeout_ms(self) -> Millis:
        """Return the timeout of the next request."""
        adaptive_ms = int(TIMEOUT_FACTOR * self._average_ms)
        return min(max(adaptive_ms, MIN_TIMEOUT_MS), MAX_TIMEOUT_MS)

    def record_reply(self, reply: Result[object, Failure], took_ms: Millis) -> None:
        """Update the average from a reply time, or double it after a lost reply."""
        if isinstance(reply, Ok):
            self._average_ms += (took_ms - self._average_ms) / 4
        elif reply.err_value.code is Code.STORE_OUTCOME_UNKNOWN:
            self._average_ms = min(self._average_ms * 2, MAX_TIMEOUT_MS)


class RowCommits:
    """Writer of changed rows in one partition, encoded at the time of the write.

    Every transaction requires that the owner's row has the version in ``guard``, so any
    unexpected version of another row stems from an earlier attempt of this object.
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
        self._dirty: dict[RowKey, None] = {}
        self._waiters: list[asyncio.Future[None]] = []
        self._write_requested = asyncio.Event()
        self.timer = AdaptiveTimeout()
        self.stored_ms = clock.now_ms()

    def record_version(self, key: RowKey, version: int) -> None:
        """Record the version of a row that was read from the store."""
        self._versions[key] = version

    def mark(self, key: RowKey) -> None:
        """Schedule a row for the next transaction."""
        self._dirty[key] = None
        self._write_requested.set()

    def stored(self) -> asyncio.Future[None]:
        """Return a future that completes once all rows marked so far are stored."""
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if not self._dirty:
            # Rows that are already being written have futures of their own.
            self._write_requested.set()
        self._waiters.append(fut)
        return fut

    def fail(self) -> None:
        """Cancel all pending futures, since no more rows are written."""
        for fut in self._waiters:
            fut.cancel()
        self._waiters.clear()

    async def run(self) -> None:
        """Write rows until cancelled; raise ``OwnershipLostError`` when superseded."""
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            keys, waiters = list(self._dirty), list(self._waiters)
            self._dirty.clear()
            self._waiters.clear()
            try:
                while keys:
                    keys = await self._write_batch(keys)
            except BaseException:
                self._waiters.extend(waiters)
                self.fail()
                raise
            self.stored_ms = self._clock.now_ms()
            for fut in waiters:
                if not fut.done():
                    fut.set_result(None)
            if self._pause_ms:
                await self._clock.sleep_ms(self._pause_ms)

    async def _write_batch(self, keys: Sequence[RowKey]) -> list[RowKey]:
        """Write as many rows as fit one transaction; return the remaining keys."""
        while True:
            changes, count = self._build_changes(keys)
            if await self._transact(changes):
                return list(keys[count:])

    def _build_changes(self, keys: Sequence[RowKey]) -> tuple[list[Change], int]:
        changes: list[Change] = [self._guard]
        size = count = 0
        for key in keys[:MAX_ROWS]:
            value = self._encode(key)
            size += len(value or b"")
            if count and size > MAX_BYTES:
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
        took_ms = self._clock.now_ms() - sent_ms
        self.timer.record_reply(reply, took_ms)
        if isinstance(reply, Err):
            await self._handle_failure(reply.err_value, len(changes), took_ms)
            return False
        outcome = reply.ok_value
        if isinstance(outcome, Committed):
            for change in changes[1:]:
                self._versions[change.at] = outcome.version
                if isinstance(change, Remove):
                    self._versions.pop(change.at, None)
            return True
        self._adopt_versions(changes, outcome)
        return False

    async def _handle_failure(
        self, failure: Failure, changes: int, took_ms: Millis
    ) -> None:
        if failure.code is Code.STORE_OUTCOME_UNKNOWN:
            # A broken connection or a server error comes without any wait.
            await self._clock.sleep_ms(RETRY_MS - took_ms)
            return
        if failure.code is not Code.STORE_UNAVAILABLE:
            self._log.emit(Event.STORE_REFUSED, rows=changes - 1, detail=failure.detail)
        await self._clock.sleep_ms(RETRY_MS)

    def _adopt_versions(self, changes: Sequence[Change], conflict: Conflict) -> None:
        guard = conflict.rows.get(self._guard.at)
        if guard is None or guard.version != self._guard.expected:
            raise OwnershipLostError
        for change in changes[1:]:
            row = conflict.rows.get(change.at)
            self._versions[change.at] = row.version if row is not None else 0
        self._log.emit(Event.STORE_READ_BACK, rows=len(changes) - 1)
