"""HTTP listeners whose connections share the client budget of their instance."""

import asyncio
import json
import socket
import traceback
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import ERROR

from hyssopweir.client_limits import (
    CHUNKED_BYTES,
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    UNREAD_ANSWER_BYTES,
    ClientBudget,
)
from hyssopweir.codes import Code, Failure, failure_to_dict, not_run

KEEP_ALIVE_S = 30.0
RETRY_AFTER_S = "1"
# aiohttp keeps at most twice as many bytes, and a chunk for each 16 of them, unread.
READ_BUFFER_BYTES = 16 * 1_024
READ_BYTES = 32 * 1_024
MAX_HEADERS = 64
# Time that a refused client has for the rest of its body.
LINGERING_S = 5.0
SHUTDOWN_TIMEOUT_S = 1.0
LISTEN_BACKLOG = 256
# The event loop accepts this many connections before it serves one.
ACCEPT_BATCH = 16

STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.HEAD_TOO_LARGE: 431,
    Code.REQUEST_TIMEOUT: 408,
}
DEFAULT_STATUS = 503

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class RequestDroppedError(Exception):
    """The body of a request will not be read to its end."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


class ClientConnection(web.RequestHandler):
    """Connection that reports to the client budget what it holds."""

    __slots__ = (
        "held_bytes",
        "_budget",
        "_is_operator",
        "_create_request",
        "_handle",
        "_payload",
        "_is_chunked",
        "_is_serving",
        "_unhandled_bytes",
        "_paused_at_bytes",
        "_has_small_chunks",
        "_is_paced",
    )

    def __init__(
        self, manager: web.Server, budget: ClientBudget, is_operator: bool
    ) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=KEEP_ALIVE_S,
            max_headers=MAX_HEADERS,
            lingering_time=LINGERING_S,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self.held_bytes = 0
        self._budget = budget
        self._is_operator = is_operator
        self._create_request = manager.request_factory
        self._handle = manager.request_handler
        self._request_factory = self._begin_request
        self._request_handler = self._serve_request
        self._payload: StreamReader = EMPTY_PAYLOAD
        self._is_chunked = False
        self._is_serving = False
        self._unhandled_bytes = 0
        self._paused_at_bytes = 0
        self._has_small_chunks = False
        self._is_paced = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the budget, or refuse it."""
        super().connection_made(transport)
        assert self.transport is not None
        # The default buffer of 256 KB for each read leaves holes in the heap.
        self.transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self.transport.set_write_buffer_limits(high=SEND_BUFFER_BYTES)
        if not self._budget.open(self, self._is_operator):
            detail = "no connection is left for another client"
            self._close_with(not_run(Code.TOO_MANY_CLIENTS, detail))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the budget."""
        self._budget.close(self)
        super().connection_lost(exc)
        self._payload = EMPTY_PAYLOAD

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and count them as a head or as a body."""
        was_complete = self._payload.is_eof()
        super().data_received(data)
        if self._force_close:
            return
        if not was_complete:
            self._count_body()
        elif data and (self._is_serving or len(self._messages) != 1):
            self._count_head(len(data))

    def _count_body(self) -> None:
        if self._payload.is_eof():
            if self._is_serving:
                self._budget.serve(self)
            else:
                self._budget.rest(self)
        elif self._messages:
            # The parser reports a malformed chunk as another request.
            self._payload.set_exception(web.RequestPayloadError("malformed body"))
        self._hold_body()

    def _hold_body(self) -> None:
        if self._is_serving:
            overhead = CHUNKED_BYTES if self._is_chunked else 0
            self._budget.hold(self, self._payload.total_bytes + overhead)

    def _count_head(self, size: int) -> None:
        if not self._unhandled_bytes and not self._is_serving:
            self._budget.begin(self, self._budget.limits.head_ms)
        self._unhandled_bytes += size
        if self._unhandled_bytes > self._budget.limits.head_bytes:
            self._budget.dropped["head too large"] += 1
            if self._is_serving:
                self._abort()
            else:
                self._close_with(self._head_failure())

    def _head_failure(self) -> Failure:
        limit = self._budget.limits.head_bytes
        return not_run(Code.HEAD_TOO_LARGE, f"the head exceeds {limit} bytes")

    def _begin_request(self, message: Any, payload: StreamReader, *rest: Any) -> Any:
        if message is ERROR:
            self._pause_transport_reading()
        self._payload = payload
        self._is_chunked = message.chunked
        self._is_serving = True
        self._paused_at_bytes = 0
        if not self._messages:
            self._unhandled_bytes = 0
        if payload.is_eof():
            self._budget.serve(self)
        else:
            self._budget.begin(self, self._budget.limits.body_ms)
        if payload is not EMPTY_PAYLOAD:
            self._hold_body()
        return self._create_request(message, payload, *rest)

    async def _serve_request(self, req: web.BaseRequest) -> web.StreamResponse:
        try:
            size = sum(len(name) + len(value) for name, value in req.raw_headers)
            if size + len(req.raw_path) > self._budget.limits.head_bytes:
                self._budget.dropped["head too large"] += 1
                return failure_response(self._head_failure())
            return await self._handle(req)
        except RequestDroppedError as exc:
            _release_body(exc)
            return failure_response(exc.failure)
        except web.RequestPayloadError as exc:
            _release_body(exc)
            return failure_response(not_run(Code.BAD_REQUEST, "malformed body"))
        except ConnectionError as exc:
            _release_body(exc)
            raise
        finally:
            self._is_serving = False
            if self._payload.is_eof():
                self._budget.rest(self)
            else:
                self._budget.hold(self, 0)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed request without a traceback in the log."""
        if status != HTTPStatus.BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        if isinstance(exc, LineTooLong) or _has_too_many_headers(exc):
            self._budget.dropped["head too large"] += 1
            return failure_response(self._head_failure())
        self._budget.dropped["malformed"] += 1
        return failure_response(not_run(Code.BAD_REQUEST, "malformed HTTP"))

    def pause_reading(self) -> None:
        """Stop reading until the handler has read what is buffered."""
        super().pause_reading()
        if self._is_serving:
            read = self._payload.total_bytes
            self._has_small_chunks = read - self._paused_at_bytes < READ_BUFFER_BYTES
            self._paused_at_bytes = read

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on reading; a body of small chunks waits for its turn."""
        if self._is_paced and resume_parser:
            return
        if self._has_small_chunks and self._reading_paused and resume_parser:
            self._is_paced = True
            self._budget.pacer.add(self)
            return
        super().resume_reading(resume_parser)

    def resume_parsing(self) -> None:
        """Go on parsing small chunks, unless the connection has closed."""
        self._is_paced = self._has_small_chunks = False
        if self.transport is not None and self._reading_paused:
            super().resume_reading()

    def pause_writing(self) -> None:
        """Count an answer that the client does not read as unfinished."""
        super().pause_writing()
        self._budget.begin(self, self._budget.limits.body_ms)
        self._budget.hold(self, UNREAD_ANSWER_BYTES)

    def resume_writing(self) -> None:
        """Go on writing an answer."""
        super().resume_writing()
        if self._is_serving:
            self._budget.serve(self)
        else:
            self._budget.rest(self)

    def drop(self, failure: Failure) -> None:
        """End the connection; a request whose body is being read is refused."""
        if self.transport is None:
            return
        if self._is_serving and not self._payload.is_eof() and not self._paused:
            self._lingering_time = 0.0
            self._pause_transport_reading()
            self._payload.set_exception(RequestDroppedError(failure))
        elif failure.code is Code.REQUEST_TIMEOUT and self._unhandled_bytes:
            self._close_with(failure)
        else:
            self._abort()

    def _close_with(self, failure: Failure) -> None:
        transport = self.transport
        if transport is not None:
            transport.write(_raw_response(failure))
        self.force_close()

    def _abort(self) -> None:
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()


def _release_body(exc: Exception) -> None:
    # The payload refers to the exception, whose frames hold what was read of the body.
    # Such a cycle would stay until the next full garbage collection.
    traceback.clear_frames(exc.__traceback__)


def _has_too_many_headers(exc: BaseException | None) -> bool:
    return isinstance(exc, BadHttpMessage) and exc.message.startswith("Too many header")


def failure_response(failure: Failure) -> web.Response:
    """Return the refusal of a request, after which its connection is closed."""
    status = STATUS_BY_CODE.get(failure.code, DEFAULT_STATUS)
    response = web.Response(
        body=json.dumps(failure_to_dict(failure)).encode(),
        status=status,
        content_type="application/json",
    )
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        response.headers["Retry-After"] = RETRY_AFTER_S
    response.force_close()
    return response


def _raw_response(failure: Failure) -> bytes:
    status = HTTPStatus(STATUS_BY_CODE.get(failure.code, DEFAULT_STATUS))
    body = json.dumps(failure_to_dict(failure)).encode()
    head = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        head.append(f"Retry-After: {RETRY_AFTER_S}")
    return "\r\n".join([*head, "", ""]).encode() + body


class ClientSite(web.SockSite):
    """Listening socket whose connections share a client budget."""

    __slots__ = ("_budget", "_is_operator")

    def __init__(
        self,
        runner: web.BaseRunner,
        sock: socket.socket,
        budget: ClientBudget,
        is_operator: bool,
    ) -> None:
        super().__init__(runner, sock, backlog=ACCEPT_BATCH)
        self._budget = budget
        self._is_operator = is_operator

    async def start(self) -> None:
        """Start to accept connections."""
        await web.BaseSite.start(self)
        manager = self._runner.server
        assert manager is not None
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(manager, self._budget, self._is_operator),
            sock=self._sock,
            backlog=self._backlog,
        )
        # The number of waiting connections does not depend on the batch.
        self._sock.listen(LISTEN_BACKLOG)


async def start_site(
    runner: web.BaseRunner,
    address: tuple[str, int],
    budget: ClientBudget,
    is_operator: bool = False,
) -> None:
    """Accept connections at an address until ``cleanup`` of the runner."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit the sizes of their buffers.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setblocking(False)
        sock.bind(address)
        await ClientSite(runner, sock, budget, is_operator).start()
    except BaseException:
        sock.close()
        raise


async def serve_http(
    handler: Handler,
    address: tuple[str, int],
    budget: ClientBudget | None = None,
    is_operator: bool = False,
) -> web.ServerRunner:
    """Serve a handler at an address until ``cleanup`` of the returned runner.

    Without a budget, clients have only the limits of aiohttp.
    """
    server = web.Server(handler, access_log=None, keepalive_timeout=KEEP_ALIVE_S)
    runner = web.ServerRunner(
        server, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    if budget is None:
        site = web.TCPSite(runner, *address, backlog=LISTEN_BACKLOG, reuse_address=True)
        await site.start()
    else:
        await start_site(runner, address, budget, is_operator)
    return runner
