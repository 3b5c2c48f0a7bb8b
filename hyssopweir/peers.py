"""WebSocket links between entry instances: multiplexed calls and notifications."""

import asyncio
import itertools
import logging
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any, NamedTuple, Protocol, TypeVar

from mode import Service
from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidMessage

from hyssopweir.client_limits import ClientBudget
from hyssopweir.clock import Clock, HybridTimestamp, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.contracts import SessionRow
from hyssopweir.events import Event, EventLog
from hyssopweir.loops import run_forever, run_guarded
from hyssopweir.messages import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Hello,
    Notification,
    encode_message,
    parse_message,
)
from hyssopweir.peer_connections import PeerConnection, limit_connections
from hyssopweir.peer_link import PeerLink
from hyssopweir.settings import Address

T = TypeVar("T")
Params = dict[str, Any]
Handler = Callable[[Params, Millis], Awaitable[Result[Params, Failure]]]
NotificationHandler = Callable[[str, Params], None]


class PeerNetwork(Protocol):
    """Interface for calls and notifications to other entry instances, by session id."""

    def register(self, method: str, handler: Handler) -> None:
        """Register the handler of ``method``; it gets the local expiry time in ms."""
        ...

    def on_notification(self, topic: str, handler: NotificationHandler) -> None:
        """Add a handler for ``topic``, which is called with the sender's session."""
        ...

    async def call(
        self,
        session: str,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Call a peer and return its reply.

        ``PEER_UNREACHABLE`` (outcome ``NOT_RUN``) means that nothing was sent,
        ``PEER_LOST`` or ``DEADLINE_EXCEEDED`` that the peer may have run the call.
        """
        ...

    def notify(self, session: str, topic: str, params: Params) -> None:
        """Send a notification if the peer is connected; delivery is not guaranteed."""
        ...

    def broadcast(self, topic: str, params: Params) -> None:
        """Send a notification to all connected peers."""
        ...

    def connected(self, session: str) -> bool:
        """Return whether a link to the peer is open."""
        ...


# Peer addresses come only from the newest instance list, so it is checked often.
RECONCILE_INTERVAL_MS: Millis = 250
HANDSHAKE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
# Keepalive on eight links, one ping and pong per 5 s, is far below the budget of
# 2 KB/s per daemon.
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 10.0
BACKOFF_BASE_MS: Millis = 100
BACKOFF_LIMIT_MS: Millis = 2_000
# WebSocket close codes for applications start at 4000; the result code is added.
CLOSE_CODE_BASE = 4_000
MAX_CLOSE_REASON_BYTES = 120

# The library logs plain text with tracebacks; events report the same errors.
websockets_logger = logging.getLogger("hyssopweir.websockets")
websockets_logger.addHandler(logging.NullHandler())
websockets_logger.propagate = False

CONNECTION_OPTIONS: dict[str, Any] = {
    "max_size": MAX_FRAME_BYTES,
    "compression": None,
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "open_timeout": HANDSHAKE_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "logger": websockets_logger,
}


class LinkEndpoints(NamedTuple):
    """Identify an outgoing link by its two sessions and the address of the peer."""

    own_session: str
    session: str
    host: str
    port: int

    @property
    def uri(self) -> str:
        """Return the WebSocket URI, with an IPv6 host in brackets."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"ws://{host}:{self.port}/"


class PeerLinks(Service):
    """Service that connects this instance to every other live instance.

    Two instances share two connections; each sends its calls and notifications on the
    one that it opened. ``session`` returns the session of this instance and ``peers``
    the live sessions by id.
    """

    def __init__(
        self,
        address: Address,
        session: Callable[[], str],
        peers: Callable[[], Mapping[str, SessionRow]],
        clock: Clock,
        log: EventLog,
        budget: ClientBudget | None = None,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.events = log
        self.port = address["port"]
        self.late_replies = 0
        self.dropped_notifications = 0
        self._host = address["host"]
        self._session = session
        self._peers = peers
        self._handlers: dict[str, Handler] = {}
        self._notification_handlers: dict[str, list[NotificationHandler]] = {}
        self._call_ids = itertools.count(1)
        self._random = random.Random()
        self._budget = budget
        self._server: Server | None = None
        self._link_tasks: dict[LinkEndpoints, asyncio.Future[Any]] = {}
        self._links: dict[LinkEndpoints, PeerLink] = {}
        self._background: set[asyncio.Task[Any]] = set()

    async def on_start(self) -> None:
        """Start to listen, and set ``port`` to the port in use."""
        connection = limit_connections(self._budget) if self._budget else None
        self._server = await serve(
            self._accept,
            self._host,
            self.port,
            # Any factory is accepted, although the type says otherwise.
            create_connection=connection,  # type: ignore[arg-type]
            **CONNECTION_OPTIONS,
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]
        self.add_future(
            run_forever(
                self,
                RECONCILE_INTERVAL_MS,
                self._reconcile_links,
                self.clock,
                self.events,
            )
        )

    async def on_stop(self) -> None:
        """Close all links and cancel the calls that are being handled."""
        if self._server is not None:
            self._server.close()
        for task in (*self._link_tasks.values(), *self._background):
            task.cancel()
        if self._server is not None:
            await self._server.wait_closed()

    def register(self, method: str, handler: Handler) -> None:
        """Register the handler of ``method``; cancelling the call cancels its task."""
        self._handlers[method] = handler

    def on_notification(self, topic: str, handler: NotificationHandler) -> None:
        """Add a handler for ``topic``, which is called with the sender's session."""
        self._notification_handlers.setdefault(topic, []).append(handler)

    async def call(
        self,
        session: str,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Call a peer and return its reply; see ``PeerNetwork.call``."""
        link = self._find_open_link(session)
        if link is None:
            return Err(not_run(Code.PEER_UNREACHABLE, "no link to the peer"))
        return await link.call(method, params, expires_ms)

    def notify(self, session: str, topic: str, params: Params) -> None:
        """Send a notification if the peer is connected; delivery is not guaranteed."""
        link = self._find_open_link(session)
        if link is not None and not link.send(
            Notification(topic, params, self.stamp())
        ):
            self.dropped_notifications += 1

    def broadcast(self, topic: str, params: Params) -> None:
        """Send a notification to all connected peers."""
        for link in list(self._links.values()):
            if link.is_open:
                self.notify(link.session, topic, params)

    def connected(self, session: str) -> bool:
        """Return whether a link to the peer is open."""
        return self._find_open_link(session) is not None

    def stamp(self) -> HybridTimestamp:
        """Advance the hybrid clock and return the stamp for an outgoing message."""
        return self.events.hybrid_clock.tick()

    def next_call_id(self) -> int:
        """Return a call id that is unique in this process."""
        return next(self._call_ids)

    def record_late_reply(self, session: str, call_id: int) -> None:
        """Record a reply whose call is no longer pending."""
        self.late_replies += 1
        self.events.emit(Event.LATE_REPLY_DROPPED, session=session, call=call_id)

    async def handle_call(
        self,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Run the handler of a call; an exception becomes an ``INTERNAL`` failure."""
        handler = self._handlers.get(method)
        if handler is None:
            return Err(not_run(Code.PEER_JUNK, f"unknown method {method}"))
        try:
            return await handler(params, expires_ms)
        except Exception as exc:
            error = f"{type(exc).__name__}: {exc}"
            self.events.emit(Event.BACKGROUND_TASK_FAILED, task=method, error=error)
            return Err(unknown(Code.INTERNAL, f"{method} failed: {error}"))

    def deliver_notification(self, session: str, topic: str, params: Params) -> None:
        """Pass a notification to its handlers; an exception in one is logged."""
        if topic not in self._notification_handlers:
            self.events.emit(
                Event.BAD_INPUT, source=session, detail=f"unknown topic {topic}"
            )
        for handler in self._notification_handlers.get(topic, []):
            try:
                handler(session, params)
            except Exception as exc:
                error = f"{type(exc).__name__}: {exc}"
                self.events.emit(Event.BACKGROUND_TASK_FAILED, task=topic, error=error)

    def create_background_task(
        self, coroutine: Coroutine[Any, Any, T]
    ) -> asyncio.Task[T]:
        """Start a task that is cancelled when this service stops."""
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def record_rejection(self, failure: Failure, peer: str) -> None:
        """Record a message that this instance or the peer rejected."""
        self.events.emit(
            Event.PEER_REJECTED,
            peer=peer,
            code=int(failure.code),
            detail=failure.detail,
        )

    async def reject(self, conn: Connection, failure: Failure, peer: str) -> None:
        """Close a connection with the code of ``failure`` in the close code."""
        self.record_rejection(failure, peer)
        reason = str(failure).encode()[:MAX_CLOSE_REASON_BYTES].decode(errors="ignore")
        await conn.close(CLOSE_CODE_BASE + int(failure.code), reason)

    def _find_open_link(self, session: str) -> PeerLink | None:
        for endpoints, link in self._links.items():
            if endpoints.session == session and link.is_open:
                return link
        return None

    async def _accept(self, conn: Connection) -> None:
        peer = str(conn.remote_address)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                hello = await self._receive_hello(conn)
            if isinstance(hello, Err):
                await self.reject(conn, hello.err_value, peer)
                return
            await self._send_hello(conn, self._session())
        except (ConnectionClosed, TimeoutError) as exc:
            self.record_rejection(
                unknown(Code.PEER_JUNK, f"no hello received: {exc}"), peer
            )
            return
        if isinstance(conn, PeerConnection):
            conn.accept_peer()
        await PeerLink(conn, hello.ok_value.session, self).run()

    async def _reconcile_links(self) -> None:
        own_session = self._session()
        desired = {
            LinkEndpoints(own_session, session, row["host"], row["peer_port"])
            for session, row in self._peers().items()
            if session != own_session
        }
        for endpoints in self._link_tasks.keys() - desired:
            self._remove_link(endpoints)
        for endpoints in desired - self._link_tasks.keys():
            self._link_tasks[endpoints] = self.add_future(
                self._maintain_link(endpoints)
            )

    def _remove_link(self, endpoints: LinkEndpoints) -> None:
        task = self._link_tasks.pop(endpoints)
        link = self._links.get(endpoints)
        if link is not None:
            # An expired peer may still reply to a request that it is executing.
            link.drain()
        else:
            task.cancel()

    async def _maintain_link(self, endpoints: LinkEndpoints) -> None:
        attempt = 0
        while endpoints in self._link_tasks:
            started_ms = self.clock.now_ms()
            await run_guarded(
                lambda: self._run_link(endpoints),
                f"link to {endpoints.session}",
                self.events,
            )
            elapsed_ms = self.clock.now_ms() - started_ms
            attempt = 0 if elapsed_ms > BACKOFF_LIMIT_MS else attempt + 1
            await self.clock.sleep_ms(self._backoff_ms(attempt))

    def _backoff_ms(self, attempt: int) -> Millis:
        """Return a delay with full jitter, so that reconnects do not coincide."""
        limit_ms = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2 ** min(attempt, 16))
        return self._random.randint(0, limit_ms)

    async def _run_link(self, endpoints: LinkEndpoints) -> None:
        try:
            async with connect(endpoints.uri, proxy=None, **CONNECTION_OPTIONS) as conn:
                if not await self._handshake(conn, endpoints):
                    return
                link = PeerLink(conn, endpoints.session, self)
                self._links[endpoints] = link
                try:
                    await link.run()
                finally:
                    self._links.pop(endpoints, None)
        except (OSError, TimeoutError, InvalidHandshake, InvalidMessage):
            # Expected when a peer stops or a network is down; ``connected`` and the
            # event PEER_DISCONNECTED show the state.
            return
        except ConnectionClosed as exc:
            detail = f"the peer closed the link: {exc}"
            self.record_rejection(
                not_run(Code.PEER_UNREACHABLE, detail), endpoints.session
            )

    async def _handshake(self, conn: Connection, endpoints: LinkEndpoints) -> bool:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            await self._send_hello(conn, endpoints.own_session)
            hello = await self._receive_hello(conn)
        if isinstance(hello, Err):
            await self.reject(conn, hello.err_value, endpoints.session)
            return False
        if hello.ok_value.session != endpoints.session:
            detail = f"the address belongs to session {hello.ok_value.session}"
            failure = not_run(Code.PEER_UNREACHABLE, detail)
            await self.reject(conn, failure, endpoints.session)
            return False
        return True

    async def _send_hello(self, conn: Connection, session: str) -> None:
        frame = encode_message(Hello(PROTOCOL_VERSION, session, self.stamp()))
        await conn.send(frame.unwrap())

    async def _receive_hello(self, conn: Connection) -> Result[Hello, Failure]:
        message = parse_message(await conn.recv())
        if isinstance(message, Err):
            return message
        hello = message.ok_value
        if not isinstance(hello, Hello):
            return Err(unknown(Code.PEER_JUNK, "the first message is not a hello"))
        self.events.hybrid_clock.observe(hello.stamp)
        return Ok(hello)
