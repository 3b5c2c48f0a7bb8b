"""HTTP server of the platform's stand-in: table, objects and instance list."""

import json
import random
from collections import deque
from hashlib import blake2b
from typing import Any
from uuid import uuid4

from aiohttp import web
from aiohttp.typedefs import Handler
from result import Ok

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code
from hyssopweir.fleet import ListedWorker
from hyssopweir.platform_client import (
    BAD_REQUEST,
    CONFLICT,
    MAX_OBJECT_BYTES,
    NO_CONTENT,
    NOT_FOUND,
    NOT_MODIFIED,
    UNAVAILABLE,
    listing_to_dict,
    parse_json,
    require_field,
)
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import Row, operation_from_dict

MOST_SCAN_ROWS = 1_000
MOST_PAGE_BYTES = 4 * 1_048_576


class PartFaults:
    """Hold the faults of one part of the platform."""

    def __init__(self) -> None:
        self.down = False
        self.writes_down = False
        self.slow_ms: Millis = 0
        self.lost_reply_share = 0.0

    def change(self, data: dict[str, Any]) -> None:
        """Change the named faults; raise ``ValueError`` on bad input."""
        for name, value in data.items():
            if name not in vars(self):
                raise ValueError(f"no fault {name}")
            kinds = (int, float) if name == "lost_reply_share" else ()
            require_field(data, name, type(getattr(self, name)), *kinds)
            if value < 0:
                raise ValueError(f"{name} is negative")
        vars(self).update(data)


class LaggingList:
    """Show the changes of the fleet after a lag, in order."""

    def __init__(self, clock: Clock, lag_ms: Millis) -> None:
        self.lag_ms = lag_ms
        self._clock = clock
        # A restarted list counts its changes anew and must not repeat a tag.
        self._boot = uuid4().hex
        self._changes = 0
        self._shown: dict[str, ListedWorker] = {}
        self._pending: deque[tuple[Millis, str, ListedWorker | None]] = deque()

    def show(self, listing: ListedWorker) -> None:
        """Show a worker at once."""
        self._changes += 1
        self._shown[listing.worker.worker_id] = listing

    def change(self, worker_id: str, listing: ListedWorker | None) -> None:
        """Show a worker, or that it is gone, after the lag."""
        due_ms = self._clock.now_ms() + self.lag_ms
        if self._pending:
            due_ms = max(due_ms, self._pending[-1][0])
        self._pending.append((due_ms, worker_id, listing))

    def tag(self) -> str:
        """Return the entity tag of what the last read showed."""
        return f'"{self._boot}-{self._changes}"'

    def read(self) -> list[ListedWorker]:
        """Return what the list shows now."""
        while self._pending and self._pending[0][0] <= self._clock.now_ms():
            _, worker_id, listing = self._pending.popleft()
            self._changes += 1
            if listing is None:
                self._shown.pop(worker_id, None)
            else:
                self._shown[worker_id] = listing
        return list(self._shown.values())


class PlatformPart:
    """Serve the table service, the object store and the instance list."""

    def __init__(self, clock: Clock, lag_ms: Millis, seed: int) -> None:
        self.table = StandinTable()
        self.objects: dict[str, bytes] = {}
        self.instances = LaggingList(clock, lag_ms)
        self.faults = {name: PartFaults() for name in ("table", "objects", "list")}
        self._clock = clock
        self._random = random.Random(seed)

    def make_app(self) -> web.Application:
        """Return the application of the platform's address."""
        app = web.Application(client_max_size=2 * MAX_OBJECT_BYTES)
        app.add_routes(
            [
                web.get("/v1/table/read", self._with_faults("table", self._read)),
                web.get("/v1/table/scan", self._with_faults("table", self._scan)),
                web.post(
                    "/v1/table/commit",
                    self._with_faults("table", self._commit, writes=True),
                ),
                web.put(
                    "/v1/object",
                    self._with_faults("objects", self._put, writes=True),
                ),
                web.get("/v1/object", self._with_faults("objects", self._get)),
                web.get("/v1/instances", self._with_faults("list", self._list)),
            ]
        )
        return app

    def _with_faults(
        self,
        name: str,
        handler: Handler,
        writes: bool = False,
    ) -> Handler:
        faults = self.faults[name]

        async def handle(request: web.Request) -> web.StreamResponse:
            await request.read()
            await self._clock.sleep_ms(faults.slow_ms)
            if faults.down or (writes and faults.writes_down):
                return web.Response(status=UNAVAILABLE)
            reply = await handler(request)
            if self._random.random() < faults.lost_reply_share:
                abort_reply(request)
            return reply

        return handle

    async def _read(self, request: web.Request) -> web.Response:
        if "key" not in request.query:
            return bad_request("no key")
        row = self.table.read(request.query["key"])
        tag = _tag_of([] if row is None else [row])
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=NOT_MODIFIED, headers={"ETag": tag})
        found = row._asdict() if row is not None else None
        return web.json_response({"row": found}, headers={"ETag": tag})

    async def _scan(self, request: web.Request) -> web.Response:
        try:
            prefix, after = request.query["prefix"], request.query["after"]
            limit = min(int(request.query["limit"]), MOST_SCAN_ROWS)
        except (KeyError, ValueError) as exc:
            return bad_request(exc)
        rows = self.table.scan(prefix, after, limit)
        tag = _tag_of(rows)
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=NOT_MODIFIED, headers={"ETag": tag})
        return web.Response(
            text=_page(rows, limit),
            content_type="application/json",
            headers={"ETag": tag},
        )

    async def _commit(self, request: web.Request) -> web.Response:
        try:
            data = parse_json(await request.read())
            operations = [
                operation_from_dict(op)
                for op in require_field(data, "operations", list)
            ]
            transaction = require_field(data, "transaction", str)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            return bad_request(exc)
        reply = self.table.commit(operations, transaction)
        if isinstance(reply, Ok):
            return web.json_response({"versions": reply.ok_value})
        if reply.err_value.code is Code.STORE_CONFLICT:
            conflict = {"conflict": reply.err_value.detail}
            return web.json_response(conflict, status=CONFLICT)
        return bad_request(reply.err_value.detail)

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.read()
        if "key" not in request.query or len(body) > MAX_OBJECT_BYTES:
            return bad_request("no key, or too large a body")
        self.objects[request.query["key"]] = body
        return web.Response(status=NO_CONTENT)

    async def _get(self, request: web.Request) -> web.Response:
        body = self.objects.get(request.query.get("key", ""))
        if body is None:
            return web.json_response({"exists": False}, status=NOT_FOUND)
        return web.Response(body=body)

    async def _list(self, request: web.Request) -> web.Response:
        listings = self.instances.read()
        tag = self.instances.tag()
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=NOT_MODIFIED, headers={"ETag": tag})
        rows = [listing_to_dict(listing) for listing in listings]
        return web.json_response({"workers": rows}, headers={"ETag": tag})


def _tag_of(rows: list[Row]) -> str:
    """Return an entity tag; a version is used for one content of one row only."""
    versions = ",".join(str(row.version) for row in rows)
    return f'"{blake2b(versions.encode(), digest_size=8).hexdigest()}"'


def _page(rows: list[Row], limit: int) -> str:
    """Return a page, cut short at ``MOST_PAGE_BYTES`` but never empty of rows."""
    parts: list[str] = []
    size = 0
    for row in rows:
        parts.append(json.dumps(row._asdict()))
        size += len(parts[-1])
        if size > MOST_PAGE_BYTES:
            break
    more = len(parts) < len(rows) or len(rows) == limit
    return f'{{"rows": [{", ".join(parts)}], "more": {json.dumps(more)}}}'


def bad_request(reason: object) -> web.Response:
    """Return the answer to a request that can't be read."""
    return web.json_response({"bad_request": str(reason)}, status=BAD_REQUEST)


def abort_reply(request: web.Request) -> None:
    """Reset the connection, so that the reply is lost."""
    if request.transport is not None:
        request.transport.abort()
