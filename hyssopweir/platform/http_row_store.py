"""HTTP client of the platform's metadata store."""

import base64
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.input_bounds import (
    MAX_TEXT_CHARS,
    InputError,
    input_errors,
    read_int,
    read_list,
    read_object,
    read_text,
)
from hyssopweir.platform.json_http_client import JsonHttpClient, Response
from hyssopweir.platform_client import UNSENT_KINDS, ExchangeError
from hyssopweir.row_store import (
    ABSENT,
    Change,
    Changes,
    Committed,
    Conflict,
    Remove,
    RowKey,
    RowPage,
    StoredRow,
    Write,
)

T = TypeVar("T")

# A reply of the store has at most 500 rows, or those of one transaction.
MAX_REPLY_ROWS = 10_000

OK = 200
SERVER_ERROR = 500
GONE = 410
PRECONDITION_FAILED = 412
# Half of the capacity of a link of 5 Mbit/s, the slowest that instances have.
UPLOAD_BYTES_PER_MS = 300
# Statuses with which the store rejects a request without any effect.
REJECTED_STATUSES = frozenset({429, 503})


class HttpRowStore:
    """Implementation of ``RowStore`` over the HTTP interface of the metadata store.

    A ``timeout_ms`` limits the time in which nothing arrives rather than the transfer
    of a large reply. The time to send the rows of a transaction is added to it.
    """

    def __init__(self, client: JsonHttpClient, address: tuple[str, int]) -> None:
        self._client = client
        self._address = address

    async def transact(
        self, changes: Sequence[Change], timeout_ms: Millis
    ) -> Result[Committed | Conflict, Failure]:
        """Apply all changes atomically; they must be in the same partition."""
        writes = [change for change in changes if isinstance(change, Write)]
        values = {write.at: base64.b64encode(write.value).decode() for write in writes}
        upload_ms = sum(map(len, values.values())) // UPLOAD_BYTES_PER_MS
        body = {
            "expected": [
                {**change.at._asdict(), "ver": change.expected} for change in changes
            ],
            "writes": [
                {**at._asdict(), "value": value} for at, value in values.items()
            ],
            "remove": [
                change.at._asdict() for change in changes if isinstance(change, Remove)
            ],
        }
        result = await self._client.request(
            "POST",
            self._address,
            "/rows-tx",
            timeout_ms + upload_ms,
            body,
            idle_timeout_ms=timeout_ms,
        )
        if isinstance(result, Err):
            return Err(_failure_from_error(result.err_value))
        status, data, _ = result.ok_value
        try:
            if status == OK:
                return Ok(Committed(_parse_version(data)))
            if status == PRECONDITION_FAILED:
                existing = [row for row in _parse_rows(data) if row.version != ABSENT]
                return Ok(Conflict({row.at: row for row in existing}))
        except InputError as exc:
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, f"unreadable reply: {exc}"))
        if status >= SERVER_ERROR and status not in REJECTED_STATUSES:
            # Only the statuses of a rejection say that nothing was done.
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, f"status {status}"))
        return Err(_failure_from_response(result.ok_value))

    async def read_rows(
        self, table: str, part: str, start: str, end: str, timeout_ms: Millis
    ) -> Result[RowPage, Failure]:
        """Return rows with ``start`` <= key < ``end``; an empty bound is no bound."""
        query = {"table": table, "part": part}
        if start:
            query["from"] = start
        if end:
            # The store's name for the exclusive end of the key range.
            query["target"] = end
        return await self._get("/rows-get", query, timeout_ms, timeout_ms, parse_page)

    async def watch(
        self, table: str, after: int, wait_ms: Millis, timeout_ms: Millis
    ) -> Result[Changes, Failure]:
        """Wait for changes after a version.

        Fail with ``STORE_HISTORY_LOST`` if the store has dropped some of them.
        """
        query = {"table": table, "after": str(after), "waitMs": str(wait_ms)}
        idle_ms = timeout_ms - wait_ms
        return await self._get("/rows-feed", query, timeout_ms, idle_ms, parse_changes)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_ms: Millis,
        idle_timeout_ms: Millis,
        parse: Callable[[Any], T],
    ) -> Result[T, Failure]:
        result = await self._client.request(
            "GET",
            self._address,
            path,
            timeout_ms,
            query=query,
            idle_timeout_ms=idle_timeout_ms,
        )
        if isinstance(result, Err):
            return Err(_failure_from_error(result.err_value))
        if result.ok_value.status != OK:
            return Err(_failure_from_response(result.ok_value))
        try:
            return Ok(parse(result.ok_value.data))
        except InputError as exc:
            return Err(not_run(Code.STORE_JUNK, f"unreadable reply: {exc}"))


def parse_page(data: Any) -> RowPage:
    """Parse a reply with rows in key order; raise ``InputError`` if malformed."""
    rows, more = _parse_rows(data), bool(data.get("hasMore"))
    if more and not rows:
        raise InputError("more rows after none")
    return RowPage(rows, _parse_version(data), more)


def parse_changes(data: Any) -> Changes:
    """Parse a reply of the change feed; raise ``InputError`` if malformed."""
    return Changes(_parse_rows(data), _parse_version(data))


def _parse_version(data: Any) -> int:
    return read_int(read_object(data, "reply").get("ver"), "ver")


def _parse_rows(data: Any) -> list[StoredRow]:
    rows = read_object(data, "reply").get("rows")
    return [_parse_row(row) for row in read_list(rows, "rows", MAX_REPLY_ROWS)]


def _parse_row(row: Any) -> StoredRow:
    data = read_object(row, "row")
    at = RowKey(
        *(
            read_text(data.get(name, ""), name, MAX_TEXT_CHARS)
            for name in RowKey._fields
        )
    )
    with input_errors("value"):
        value = base64.b64decode(data.get("value") or "")
    return StoredRow(at, value, _parse_version(data), bool(data.get("deleted")))


def _failure_from_error(error: ExchangeError) -> Failure:
    if error.kind in UNSENT_KINDS:
        return not_run(Code.STORE_UNAVAILABLE, str(error))
    return unknown(
        Code.STORE_OUTCOME_UNKNOWN, str(error), received_bytes=error.received_bytes
    )


def _failure_from_response(response: Response) -> Failure:
    detail = f"status {response.status}"
    if response.status in REJECTED_STATUSES:
        return not_run(Code.STORE_UNAVAILABLE, detail)
    if response.status == GONE:
        return not_run(Code.STORE_HISTORY_LOST, detail)
    return not_run(Code.STORE_JUNK, detail)
