"""How long a task has waited, and its place in the queue that follows from it."""

from hyssopweir.clock import MINUTE_MS, Millis
from hyssopweir.contracts import TaskRow
from hyssopweir.events import Event
from hyssopweir.task_rows import Entry

AGED_MS: Millis = 10 * MINUTE_MS
MOVED = Event.TASK_MOVED.name
# These don't interrupt a stay in the queue.
NOTES = frozenset({MOVED, Event.TASK_WAITING.name})

Order = tuple[bool, Millis, str, int]


def waited_ms(entry: Entry, wall_ms: Millis) -> Millis:
    """Return for how long a queued task has waited, over all owners and shards."""
    reasons = entry.row["reasons"]
    since_ms = next(
        (item["at_ms"] for item in reversed(reasons) if item["event"] not in NOTES),
        reasons[0]["at_ms"] if reasons else wall_ms,
    )
    return wall_ms - since_ms


def has_moved(row: TaskRow) -> bool:
    """Tell whether a queued task came from another shard during this wait."""
    for item in reversed(row["reasons"]):
        if item["event"] == MOVED:
            return True
        if item["event"] not in NOTES:
            return False
    return False


def began_late(row: TaskRow) -> bool:
    """Tell whether the newest start took precedence over urgent tasks."""
    begun_ms = started_ms(row)
    before = [
        item["at_ms"]
        for item in row["reasons"]
        if item["at_ms"] < begun_ms and item["event"] not in NOTES
    ]
    return bool(before) and begun_ms - before[-1] >= AGED_MS


def started_ms(row: TaskRow) -> Millis:
    """Return the wall clock time of the newest start, 0 if it is not recorded."""
    starts = (
        item["at_ms"]
        for item in reversed(row["reasons"])
        if item["event"] == Event.TASK_STARTING.name
    )
    return next(starts, 0)


def order_of(entry: Entry, wall_ms: Millis) -> Order:
    """Sort urgent tasks and those that have waited for long first, then the oldest."""
    row = entry.queue_row
    # Most tasks were submitted later than that, and their reasons need not be read.
    is_old = wall_ms - row["at_ms"] >= AGED_MS
    is_first = row["urgent"] or (is_old and waited_ms(entry, wall_ms) >= AGED_MS)
    return (not is_first, row["at_ms"], row["job"], row["n"])
