"""Bounded readers for data of other writers: rows, replies, messages and files.

A parser of such data raises ``InputError``, and nothing else, for what it can't use, so
that its reader can set aside one bad item and go on with the others.
"""

import json
import math
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any, TypeVar

from hyssopweir.events import Event, EventLog

T = TypeVar("T")

# Deeper data is never written by this project or by the platform.
MAX_DEPTH = 16
# Answers, records of events and files may contain JSON values of callers.
MAX_ANSWER_DEPTH = 100
# Starts of the escape of half a surrogate pair in JSON.
SURROGATE_ESCAPES = ("\\ud", "\\uD")
# JSON numbers beyond this aren't exact in every implementation.
MAX_WHOLE = 2**53 - 1
# Free JSON values of callers may contain numbers of 64 bits.
MAX_WHOLE_CHARS = 20
MAX_TEXT_CHARS = 1_000
MAX_PORT = 65_535
MAX_FAULT_CHARS = 200
MAX_LOGGED_FAULTS = 1_000

# What parsers raise on data of an unexpected form. ``RecursionError`` comes from deep
# nesting, ``OverflowError`` from the conversion of an infinite number.
PARSE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class InputError(ValueError):
    """Data of another writer that can't be used; the text contains no long value."""


@contextmanager
def input_errors(name: str) -> Iterator[None]:
    """Convert every error of a parser into an ``InputError`` about ``name``."""
    try:
        yield
    except InputError:
        raise
    except PARSE_ERRORS as exc:
        raise InputError(f"{name}: {describe_fault(exc)}") from exc


def describe_fault(exc: BaseException) -> str:
    """Return the type and text of an exception, shortened for a log line."""
    return f"{type(exc).__name__}: {exc}"[:MAX_FAULT_CHARS]


def parse_bounded_json(body: bytes | str, max_depth: int = MAX_DEPTH) -> Any:
    """Return the JSON value in ``body``.

    Its whole numbers have 64 bits or few more, its floats are finite, its depth is
    bounded and its texts can be encoded in UTF-8.
    """
    try:
        # ``json.loads`` accepts surrogates in bytes.
        text = body if isinstance(body, str) else body.decode()
        data = DECODER.decode(text)
    except RecursionError as exc:
        raise InputError("nested too deeply") from exc
    except InputError:
        raise
    except ValueError as exc:
        raise InputError(f"not JSON: {describe_fault(exc)}") from exc
    if text.count("[") + text.count("{") > max_depth:
        _require_depth(data, max_depth)
    if "\\" in text and any(escape in text for escape in SURROGATE_ESCAPES):
        _require_encodable(data)
    return data


def _parse_whole(text: str) -> int:
    if len(text) > MAX_WHOLE_CHARS:
        raise InputError("a number is too large")
    return int(text)


def _parse_finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise InputError("a number is too large")
    return number


def _reject_constant(name: str) -> float:
    raise InputError(f"{name} is not a JSON number")


# A decoder of its own for each call takes as long as the decoding of a short row.
DECODER = json.JSONDecoder(
    parse_int=_parse_whole, parse_float=_parse_finite, parse_constant=_reject_constant
)


def _require_encodable(data: Any) -> None:
    with input_errors("text"):
        json.dumps(data, ensure_ascii=False).encode()


def _require_depth(data: Any, max_depth: int) -> None:
    level = [data] if isinstance(data, dict | list) else []
    for _ in range(max_depth):
        if not level:
            return
        level = [
            child
            for node in level
            for child in (node.values() if isinstance(node, dict) else node)
            if isinstance(child, dict | list)
        ]
    if level:
        raise InputError("nested too deeply")


def read_object(value: Any, name: str) -> dict[str, Any]:
    """Return a JSON object."""
    if not isinstance(value, dict):
        raise InputError(f"{name} is not an object")
    return value


def read_int(value: Any, name: str, low: int = 0, high: int = MAX_WHOLE) -> int:
    """Return a whole number within ``low`` and ``high``, both included."""
    if type(value) is not int:
        raise InputError(f"{name} is not a whole number")
    if not low <= value <= high:
        raise InputError(f"{name} is not within {low} and {high}")
    return value


def read_float(value: Any, name: str, low: float, high: float) -> float:
    """Return a finite number within ``low`` and ``high``, both included."""
    if type(value) not in (int, float):
        raise InputError(f"{name} is not a number")
    # The comparison is false for NaN, and exact for an int of any size.
    if not low <= value <= high:
        raise InputError(f"{name} is not within {low} and {high}")
    return float(value)


def read_bool(value: Any, name: str) -> bool:
    """Return a boolean."""
    if type(value) is not bool:
        raise InputError(f"{name} is not a boolean")
    return value


def read_text(
    value: Any, name: str, max_chars: int = MAX_TEXT_CHARS, min_chars: int = 0
) -> str:
    """Return a text of bounded length that can be encoded in UTF-8."""
    if not isinstance(value, str):
        raise InputError(f"{name} is not a text")
    if not min_chars <= len(value) <= max_chars:
        raise InputError(f"{name} has not {min_chars} to {max_chars} characters")
    # JSON can carry half of a surrogate pair, which no later encoder accepts.
    if not value.isascii():
        with input_errors(name):
            value.encode()
    return value


def read_list(value: Any, name: str, max_items: int) -> list[Any]:
    """Return a list of bounded length."""
    if not isinstance(value, list):
        raise InputError(f"{name} is not a list")
    if len(value) > max_items:
        raise InputError(f"{name} has more than {max_items} items")
    return value


def read_map(value: Any, name: str, max_items: int) -> dict[str, Any]:
    """Return a JSON object with a bounded number of fields."""
    data = read_object(value, name)
    if len(data) > max_items:
        raise InputError(f"{name} has more than {max_items} fields")
    return data


def read_choice(value: Any, name: str, choices: Mapping[str, T]) -> T:
    """Return the choice that the text ``value`` names."""
    if not isinstance(value, str) or value not in choices:
        raise InputError(f"{name} is none of {', '.join(choices)}")
    return choices[value]


class FaultLog:
    """Log of items that were set aside.

    Many items are rewritten or read again several times a second, so that a line is
    logged only when the fault of an item is new or has changed.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._faults: OrderedDict[str, str] = OrderedDict()

    def record(self, item: str, exc: Exception, **fields: Any) -> None:
        """Log the fault of an item, unless it is the one logged last."""
        fault = describe_fault(exc)
        if self._faults.get(item) == fault:
            return
        self._faults[item] = fault
        self._faults.move_to_end(item)
        if len(self._faults) > MAX_LOGGED_FAULTS:
            self._faults.popitem(last=False)
        self._log.emit(Event.BAD_INPUT, source=item, error=fault, **fields)

    def clear(self, item: str) -> None:
        """Forget the fault of an item that is readable again, or gone."""
        self._faults.pop(item, None)

    def read(self, item: str, parse: Callable[..., T], *args: Any) -> T | None:
        """Return what ``parse`` returns, None after logging its ``InputError``."""
        try:
            value = parse(*args)
        except InputError as exc:
            self.record(item, exc)
            return None
        self.clear(item)
        return value
