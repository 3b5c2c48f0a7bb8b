"""HTTP clients of the table service, the object store and the instance list.

``worker_http`` also uses ``HttpSession``, ``exchange`` and ``field``.
"""

import asyncio
import ipaddress
import json
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from functools import lru_cache
from io import BytesIO
from types import SimpleNamespace, TracebackType
from typing import Any, NamedTuple, TypeVar

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError
from mode import Service
from result import Err, Ok, Result
from yarl import URL

from hyssopweir.clock import Millis, extension_ms
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.fleet import ListedWorker, Worker
from hyssopweir.input_bounds import (
    MAX_ANSWER_DEPTH,
    MAX_WHOLE,
    InputError,
    parse_bounded_json,
)
from hyssopweir.settings import Address
from hyssopweir.silent_connections import (
    ConnectionChoice,
    ConnectionClosedError,
    Connector,
    SilentAddresses,
    connection_choice,
    refuse_other_connection,
)
from hyssopweir.table import Operation, Page, Put, Row, operation_to_dict

T = TypeVar("T")

CHUNK_BYTES = 65_536
# Most commands to workers and their replies are smaller.
SMALL_BODY_BYTES = 8_192
# Addresses of workers times the paths of their interface.
MAX_KNOWN_URLS = 4_096
MAX_REPLY_BYTES = 32 * 1_048_576
MAX_OBJECT_BYTES = 16 * 1_048_576
# Bounds an exchange whose reply arrives too slowly ever to complete.
MAX_EXCHANGE_MS: Millis = 30_000
# There are few distinct periodic reads; the bounds keep large one-time reads out of
# the cache.
MAX_CACHED_READS = 32
MAX_CACHED_BYTES = 256 * 1_024

OK_STATUS = 200
NO_CONTENT = 204
NOT_MODIFIED = 304
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
SERVER_ERROR = 500
UNAVAILABLE = 503


class HttpReply(NamedTuple):
    """Complete HTTP reply; ``tag`` is its entity tag, or empty if it has none.

    ``connection`` is the number of the connection that it arrived on.
    """

    status: int
    body: bytes
    tag: str = ""
    connection: int = 0


class ExchangeErrorKind(Enum):
    """Kind of failure of an HTTP exchange."""

    NOT_CONNECTED = "no connection could be opened"
    NO_LISTENER = "no process listens at the address"
    DISCONNECTED = "the required connection is closed"
    NO_ANSWER = "no complete reply"
    MALFORMED = "malformed HTTP reply"
    TOO_LARGE = "the reply is too large"


# Nothing of the request was sent.
UNSENT_KINDS = frozenset(
    {
        ExchangeErrorKind.NOT_CONNECTED,
        ExchangeErrorKind.NO_LISTENER,
        ExchangeErrorKind.DISCONNECTED,
    }
)


class ExchangeError(NamedTuple):
    """Failure of an HTTP exchange; ``status`` is 0 if no status was received."""

    kind: ExchangeErrorKind
    detail: str
    status: int = 0
    received_bytes: int = 0

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.detail}"


class ExchangeProgress:
    """Trace context; with ``sent_s`` set, bytes may have been sent since that time."""

    sent_s: float | None = None
    is_reused = False
    received_bytes = 0


class ExchangeLimit:
    """Time limit of an exchange that is extended when part of the reply arrives.

    It never exceeds ``MAX_EXCHANGE_MS`` after the start, but for the time for which
    this process stood still: a reply that arrived meanwhile is still to be read. At
    most once more ``timeout_ms`` is added for it. With ``late_ms``, a request that was
    sent may go on for that time, and ``on_late`` is called before.
    """

    def __init__(
        self,
        timeout_ms: Millis,
        idle_timeout_ms: Millis | None,
        late_ms: Millis,
        progress: ExchangeProgress,
        on_late: Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._timeout_ms = timeout_ms
        self._idle_timeout_ms = idle_timeout_ms
        self._late_ms = late_ms
        self._progress = progress
        self._on_late = on_late
        self._spare_ms = timeout_ms
        self._started_s = self._loop.time()
        self._latest_s = self._started_s + max(MAX_EXCHANGE_MS, timeout_ms) / 1_000
        self._timeout = asyncio.timeout(None)
        self._due_s = self._started_s
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> "ExchangeLimit":
        """Start the time limit."""
        await self._timeout.__aenter__()
        self._set_due(self._started_s + self._timeout_ms / 1_000)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the time limit; raise ``TimeoutError`` if it was exceeded."""
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(kind, exc, traceback)

    def _set_due(self, due_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._due_s = due_s
        self._timer = self._loop.call_at(due_s, self._handle_due)

    def _handle_due(self) -> None:
        now_s = self._loop.time()
        left_ms = extension_ms(int((now_s - self._due_s) * 1_000), self._spare_ms)
        if left_ms:
            self._spare_ms -= left_ms
        elif self._late_ms and self._progress.sent_s is not None:
            self._on_late()
            left_ms, self._late_ms = self._late_ms, 0
        if left_ms:
            self._set_due(now_s + left_ms / 1_000)
        else:
            self._timeout.reschedule(now_s)

    def extend(self) -> None:
        """Allow the idle time-out from now on, or nothing without an idle time-out."""
        if self._idle_timeout_ms is None or self._timeout.expired():
            return
        idle_limit_s = self._loop.time() + self._idle_timeout_ms / 1_000
        self._set_due(min(idle_limit_s, self._latest_s))


def new_session(
    connections: int, silent: SilentAddresses | None = None
) -> aiohttp.ClientSession:
    """Return a session without cookies that does not decompress bodies.

    Sessions with the same ``silent`` share what they know of silent connections.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_record_reused)
    trace.on_connection_create_start.append(refuse_other_connection)
    trace.on_connection_create_end.append(_record_created)
    trace.on_request_headers_sent.append(_record_sent)
    return aiohttp.ClientSession(
        connector=Connector(connections, silent or SilentAddresses()),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(),
        headers={"Accept-Encoding": "identity"},
        auto_decompress=False,
        trace_configs=[trace],
    )


async def _record_reused(_: Any, context: SimpleNamespace, __: Any) -> None:
    context.trace_request_ctx.is_reused = True


async def _record_created(_: Any, context: SimpleNamespace, __: Any) -> None:
    # In place of one that may have been silent.
    context.trace_request_ctx.is_reused = False


async def _record_sent(_: Any, context: SimpleNamespace, __: Any) -> None:
    context.trace_request_ctx.sent_s = asyncio.get_running_loop().time()


async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    address: tuple[str, int],
    path: str,
    timeout_ms: Millis,
    body: bytes | None = None,
    query: Mapping[str, str] | None = None,
    limit: int = MAX_REPLY_BYTES,
    headers: Mapping[str, str] | None = None,
    idle_timeout_ms: Millis | None = None,
    connection: int | None = None,
    late_ms: Millis = 0,
) -> Result[HttpReply, ExchangeError]:
    """Send a request and read the complete reply of at most ``limit`` bytes.

    With ``idle_timeout_ms``, ``timeout_ms`` limits only the time until the reply
    begins, and ``idle_timeout_ms`` each wait for the next part of it. With
    ``connection``, the request is sent on the connection of that number or not at all.
    A reply that is late by up to ``late_ms`` is still returned; meanwhile the address
    counts as silent.
    """
    progress = ExchangeProgress()
    choice = ConnectionChoice(connection)
    token = connection_choice.set(choice)
    time_limit = ExchangeLimit(
        timeout_ms,
        idle_timeout_ms,
        late_ms,
        progress,
        lambda: _record_timeout(session, address, progress),
    )
    try:
        url = _build_url(*address, path)
        if query is not None:
            url = url.with_query(query)
        is_small = body is not None and len(body) <= SMALL_BODY_BYTES
        async with (
            time_limit,
            session.request(
                method,
                url,
                # aiohttp sends a stream in chunks, but bytes in a single write.
                data=body if body is None or is_small else BytesIO(body),
                headers=headers,
                allow_redirects=False,
                trace_request_ctx=progress,
            ) as response,
        ):
            time_limit.extend()
            reply = await _read_reply(response, limit, progress, time_limit)
            if isinstance(reply, Err):
                return reply
            return Ok(reply.ok_value._replace(connection=choice.used))
    except (aiohttp.ClientResponseError, HttpProcessingError) as exc:
        return Err(ExchangeError(ExchangeErrorKind.MALFORMED, _describe(exc)))
    # A port out of range raises OverflowError.
    except (aiohttp.ClientError, OSError, ValueError, OverflowError, EOFError) as exc:
        detail = _describe(exc)
        if isinstance(exc, TimeoutError):
            _record_timeout(session, address, progress)
            detail = _describe_timeout(progress)
        kind, received_bytes = _kind_of(exc, progress), progress.received_bytes
        return Err(ExchangeError(kind, detail, received_bytes=received_bytes))
    finally:
        connection_choice.reset(token)


def _record_timeout(
    session: aiohttp.ClientSession, address: tuple[str, int], progress: ExchangeProgress
) -> None:
    connector = session.connector
    if isinstance(connector, Connector) and progress.sent_s is not None:
        connector.silent.record(address, progress.sent_s)


def _describe_timeout(progress: ExchangeProgress) -> str:
    if progress.sent_s is None:
        return "timeout while connecting"
    return f"timeout on a {'reused' if progress.is_reused else 'new'} connection"


# Building a URL takes about as long as encoding a command.
@lru_cache(MAX_KNOWN_URLS)
def _build_url(host: str, port: int, path: str) -> URL:
    return URL.build(scheme="http", host=host, port=port, path=path)


def _kind_of(exc: Exception, progress: ExchangeProgress) -> ExchangeErrorKind:
    if progress.sent_s is not None:
        return ExchangeErrorKind.NO_ANSWER
    if isinstance(exc, ConnectionClosedError):
        return ExchangeErrorKind.DISCONNECTED
    cause = exc.os_error if isinstance(exc, aiohttp.ClientConnectorError) else exc
    if isinstance(cause, ConnectionRefusedError):
        return ExchangeErrorKind.NO_LISTENER
    return ExchangeErrorKind.NOT_CONNECTED


async def _read_reply(
    response: aiohttp.ClientResponse,
    limit: int,
    progress: ExchangeProgress,
    time_limit: ExchangeLimit,
) -> Result[HttpReply, ExchangeError]:
    tag = response.headers.get("ETag", "")
    length = response.content_length
    if length is not None and length <= min(limit, SMALL_BODY_BYTES):
        # Few packets: the time limit need not be extended for each part.
        return Ok(HttpReply(response.status, await response.read(), tag))
    body = bytearray()
    if (length or 0) <= limit:
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            body += chunk
            progress.received_bytes = len(body)
            time_limit.extend()
            if len(body) > limit:
                break
        else:
            return Ok(HttpReply(response.status, bytes(body), tag))
    response.close()
    detail = f"more than {limit} bytes"
    return Err(ExchangeError(ExchangeErrorKind.TOO_LARGE, detail, response.status))


def _describe(exc: Exception) -> str:
    return str(exc) or type(exc).__name__


def encode_json(data: Any) -> Result[bytes, str]:
    """Encode ``data`` as JSON; the error gives the reason of a failure."""
    try:
        return Ok(json.dumps(data, allow_nan=False).encode())
    except (TypeError, ValueError, RecursionError) as exc:
        return Err(f"can't be encoded as JSON: {exc}")


def parse_json(body: bytes) -> Any:
    """Return the JSON value in ``body``; raise ``InputError`` if it is invalid."""
    return parse_bounded_json(body, MAX_ANSWER_DEPTH)


def require_field(data: Any, name: str, *kinds: type) -> Any:
    """Return a field whose type is one of ``kinds``, else raise ``InputError``.

    A bool is not accepted as an int, nor an int that a float can't hold.
    """
    if not isinstance(data, dict) or name not in data:
        raise InputError(f"{name} is missing")
    value = data[name]
    if type(value) not in kinds:
        raise InputError(f"{name} has the wrong type")
    if type(value) is int and abs(value) > MAX_WHOLE:
        raise InputError(f"{name} is out of range")
    return value


class HttpSession(Service):
    """HTTP client of the platform with one timeout for all calls."""

    def __init__(self, address: Address, timeout_ms: Millis) -> None:
        super().__init__()
        self._address = (address["host"], address["port"])
        self._timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def on_stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        query: Mapping[str, str] | None = None,
        limit: int = MAX_REPLY_BYTES,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, ExchangeError]:
        """Send a request to the platform and read the complete reply."""
        # aiohttp can create a session only while the event loop runs.
        if self._session is None:
            self._session = new_session(connections=0)
        return await exchange(
            self._session,
            method,
            self._address,
            path,
            self._timeout_ms,
            body,
            query,
            limit,
            headers,
        )


class HttpTableService:
    """Implement ``TableService`` over HTTP and JSON.

    Shards, configuration and quotas are read twice a second and rarely change, so reads
    are conditional on the entity tag of the latest reply, if it had one.
    """

    def __init__(self, http: HttpSession) -> None:
        self._http = http
        self._cache: OrderedDict[tuple[str, ...], tuple[str, Any]] = OrderedDict()

    async def read(self, key: str) -> Result[Row | None, Failure]:
        """Return the row ``key``, or None if it does not exist."""
        return await self._query(
            "/v1/table/read", {"key": key}, lambda reply: _parse_row_reply(reply, key)
        )

    async def scan(
        self,
        prefix: str,
        after: str = "",
        limit: int = 1_000,
    ) -> Result[Page, Failure]:
        """Return rows whose key starts with ``prefix``, in key order."""
        return await self._query(
            "/v1/table/scan",
            {"prefix": prefix, "after": after, "limit": str(limit)},
            lambda reply: parse_page_reply(reply, prefix, after, limit),
        )

    async def commit(
        self,
        operations: Sequence[Operation],
        transaction: str,
    ) -> Result[dict[str, int], Failure]:
        """Apply all operations atomically and return the new versions by key."""
        body = encode_json(
            {
                "operations": [operation_to_dict(op) for op in operations],
                "transaction": transaction,
            }
        )
        if isinstance(body, Err):
            return Err(not_run(Code.STORE_JUNK, body.err_value))
        reply = await self._http.send("POST", "/v1/table/commit", body.ok_value)
        if isinstance(reply, Err):
            return Err(_write_failure(reply.err_value))
        try:
            return _parse_commit_reply(reply.ok_value, operations)
        except ValueError as exc:
            # The write may have taken effect; this code makes ``TableStore`` read back.
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, f"unreadable reply: {exc}"))

    async def _query(
        self,
        path: str,
        query: Mapping[str, str],
        parse: Callable[[HttpReply], T],
    ) -> Result[T, Failure]:
        cache_key = (path, *query.values())
        tag, cached = self._cache.get(cache_key, ("", None))
        headers = {"If-None-Match": tag} if tag else None
        result = await self._http.send("GET", path, query=query, headers=headers)
        if tag and isinstance(result, Ok) and result.ok_value.status == NOT_MODIFIED:
            value: T = cached
            return Ok(value)
        reply = _check_read_reply(result)
        if isinstance(reply, Err):
            return reply
        try:
            value = parse(reply.ok_value)
        except ValueError as exc:
            return Err(_malformed_reply(exc))
        self._cache_reply(cache_key, reply.ok_value, value)
        return Ok(value)

    def _cache_reply(
        self, cache_key: tuple[str, ...], reply: HttpReply, value: Any
    ) -> None:
        self._cache.pop(cache_key, None)
        if not reply.tag or len(reply.body) > MAX_CACHED_BYTES:
            return
        self._cache[cache_key] = (reply.tag, value)
        if len(self._cache) > MAX_CACHED_READS:
            self._cache.popitem(last=False)


class HttpObjectStore:
    """Implement ``ObjectStore`` over HTTP, with raw bytes as bodies.

    The key is sent in the query string, where it can't alter the path.
    """

    def __init__(self, http: HttpSession) -> None:
        self._http = http

    async def put(self, key: str, body: bytes) -> Result[None, Failure]:
        """Write an object; repeating a write with the same key and body is allowed."""
        result = await self._http.send("PUT", "/v1/object", body, {"key": key})
        if isinstance(result, Err):
            return Err(_write_failure(result.err_value))
        reply = result.ok_value
        if reply.status == NO_CONTENT:
            return Ok(None)
        if reply.status == UNAVAILABLE:
            return Err(_unavailable("the object store answered 503"))
        detail = f"the object store answered {reply.status}"
        return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, detail))

    async def get(self, key: str) -> Result[bytes | None, Failure]:
        """Return an object, or None if it does not exist."""
        reply = _check_read_reply(
            await self._http.send(
                "GET", "/v1/object", query={"key": key}, limit=MAX_OBJECT_BYTES
            ),
            (OK_STATUS, NOT_FOUND),
        )
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status == OK_STATUS:
            return Ok(reply.ok_value.body)
        try:
            # A 404 from another server must not be taken for a missing object.
            if require_field(parse_json(reply.ok_value.body), "exists", bool):
                raise ValueError("status 404 for an object that exists")
        except ValueError as exc:
            return Err(_malformed_reply(exc))
        return Ok(None)


class HttpInstanceList:
    """Implement ``InstanceList`` over HTTP and JSON.

    The list is read twice a second and rarely changes, so the read is conditional on
    its entity tag, and an unchanged list is not sent again.
    """

    def __init__(self, http: HttpSession) -> None:
        self._http = http
        self._tag = ""
        self._listings: list[ListedWorker] = []

    async def read(self) -> Result[list[ListedWorker], Failure]:
        """Return all listed workers, or ``LIST_UNAVAILABLE``."""
        headers = {"If-None-Match": self._tag} if self._tag else None
        result = await self._http.send("GET", "/v1/instances", headers=headers)
        if (
            self._tag
            and isinstance(result, Ok)
            and result.ok_value.status == NOT_MODIFIED
        ):
            return Ok(list(self._listings))
        reply = _check_read_reply(result)
        if isinstance(reply, Err):
            return Err(not_run(Code.LIST_UNAVAILABLE, reply.err_value.detail))
        try:
            self._listings = parse_listings(reply.ok_value)
            self._tag = reply.ok_value.tag
            return Ok(list(self._listings))
        except ValueError as exc:
            return Err(not_run(Code.LIST_UNAVAILABLE, f"unreadable list: {exc}"))


def listing_to_dict(listing: ListedWorker) -> dict[str, Any]:
    """Return the JSON object for one entry of the instance list."""
    return {**listing.worker._asdict(), "leaving": listing.leaving}


def _check_read_reply(
    result: Result[HttpReply, ExchangeError],
    accepted: tuple[int, ...] = (OK_STATUS,),
) -> Result[HttpReply, Failure]:
    if isinstance(result, Err):
        return Err(_read_failure(result.err_value))
    reply = result.ok_value
    if reply.status in accepted:
        return Ok(reply)
    detail = f"the platform answered {reply.status}"
    if reply.status >= SERVER_ERROR:
        return Err(_unavailable(detail))
    return Err(not_run(Code.STORE_JUNK, detail))


def _read_failure(error: ExchangeError) -> Failure:
    if error.kind in (ExchangeErrorKind.MALFORMED, ExchangeErrorKind.TOO_LARGE):
        return not_run(Code.STORE_JUNK, str(error))
    return _unavailable(str(error))


def _write_failure(error: ExchangeError) -> Failure:
    if error.kind in UNSENT_KINDS:
        return _unavailable(str(error))
    return unknown(Code.STORE_OUTCOME_UNKNOWN, str(error))


def _unavailable(detail: str) -> Failure:
    return not_run(Code.STORE_UNAVAILABLE, detail)


def _malformed_reply(exc: ValueError) -> Failure:
    return not_run(Code.STORE_JUNK, f"unreadable reply: {exc}")


def _parse_row_reply(reply: HttpReply, key: str) -> Row | None:
    data = parse_json(reply.body)
    row_data = require_field(data, "row", dict, type(None))
    if row_data is None:
        return None
    row = _parse_row(row_data)
    if row.key != key:
        raise ValueError("row has a key that was not requested")
    return row


def parse_page_reply(reply: HttpReply, prefix: str, after: str, limit: int) -> Page:
    """Parse a page; keys that do not increase would make a scan endless."""
    data = parse_json(reply.body)
    rows = [_parse_row(row) for row in require_field(data, "rows", list)]
    more = require_field(data, "more", bool)
    if more and not rows:
        raise ValueError("empty page that is marked as incomplete")
    if len(rows) > limit:
        raise ValueError("more rows than requested")
    for row in rows:
        if not row.key.startswith(prefix) or row.key <= after:
            raise ValueError("row is out of order or outside of the scan")
        after = row.key
    return Page(rows, more)


def _parse_row(data: Any) -> Row:
    version = require_field(data, "version", int)
    if version < 1:
        raise ValueError("version is not positive")
    return Row(
        require_field(data, "key", str),
        version,
        require_field(data, "transaction", str),
        require_field(data, "value", dict),
    )


def _parse_commit_reply(
    reply: HttpReply,
    operations: Sequence[Operation],
) -> Result[dict[str, int], Failure]:
    if reply.status == UNAVAILABLE:
        return Err(_unavailable("the table service answered 503"))
    if reply.status not in (OK_STATUS, BAD_REQUEST, CONFLICT):
        raise ValueError(f"the table service answered {reply.status}")
    data = parse_json(reply.body)
    if reply.status == CONFLICT:
        return Err(not_run(Code.STORE_CONFLICT, require_field(data, "conflict", str)))
    if reply.status == BAD_REQUEST:
        return Err(not_run(Code.STORE_JUNK, require_field(data, "bad_request", str)))
    versions = require_field(data, "versions", dict)
    if set(versions) != {op.key for op in operations}:
        raise ValueError("versions do not match the committed keys")
    written = {op.key for op in operations if isinstance(op, Put)}
    for key in versions:
        if require_field(versions, key, int) < (1 if key in written else 0):
            raise ValueError("version is out of range")
    return Ok(versions)


def parse_listings(reply: HttpReply) -> list[ListedWorker]:
    """Parse the list; one invalid entry rejects the whole list.

    Without its entry, a worker would appear to have stopped.
    """
    rows = require_field(parse_json(reply.body), "workers", list)
    listings = [
        ListedWorker(_parse_worker(data), leaving=require_field(data, "leaving", bool))
        for data in rows
    ]
    if len({listing.worker.worker_id for listing in listings}) < len(listings):
        raise ValueError("duplicate worker in the list")
    return listings


def _parse_worker(data: Any) -> Worker:
    worker = Worker(
        require_field(data, "worker_id", str),
        str(ipaddress.ip_address(require_field(data, "host", str))),
        require_field(data, "port", int),
        require_field(data, "data_centre", str),
        require_field(data, "rack", str),
        float(require_field(data, "cores", int, float)),
        float(require_field(data, "memory_gb", int, float)),
        require_field(data, "accelerators", int),
        require_field(data, "slots", int),
        require_field(data, "connections", int),
    )
    names = (worker.worker_id, worker.data_centre, worker.rack)
    if not all(names) or not 0 < worker.port <= 65_535:
        raise ValueError("empty name or invalid port")
    if not (worker.cores >= 0 and worker.memory_gb >= 0):
        raise ValueError("negative capacity")
    if min(worker.accelerators, worker.slots, worker.connections) < 0:
        raise ValueError("negative count")
    return worker
