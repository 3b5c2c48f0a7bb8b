"""Interface of a store of versioned rows in partitioned tables with a change feed."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from hyssopweir.clock import SECOND_MS, Millis
from hyssopweir.codes import Code, Failure, not_run

ABSENT = 0
# The largest value that the store accepts in a row.
MAX_ROW_BYTES = 65_536
PAGE_RETRIES = 3
PAGE_RETRY_MS: Millis = 60


class RowKey(NamedTuple):
    """Primary key of a row: table, partition and key within the partition."""

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """Row with its version, which increases with each write to the store."""

    at: RowKey
    value: bytes
    version: int
    is_deleted: bool = False


class Write(NamedTuple):
    """Write of ``value`` on condition that the row has the ``expected`` version."""

    at: RowKey
    value: bytes
    expected: int


class Remove(NamedTuple):
    """Deletion on condition that the row has the ``expected`` version."""

    at: RowKey
    expected: int


class Expect(NamedTuple):
    """Condition that a row has the ``expected`` version, ``ABSENT`` for no row."""

    at: RowKey
    expected: int


Change = Write | Remove | Expect


class Committed(NamedTuple):
    """Result of an applied transaction; all written rows have ``version``."""

    version: int


class Conflict(NamedTuple):
    """Result of an unmet condition, with all existing rows of the transaction."""

    rows: dict[RowKey, StoredRow]


class RowPage(NamedTuple):
    """Page of a consistent read, made when the store had reached ``version``."""

    rows: list[StoredRow]
    version: int
    more: bool


class Changes(NamedTuple):
    """Changed rows, and the version from which to continue watching."""

    rows: list[StoredRow]
    version: int


class RowStore(Protocol):
    """Client of the platform's row store.

    ``timeout_ms`` limits the time in which no part of a reply arrives: the size of a
    reply isn't known in advance, so no limit on the whole would suit a slow link.

    ``STORE_UNAVAILABLE`` on a transaction means that it was not applied and never will
    be, ``STORE_OUTCOME_UNKNOWN`` that it may still be applied later.
    """

    async def transact(
        self, changes: Sequence[Change], timeout_ms: Millis
    ) -> Result[Committed | Conflict, Failure]:
        """Apply all changes atomically; they must be in one partition."""
        ...

    async def read_rows(
        self, table: str, part: str, start: str, end: str, timeout_ms: Millis
    ) -> Result[RowPage, Failure]:
        """Return rows with ``start`` <= key < ``end``; an empty string is no bound."""
        ...

    async def watch(
        self, table: str, after: int, wait_ms: Millis, timeout_ms: Millis
    ) -> Result[Changes, Failure]:
        """Wait for changes; fail with ``STORE_HISTORY_LOST`` if some were discarded."""
        ...


async def read_all(
    store: RowStore, table: str, part: str, timeout_ms: Millis
) -> Result[RowPage, Failure]:
    """Return all rows of a partition, with the version of the first page."""
    first = await store.read_rows(table, part, "", "", timeout_ms)
    if isinstance(first, Err):
        return first
    page, rows = first.ok_value, list(first.ok_value.rows)
    while page.more:
        if not page.rows:
            return Err(not_run(Code.STORE_JUNK, "empty page before the last one"))
        start = rows[-1].at.key + "\0"
        reply = await _read_page(store, table, part, start, timeout_ms)
        if isinstance(reply, Err):
            return reply
        page = reply.ok_value
        rows.extend(page.rows)
    return Ok(RowPage(rows, first.ok_value.version, False))


async def _read_page(
    store: RowStore, table: str, part: str, start: str, timeout_ms: Millis
) -> Result[RowPage, Failure]:
    """Read a later page; a retry is cheaper than to read all pages again."""
    reply = await store.read_rows(table, part, start, "", timeout_ms)
    for _ in range(PAGE_RETRIES):
        if not isinstance(reply, Err) or reply.err_value.code is Code.STORE_JUNK:
            break
        await asyncio.sleep(PAGE_RETRY_MS / SECOND_MS)
        reply = await store.read_rows(table, part, start, "", timeout_ms)
    return reply
