"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time

from aiohttp import web

ROW_BYTES = 65_536
MAX_ENTRIES = 100
PAGE_ROWS = 500
TRANSACTION_S = 0.004
FORBIDDEN_TABLES = ("op", "servers")


class Store:
    """Rows in tables with one version counter and a change feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.version = 0
        self.is_down = False
        self._changed = asyncio.Event()
        self._started = time.monotonic()
        self.refused = 0

    def put(self, table, key, value):
        """Write a row as the operator or a worker."""
        self._apply([(table, "", key, json.dumps(value).encode())], [])

    def drop(self, table, key):
        if (table, "", key) in self.rows:
            self._apply([], [(table, "", key)])

    def get(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else row[0]

    def _apply(self, writes, removes):
        self.version += 1
        for table, part, key, value in writes:
            self.rows[table, part, key] = (value, self.version)
            self.changes.append((self.version, (table, part, key), value))
        for at in removes:
            if self.rows.pop(at, None) is not None:
                self.changes.append((self.version, at, None))
        self._changed.set()
        self._changed = asyncio.Event()

    def _now(self):
        return int((time.monotonic() - self._started) * 1_000)

    async def handle(self, req):
        if self.is_down:
            # Silent: no answer, and nothing is done.
            await asyncio.sleep(60)
            return web.Response(status=503)
        if req.path == "/rows-tx":
            return await self._transact(json.loads(await req.read()))
        if req.path == "/rows-get":
            return self._read(req.query)
        if req.path == "/rows-feed":
            return await self._feed(req.query)
        return web.Response(status=404)

    async def _transact(self, body):
        await asyncio.sleep(TRANSACTION_S)
        if self.is_down:
            await asyncio.sleep(60)
        expected, writes = body.get("expected", []), body.get("writes", [])
        removes = body.get("remove", [])
        fault = ""
        if len(expected) + len(writes) + len(removes) > MAX_ENTRIES:
            fault = "too many entries"
        decoded = []
        for row in writes:
            value = base64.b64decode(row["value"])
            if len(value) > ROW_BYTES:
                fault = f"row of {len(value)} bytes"
            decoded.append((row["table"], row.get("part", ""), row["key"], value))
        if any(row["table"] in FORBIDDEN_TABLES for row in [*writes, *removes]):
            return web.Response(status=403)
        if fault:
            self.refused += 1
            self.record("store refused", fault)
            return web.Response(status=400)
        unmet = []
        found = []
        for row in expected:
            at = (row["table"], row.get("part", ""), row["key"])
            current = self.rows.get(at)
            if current is not None:
                found.append(self._encode(at, *current))
            if (current[1] if current else 0) != row["ver"]:
                unmet.append(at)
        if unmet:
            data = {"rows": found, "ver": self.version, "nowMs": self._now()}
            return web.json_response(data, status=412)
        self._apply(
            decoded, [(row["table"], row.get("part", ""), row["key"]) for row in removes]
        )
        return web.json_response({"ver": self.version, "nowMs": self._now()})

    def _encode(self, at, value, version):
        data = {"table": at[0], "part": at[1], "key": at[2], "ver": version}
        if value is None:
            return {**data, "deleted": True}
        return {**data, "value": base64.b64encode(value).decode()}

    def _read(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("target", "")
        keys = sorted(
            at
            for at in self.rows
            if at[0] == table
            and at[1] == part
            and at[2] >= start
            and (not end or at[2] < end)
        )
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        rows = [self._encode(at, *self.rows[at]) for at in keys[:limit]]
        data = {"rows": rows, "hasMore": len(keys) > limit}
        return web.json_response({**data, "ver": self.version, "nowMs": self._now()})

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1_000
        while True:
            changed = self._changed
            rows = [
                self._encode(at, value, version)
                for version, at, value in self.changes
                if version > after and at[0] == table
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.is_down:
                await asyncio.sleep(60)
        data = {"rows": rows, "ver": self.version, "nowMs": self._now()}
        return web.json_response(data)
