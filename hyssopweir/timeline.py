"""Merged timeline of the events of all processes, as text or as a Chrome trace."""

import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from hyssopweir.events import Event
from hyssopweir.input_bounds import MAX_ANSWER_DEPTH, InputError, parse_bounded_json

Record = dict[str, Any]
EventOrder = tuple[int, int, str, int]

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
    """Ordered event records and the number of inputs that were not event records."""

    records: tuple[Record, ...]
    malformed_count: int


def parse_lines(lines: Iterable[str]) -> Timeline:
    """Parse JSON lines; empty lines are ignored and malformed ones are counted."""
    values: list[Any] = []
    malformed_count = 0
    for line in lines:
        if not line.strip():
            continue
        try:
            values.append(parse_bounded_json(line, MAX_ANSWER_DEPTH))
        except InputError:
            malformed_count += 1
    checked = check_records(values)
    return Timeline(checked.records, checked.malformed_count + malformed_count)


def check_records(values: Iterable[Any]) -> Timeline:
    """Return the values that are event records, and count the others."""
    records: list[Record] = []
    malformed_count = 0
    for value in values:
        if _is_record(value):
            records.append(value)
        else:
            malformed_count += 1
    return Timeline(tuple(records), malformed_count)


def merge_timelines(timelines: Sequence[Timeline]) -> Timeline:
    """Merge timelines by timestamp, instance and sequence number.

    An event that was read both from a log and from its instance appears once. Two
    processes with the same instance name may repeat a sort key, so duplicates are
    detected by the whole record.
    """
    unique: dict[tuple[EventOrder, str], Record] = {}
    for timeline in timelines:
        for record in timeline.records:
            content = json.dumps(record, sort_keys=True)
            unique[event_order(record), content] = record
    ordered = tuple(unique[key] for key in sorted(unique))
    return Timeline(ordered, sum(timeline.malformed_count for timeline in timelines))


def event_order(record: Record) -> EventOrder:
    """Return the sort key of an event among the events of all processes."""
    ms, counter = record["stamp"]
    return ms, counter, record["instance"], record["seq"]


def format_text(timeline: Timeline) -> str:
    """Return one aligned line per event, with times in ms since the first event."""
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
        f"{name}={_format_value(value)}"
        for name, value in _event_fields(record).items()
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
    """Return Chrome trace-event JSON with one process for each instance.

    Every event is an instant event. A request or task whose start and end were logged
    by the same instance is also an asynchronous span, because the spans of one instance
    overlap.
    """
    names = sorted({record["instance"] for record in timeline.records})
    process_ids = {name: process_id for process_id, name in enumerate(names, start=1)}
    events = [
        _process_name_event(name, process_id)
        for name, process_id in process_ids.items()
    ]
    events.extend(_instant_event(record, process_ids) for record in timeline.records)
    events.extend(_span_events(timeline.records, process_ids))
    return {"traceEvents": events, "displayTimeUnit": "ms"}


def _process_name_event(name: str, process_id: int) -> Record:
    return {
        "ph": "M",
        "name": "process_name",
        "pid": process_id,
        "args": {"name": name},
    }


def _instant_event(record: Record, process_ids: dict[str, int]) -> Record:
    return {
        "ph": "i",
        "s": "t",
        "name": record["name"],
        "cat": "event",
        "ts": _timestamp_us(record),
        "pid": process_ids[record["instance"]],
        "tid": 0,
        "args": {
            "event": record["event"],
            "seq": record["seq"],
            **_event_fields(record),
        },
    }


def _span_events(
    records: Sequence[Record], process_ids: dict[str, int]
) -> list[Record]:
    open_spans: dict[tuple[str, str, str], Record] = {}
    spans: list[Record] = []
    for record in records:
        start_key = _span_key(record, SPAN_STARTS)
        if start_key is not None and not _is_same_run(
            open_spans.get(start_key), record
        ):
            open_spans[start_key] = record
        end_key = _span_key(record, SPAN_ENDS)
        start = open_spans.pop(end_key, None) if end_key is not None else None
        if end_key is not None and start is not None:
            span_id = len(spans) // 2 + 1
            spans.append(_span_boundary("b", span_id, end_key, start, process_ids))
            spans.append(_span_boundary("e", span_id, end_key, record, process_ids))
    return spans


def _is_same_run(start: Record | None, record: Record) -> bool:
    """Return whether a span of this run is open; the end of an older run's was lost."""
    return start is not None and start.get("run") == record.get("run")


def _span_key(
    record: Record,
    boundaries: dict[Event, tuple[str, tuple[str, ...]]],
) -> tuple[str, str, str] | None:
    boundary = boundaries.get(record["event"])
    if boundary is None:
        return None
    kind, names = boundary
    for name in names:
        if record.get(name):
            return record["instance"], kind, str(record[name])
    return None


def _span_boundary(
    phase: str,
    span_id: int,
    key: tuple[str, str, str],
    record: Record,
    process_ids: dict[str, int],
) -> Record:
    instance, kind, name = key
    return {
        "ph": phase,
        "cat": kind,
        "id": span_id,
        "name": f"{kind} {name}",
        "ts": _timestamp_us(record),
        "pid": process_ids[instance],
        "tid": 0,
        "args": _event_fields(record),
    }


def _timestamp_us(record: Record) -> int:
    """Return µs; the added counter keeps the order of events in one millisecond."""
    ms, counter = record["stamp"]
    return int(ms * MICROSECONDS_PER_MS + min(counter, MICROSECONDS_PER_MS - 1))


def _event_fields(record: Record) -> dict[str, Any]:
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
