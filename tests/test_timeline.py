"""Merging, text format and Chrome trace of the timeline."""

import json
from typing import Any

import pytest

from hyssopweir.events import Event
from hyssopweir.timeline import (
    check_records,
    format_text,
    merge_timelines,
    parse_lines,
    to_trace,
)


def build_record(
    ms: int, counter: int = 0, instance: str = "a", seq: int = 1, **fields: Any
) -> dict[str, Any]:
    event = fields.pop("event", Event.STORE_DOWN)
    return {
        "stamp": [ms, counter],
        "seq": seq,
        "instance": instance,
        "data_centre": "kista",
        "event": int(event),
        "name": event.name,
        **fields,
    }


def test_merge_orders_by_stamp_then_instance_then_seq() -> None:
    """Guards against an order of events that depends on the order of the sources."""
    ordered = [
        build_record(1, 0, "b", 9),
        build_record(1, 1, "a", 5),
        build_record(1, 1, "b", 10),
        build_record(1, 1, "b", 11),
        build_record(2, 0, "a", 1),
    ]
    timelines = [check_records(ordered[::-2]), check_records(ordered[-2::-2])]
    assert merge_timelines(timelines).records == tuple(ordered)
    assert merge_timelines(timelines[::-1]).records == tuple(ordered)


def test_event_from_log_and_instance_appears_once() -> None:
    """Guards against a duplicate of an event that was read from two sources."""
    record = build_record(1)
    parsed = parse_lines([json.dumps(record)])
    assert merge_timelines([parsed, check_records([record])]).records == (record,)


@pytest.mark.parametrize(
    "line",
    [
        "{",
        "null",
        '{"stamp": [1, 0]}',
        json.dumps({**build_record(1), "stamp": ["1", 0]}),
        json.dumps({**build_record(1), "seq": None}),
        json.dumps({**build_record(1), "instance": 3}),
    ],
)
def test_malformed_lines_are_counted(line: str) -> None:
    """Guards against a malformed line that hides the rest of a log."""
    parsed = parse_lines([line, "", json.dumps(build_record(1))])
    assert (len(parsed.records), parsed.malformed_count) == (1, 1)


def test_text_has_a_line_for_each_event() -> None:
    """Guards against omitted fields and a crash on an empty timeline."""
    timeline = check_records([build_record(5), build_record(9, reason="no answer")])
    first, second = format_text(timeline).splitlines()
    assert first.startswith("        0 ms +0   a  600 STORE_DOWN")
    assert second.endswith('reason="no answer"')
    assert format_text(check_records([])) == "no events"


def test_trace_has_processes_and_spans() -> None:
    """Guards against spans that join events of different requests or instances."""
    records = [
        build_record(1, event=Event.REQUEST_RECEIVED, request_id="r1"),
        build_record(2, event=Event.REQUEST_RECEIVED, request_id="r2"),
        build_record(3, event=Event.REQUEST_ANSWERED, request_id="r2"),
        build_record(4, event=Event.REQUEST_ANSWERED, request_id="r1", instance="b"),
    ]
    events = to_trace(check_records(records))["traceEvents"]
    process_names = [event["args"]["name"] for event in events if event["ph"] == "M"]
    spans = [(event["ph"], event["ts"]) for event in events if event["ph"] in "be"]
    assert process_names == ["a", "b"]
    assert spans == [("b", 2_000), ("e", 3_000)]
    assert sum(event["ph"] == "i" for event in events) == len(records)
