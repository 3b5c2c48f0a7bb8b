"""Calls, replies and notifications on one connection to another entry instance."""

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
    MAX_FRAME_BYTES,
    Call,
    Cancel,
    Message,
    Notification,
    Reply,
    encode_message,
    parse_message,
)

if TYPE_CHECKING:
    from hyssopweir.peers import Params, PeerLinks

# A daemon has 256 MB of memory; a peer that does not read must not exhaust it.
MAX_QUEUED_FRAMES = 1_000
MAX_QUEUED_BYTES = 16 * 1024 * 1024
MAX_CALLS_PER_LINK = 1_000


class SendQueue:
    """Queue of outgoing frames, bounded by count and by bytes."""

    def __init__(self) -> None:
        self._frames: asyncio.Queue[bytes] = asyncio.Queue()
        self._bytes = 0

    def put(self, frame: bytes) -> bool:
        """Queue a frame; return False if the queue is full."""
        is_full = self._frames.qsize() >= MAX_QUEUED_FRAMES
        if is_full or self._bytes + len(frame) > MAX_QUEUED_BYTES:
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
    """Exchange messages with one peer over an open connection.

    Replies are matched to calls by id, so calls on one link run concurrently.
    """

    def __init__(self, conn: Connection, session: str, network: PeerLinks) -> None:
        self.session = session
        self.is_open = True
        self._conn = conn
        self._network = network
        self._send_queue = SendQueue()
        self._pending_replies: dict[int, asyncio.Future[Result[Params, Failure]]] = {}
        self._running_calls: dict[int, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Process messages until the connection closes, then fail the pending calls."""
        self._network.events.emit(Event.PEER_CONNECTED, session=self.session)
        writer = asyncio.create_task(self._write())
        reason = "closed"
        try:
            await self._read()
        except ConnectionClosed as exc:
            reason = str(exc)
            self._record_oversized_frame(exc)
        finally:
            self.is_open = False
            writer.cancel()
            self._network.events.emit(
                Event.PEER_DISCONNECTED,
                session=self.session,
                reason=reason,
                pending=len(self._pending_replies),
            )
            self._fail_pending(reason)

    async def call(
        self,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Send a call and wait for its reply until ``expires_ms``, local time."""
        remaining_ms = expires_ms - self._network.clock.now_ms()
        if remaining_ms <= 0:
            return Err(not_run(Code.DEADLINE_EXCEEDED, "no time left for the call"))
        call_id = self._network.next_call_id()
        message = Call(call_id, method, params, remaining_ms, self._network.stamp())
        frame = encode_message(message)
        if isinstance(frame, Err):
            return frame
        if not self._send_queue.put(frame.ok_value):
            detail = "the outgoing queue is full"
            return Err(not_run(Code.PEER_UNREACHABLE, detail))
        return await self._wait_for_reply(call_id, remaining_ms)

    def send(self, message: Message) -> bool:
        """Queue a message; return False if it can't be encoded or the queue is full."""
        frame = encode_message(message)
        return isinstance(frame, Ok) and self._send_queue.put(frame.ok_value)

    def drain(self) -> None:
        """Stop sending new calls and close the connection once none is pending."""
        self.is_open = False
        self._close_if_drained()

    async def _wait_for_reply(
        self, call_id: int, remaining_ms: Millis
    ) -> Result[Params, Failure]:
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[call_id] = reply
        try:
            async with asyncio.timeout(remaining_ms / SECOND_MS):
                return cast("Result[Params, Failure]", await reply)
        except TimeoutError:
            self.send(Cancel(call_id, self._network.stamp()))
            return Err(unknown(Code.DEADLINE_EXCEEDED, "no answer from the peer"))
        except asyncio.CancelledError:
            self.send(Cancel(call_id, self._network.stamp()))
            raise
        finally:
            self._pending_replies.pop(call_id, None)
            self._close_if_drained()

    async def _read(self) -> None:
        while True:
            message = parse_message(await self._conn.recv())
            if isinstance(message, Err):
                await self._network.reject(self._conn, message.err_value, self.session)
                return
            self._network.events.hybrid_clock.observe(message.ok_value.stamp)
            failure = self._receive(message.ok_value)
            if failure is not None:
                await self._network.reject(self._conn, failure, self.session)
                return

    async def _write(self) -> None:
        with suppress(ConnectionClosed):
            while True:
                await self._conn.send(await self._send_queue.get())

    @singledispatchmethod
    def _receive(self, message: Message) -> Failure | None:
        return unknown(Code.PEER_JUNK, f"unexpected {type(message).__name__}")

    @_receive.register
    def _(self, message: Call) -> Failure | None:
        if message.call_id in self._running_calls:
            return unknown(Code.PEER_JUNK, f"duplicate call id {message.call_id}")
        if len(self._running_calls) >= MAX_CALLS_PER_LINK:
            detail = "too many calls in progress on the link"
            self._send_reply(message.call_id, Err(not_run(Code.OVERLOADED, detail)))
            return None
        task = self._network.create_background_task(self._run_call(message))
        self._running_calls[message.call_id] = task
        task.add_done_callback(lambda _: self._running_calls.pop(message.call_id, None))
        return None

    @_receive.register
    def _(self, message: Reply) -> Failure | None:
        reply = self._pending_replies.pop(message.call_id, None)
        if reply is None or reply.done():
            self._network.record_late_reply(self.session, message.call_id)
        elif message.failure is not None:
            reply.set_result(Err(message.failure))
        else:
            reply.set_result(Ok(message.result or {}))
        return None

    @_receive.register
    def _(self, message: Cancel) -> Failure | None:
        task = self._running_calls.get(message.call_id)
        if task is not None:
            task.cancel()
        return None

    @_receive.register
    def _(self, message: Notification) -> Failure | None:
        self._network.deliver_notification(self.session, message.topic, message.params)
        return None

    async def _run_call(self, call: Call) -> None:
        expires_ms = self._network.clock.now_ms() + call.deadline_ms
        result = await self._network.handle_call(call.method, call.params, expires_ms)
        self._send_reply(call.call_id, result)

    def _send_reply(self, call_id: int, result: Result[Params, Failure]) -> None:
        if not self.is_open:
            return
        frame = encode_message(self._build_reply(call_id, result))
        if isinstance(frame, Err):
            result = Err(_encoding_failure(result, frame.err_value))
            frame = encode_message(self._build_reply(call_id, result))
        if isinstance(frame, Err) or not self._send_queue.put(frame.ok_value):
            # The closed connection tells the caller that the outcome is unknown.
            self._conn.transport.abort()

    def _build_reply(self, call_id: int, result: Result[Params, Failure]) -> Reply:
        if isinstance(result, Err):
            return Reply(call_id, None, result.err_value, self._network.stamp())
        return Reply(call_id, result.ok_value, None, self._network.stamp())

    def _fail_pending(self, reason: str) -> None:
        failure = unknown(Code.PEER_LOST, f"the link broke: {reason}")
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_result(Err(failure))

    def _close_if_drained(self) -> None:
        if not self.is_open and not self._pending_replies:
            self._network.create_background_task(self._conn.close())

    def _record_oversized_frame(self, exc: ConnectionClosed) -> None:
        if exc.sent is not None and exc.sent.code == CloseCode.MESSAGE_TOO_BIG:
            detail = f"frame exceeds {MAX_FRAME_BYTES} bytes"
            self._network.record_rejection(
                unknown(Code.PEER_JUNK, detail), self.session
            )


def _encoding_failure(result: Result[Params, Failure], reason: Failure) -> Failure:
    """Return the failure to send in place of a reply that can't be encoded."""
    if isinstance(result, Err):
        return result.err_value._replace(extra={})
    return reason._replace(outcome=Outcome.RAN)
