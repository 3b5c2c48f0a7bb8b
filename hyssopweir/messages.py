"""Messages between entry instances and their CBOR form.

A frame holds one CBOR array: the name of the message, then its fields in order. The
array of a ``Hello`` starts with its name and the version in every protocol version, so
that each side can name the other's version.
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
FRAME_BYTES = 5 * 1024 * 1024
DEEPEST_NESTING = 32
NAME_CHARACTERS = 256
# Integers stay exact in every JSON and CBOR implementation up to this bound.
LARGEST_INTEGER = 2**53


class Hello(NamedTuple):
    """Open a link: protocol version and the sender's session."""

    version: int
    session: str
    stamp: HybridTimestamp


class Call(NamedTuple):
    """Call a method; ``deadline_ms`` is the time that remains for the answer."""

    call_id: int
    method: str
    params: dict[str, Any]
    deadline_ms: Millis
    stamp: HybridTimestamp


class Reply(NamedTuple):
    """Answer the call ``call_id``; exactly one of result and failure is set."""

    call_id: int
    result: dict[str, Any] | None
    failure: Failure | None
    stamp: HybridTimestamp


class Cancel(NamedTuple):
    """Tell that the caller does not wait for the call any more."""

    call_id: int
    stamp: HybridTimestamp


class Notification(NamedTuple):
    """Announce something; notes are not answered."""

    topic: str
    params: dict[str, Any]
    stamp: HybridTimestamp


Message = Hello | Call | Reply | Cancel | Notification


@singledispatch
def wire_form(message: Message) -> list[Any]:
    """Return the array that travels for ``message``."""
    raise TypeError(f"not a message: {type(message).__name__}")


@wire_form.register
def _hello_form(message: Hello) -> list[Any]:
    return ["hello", message.version, message.session, list(message.stamp)]


@wire_form.register
def _call_form(message: Call) -> list[Any]:
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


@wire_form.register
def _reply_form(message: Reply) -> list[Any]:
    failure = message.failure
    data = failure_to_dict(failure) if failure is not None else None
    return ["reply", message.call_id, message.result, data, list(message.stamp)]


@wire_form.register
def _cancel_form(message: Cancel) -> list[Any]:
    return ["cancel", message.call_id, list(message.stamp)]


@wire_form.register
def _note_form(message: Notification) -> list[Any]:
    return ["note", message.topic, message.params, list(message.stamp)]


def encode(message: Message) -> Result[bytes, Failure]:
    """Return the frame; ``BODY_TOO_LARGE`` or ``INTERNAL`` if it can't be sent."""
    try:
        frame = cbor2.dumps(wire_form(message))
    except (cbor2.CBOREncodeError, RecursionError, ValueError, TypeError) as exc:
        return Err(not_run(Code.INTERNAL, f"the message can't be encoded: {exc}"))
    if len(frame) > FRAME_BYTES:
        detail = f"the message takes {len(frame)} of at most {FRAME_BYTES} bytes"
        return Err(not_run(Code.BODY_TOO_LARGE, detail))
    return Ok(frame)


def decode(frame: bytes | str) -> Result[Message, Failure]:
    """Return the message of a frame, else ``PEER_JUNK`` or ``PEER_VERSION``."""
    if isinstance(frame, str):
        return Err(_junk("a text frame"))
    if len(frame) > FRAME_BYTES:
        return Err(_junk(f"a frame of {len(frame)} bytes, at most {FRAME_BYTES}"))
    try:
        return _message(_plain(frame))
    except _JunkError as exc:
        return Err(_junk(str(exc)))
    except (cbor2.CBORDecodeError, RecursionError, ValueError, OverflowError) as exc:
        return Err(_junk(f"broken CBOR: {exc}"))


class _JunkError(Exception):
    """Leave the decoder; never raised out of this module."""


def _junk(detail: str) -> Failure:
    return unknown(Code.PEER_JUNK, detail)


def _refuse_tag(*_args: Any) -> Any:
    raise _JunkError("a tagged CBOR value")


# Tags that cbor2 decodes by itself; shared references among them can form cycles.
KNOWN_TAGS = (
    *range(6),
    *(25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258, 260, 261, 1_004),
    *(43_000, 55_799),
)
REFUSED_TAGS = dict.fromkeys(KNOWN_TAGS, _refuse_tag)


def _plain(frame: bytes) -> Any:
    """Decode a frame that holds exactly one value of plain types."""
    source = BytesIO(frame)
    value = cbor2.CBORDecoder(
        source,
        tag_hook=_refuse_tag,
        semantic_decoders=REFUSED_TAGS,
        max_depth=DEEPEST_NESTING,
        allow_indefinite=False,
        allow_duplicate_keys=False,
    ).decode()
    if source.read(1):
        raise _JunkError("bytes after the message")
    _require_plain(value)
    return value


def _require_plain(value: Any) -> None:
    if value is None or isinstance(value, (bool, int, float, str, bytes)):
        return
    if isinstance(value, list):
        for item in value:
            _require_plain(item)
        return
    if not isinstance(value, dict):
        raise _JunkError(f"a value of type {type(value).__name__}")
    for key, item in value.items():
        if not isinstance(key, str):
            raise _JunkError("a map key that is not text")
        _require_plain(item)


def _message(value: Any) -> Result[Message, Failure]:
    if not isinstance(value, list) or not value:
        raise _JunkError("not a message")
    name, *fields = value
    if name == "hello" and fields and fields[0] != PROTOCOL_VERSION:
        detail = f"protocol version {fields[0]!r:.20}, here {PROTOCOL_VERSION}"
        return Err(not_run(Code.PEER_VERSION, detail))
    form = FORMS.get(name) if isinstance(name, str) else None
    if form is None:
        raise _JunkError(f"unknown message {name!r:.40}")
    make, checks = form
    if len(fields) != len(checks):
        raise _JunkError(f"{name} with {len(fields)} fields, expected {len(checks)}")
    message = make(*(check(field) for check, field in zip(checks, fields, strict=True)))
    if isinstance(message, Reply) and (message.result is None) is (
        message.failure is None
    ):
        raise _JunkError("a reply needs either a result or a failure")
    return Ok(message)


def _integer(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= LARGEST_INTEGER:
        raise _JunkError(f"not an integer in range: {value!r:.40}")
    return value


def _name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= NAME_CHARACTERS:
        raise _JunkError(f"not a name: {value!r:.40}")
    return value


def _params(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _JunkError(f"not a map: {value!r:.40}")
    return value


def _stamp(value: Any) -> HybridTimestamp:
    if not isinstance(value, list) or len(value) != len(HybridTimestamp._fields):
        raise _JunkError(f"not a stamp: {value!r:.40}")
    return HybridTimestamp(_integer(value[0]), _integer(value[1]))


def _failure(value: Any) -> Failure | None:
    if value is None:
        return None
    try:
        return failure_from_dict(_params(value))
    except (ValueError, KeyError, TypeError) as exc:
        raise _JunkError(f"not a failure: {exc!r:.80}") from exc


def _result(value: Any) -> dict[str, Any] | None:
    return None if value is None else _params(value)


Checks = tuple[Callable[[Any], Any], ...]
FORMS: dict[str, tuple[Callable[..., Message], Checks]] = {
    "hello": (Hello, (_integer, _name, _stamp)),
    "call": (Call, (_integer, _name, _params, _integer, _stamp)),
    "reply": (Reply, (_integer, _result, _failure, _stamp)),
    "cancel": (Cancel, (_integer, _stamp)),
    "note": (Notification, (_name, _params, _stamp)),
}
