"""Numbered log events, written as JSON lines and kept in a ring buffer.

A test checks the catalogue in ``docs/events.md`` against this module.
"""

import json
import logging
from collections import deque
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import Any, NamedTuple

from hyssopweir.clock import Clock, HybridClock, HybridTimestamp

RING_CAPACITY = 4_096

logger = logging.getLogger("hyssopweir")


class Event(IntEnum):
    """Event that a process can log, with its stable number."""

    INSTANCE_STARTED = 100
    INSTANCE_READY = 101
    INSTANCE_NOT_READY = 102
    INSTANCE_DRAINING = 103
    INSTANCE_STOPPED = 104
    BACKGROUND_TASK_FAILED = 105
    SETTINGS_RELOADED = 106
    CLIENTS_DROPPED = 107
    PROCESS_DELAYED = 108

    SESSION_OPENED = 200
    SESSION_EXPIRED = 201
    SESSION_LOST = 202
    PEER_CONNECTED = 210
    PEER_DISCONNECTED = 211
    PEER_REJECTED = 212
    LATE_REPLY_DROPPED = 213
    SHARD_CLAIMED = 220
    SHARD_TAKEN_OVER = 221
    SHARD_HANDED_OVER = 222
    SHARD_LOST = 223
    SHARD_CLAIM_CONFLICT = 224
    CELL_CLAIMED = 230
    CELL_RECOVERED = 231
    CELL_RELEASED = 232
    CELL_LOST = 233
    CELL_LOAD = 234
    LAYOUT_KNOWN = 235
    LAYOUT_WRITTEN = 236
    OWNER_PAUSED = 237
    EVACUATION_STARTED = 240
    EVACUATION_ENDED = 241
    STARTS_SUSPENDED = 242
    STARTS_RESUMED = 243
    TRANSFERS_LIMITED = 245
    CELL_MOVING = 246
    CANDIDATE_ANNOUNCED = 247

    WORKER_CLAIMED = 300
    WORKER_UNREACHABLE = 301
    WORKER_LEAVING = 302
    WORKER_RESTARTED = 303
    WORKER_GONE = 304
    WORKER_REFUSED = 305
    WORKER_REPLY_INVALID = 306
    WORKER_EJECTED = 307
    WORKER_RESTORED = 308
    EJECTION_WITHHELD = 309
    SERVICE_FAILING = 310
    SERVICE_RECOVERED = 311
    WORKER_ADMITTED = 320
    WORKER_SILENT = 321
    WORKER_HEARD = 322
    WORKER_LAPSED = 323
    WORKER_LISTED = 324
    WORKER_UNLISTED = 325
    ENDS_MISSING = 326
    ACKNOWLEDGEMENT_DROPPED = 327

    REQUEST_RECEIVED = 400
    REQUEST_QUEUED = 401
    REQUEST_FORWARDED = 402
    REQUEST_DISPATCHED = 403
    REQUEST_ANSWERED = 404
    REQUEST_REFUSED = 405
    REQUEST_RETRIED = 406
    REQUEST_FAILED = 407
    KEY_REPEATED = 410
    KEY_SETTLED = 411
    KEY_RECORD_DELAYED = 412

    JOB_ACCEPTED = 500
    JOB_DONE = 501
    JOB_CANCEL_REQUESTED = 503
    JOB_CANCELLED = 504
    JOB_FAILED = 505
    JOB_REFUSED = 506
    JOB_UNCERTAIN = 507
    JOB_MOVED = 508
    JOB_CANCEL_READ = 509
    TASK_QUEUED = 510
    TASK_STARTING = 511
    TASK_STARTED = 512
    TASK_ADOPTED = 513
    TASK_DONE = 514
    TASK_FAILED = 515
    TASK_EVICTING = 516
    TASK_EVICTED = 517
    TASK_RESUMED = 518
    TASK_LAPSED = 519
    TASK_CANCELLED = 520
    TASK_HELD = 521
    TASK_WAITING = 522
    TASK_MOVED = 523
    TASK_THROTTLED = 524
    TASK_CHECKPOINTED = 525
    TASK_RESTORED = 526
    TASK_PACED = 527
    TASK_STALLED = 528
    TASK_UNCERTAIN = 529
    QUOTA_REACHED = 530
    ORDER_REFUSED = 531
    RUN_UNKNOWN = 532
    TASK_LAGGING = 533
    JOB_RECEIVED = 534
    JOB_TRANSFER_CANCELLED = 535
    ENDLESS_TASK_AWAY = 536
    TASK_REPORTED = 537
    LOST_TASKS = 538
    JOB_WAITING = 539
    JOB_NOT_ADMITTED = 540
    JOB_TURN = 541
    PLACE_WAIT_BEGUN = 545
    PLACE_WAIT_NEAR = 546
    PLACE_WAIT_FAR = 547
    PLACE_WAIT_DROPPED = 548

    JOB_SET_ASIDE = 580
    PACE_UNCERTAIN = 590

    STORE_DOWN = 600
    STORE_UP = 601
    STORE_READ_BACK = 602
    STORE_CONFLICT = 603
    LIST_UNAVAILABLE = 604
    STORE_REFUSED = 606
    STORE_CALL_FAILED = 607
    STORE_CALL_RECOVERED = 608

    CONFIGURATION_IN_FORCE = 700
    CONFIGURATION_ACCEPTED = 701
    CONFIGURATION_REFUSED = 702
    CONFIGURATION_UNREADABLE = 703
    PLAN_MADE = 710
    PLAN_CONFIRMED = 711
    PLAN_REFUSED = 712

    INVARIANT_BREACH = 900
    BAD_INPUT = 901
    LOG_LINES_DROPPED = 902


WARNINGS = frozenset(
    {
        Event.BACKGROUND_TASK_FAILED,
        Event.PROCESS_DELAYED,
        Event.SESSION_EXPIRED,
        Event.SESSION_LOST,
        Event.PEER_REJECTED,
        Event.SHARD_LOST,
        Event.WORKER_UNREACHABLE,
        Event.WORKER_REPLY_INVALID,
        Event.WORKER_RESTARTED,
        Event.WORKER_LAPSED,
        Event.TASK_LAPSED,
        Event.ENDS_MISSING,
        Event.STORE_DOWN,
        Event.STORE_CALL_FAILED,
        Event.LIST_UNAVAILABLE,
        Event.BAD_INPUT,
        Event.JOB_SET_ASIDE,
        Event.STARTS_SUSPENDED,
    }
)


class EventRecord(NamedTuple):
    """One logged event, with the timestamp that orders it across all processes."""

    stamp: HybridTimestamp
    seq: int
    instance: str
    data_centre: str
    event: Event
    fields: dict[str, Any]


def record_to_dict(record: EventRecord) -> dict[str, Any]:
    """Convert an event record to its JSON form."""
    return {
        "stamp": [record.stamp.ms, record.stamp.counter],
        "seq": record.seq,
        "instance": record.instance,
        "data_centre": record.data_centre,
        "event": int(record.event),
        "name": record.event.name,
        **record.fields,
    }


class EventLine:
    """Text of an event as a JSON line, encoded only if a handler writes it."""

    def __init__(self, record: EventRecord) -> None:
        self._record = record

    def __str__(self) -> str:
        return json.dumps(record_to_dict(self._record), default=str)


class EventLog:
    """Log of one process that keeps the newest ``RING_CAPACITY`` events in memory."""

    def __init__(self, instance: str, data_centre: str, clock: Clock) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.hybrid_clock = HybridClock(clock)
        self._subscribers: list[Callable[[EventRecord], None]] = []
        self._ring: deque[EventRecord] = deque(maxlen=RING_CAPACITY)
        self._seq = 0

    def emit(self, event: Event, **fields: Any) -> EventRecord:
        """Timestamp, store and log an event; ``fields`` must be JSON values."""
        self._seq += 1
        record = EventRecord(
            self.hybrid_clock.tick(),
            self._seq,
            self.instance,
            self.data_centre,
            event,
            fields,
        )
        self._ring.append(record)
        for subscriber in self._subscribers:
            subscriber(record)
        level = _level_of(event)
        if logger.isEnabledFor(level):
            # ``logger.log`` would search the stack for the caller, which no line names.
            line = logging.LogRecord(
                logger.name, level, "", 0, EventLine(record), None, None
            )
            logger.handle(line)
        return record

    def subscribe(self, subscriber: Callable[[EventRecord], None]) -> None:
        """Call ``subscriber`` with each event that is logged from now on."""
        self._subscribers.append(subscriber)

    def __iter__(self) -> Iterator[EventRecord]:
        return iter(tuple(self._ring))


def _level_of(event: Event) -> int:
    if event is Event.INVARIANT_BREACH:
        return logging.ERROR
    if event in WARNINGS:
        return logging.WARNING
    return logging.INFO


def configure_logging(level: str) -> None:
    """Write the log to standard error, one JSON object per line."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level)
