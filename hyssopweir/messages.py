"""Messages between entry instances and their CBOR encoding.

A frame holds one CBOR array: the message name, then the fields in order. In every
protocol version the array of a ``Hello`` starts with its name and the version, so that
each side can report the version of the other.
"""

from collections.abc import Callable
from functools import singledispatch
from io import BytesIO
from typing import Any, NamedTuple

import cbor2
from result import Err, Ok, Result

from hyssopweir.clock import HybridTimestamp, Millis
from hyssopweir.codes import (
    Code,
    Failure,
    failure_from_dict,
    failure_to_dict,
    not_run,
    unknown,
)

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 5 * 1024 * 1024
MAX_NESTING_DEPTH = 32
MAX_NAME_CHARACTERS = 256
# Integers up to this bound are exact in every JSON and CBOR implementation.
MAX_INTEGER = 2**53


class Hello(NamedTuple):
    """First message on a link: the protocol version and the sender's session."""

    version: int
    session: str
    stamp: HybridTimestamp


class Call(NamedTuple):
    """Request to run a method; ``deadline_ms`` is the time left for the reply."""

    call_id: int
    method: str
    params: dict[str, Any]
    deadline_ms: Millis
    stamp: HybridTimestamp


class Reply(NamedTuple):
    """Reply to the call ``call_id``; exactly one of result and failure is set."""

    call_id: int
    result: dict[str, Any] | None
    failure: Failure | None
    stamp: HybridTimestamp


class Cancel(NamedTuple):
    """Request to stop a call that the caller no longer waits for."""

    call_id: int
    stamp: HybridTimestamp


class Notification(NamedTuple):
    """One-way message to the handlers of a topic."""

    topic: str
    params: dict[str, Any]
    stamp: HybridTimestamp


Message = Hello | Call | Reply | Cancel | Notification


@singledispatch
def encode_to_array(message: Message) -> list[Any]:
    """Return the array that is sent for ``message``: its name, then its fields."""
    raise TypeError(f"not a message: {type(message).__name__}")


@encode_to_array.register
def _encode_hello(message: Hello) -> list[Any]:
    return ["hello", message.version, message.session, list(message.stamp)]


@encode_to_array.register
def _encode_call(message: Call) -> list[Any]:
    stamp = list(message.stamp)
    deadline_ms = message.deadline_ms
    return [
        "call",
        message.call_id,
        message.method,
        message.params,
        deadline_ms,
        stamp,
    ]


@encode_to_array.register
def _encode_reply(message: Reply) -> list[Any]:
    failure = message.failure
    data = failure_to_dict(failure) if failure is not None else None
    return ["reply", message.call_id, message.result, data, list(message.stamp)]


@encode_to_array.register
def _encode_cancel(message: Cancel) -> list[Any]:
    return ["cancel", message.call_id, list(message.stamp)]


@encode_to_array.register
def _encode_notification(message: Notification) -> list[Any]:
    return ["note", message.topic, message.params, list(message.stamp)]


def encode_message(message: Message) -> Result[bytes, Failure]:
    """Return the frame, else ``BODY_TOO_LARGE`` or ``INTERNAL``."""
    try:
        frame = cbor2.dumps(encode_to_array(message))
    except (cbor2.CBOREncodeError, RecursionError, ValueError, TypeError) as exc:
        return Err(not_run(Code.INTERNAL, f"the message can't be encoded: {exc}"))
    if len(frame) > MAX_FRAME_BYTES:
        detail = f"message of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}"
        return Err(not_run(Code.BODY_TOO_LARGE, detail))
    return Ok(frame)


def parse_message(frame: bytes | str) -> Result[Message, Failure]:
    """Return the message in a frame, else ``PEER_JUNK`` or ``PEER_VERSION``."""
    if isinstance(frame, str):
        return Err(_malformed_frame("unexpected text frame"))
    if len(frame) > MAX_FRAME_BYTES:
        return Err(
            _malformed_frame(f"frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}")
        )
    try:
        return _parse_array(_parse_cbor(frame))
    except _MalformedFrameError as exc:
        return Err(_malformed_frame(str(exc)))
    except (cbor2.CBORDecodeError, RecursionError, ValueError, OverflowError) as exc:
        return Err(_malformed_frame(f"invalid CBOR: {exc}"))


class _MalformedFrameError(Exception):
    """Raised for an invalid frame; ``parse_message`` turns it into a failure."""


def _malformed_frame(detail: str) -> Failure:
    return unknown(Code.PEER_JUNK, detail)


def _reject_tag(*_args: Any) -> Any:
    raise _MalformedFrameError("unsupported CBOR tag")


# Tags that cbor2 decodes by default; shared references can form cyclic values.
KNOWN_TAGS = (
    *range(6),
    *(25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258, 260, 261, 1_004),
    *(43_000, 55_799),
)
REJECTED_TAGS = dict.fromkeys(KNOWN_TAGS, _reject_tag)


def _parse_cbor(frame: bytes) -> Any:
    """Parse a frame that holds exactly one value of untagged types."""
    source = BytesIO(frame)
    value = cbor2.CBORDecoder(
        source,
        tag_hook=_reject_tag,
        semantic_decoders=REJECTED_TAGS,
        max_depth=MAX_NESTING_DEPTH,
        allow_indefinite=False,
        allow_duplicate_keys=False,
    ).decode()
    if source.read(1):
        raise _MalformedFrameError("trailing bytes after the message")
    _check_plain_types(value)
    return value


def _check_plain_types(value: Any) -> None:
    if value is None or isinstance(value, (bool, int, float, str, bytes)):
        return
    if isinstance(value, list):
        for item in value:
            _check_plain_types(item)
        return
    if not isinstance(value, dict):
        raise _MalformedFrameError(f"unsupported type {type(value).__name__}")
    for key, item in value.items():
        if not isinstance(key, str):
            raise _MalformedFrameError("map key is not a string")
        _check_plain_types(item)


def _parse_array(value: Any) -> Result[Message, Failure]:
    if not isinstance(value, list) or not value:
        raise _MalformedFrameError("message is not a non-empty array")
    name, *fields = value
    if name == "hello" and fields and fields[0] != PROTOCOL_VERSION:
        detail = f"protocol version {fields[0]!r:.20}, expected {PROTOCOL_VERSION}"
        return Err(not_run(Code.PEER_VERSION, detail))
    message_format = MESSAGE_FORMATS.get(name) if isinstance(name, str) else None
    if message_format is None:
        raise _MalformedFrameError(f"unknown message {name!r:.40}")
    constructor, field_parsers = message_format
    if len(fields) != len(field_parsers):
        raise _MalformedFrameError(
            f"{name} with {len(fields)} fields, expected {len(field_parsers)}"
        )
    message = constructor(
        *(
            parse_field(field)
            for parse_field, field in zip(field_parsers, fields, strict=True)
        )
    )
    if isinstance(message, Reply) and (message.result is None) is (
        message.failure is None
    ):
        raise _MalformedFrameError("reply must have exactly one of result and failure")
    return Ok(message)


def _parse_integer(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise _MalformedFrameError(f"not an integer in range: {value!r:.40}")
    return value


def _parse_name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARACTERS:
        raise _MalformedFrameError(f"invalid name: {value!r:.40}")
    return value


def _parse_params(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _MalformedFrameError(f"not a map: {value!r:.40}")
    return value


def _parse_stamp(value: Any) -> HybridTimestamp:
    if not isinstance(value, list) or len(value) != len(HybridTimestamp._fields):
        raise _MalformedFrameError(f"invalid stamp: {value!r:.40}")
    return HybridTimestamp(_parse_integer(value[0]), _parse_integer(value[1]))


def _parse_failure(value: Any) -> Failure | None:
    if value is None:
        return None
    try:
        return failure_from_dict(_parse_params(value))
    except (ValueError, KeyError, TypeError) as exc:
        raise _MalformedFrameError(f"invalid failure: {exc!r:.80}") from exc


def _parse_result(value: Any) -> dict[str, Any] | None:
    return None if value is None else _parse_params(value)


FieldParsers = tuple[Callable[[Any], Any], ...]
MESSAGE_FORMATS: dict[str, tuple[Callable[..., Message], FieldParsers]] = {
    "hello": (Hello, (_parse_integer, _parse_name, _parse_stamp)),
    "call": (
        Call,
        (_parse_integer, _parse_name, _parse_params, _parse_integer, _parse_stamp),
    ),
    "reply": (Reply, (_parse_integer, _parse_result, _parse_failure, _parse_stamp)),
    "cancel": (Cancel, (_parse_integer, _parse_stamp)),
    "note": (Notification, (_parse_name, _parse_params, _parse_stamp)),
}
