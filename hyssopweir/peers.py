"""Links between entry instances: calls multiplexed by id, and notes."""

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

from hyssopweir.clock import Clock, HybridTimestamp, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.contracts import SessionRow
from hyssopweir.events import Event, EventLog
from hyssopweir.loops import run_forever, run_guarded
from hyssopweir.messages import (
    FRAME_BYTES,
    PROTOCOL_VERSION,
    Hello,
    Notification,
    decode,
    encode,
)
from hyssopweir.peer_link import PeerLink
from hyssopweir.settings import Address

T = TypeVar("T")
Params = dict[str, Any]
Handler = Callable[[Params, Millis], Awaitable[Result[Params, Failure]]]
NotificationHandler = Callable[[str, Params], None]


class PeerNetwork(Protocol):
    """Reach the other entry instances by session id."""

    def register(self, method: str, handler: Handler) -> None:
        """Answer calls of ``method``; the handler gets the local expiry in ms."""
        ...

    def on_notification(self, topic: str, handler: NotificationHandler) -> None:
        """Receive notes of ``topic``, called with the sender's session."""
        ...

    async def call(
        self,
        session: str,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Call a peer and return its answer.

        ``PEER_UNREACHABLE`` (outcome ``NOT_RUN``) means that nothing was sent,
        ``PEER_LOST`` or ``DEADLINE_EXCEEDED`` that the peer may have acted.
        """
        ...

    def notify(self, session: str, topic: str, params: Params) -> None:
        """Send a note if the peer is connected; it may be lost."""
        ...

    def broadcast(self, topic: str, params: Params) -> None:
        """Send a note to all connected peers."""
        ...

    def connected(self, session: str) -> bool:
        """Tell whether a link to the peer is open."""
        ...


# Only the newest instance list says where peers are, so it is followed closely.
FOLLOW_MS: Millis = 250
HANDSHAKE_S = 2.0
CLOSE_S = 1.0
# Eight links with a ping and a pong in 5 s stay far below the 2 KB/s of a daemon.
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 10.0
BACKOFF_BASE_MS: Millis = 100
BACKOFF_LIMIT_MS: Millis = 2_000
# Application close codes start at 4000; the result code is added.
CLOSE_CODE_BASE = 4_000
CLOSE_REASON_BYTES = 120

# The library's own log lines are text with tracebacks; the events say the same.
quiet_logger = logging.getLogger("hyssopweir.websockets")
quiet_logger.addHandler(logging.NullHandler())
quiet_logger.propagate = False

CONNECTION_OPTIONS: dict[str, Any] = {
    "max_size": FRAME_BYTES,
    "compression": None,
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "open_timeout": HANDSHAKE_S,
    "close_timeout": CLOSE_S,
    "logger": quiet_logger,
}


class Target(NamedTuple):
    """Name the two ends of an outgoing link."""

    own_session: str
    session: str
    host: str
    port: int

    @property
    def uri(self) -> str:
        """Return the address to connect to."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"ws://{host}:{self.port}/"


class PeerLinks(Service):
    """Link this instance with the live ones; calls and notes go over own links.

    Each instance connects to every other, so two instances share two connections.
    ``session`` returns the own session and ``peers`` the live sessions by id.
    """

    def __init__(
        self,
        address: Address,
        session: Callable[[], str],
        peers: Callable[[], Mapping[str, SessionRow]],
        clock: Clock,
        log: EventLog,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.events = log
        self.port = address["port"]
        self.late_replies = 0
        self.dropped_notes = 0
        self._host = address["host"]
        self._session = session
        self._peers = peers
        self._handlers: dict[str, Handler] = {}
        self._notes: dict[str, list[NotificationHandler]] = {}
        self._calls = itertools.count(1)
        self._random = random.Random()
        self._server: Server | None = None
        self._targets: dict[Target, asyncio.Future[Any]] = {}
        self._links: dict[Target, PeerLink] = {}
        self._background: set[asyncio.Task[Any]] = set()

    async def on_start(self) -> None:
        """Listen; ``port`` is the listening port from now on."""
        self._server = await serve(
            self._accept,
            self._host,
            self.port,
            **CONNECTION_OPTIONS,
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]
        self.add_future(
            run_forever(self, FOLLOW_MS, self._follow, self.clock, self.events)
        )

    async def on_stop(self) -> None:
        """Close all links; calls that are being handled are cancelled."""
        if self._server is not None:
            self._server.close()
        for task in (*self._targets.values(), *self._background):
            task.cancel()
        if self._server is not None:
            await self._server.wait_closed()

    def register(self, method: str, handler: Handler) -> None:
        """Answer calls of ``method``; a cancelled call cancels the handler's task."""
        self._handlers[method] = handler

    def on_notification(self, topic: str, handler: NotificationHandler) -> None:
        """Receive notes of ``topic``, called with the sender's session."""
        self._notes.setdefault(topic, []).append(handler)

    async def call(
        self,
        session: str,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Call a peer and return its answer; see ``PeerNetwork.call``."""
        link = self._link_to(session)
        if link is None:
            return Err(not_run(Code.PEER_UNREACHABLE, "no link to the peer"))
        return await link.call(method, params, expires_ms)

    def notify(self, session: str, topic: str, params: Params) -> None:
        """Send a note if the peer is connected; it may be lost."""
        link = self._link_to(session)
        if link is not None and not link.send(
            Notification(topic, params, self.stamp())
        ):
            self.dropped_notes += 1

    def broadcast(self, topic: str, params: Params) -> None:
        """Send a note to all connected peers."""
        for link in list(self._links.values()):
            if link.is_open:
                self.notify(link.session, topic, params)

    def connected(self, session: str) -> bool:
        """Tell whether a link to the peer is open."""
        return self._link_to(session) is not None

    def stamp(self) -> HybridTimestamp:
        """Return the stamp of a message that is being sent."""
        return self.events.hybrid_clock.tick()

    def next_call_id(self) -> int:
        """Return an id that no other call of this process has."""
        return next(self._calls)

    def late_reply(self, session: str, call_id: int) -> None:
        """Count a reply that nobody waits for."""
        self.late_replies += 1
        self.events.emit(Event.LATE_REPLY_DROPPED, session=session, call=call_id)

    async def answer(
        self,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Run the handler of a call; an exception in it becomes ``INTERNAL``."""
        handler = self._handlers.get(method)
        if handler is None:
            return Err(not_run(Code.PEER_JUNK, f"unknown method {method}"))
        try:
            return await handler(params, expires_ms)
        except Exception as exc:
            error = f"{type(exc).__name__}: {exc}"
            self.events.emit(Event.BACKGROUND_TASK_FAILED, task=method, error=error)
            return Err(unknown(Code.INTERNAL, f"{method} failed: {error}"))

    def deliver(self, session: str, topic: str, params: Params) -> None:
        """Give a note to its handlers; an exception in one is logged."""
        if topic not in self._notes:
            self.events.emit(Event.BAD_INPUT, source=session, detail=f"topic {topic}")
        for handler in self._notes.get(topic, []):
            try:
                handler(session, params)
            except Exception as exc:
                error = f"{type(exc).__name__}: {exc}"
                self.events.emit(Event.BACKGROUND_TASK_FAILED, task=topic, error=error)

    def in_background(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run ``work`` as a task that ends with this service at the latest."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def rejected(self, failure: Failure, peer: str) -> None:
        """Log that a peer's message was refused, or that the peer refused ours."""
        self.events.emit(
            Event.PEER_REJECTED,
            peer=peer,
            code=int(failure.code),
            detail=failure.detail,
        )

    async def reject(self, conn: Connection, failure: Failure, peer: str) -> None:
        """Close a connection with a numbered error."""
        self.rejected(failure, peer)
        reason = str(failure).encode()[:CLOSE_REASON_BYTES].decode(errors="ignore")
        await conn.close(CLOSE_CODE_BASE + int(failure.code), reason)

    def _link_to(self, session: str) -> PeerLink | None:
        for target, link in self._links.items():
            if target.session == session and link.is_open:
                return link
        return None

    async def _accept(self, conn: Connection) -> None:
        peer = str(conn.remote_address)
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                hello = await self._receive_hello(conn)
            if isinstance(hello, Err):
                await self.reject(conn, hello.err_value, peer)
                return
            await self._send_hello(conn, self._session())
        except (ConnectionClosed, TimeoutError) as exc:
            self.rejected(unknown(Code.PEER_JUNK, f"no hello: {exc}"), peer)
            return
        await PeerLink(conn, hello.ok_value.session, self).run()

    async def _follow(self) -> None:
        own = self._session()
        wanted = {
            Target(own, session, row["host"], row["peer_port"])
            for session, row in self._peers().items()
            if session != own
        }
        for target in self._targets.keys() - wanted:
            self._drop(target)
        for target in wanted - self._targets.keys():
            self._targets[target] = self.add_future(self._keep_link(target))

    def _drop(self, target: Target) -> None:
        task = self._targets.pop(target)
        link = self._links.get(target)
        if link is not None:
            # A request that an expired peer is executing may still be answered.
            link.retire()
        else:
            task.cancel()

    async def _keep_link(self, target: Target) -> None:
        attempt = 0
        while target in self._targets:
            started_ms = self.clock.now_ms()
            await run_guarded(
                lambda: self._run_link(target), f"link to {target.session}", self.events
            )
            lived_ms = self.clock.now_ms() - started_ms
            attempt = 0 if lived_ms > BACKOFF_LIMIT_MS else attempt + 1
            await self.clock.sleep_ms(self._backoff_ms(attempt))

    def _backoff_ms(self, attempt: int) -> Millis:
        """Return a delay with full jitter, so that restarts do not coincide."""
        limit_ms = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2 ** min(attempt, 16))
        return self._random.randint(0, limit_ms)

    async def _run_link(self, target: Target) -> None:
        try:
            async with connect(target.uri, proxy=None, **CONNECTION_OPTIONS) as conn:
                if not await self._greet(conn, target):
                    return
                link = PeerLink(conn, target.session, self)
                self._links[target] = link
                try:
                    await link.run()
                finally:
                    self._links.pop(target, None)
        except (OSError, TimeoutError, InvalidHandshake, InvalidMessage):
            # Expected while a peer ends or a network is cut; the state is visible
            # through ``connected`` and PEER_DISCONNECTED.
            return
        except ConnectionClosed as exc:
            detail = f"the peer closed the link: {exc}"
            self.rejected(not_run(Code.PEER_UNREACHABLE, detail), target.session)

    async def _greet(self, conn: Connection, target: Target) -> bool:
        async with asyncio.timeout(HANDSHAKE_S):
            await self._send_hello(conn, target.own_session)
            hello = await self._receive_hello(conn)
        if isinstance(hello, Err):
            await self.reject(conn, hello.err_value, target.session)
            return False
        if hello.ok_value.session != target.session:
            detail = f"session {hello.ok_value.session} serves this address"
            failure = not_run(Code.PEER_UNREACHABLE, detail)
            await self.reject(conn, failure, target.session)
            return False
        return True

    async def _send_hello(self, conn: Connection, session: str) -> None:
        frame = encode(Hello(PROTOCOL_VERSION, session, self.stamp()))
        await conn.send(frame.unwrap())

    async def _receive_hello(self, conn: Connection) -> Result[Hello, Failure]:
        message = decode(await conn.recv())
        if isinstance(message, Err):
            return message
        hello = message.ok_value
        if not isinstance(hello, Hello):
            return Err(unknown(Code.PEER_JUNK, "the first message is not a hello"))
        self.events.hybrid_clock.observe(hello.stamp)
        return Ok(hello)
