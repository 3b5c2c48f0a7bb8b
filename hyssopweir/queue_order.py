"""Waiting time of a task, and the queue order that depends on it."""

from hyssopweir.clock import MINUTE_MS, Millis
from hyssopweir.contracts import TaskRow
from hyssopweir.events import Event
from hyssopweir.task_rows import TaskEntry

AGED_AFTER_MS: Millis = 10 * MINUTE_MS
MOVED = Event.TASK_MOVED.name
# Recorded while a task is queued; they do not end its waiting time.
NON_INTERRUPTING_EVENTS = frozenset({MOVED, Event.TASK_WAITING.name})

SortKey = tuple[bool, Millis, str, int]


def waited_ms(entry: TaskEntry, wall_ms: Millis) -> Millis:
    """Compute how long a queued task has waited, across all owners and shards."""
    reasons = entry.row["reasons"]
    since_ms = next(
        (
            item["at_ms"]
            for item in reversed(reasons)
            if item["event"] not in NON_INTERRUPTING_EVENTS
        ),
        reasons[0]["at_ms"] if reasons else wall_ms,
    )
    return wall_ms - since_ms


def has_moved(row: TaskRow) -> bool:
    """Return whether a queued task was moved from another shard during this wait."""
    for item in reversed(row["reasons"]):
        if item["event"] == MOVED:
            return True
        if item["event"] not in NON_INTERRUPTING_EVENTS:
            return False
    return False


def started_after_aging(row: TaskRow) -> bool:
    """Return whether the task had aged, and ranked as urgent, at its newest start."""
    start_ms = started_ms(row)
    queue_times_ms = [
        item["at_ms"]
        for item in row["reasons"]
        if item["at_ms"] < start_ms and item["event"] not in NON_INTERRUPTING_EVENTS
    ]
    return bool(queue_times_ms) and start_ms - queue_times_ms[-1] >= AGED_AFTER_MS


def started_ms(row: TaskRow) -> Millis:
    """Return the wall clock time of the newest start, 0 if none is recorded."""
    starts = (
        item["at_ms"]
        for item in reversed(row["reasons"])
        if item["event"] == Event.TASK_STARTING.name
    )
    return next(starts, 0)


def queue_sort_key(entry: TaskEntry, wall_ms: Millis) -> SortKey:
    """Return the sort key: urgent and aged tasks first, then by submission time."""
    row = entry.queue_row
    # Most tasks were submitted more recently, so their reasons need not be read.
    is_old = wall_ms - row["at_ms"] >= AGED_AFTER_MS
    is_prioritized = row["urgent"] or (
        is_old and waited_ms(entry, wall_ms) >= AGED_AFTER_MS
    )
    return (not is_prioritized, row["at_ms"], row["job"], row["n"])
