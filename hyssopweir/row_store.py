"""Interface of a store of versioned rows in partitioned tables, with a change feed."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from result import Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Failure

ABSENT = 0


class RowKey(NamedTuple):
    """Name a row."""

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """Hold a row; ``version`` grows with each write to the store."""

    at: RowKey
    value: bytes
    version: int
    is_deleted: bool = False


class Write(NamedTuple):
    """Write ``value`` if the row has the ``expected`` version."""

    at: RowKey
    value: bytes
    expected: int


class Remove(NamedTuple):
    """Delete the row if it has the ``expected`` version."""

    at: RowKey
    expected: int


class Expect(NamedTuple):
    """Require the ``expected`` version of a row, ``ABSENT`` for none."""

    at: RowKey
    expected: int


Change = Write | Remove | Expect


class Committed(NamedTuple):
    """Report an applied transaction; all written rows have ``version``."""

    version: int


class Conflict(NamedTuple):
    """Report an unmet condition, with the rows of all conditions that exist."""

    rows: dict[RowKey, StoredRow]


class RowPage(NamedTuple):
    """Hold rows as of one moment; the newest version of the store was ``version``."""

    rows: list[StoredRow]
    version: int
    more: bool


class Changes(NamedTuple):
    """Hold rows that have changed, and the version from which to go on."""

    rows: list[StoredRow]
    version: int


class RowStore(Protocol):
    """Read, watch and change rows of the platform's store.

    ``STORE_UNAVAILABLE`` on a change means that it took no effect and never will,
    ``STORE_OUTCOME_UNKNOWN`` that it may take effect even later.
    """

    async def transact(
        self, changes: Sequence[Change], timeout_ms: Millis
    ) -> Result[Committed | Conflict, Failure]:
        """Apply all changes, which are in one part, or none."""
        ...

    async def read_rows(
        self, table: str, part: str, start: str, end: str, timeout_ms: Millis
    ) -> Result[RowPage, Failure]:
        """Return rows with ``start`` <= key < ``end``; empty names are no bound."""
        ...

    async def watch(
        self, table: str, after: int, wait_ms: Millis, timeout_ms: Millis
    ) -> Result[Changes, Failure]:
        """Wait for changes; ``STORE_HISTORY_LOST`` if some are no longer known."""
        ...


async def read_all(
    store: RowStore, table: str, part: str, timeout_ms: Millis
) -> Result[RowPage, Failure]:
    """Return all rows of a part; ``version`` is that of the first page."""
    first = await store.read_rows(table, part, "", "", timeout_ms)
    if first.is_err():
        return first
    rows, version = list(first.unwrap().rows), first.unwrap().version
    more = first.unwrap().more
    while more:
        start = rows[-1].at.key + "\0"
        page = await store.read_rows(table, part, start, "", timeout_ms)
        if page.is_err():
            return page
        rows.extend(page.unwrap().rows)
        more = page.unwrap().more
    return first.map(lambda page: RowPage(rows, version, False))
