"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import contextlib
import json
import time
from collections import defaultdict, deque
from typing import Any, NamedTuple

from aiohttp import web

MAX_ENTRIES = 100
PAGE_ROWS = 500
ROW_BYTES = 65_536
TRANSACTION_S = 0.004
HISTORY_S = 20.0
MAX_WATCH_S = 30.0
# Tables to which instances may not write.
OPERATOR_TABLE = "op"
WORKERS_TABLE = "servers"
EVACUATION_PREFIX = "evacuate/"
READ_ONLY_TABLES = frozenset({OPERATOR_TABLE, WORKERS_TABLE})


class RowAt(NamedTuple):
    """Place of a row."""

    table: str
    part: str
    key: str


class Row(NamedTuple):
    """Value of a row, None once it is deleted, and the version that wrote it."""

    value: bytes | None
    version: int


class ChangedRow(NamedTuple):
    """Row of the change feed with the time of its change."""

    at_s: float
    place: RowAt
    row: Row


class Store:
    """Rows in tables with one version counter and a change feed."""

    def __init__(self) -> None:
        self._rows: dict[str, dict[RowAt, Row]] = defaultdict(dict)
        self._changes: dict[str, deque[ChangedRow]] = defaultdict(deque)
        # By table, the newest version that its feed has dropped.
        self._dropped: dict[str, int] = defaultdict(int)
        self._changed: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self._version = 0
        self._started_s = time.monotonic()

    def put(self, table: str, key: str, data: Any) -> None:
        """Write a row as the operator or as a worker."""
        self._version += 1
        self._apply(RowAt(table, "", key), json.dumps(data).encode())

    def drop(self, table: str, key: str) -> None:
        """Delete a row as the operator or as a worker."""
        at = RowAt(table, "", key)
        if at in self._rows[table]:
            self._version += 1
            self._apply(at, None)

    def _apply(self, at: RowAt, value: bytes | None) -> None:
        row = Row(value, self._version)
        if value is None:
            self._rows[at.table].pop(at, None)
        else:
            self._rows[at.table][at] = row
        changes, now_s = self._changes[at.table], time.monotonic()
        changes.append(ChangedRow(now_s, at, row))
        while changes[0].at_s < now_s - HISTORY_S:
            self._dropped[at.table] = changes.popleft().row.version
        self._changed.pop(at.table, asyncio.Event()).set()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one call of an instance."""
        if req.path == "/rows-tx":
            return await self._transact(json.loads(await req.read()))
        if req.path == "/rows-get":
            return self._read(req.query)
        if req.path == "/rows-feed":
            return await self._watch(req.query)
        return web.Response(status=404)

    async def _transact(self, body: dict[str, Any]) -> web.Response:
        await asyncio.sleep(TRANSACTION_S)
        expected, removes = body.get("expected", []), body.get("remove", [])
        writes = {
            _place(data): base64.b64decode(data["value"])
            for data in body.get("writes", [])
        }
        removed = [_place(data) for data in removes]
        if any(at.table in READ_ONLY_TABLES for at in [*writes, *removed]):
            return web.Response(status=403)
        is_large = any(len(value) > ROW_BYTES for value in writes.values())
        if is_large or len(expected) + len(writes) + len(removed) > MAX_ENTRIES:
            return web.Response(status=400)
        found = []
        is_met = True
        for data in expected:
            at = _place(data)
            row = self._rows[at.table].get(at)
            is_met = is_met and (row.version if row else 0) == data["ver"]
            if row is not None:
                found.append(_encode(at, row))
        if not is_met:
            return self._reply(412, rows=found)
        self._version += 1
        for at, value in writes.items():
            self._apply(at, value)
        for at in removed:
            if at in self._rows[at.table]:
                self._apply(at, None)
        return self._reply(200)

    def _read(self, query: Any) -> web.Response:
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("target", "")
        places = sorted(
            at
            for at in self._rows[table]
            if at.part == part and at.key >= start and (not end or at.key < end)
        )
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        rows = [_encode(at, self._rows[table][at]) for at in places[:limit]]
        return self._reply(200, rows=rows, hasMore=len(places) > limit)

    async def _watch(self, query: Any) -> web.Response:
        table, after = query["table"], int(query["after"])
        wait_s = min(int(query.get("waitMs", 0)) / 1_000, MAX_WATCH_S)
        until_s = time.monotonic() + wait_s
        while True:
            if after < self._dropped[table]:
                return web.Response(status=410)
            rows = self._changes_after(table, after)
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return self._reply(200, rows=rows)
            changed = self._changed[table]
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _changes_after(self, table: str, after: int) -> list[dict[str, Any]]:
        newer = []
        for change in reversed(self._changes[table]):
            if change.row.version <= after:
                break
            newer.append(_encode(change.place, change.row))
        return newer[::-1]

    def _reply(self, status: int, **fields: Any) -> web.Response:
        now_ms = int((time.monotonic() - self._started_s) * 1_000)
        data = {"ver": self._version, "nowMs": now_ms, **fields}
        return web.json_response(data, status=status)


def _place(data: dict[str, Any]) -> RowAt:
    return RowAt(data["table"], data.get("part", ""), data["key"])


def _encode(at: RowAt, row: Row) -> dict[str, Any]:
    data = {**at._asdict(), "ver": row.version}
    if row.value is None:
        return {**data, "deleted": True}
    return {**data, "value": base64.b64encode(row.value).decode()}
