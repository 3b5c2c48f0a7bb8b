"""Tests of the links between instances over loopback connections."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from hyssopweir.clock import Clock, HybridTimestamp, Millis
from hyssopweir.codes import Code, Failure, Outcome, not_run
from hyssopweir.contracts import SessionRow
from hyssopweir.events import Event
from hyssopweir.messages import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Call,
    Cancel,
    Hello,
    Message,
    Notification,
    Reply,
    encode_message,
    parse_message,
)
from hyssopweir.peers import Params, PeerLinks
from tests.builders import build_log

STAMP = HybridTimestamp(1, 0)
HELLO = Hello(PROTOCOL_VERSION, "other", STAMP)
MESSAGES = [
    HELLO,
    Call(1, "execute", {"body": b"x", "list": [1, 2.5, None, {"a": True}]}, 30, STAMP),
    Reply(1, {"a": 1}, None, STAMP),
    Reply(2, None, not_run(Code.OVERLOADED, "full", queue=3), STAMP),
    Cancel(3, STAMP),
    Notification("load", {}, STAMP),
]
MALFORMED_FRAMES = {
    "text": "hello",
    "empty": b"",
    "cut": encode_message(MESSAGES[1]).unwrap()[:-1],
    "trailing": encode_message(MESSAGES[4]).unwrap() + b"\0",
    "deep": b"\x81" * 1_000 + b"\x01",
    "cycle": b"\xd8\x1c\x81\xd8\x1d\x00",
    "tag": b"\xc1\x01",
    "unknown": cbor2.dumps(["gossip", 1]),
    "no fields": cbor2.dumps(["hello"]),
    "bool id": cbor2.dumps(["cancel", True, [1, 0]]),
    "huge id": cbor2.dumps(["cancel", 2**60, [1, 0]]),
    "no stamp": cbor2.dumps(["cancel", 1, None]),
    "number keys": cbor2.dumps(["note", "load", {1: 2}, [1, 0]]),
    "empty reply": cbor2.dumps(["reply", 1, None, None, [1, 0]]),
    "bad code": cbor2.dumps(["reply", 1, None, {"code": 9_999}, [1, 0]]),
    "oversized": b"\0" * (MAX_FRAME_BYTES + 1),
}


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_round_trip(message: Message) -> None:
    """Guards against fields that encoding or parsing loses or reorders."""
    assert parse_message(encode_message(message).unwrap()) == Ok(message)


@pytest.mark.parametrize(
    "frame", MALFORMED_FRAMES.values(), ids=MALFORMED_FRAMES.keys()
)
def test_malformed_frame_is_rejected_with_peer_junk(frame: bytes | str) -> None:
    """Guards against an exception, or a parsed message, for a malformed frame."""
    assert parse_message(frame).unwrap_err().code is Code.PEER_JUNK


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.data())
def test_corrupted_frame_raises_no_exception(data: st.DataObject) -> None:
    """Guards against a corrupted frame that crashes the instance."""
    frame = bytearray(encode_message(data.draw(st.sampled_from(MESSAGES))).unwrap())
    for _ in range(data.draw(st.integers(1, 4))):
        frame[data.draw(st.integers(0, len(frame) - 1))] = data.draw(
            st.integers(0, 255)
        )
    reply = parse_message(bytes(frame))
    expected_codes = (Code.PEER_JUNK, Code.PEER_VERSION)
    assert reply.is_ok() or reply.unwrap_err().code in expected_codes


@pytest.mark.parametrize(
    ("message", "code"),
    [
        (Notification("load", {"a": object()}, STAMP), Code.INTERNAL),
        (
            Notification("load", {"a": b"0" * MAX_FRAME_BYTES}, STAMP),
            Code.BODY_TOO_LARGE,
        ),
    ],
    ids=["object", "oversized"],
)
def test_message_that_cannot_be_encoded_is_not_run(
    message: Message, code: Code
) -> None:
    """Guards against sending a frame on which the peer would close the link."""
    failure = encode_message(message).unwrap_err()
    assert (failure.code, failure.outcome) == (code, Outcome.NOT_RUN)


class PeerPair:
    """Instances ``a`` and ``b``, each in the instance list of the other."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.rows: dict[str, SessionRow] = {}
        self.a, self.b = self._build("a"), self._build("b")

    def _build(self, session: str) -> PeerLinks:
        address = {"host": "127.0.0.1", "port": 0}
        log = build_log(self.clock, session)
        return PeerLinks(
            address,  # type: ignore[arg-type]
            lambda: session,
            lambda: self.rows,
            self.clock,
            log,
        )

    def list_instance(self, session: str, port: int) -> None:
        self.rows[session] = {
            "instance": session,
            "data_centre": "kista",
            "host": "127.0.0.1",
            "peer_port": port,
            "caller_port": 0,
            "heartbeat": 1,
            "configuration": 1,
            "ready": True,
        }

    async def start(self) -> None:
        for session, links in (("a", self.a), ("b", self.b)):
            await links.start()
            self.list_instance(session, links.port)
        await wait_until(lambda: self.a.connected("b") and self.b.connected("a"))

    async def call(self, method: str, within_ms: Millis = 2_000, **params: Any) -> Any:
        expires_ms = self.clock.now_ms() + within_ms
        return await self.a.call("b", method, params, expires_ms)


async def wait_until(condition: Callable[[], bool], limit_s: float = 5.0) -> None:
    deadline = asyncio.get_running_loop().time() + limit_s
    while not condition():
        assert asyncio.get_running_loop().time() < deadline
        await asyncio.sleep(0.005)


def run_with_peers(scenario: Callable[[PeerPair], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        pair = PeerPair()
        await pair.start()
        try:
            await asyncio.wait_for(scenario(pair), 20)
        finally:
            await asyncio.gather(pair.a.stop(), pair.b.stop())

    asyncio.run(main())


def event_fields(links: PeerLinks, event: Event) -> list[dict[str, Any]]:
    return [record.fields for record in links.events if record.event is event]


async def sleep_and_echo(params: Params, expires_ms: Millis) -> Result[Params, Failure]:
    await asyncio.sleep(params["ms"] / 1_000)
    return Ok(params)


async def raise_error(params: Params, expires_ms: Millis) -> Result[Params, Failure]:
    raise LookupError("handler error")


async def return_oversized(
    params: Params, expires_ms: Millis
) -> Result[Params, Failure]:
    return Ok({"body": b"0" * (MAX_FRAME_BYTES + 1)})


async def reject_call(params: Params, expires_ms: Millis) -> Result[Params, Failure]:
    return Err(not_run(Code.NOT_OWNER, "not the owner", owner="c"))


def test_replies_out_of_order_reach_their_callers() -> None:
    """Guards against matching replies to calls by order instead of by id."""

    async def scenario(pair: PeerPair) -> None:
        pair.b.register("sleep", sleep_and_echo)
        calls = [pair.call("sleep", ms=ms, n=ms) for ms in range(300, 0, -10)]
        replies = await asyncio.gather(*calls)
        assert [reply.unwrap()["n"] for reply in replies] == list(range(300, 0, -10))

    run_with_peers(scenario)


@pytest.mark.parametrize(
    ("handler", "code", "outcome"),
    [
        (raise_error, Code.INTERNAL, Outcome.UNKNOWN),
        (return_oversized, Code.BODY_TOO_LARGE, Outcome.RAN),
        (reject_call, Code.NOT_OWNER, Outcome.NOT_RUN),
        (None, Code.PEER_JUNK, Outcome.NOT_RUN),
    ],
    ids=["raises", "oversized reply", "refuses", "unknown method"],
)
def test_failed_call_returns_its_code_and_outcome(
    handler: Any, code: Code, outcome: Outcome
) -> None:
    """Guards against a handler failure that closes the link or stops the instance."""

    async def scenario(pair: PeerPair) -> None:
        pair.b.register("sleep", sleep_and_echo)
        if handler is not None:
            pair.b.register("method", handler)
        failure = (await pair.call("method")).unwrap_err()
        assert (failure.code, failure.outcome) == (code, outcome)
        assert (await pair.call("sleep", ms=0)).is_ok()

    run_with_peers(scenario)


def test_expired_or_cancelled_call_is_cancelled_at_the_peer() -> None:
    """Guards against handlers that run on for callers that have stopped waiting.

    The late reply of an expired call must be dropped and counted.
    """

    async def scenario(pair: PeerPair) -> None:
        cancellations: list[str] = []

        async def ignore_cancellation(params: Params, expires_ms: Millis) -> Any:
            left_ms = expires_ms - pair.clock.now_ms()
            assert 0 < left_ms <= 100
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                cancellations.append("cancelled")
            return Ok({})

        pair.b.register("wait", ignore_cancellation)
        failure = (await pair.call("wait", within_ms=100)).unwrap_err()
        expected = (Code.DEADLINE_EXCEEDED, Outcome.UNKNOWN)
        assert (failure.code, failure.outcome) == expected
        await wait_until(lambda: pair.a.late_replies == 1)
        assert cancellations == ["cancelled"]
        assert event_fields(pair.a, Event.LATE_REPLY_DROPPED)
        abandoned = asyncio.create_task(pair.call("wait", within_ms=100))
        await asyncio.sleep(0.05)
        abandoned.cancel()
        await wait_until(lambda: len(cancellations) == 2)

    run_with_peers(scenario)


def test_lost_connection_fails_pending_calls_and_is_reopened() -> None:
    """Guards against callers that keep waiting after the connection is lost."""

    async def scenario(pair: PeerPair) -> None:
        pair.b.register("sleep", sleep_and_echo)
        pending = asyncio.create_task(pair.call("sleep", ms=10_000, within_ms=15_000))
        await asyncio.sleep(0.1)
        for link in pair.a._links.values():
            link._conn.transport.abort()
        failure = (await pending).unwrap_err()
        assert (failure.code, failure.outcome) == (Code.PEER_LOST, Outcome.UNKNOWN)
        failure = (await pair.call("sleep", ms=0)).unwrap_err()
        expected = (Code.PEER_UNREACHABLE, Outcome.NOT_RUN)
        assert (failure.code, failure.outcome) == expected
        await wait_until(lambda: pair.a.connected("b"))
        assert (await pair.call("sleep", ms=0)).is_ok()

    run_with_peers(scenario)


def test_expired_peer_gets_no_new_calls_but_its_reply_is_received() -> None:
    """Guards against discarding the reply of a peer whose heartbeat was late."""

    async def scenario(pair: PeerPair) -> None:
        pair.b.register("sleep", sleep_and_echo)
        pending = asyncio.create_task(pair.call("sleep", ms=800))
        await asyncio.sleep(0.05)
        del pair.rows["b"]
        await wait_until(lambda: not pair.a.connected("b"))
        assert (await pair.call("sleep", ms=0)).is_err()
        assert (await pending).is_ok()
        await wait_until(lambda: not pair.a._links)

    run_with_peers(scenario)


def test_notification_is_delivered_and_its_stamp_observed() -> None:
    """Guards against events whose stamps are before those of their causes.

    A handler that raises must not keep the others from the notification.
    """

    async def scenario(pair: PeerPair) -> None:
        received: list[tuple[str, Params]] = []

        def raise_error_in_handler(session: str, params: Params) -> None:
            raise LookupError("handler error")

        pair.b.on_notification("load", raise_error_in_handler)
        pair.b.on_notification(
            "load", lambda session, params: received.append((session, params))
        )
        ahead = HybridTimestamp(pair.clock.wall_ms() + 60_000, 0)
        pair.a.events.hybrid_clock.observe(ahead)
        pair.a.broadcast("load", {"free": 3})
        await wait_until(lambda: received == [("a", {"free": 3})])
        assert pair.b.events.hybrid_clock.tick() > ahead

    run_with_peers(scenario)


@pytest.mark.parametrize(
    ("frames", "code"),
    [
        *[
            ([encode_message(HELLO).unwrap(), frame], Code.PEER_JUNK)
            for frame in MALFORMED_FRAMES.values()
        ],
        ([b"\xff"], Code.PEER_JUNK),
        ([encode_message(MESSAGES[1]).unwrap()], Code.PEER_JUNK),
        ([encode_message(HELLO).unwrap()] * 2, Code.PEER_JUNK),
        ([cbor2.dumps(["hello", 2, {"any": "shape"}])], Code.PEER_VERSION),
    ],
    ids=[*MALFORMED_FRAMES.keys(), "first junk", "no hello", "two hellos", "version"],
)
def test_invalid_client_is_disconnected_with_a_result_code(
    frames: list[bytes | str], code: Code
) -> None:
    """Guards against an invalid client that stops the instance or stays connected."""

    async def scenario(pair: PeerPair) -> None:
        uri = f"ws://127.0.0.1:{pair.b.port}/"
        conn = await connect(uri, proxy=None, compression=None)
        with suppress(ConnectionClosed):
            for frame in frames:
                await conn.send(frame)
        await asyncio.wait_for(conn.wait_closed(), 5)
        # websockets itself closes with 1009 if a message is too big.
        assert conn.close_code in (4_000 + code, 1_009)
        await wait_until(lambda: bool(event_fields(pair.b, Event.PEER_REJECTED)))
        assert event_fields(pair.b, Event.PEER_REJECTED)[0]["code"] == code
        pair.b.register("sleep", sleep_and_echo)
        assert (await pair.call("sleep", ms=0)).is_ok()

    run_with_peers(scenario)


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (encode_message(HELLO).unwrap(), Code.PEER_UNREACHABLE),
        (cbor2.dumps(["hello", 2]), Code.PEER_VERSION),
        (b"\xff", Code.PEER_JUNK),
    ],
    ids=["other session", "version", "junk"],
)
def test_server_with_an_invalid_hello_is_not_a_peer(answer: bytes, code: Code) -> None:
    """Guards against calls to another process that now listens on a peer's port."""

    async def scenario(pair: PeerPair) -> None:
        async def serve_hello(conn: ServerConnection) -> None:
            await conn.recv()
            await conn.send(answer)
            await conn.wait_closed()

        async with serve(serve_hello, "127.0.0.1", 0) as server:
            pair.list_instance("c", next(iter(server.sockets)).getsockname()[1])
            await wait_until(lambda: bool(event_fields(pair.a, Event.PEER_REJECTED)))
            assert event_fields(pair.a, Event.PEER_REJECTED)[0]["code"] == code
            assert not pair.a.connected("c")
            del pair.rows["c"]
            await asyncio.sleep(0.4)

    run_with_peers(scenario)


def test_duplicate_reply_is_dropped() -> None:
    """Guards against a duplicate reply that is matched to a later call."""

    async def scenario(pair: PeerPair) -> None:
        async def reply_twice(conn: ServerConnection) -> None:
            await conn.recv()
            await conn.send(encode_message(HELLO._replace(session="c")).unwrap())
            while True:
                call = parse_message(await conn.recv()).unwrap()
                assert isinstance(call, Call)
                reply = Reply(call.call_id, call.params, None, STAMP)
                for _ in range(2):
                    await conn.send(encode_message(reply).unwrap())

        async with serve(reply_twice, "127.0.0.1", 0) as server:
            pair.list_instance("c", next(iter(server.sockets)).getsockname()[1])
            await wait_until(lambda: pair.a.connected("c"))
            for n in range(5):
                expires_ms = pair.clock.now_ms() + 1_000
                reply = await pair.a.call("c", "execute", {"n": n}, expires_ms)
                assert reply == Ok({"n": n})
            await wait_until(lambda: pair.a.late_replies == 5)

    run_with_peers(scenario)


def test_send_queue_to_a_peer_that_does_not_read_is_bounded() -> None:
    """Guards against memory exhausted by an unbounded send queue."""

    async def scenario(pair: PeerPair) -> None:
        done = asyncio.Event()

        async def stop_reading(conn: ServerConnection) -> None:
            await conn.recv()
            await conn.send(encode_message(HELLO._replace(session="c")).unwrap())
            conn.transport.pause_reading()
            await done.wait()

        async with serve(stop_reading, "127.0.0.1", 0, close_timeout=0.1) as server:
            pair.list_instance("c", next(iter(server.sockets)).getsockname()[1])
            await wait_until(lambda: pair.a.connected("c"))
            for _ in range(40):
                pair.a.notify("c", "load", {"body": b"0" * 2**20})
            expires_ms = pair.clock.now_ms() + 100
            reply = await pair.a.call("c", "execute", {"b": b"0" * 2**20}, expires_ms)
            assert reply.unwrap_err().code is Code.PEER_UNREACHABLE
            assert pair.a.dropped_notifications > 0
            pair.rows.clear()
            done.set()
            for link in pair.a._links.values():
                link._conn.transport.abort()

    run_with_peers(scenario)
