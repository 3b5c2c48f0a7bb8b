"""One open connection to another entry instance."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import singledispatchmethod
from typing import TYPE_CHECKING, cast

from result import Err, Ok, Result
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

from hyssopweir.clock import SECOND_MS, Millis
from hyssopweir.codes import Code, Failure, Outcome, not_run, unknown
from hyssopweir.events import Event
from hyssopweir.messages import (
    FRAME_BYTES,
    Call,
    Cancel,
    Message,
    Notification,
    Reply,
    decode,
    encode,
)

if TYPE_CHECKING:
    from hyssopweir.peers import Params, PeerLinks

# A daemon has 256 MB; a peer that does not read must not fill them.
OUTGOING_FRAMES = 1_000
OUTGOING_BYTES = 16 * 1024 * 1024
MOST_CALLS_PER_LINK = 1_000


class Outbox:
    """Queue outgoing frames, bounded by count and by bytes."""

    def __init__(self) -> None:
        self._frames: asyncio.Queue[bytes] = asyncio.Queue()
        self._bytes = 0

    def put(self, frame: bytes) -> bool:
        """Queue a frame; return False if the queue is full."""
        is_full = self._frames.qsize() >= OUTGOING_FRAMES
        if is_full or self._bytes + len(frame) > OUTGOING_BYTES:
            return False
        self._bytes += len(frame)
        self._frames.put_nowait(frame)
        return True

    async def get(self) -> bytes:
        """Return the next frame, waiting for one if necessary."""
        frame = await self._frames.get()
        self._bytes -= len(frame)
        return frame


class PeerLink:
    """Exchange messages with one peer over one open connection."""

    def __init__(self, conn: Connection, session: str, hub: PeerLinks) -> None:
        self.session = session
        self.is_open = True
        self._conn = conn
        self._hub = hub
        self._outbox = Outbox()
        self._pending: dict[int, asyncio.Future[Result[Params, Failure]]] = {}
        self._serving: dict[int, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Read until the connection ends, then fail the pending calls."""
        self._hub.events.emit(Event.PEER_CONNECTED, session=self.session)
        writer = asyncio.create_task(self._write())
        reason = "closed"
        try:
            await self._read()
        except ConnectionClosed as exc:
            reason = str(exc)
            self._report_oversized(exc)
        finally:
            self.is_open = False
            writer.cancel()
            self._hub.events.emit(
                Event.PEER_DISCONNECTED,
                session=self.session,
                reason=reason,
                pending=len(self._pending),
            )
            self._fail_pending(reason)

    async def call(
        self,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Send a call and wait for its reply until the local time ``expires_ms``."""
        left_ms = expires_ms - self._hub.clock.now_ms()
        if left_ms <= 0:
            return Err(not_run(Code.DEADLINE_EXCEEDED, "no time left for the call"))
        call_id = self._hub.next_call_id()
        message = Call(call_id, method, params, left_ms, self._hub.stamp())
        frame = encode(message)
        if isinstance(frame, Err):
            return frame
        if not self._outbox.put(frame.ok_value):
            detail = "the outgoing queue is full"
            return Err(not_run(Code.PEER_UNREACHABLE, detail))
        return await self._wait(call_id, left_ms)

    def send(self, message: Message) -> bool:
        """Queue a message; return False if it can't be sent."""
        frame = encode(message)
        return isinstance(frame, Ok) and self._outbox.put(frame.ok_value)

    def retire(self) -> None:
        """Take no new calls and close once the pending ones have ended."""
        self.is_open = False
        self._close_if_done()

    async def _wait(self, call_id: int, left_ms: Millis) -> Result[Params, Failure]:
        reply = asyncio.get_running_loop().create_future()
        self._pending[call_id] = reply
        try:
            async with asyncio.timeout(left_ms / SECOND_MS):
                return cast("Result[Params, Failure]", await reply)
        except TimeoutError:
            self.send(Cancel(call_id, self._hub.stamp()))
            return Err(unknown(Code.DEADLINE_EXCEEDED, "no answer from the peer"))
        except asyncio.CancelledError:
            self.send(Cancel(call_id, self._hub.stamp()))
            raise
        finally:
            self._pending.pop(call_id, None)
            self._close_if_done()

    async def _read(self) -> None:
        while True:
            message = decode(await self._conn.recv())
            if isinstance(message, Err):
                await self._hub.reject(self._conn, message.err_value, self.session)
                return
            self._hub.events.hybrid_clock.observe(message.ok_value.stamp)
            failure = self._receive(message.ok_value)
            if failure is not None:
                await self._hub.reject(self._conn, failure, self.session)
                return

    async def _write(self) -> None:
        with suppress(ConnectionClosed):
            while True:
                await self._conn.send(await self._outbox.get())

    @singledispatchmethod
    def _receive(self, message: Message) -> Failure | None:
        return unknown(Code.PEER_JUNK, f"unexpected {type(message).__name__}")

    @_receive.register
    def _(self, message: Call) -> Failure | None:
        if message.call_id in self._serving:
            return unknown(Code.PEER_JUNK, f"call {message.call_id} came twice")
        if len(self._serving) >= MOST_CALLS_PER_LINK:
            detail = "too many calls in progress on the link"
            self._reply(message.call_id, Err(not_run(Code.OVERLOADED, detail)))
            return None
        task = self._hub.in_background(self._serve(message))
        self._serving[message.call_id] = task
        task.add_done_callback(lambda _: self._serving.pop(message.call_id, None))
        return None

    @_receive.register
    def _(self, message: Reply) -> Failure | None:
        reply = self._pending.pop(message.call_id, None)
        if reply is None or reply.done():
            self._hub.late_reply(self.session, message.call_id)
        elif message.failure is not None:
            reply.set_result(Err(message.failure))
        else:
            reply.set_result(Ok(message.result or {}))
        return None

    @_receive.register
    def _(self, message: Cancel) -> Failure | None:
        task = self._serving.get(message.call_id)
        if task is not None:
            task.cancel()
        return None

    @_receive.register
    def _(self, message: Notification) -> Failure | None:
        self._hub.deliver(self.session, message.topic, message.params)
        return None

    async def _serve(self, call: Call) -> None:
        expires_ms = self._hub.clock.now_ms() + call.deadline_ms
        result = await self._hub.answer(call.method, call.params, expires_ms)
        self._reply(call.call_id, result)

    def _reply(self, call_id: int, result: Result[Params, Failure]) -> None:
        if not self.is_open:
            return
        frame = encode(self._reply_message(call_id, result))
        if isinstance(frame, Err):
            result = Err(_unsendable(result, frame.err_value))
            frame = encode(self._reply_message(call_id, result))
        if isinstance(frame, Err) or not self._outbox.put(frame.ok_value):
            # The caller learns from the broken link that its outcome is unknown.
            self._conn.transport.abort()

    def _reply_message(self, call_id: int, result: Result[Params, Failure]) -> Reply:
        if isinstance(result, Err):
            return Reply(call_id, None, result.err_value, self._hub.stamp())
        return Reply(call_id, result.ok_value, None, self._hub.stamp())

    def _fail_pending(self, reason: str) -> None:
        failure = unknown(Code.PEER_LOST, f"the link broke: {reason}")
        for reply in self._pending.values():
            if not reply.done():
                reply.set_result(Err(failure))

    def _close_if_done(self) -> None:
        if not self.is_open and not self._pending:
            self._hub.in_background(self._conn.close())

    def _report_oversized(self, exc: ConnectionClosed) -> None:
        if exc.sent is not None and exc.sent.code == CloseCode.MESSAGE_TOO_BIG:
            detail = f"a frame above {FRAME_BYTES} bytes"
            self._hub.rejected(unknown(Code.PEER_JUNK, detail), self.session)


def _unsendable(result: Result[Params, Failure], reason: Failure) -> Failure:
    """Return what the caller is told instead of a reply that can't be encoded."""
    if isinstance(result, Err):
        return result.err_value._replace(extra={})
    return reason._replace(outcome=Outcome.RAN)
