"""HTTP handlers of the stand-in platform: table, object store and instance list."""

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

MAX_SCAN_ROWS = 1_000
MAX_PAGE_BYTES = 4 * 1_048_576


class InjectedFaults:
    """Faults injected into one service of the platform."""

    def __init__(self) -> None:
        self.down = False
        self.writes_down = False
        self.slow_ms: Millis = 0
        self.lost_reply_share = 0.0

    def set_faults(self, data: dict[str, Any]) -> None:
        """Set the named faults; raise ``ValueError`` on a bad name or value."""
        for name, value in data.items():
            if name not in vars(self):
                raise ValueError(f"no fault {name}")
            extra_types = (int, float) if name == "lost_reply_share" else ()
            require_field(data, name, type(getattr(self, name)), *extra_types)
            if value < 0:
                raise ValueError(f"{name} is negative")
        vars(self).update(data)


class DelayedInstanceList:
    """Instance list that publishes changes of the fleet in order, after a delay."""

    def __init__(self, clock: Clock, lag_ms: Millis) -> None:
        self.lag_ms = lag_ms
        self._clock = clock
        # The change counter restarts at 0 with the process; the random part keeps
        # entity tags unique across restarts.
        self._list_id = uuid4().hex
        self._change_count = 0
        self._published: dict[str, ListedWorker] = {}
        self._pending: deque[tuple[Millis, str, ListedWorker | None]] = deque()

    def publish(self, listing: ListedWorker) -> None:
        """Publish a worker without delay."""
        self._change_count += 1
        self._published[listing.worker.worker_id] = listing

    def publish_later(self, worker_id: str, listing: ListedWorker | None) -> None:
        """Publish a worker, or its removal if ``listing`` is None, after the delay."""
        due_ms = self._clock.now_ms() + self.lag_ms
        if self._pending:
            due_ms = max(due_ms, self._pending[-1][0])
        self._pending.append((due_ms, worker_id, listing))

    def entity_tag(self) -> str:
        """Return the entity tag of the content that the last read returned."""
        return f'"{self._list_id}-{self._change_count}"'

    def read(self) -> list[ListedWorker]:
        """Apply the changes that are due and return the list."""
        while self._pending and self._pending[0][0] <= self._clock.now_ms():
            _, worker_id, listing = self._pending.popleft()
            self._change_count += 1
            if listing is None:
                self._published.pop(worker_id, None)
            else:
                self._published[worker_id] = listing
        return list(self._published.values())


class StandinPlatform:
    """Serve the table service, the object store and the instance list over HTTP."""

    def __init__(self, clock: Clock, lag_ms: Millis, seed: int) -> None:
        self.table = StandinTable()
        self.objects: dict[str, bytes] = {}
        self.instances = DelayedInstanceList(clock, lag_ms)
        self.faults = {name: InjectedFaults() for name in ("table", "objects", "list")}
        self._clock = clock
        self._random = random.Random(seed)

    def make_app(self) -> web.Application:
        """Return the application with the routes of all three services."""
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
        tag = _entity_tag([] if row is None else [row])
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=NOT_MODIFIED, headers={"ETag": tag})
        row_data = row._asdict() if row is not None else None
        return web.json_response({"row": row_data}, headers={"ETag": tag})

    async def _scan(self, request: web.Request) -> web.Response:
        try:
            prefix, after = request.query["prefix"], request.query["after"]
            limit = min(int(request.query["limit"]), MAX_SCAN_ROWS)
        except (KeyError, ValueError) as exc:
            return bad_request(exc)
        rows = self.table.scan(prefix, after, limit)
        tag = _entity_tag(rows)
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=NOT_MODIFIED, headers={"ETag": tag})
        return web.Response(
            text=_encode_page(rows, limit),
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
        tag = self.instances.entity_tag()
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=NOT_MODIFIED, headers={"ETag": tag})
        rows = [listing_to_dict(listing) for listing in listings]
        return web.json_response({"workers": rows}, headers={"ETag": tag})


def _entity_tag(rows: list[Row]) -> str:
    """Return the entity tag of rows; a version identifies one content of one row."""
    versions = ",".join(str(row.version) for row in rows)
    return f'"{blake2b(versions.encode(), digest_size=8).hexdigest()}"'


def _encode_page(rows: list[Row], limit: int) -> str:
    """Encode a page; it ends with the row that takes it past ``MAX_PAGE_BYTES``."""
    encoded_rows: list[str] = []
    size = 0
    for row in rows:
        encoded_rows.append(json.dumps(row._asdict()))
        size += len(encoded_rows[-1])
        if size > MAX_PAGE_BYTES:
            break
    has_more = len(encoded_rows) < len(rows) or len(rows) == limit
    return f'{{"rows": [{", ".join(encoded_rows)}], "more": {json.dumps(has_more)}}}'


def bad_request(reason: object) -> web.Response:
    """Return the response to a malformed request."""
    return web.json_response({"bad_request": str(reason)}, status=BAD_REQUEST)


def abort_reply(request: web.Request) -> None:
    """Reset the connection before the reply is sent."""
    if request.transport is not None:
        request.transport.abort()
