"""Links between instances, over loopback connections."""

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
    FRAME_BYTES,
    PROTOCOL_VERSION,
    Call,
    Cancel,
    Hello,
    Message,
    Notification,
    Reply,
    decode,
    encode,
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
JUNK = {
    "text": "hello",
    "empty": b"",
    "cut": encode(MESSAGES[1]).unwrap()[:-1],
    "trailing": encode(MESSAGES[4]).unwrap() + b"\0",
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
    "oversized": b"\0" * (FRAME_BYTES + 1),
}


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_survives_its_wire_form(message: Message) -> None:
    """Guards against fields that are lost or reordered on the way."""
    assert decode(encode(message).unwrap()) == Ok(message)


@pytest.mark.parametrize("frame", JUNK.values(), ids=JUNK.keys())
def test_junk_is_a_numbered_failure(frame: bytes | str) -> None:
    """Guards against an exception, or a guess, at a malformed frame."""
    assert decode(frame).unwrap_err().code is Code.PEER_JUNK


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.data())
def test_no_damage_raises(data: st.DataObject) -> None:
    """Guards against an instance that a damaged frame ends."""
    frame = bytearray(encode(data.draw(st.sampled_from(MESSAGES))).unwrap())
    for _ in range(data.draw(st.integers(1, 4))):
        frame[data.draw(st.integers(0, len(frame) - 1))] = data.draw(
            st.integers(0, 255)
        )
    reply = decode(bytes(frame))
    junk = (Code.PEER_JUNK, Code.PEER_VERSION)
    assert reply.is_ok() or reply.unwrap_err().code in junk


@pytest.mark.parametrize(
    ("message", "code"),
    [
        (Notification("load", {"a": object()}, STAMP), Code.INTERNAL),
        (Notification("load", {"a": b"0" * FRAME_BYTES}, STAMP), Code.BODY_TOO_LARGE),
    ],
    ids=["object", "oversized"],
)
def test_unsendable_message_is_not_run(message: Message, code: Code) -> None:
    """Guards against a frame that would only break the link."""
    failure = encode(message).unwrap_err()
    assert (failure.code, failure.outcome) == (code, Outcome.NOT_RUN)


class Rig:
    """Instances ``a`` and ``b`` that know of each other."""

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

    def show(self, session: str, port: int) -> None:
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
            self.show(session, links.port)
        await until(lambda: self.a.connected("b") and self.b.connected("a"))

    async def call(self, method: str, within_ms: Millis = 2_000, **params: Any) -> Any:
        expires_ms = self.clock.now_ms() + within_ms
        return await self.a.call("b", method, params, expires_ms)


async def until(holds: Callable[[], bool], limit_s: float = 5.0) -> None:
    deadline = asyncio.get_running_loop().time() + limit_s
    while not holds():
        assert asyncio.get_running_loop().time() < deadline
        await asyncio.sleep(0.005)


def in_rig(scenario: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        rig = Rig()
        await rig.start()
        try:
            await asyncio.wait_for(scenario(rig), 20)
        finally:
            await asyncio.gather(rig.a.stop(), rig.b.stop())

    asyncio.run(main())


def events(links: PeerLinks, event: Event) -> list[dict[str, Any]]:
    return [record.fields for record in links.events if record.event is event]


async def sleepy(params: Params, expires_ms: Millis) -> Result[Params, Failure]:
    await asyncio.sleep(params["ms"] / 1_000)
    return Ok(params)


async def raising(params: Params, expires_ms: Millis) -> Result[Params, Failure]:
    raise LookupError("a fault of the handler")


async def huge(params: Params, expires_ms: Millis) -> Result[Params, Failure]:
    return Ok({"body": b"0" * (FRAME_BYTES + 1)})


async def refusing(params: Params, expires_ms: Millis) -> Result[Params, Failure]:
    return Err(not_run(Code.NOT_OWNER, "not the owner", owner="c"))


def test_replies_out_of_order_reach_their_callers() -> None:
    """Guards against replies that are matched by their order."""

    async def scenario(rig: Rig) -> None:
        rig.b.register("sleepy", sleepy)
        calls = [rig.call("sleepy", ms=ms, n=ms) for ms in range(300, 0, -10)]
        replies = await asyncio.gather(*calls)
        assert [reply.unwrap()["n"] for reply in replies] == list(range(300, 0, -10))

    in_rig(scenario)


@pytest.mark.parametrize(
    ("handler", "code", "outcome"),
    [
        (raising, Code.INTERNAL, Outcome.UNKNOWN),
        (huge, Code.BODY_TOO_LARGE, Outcome.RAN),
        (refusing, Code.NOT_OWNER, Outcome.NOT_RUN),
        (None, Code.PEER_JUNK, Outcome.NOT_RUN),
    ],
    ids=["raises", "oversized reply", "refuses", "unknown method"],
)
def test_failure_of_a_call_is_numbered(
    handler: Any, code: Code, outcome: Outcome
) -> None:
    """Guards against a handler whose failure ends the link or the instance."""

    async def scenario(rig: Rig) -> None:
        rig.b.register("sleepy", sleepy)
        if handler is not None:
            rig.b.register("method", handler)
        failure = (await rig.call("method")).unwrap_err()
        assert (failure.code, failure.outcome) == (code, outcome)
        assert (await rig.call("sleepy", ms=0)).is_ok()

    in_rig(scenario)


def test_caller_that_gives_up_cancels_and_drops_the_late_reply() -> None:
    """Guards against work for callers that are gone, and replies to nobody."""

    async def scenario(rig: Rig) -> None:
        ended: list[str] = []

        async def stubborn(params: Params, expires_ms: Millis) -> Any:
            left_ms = expires_ms - rig.clock.now_ms()
            assert 0 < left_ms <= 100
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                ended.append("cancelled")
            return Ok({})

        rig.b.register("stubborn", stubborn)
        failure = (await rig.call("stubborn", within_ms=100)).unwrap_err()
        expected = (Code.DEADLINE_EXCEEDED, Outcome.UNKNOWN)
        assert (failure.code, failure.outcome) == expected
        await until(lambda: rig.a.late_replies == 1)
        assert ended == ["cancelled"]
        assert events(rig.a, Event.LATE_REPLY_DROPPED)
        abandoned = asyncio.create_task(rig.call("stubborn", within_ms=100))
        await asyncio.sleep(0.05)
        abandoned.cancel()
        await until(lambda: len(ended) == 2)

    in_rig(scenario)


def test_broken_link_fails_pending_calls_and_is_opened_again() -> None:
    """Guards against callers that wait for a peer that is gone."""

    async def scenario(rig: Rig) -> None:
        rig.b.register("sleepy", sleepy)
        pending = asyncio.create_task(rig.call("sleepy", ms=10_000, within_ms=15_000))
        await asyncio.sleep(0.1)
        for link in rig.a._links.values():
            link._conn.transport.abort()
        failure = (await pending).unwrap_err()
        assert (failure.code, failure.outcome) == (Code.PEER_LOST, Outcome.UNKNOWN)
        failure = (await rig.call("sleepy", ms=0)).unwrap_err()
        expected = (Code.PEER_UNREACHABLE, Outcome.NOT_RUN)
        assert (failure.code, failure.outcome) == expected
        await until(lambda: rig.a.connected("b"))
        assert (await rig.call("sleepy", ms=0)).is_ok()

    in_rig(scenario)


def test_expired_peer_gets_no_new_call_but_its_answer_arrives() -> None:
    """Guards against answers that are thrown away because a heartbeat was late."""

    async def scenario(rig: Rig) -> None:
        rig.b.register("sleepy", sleepy)
        pending = asyncio.create_task(rig.call("sleepy", ms=800))
        await asyncio.sleep(0.05)
        del rig.rows["b"]
        await until(lambda: not rig.a.connected("b"))
        assert (await rig.call("sleepy", ms=0)).is_err()
        assert (await pending).is_ok()
        await until(lambda: not rig.a._links)

    in_rig(scenario)


def test_notes_and_stamps_travel() -> None:
    """Guards against effects that sort before their causes."""

    async def scenario(rig: Rig) -> None:
        notes: list[tuple[str, Params]] = []

        def broken(session: str, params: Params) -> None:
            raise LookupError("a fault of the handler")

        rig.b.on_notification("load", broken)
        rig.b.on_notification(
            "load", lambda session, params: notes.append((session, params))
        )
        ahead = HybridTimestamp(rig.clock.wall_ms() + 60_000, 0)
        rig.a.events.hybrid_clock.observe(ahead)
        rig.a.broadcast("load", {"free": 3})
        await until(lambda: notes == [("a", {"free": 3})])
        assert rig.b.events.hybrid_clock.tick() > ahead

    in_rig(scenario)


@pytest.mark.parametrize(
    ("frames", "code"),
    [
        *[([encode(HELLO).unwrap(), frame], Code.PEER_JUNK) for frame in JUNK.values()],
        ([b"\xff"], Code.PEER_JUNK),
        ([encode(MESSAGES[1]).unwrap()], Code.PEER_JUNK),
        ([encode(HELLO).unwrap()] * 2, Code.PEER_JUNK),
        ([cbor2.dumps(["hello", 2, {"any": "shape"}])], Code.PEER_VERSION),
    ],
    ids=[*JUNK.keys(), "first junk", "no hello", "two hellos", "version"],
)
def test_bad_client_gets_a_numbered_close(
    frames: list[bytes | str], code: Code
) -> None:
    """Guards against a bad peer that ends the instance or stays connected."""

    async def scenario(rig: Rig) -> None:
        uri = f"ws://127.0.0.1:{rig.b.port}/"
        conn = await connect(uri, proxy=None, compression=None)
        with suppress(ConnectionClosed):
            for frame in frames:
                await conn.send(frame)
        await asyncio.wait_for(conn.wait_closed(), 5)
        # 1009 is the library's own close code for a message that is too big.
        assert conn.close_code in (4_000 + code, 1_009)
        await until(lambda: bool(events(rig.b, Event.PEER_REJECTED)))
        assert events(rig.b, Event.PEER_REJECTED)[0]["code"] == code
        rig.b.register("sleepy", sleepy)
        assert (await rig.call("sleepy", ms=0)).is_ok()

    in_rig(scenario)


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (encode(HELLO).unwrap(), Code.PEER_UNREACHABLE),
        (cbor2.dumps(["hello", 2]), Code.PEER_VERSION),
        (b"\xff", Code.PEER_JUNK),
    ],
    ids=["other session", "version", "junk"],
)
def test_bad_server_is_not_a_peer(answer: bytes, code: Code) -> None:
    """Guards against calls to another process that took over a peer's port."""

    async def scenario(rig: Rig) -> None:
        async def greet(conn: ServerConnection) -> None:
            await conn.recv()
            await conn.send(answer)
            await conn.wait_closed()

        async with serve(greet, "127.0.0.1", 0) as server:
            rig.show("c", next(iter(server.sockets)).getsockname()[1])
            await until(lambda: bool(events(rig.a, Event.PEER_REJECTED)))
            assert events(rig.a, Event.PEER_REJECTED)[0]["code"] == code
            assert not rig.a.connected("c")
            del rig.rows["c"]
            await asyncio.sleep(0.4)

    in_rig(scenario)


def test_duplicate_reply_is_dropped() -> None:
    """Guards against a reply that answers a later call."""

    async def scenario(rig: Rig) -> None:
        async def twice(conn: ServerConnection) -> None:
            await conn.recv()
            await conn.send(encode(HELLO._replace(session="c")).unwrap())
            while True:
                call = decode(await conn.recv()).unwrap()
                assert isinstance(call, Call)
                reply = Reply(call.call_id, call.params, None, STAMP)
                for _ in range(2):
                    await conn.send(encode(reply).unwrap())

        async with serve(twice, "127.0.0.1", 0) as server:
            rig.show("c", next(iter(server.sockets)).getsockname()[1])
            await until(lambda: rig.a.connected("c"))
            for n in range(5):
                expires_ms = rig.clock.now_ms() + 1_000
                reply = await rig.a.call("c", "execute", {"n": n}, expires_ms)
                assert reply == Ok({"n": n})
            await until(lambda: rig.a.late_replies == 5)

    in_rig(scenario)


def test_peer_that_does_not_read_fills_no_memory() -> None:
    """Guards against an outgoing queue without a bound."""

    async def scenario(rig: Rig) -> None:
        done = asyncio.Event()

        async def deaf(conn: ServerConnection) -> None:
            await conn.recv()
            await conn.send(encode(HELLO._replace(session="c")).unwrap())
            conn.transport.pause_reading()
            await done.wait()

        async with serve(deaf, "127.0.0.1", 0, close_timeout=0.1) as server:
            rig.show("c", next(iter(server.sockets)).getsockname()[1])
            await until(lambda: rig.a.connected("c"))
            for _ in range(40):
                rig.a.notify("c", "load", {"body": b"0" * 2**20})
            expires_ms = rig.clock.now_ms() + 100
            reply = await rig.a.call("c", "execute", {"b": b"0" * 2**20}, expires_ms)
            assert reply.unwrap_err().code is Code.PEER_UNREACHABLE
            assert rig.a.dropped_notes > 0
            rig.rows.clear()
            done.set()
            for link in rig.a._links.values():
                link._conn.transport.abort()

    in_rig(scenario)
