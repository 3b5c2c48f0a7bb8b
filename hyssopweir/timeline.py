"""One timeline of the events of all processes, as text or as a Chrome trace."""

import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from hyssopweir.events import Event

Record = dict[str, Any]
Place = tuple[int, int, str, int]

MICROSECONDS_PER_MS = 1_000
HEADER_FIELDS = ("stamp", "seq", "instance", "data_centre", "event", "name")
REQUEST_IDS = ("request_id", "request")
TASK_IDS = ("task",)
SPAN_STARTS = {
    Event.REQUEST_RECEIVED: ("request", REQUEST_IDS),
    Event.TASK_STARTED: ("task", TASK_IDS),
    Event.TASK_RESUMED: ("task", TASK_IDS),
    Event.TASK_ADOPTED: ("task", TASK_IDS),
}
SPAN_ENDS = {
    Event.REQUEST_ANSWERED: ("request", REQUEST_IDS),
    Event.REQUEST_REFUSED: ("request", REQUEST_IDS),
    Event.REQUEST_FAILED: ("request", REQUEST_IDS),
    Event.TASK_DONE: ("task", TASK_IDS),
    Event.TASK_FAILED: ("task", TASK_IDS),
    Event.TASK_EVICTED: ("task", TASK_IDS),
    Event.TASK_LAPSED: ("task", TASK_IDS),
    Event.TASK_CANCELLED: ("task", TASK_IDS),
}


class Timeline(NamedTuple):
    """Hold events in order, and how many inputs could not be used."""

    records: tuple[Record, ...]
    broken: int


def read_lines(lines: Iterable[str]) -> Timeline:
    """Read JSON lines; empty lines are ignored, broken ones counted."""
    values: list[Any] = []
    broken = 0
    for line in lines:
        if not line.strip():
            continue
        try:
            values.append(json.loads(line))
        except (ValueError, RecursionError):
            broken += 1
    checked = check_records(values)
    return Timeline(checked.records, checked.broken + broken)


def check_records(values: Iterable[Any]) -> Timeline:
    """Keep the values that are event records and count the others."""
    records: list[Record] = []
    broken = 0
    for value in values:
        if _is_record(value):
            records.append(value)
        else:
            broken += 1
    return Timeline(tuple(records), broken)


def merge(parts: Sequence[Timeline]) -> Timeline:
    """Merge by stamp, instance and sequence number.

    The same event read from a log and from its instance appears once. Two processes of
    the same instance name may repeat a place, so the whole record is compared.
    """
    unique: dict[tuple[Place, str], Record] = {}
    for part in parts:
        for record in part.records:
            content = json.dumps(record, sort_keys=True)
            unique[place_of(record), content] = record
    ordered = tuple(unique[key] for key in sorted(unique))
    return Timeline(ordered, sum(part.broken for part in parts))


def place_of(record: Record) -> Place:
    """Return the place of an event in the order of all processes."""
    ms, counter = record["stamp"]
    return ms, counter, record["instance"], record["seq"]


def format_text(timeline: Timeline) -> str:
    """Return one aligned line for each event; times are ms after the first event."""
    if not timeline.records:
        return "no events"
    first_ms = timeline.records[0]["stamp"][0]
    widths = [
        max(len(record[name]) for record in timeline.records)
        for name in ("instance", "name")
    ]
    return "\n".join(
        _text_line(record, first_ms, widths) for record in timeline.records
    )


def _text_line(record: Record, first_ms: int, widths: Sequence[int]) -> str:
    ms, counter = record["stamp"]
    fields = " ".join(
        f"{name}={_format_value(value)}" for name, value in _fields(record).items()
    )
    line = (
        f"{ms - first_ms:>9} ms +{counter:<3} {record['instance']:<{widths[0]}}  "
        f"{record['event']} {record['name']:<{widths[1]}}  {fields}"
    )
    return line.rstrip()


def _format_value(value: Any) -> str:
    if isinstance(value, str) and value and " " not in value:
        return value
    return json.dumps(value)


def to_trace(timeline: Timeline) -> dict[str, Any]:
    """Return Chrome trace-event JSON with one row (process) for each instance.

    A request or task whose start and end were both logged by one instance is an
    asynchronous span, because spans of one instance overlap; every event is an instant.
    """
    names = sorted({record["instance"] for record in timeline.records})
    rows = {name: number for number, name in enumerate(names, start=1)}
    events = [_row_name(name, number) for name, number in rows.items()]
    events.extend(_instant(record, rows) for record in timeline.records)
    events.extend(_spans(timeline.records, rows))
    return {"traceEvents": events, "displayTimeUnit": "ms"}


def _row_name(name: str, number: int) -> Record:
    return {"ph": "M", "name": "process_name", "pid": number, "args": {"name": name}}


def _instant(record: Record, rows: dict[str, int]) -> Record:
    return {
        "ph": "i",
        "s": "t",
        "name": record["name"],
        "cat": "event",
        "ts": _microseconds(record),
        "pid": rows[record["instance"]],
        "tid": 0,
        "args": {"event": record["event"], "seq": record["seq"], **_fields(record)},
    }


def _spans(records: Sequence[Record], rows: dict[str, int]) -> list[Record]:
    open_spans: dict[tuple[str, str, str], Record] = {}
    spans: list[Record] = []
    for record in records:
        started = _span_key(record, SPAN_STARTS)
        if started is not None and not _is_same_run(open_spans.get(started), record):
            open_spans[started] = record
        ended = _span_key(record, SPAN_ENDS)
        start = open_spans.pop(ended, None) if ended is not None else None
        if ended is not None and start is not None:
            number = len(spans) // 2 + 1
            spans.append(_span_edge("b", number, ended, start, rows))
            spans.append(_span_edge("e", number, ended, record, rows))
    return spans


def _is_same_run(start: Record | None, record: Record) -> bool:
    """Tell whether a span is open for this run; the end of an older one was lost."""
    return start is not None and start.get("run") == record.get("run")


def _span_key(
    record: Record,
    edges: dict[Event, tuple[str, tuple[str, ...]]],
) -> tuple[str, str, str] | None:
    edge = edges.get(record["event"])
    if edge is None:
        return None
    kind, names = edge
    for name in names:
        if record.get(name):
            return record["instance"], kind, str(record[name])
    return None


def _span_edge(
    phase: str,
    number: int,
    key: tuple[str, str, str],
    record: Record,
    rows: dict[str, int],
) -> Record:
    instance, kind, name = key
    return {
        "ph": phase,
        "cat": kind,
        "id": number,
        "name": f"{kind} {name}",
        "ts": _microseconds(record),
        "pid": rows[instance],
        "tid": 0,
        "args": _fields(record),
    }


def _microseconds(record: Record) -> int:
    """Add the counter as microseconds, so that equal milliseconds keep their order."""
    ms, counter = record["stamp"]
    return int(ms * MICROSECONDS_PER_MS + min(counter, MICROSECONDS_PER_MS - 1))


def _fields(record: Record) -> dict[str, Any]:
    return {name: value for name, value in record.items() if name not in HEADER_FIELDS}


def _is_record(value: Any) -> bool:
    if not isinstance(value, dict):
        return False
    stamp = value.get("stamp")
    if not isinstance(stamp, list) or [type(part) for part in stamp] != [int, int]:
        return False
    if type(value.get("seq")) is not int or type(value.get("event")) is not int:
        return False
    return all(isinstance(value.get(name), str) for name in ("instance", "name"))
