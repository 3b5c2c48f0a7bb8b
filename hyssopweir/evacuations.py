"""Evacuated data centres, in which no run may start, and the age of that knowledge."""

from collections.abc import Callable, Iterable

from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.input_bounds import (
    FaultLog,
    InputError,
    parse_bounded_json,
    read_object,
)
from hyssopweir.row_store import StoredRow

# The longest time that a sent start can take: a worker refuses it after the lease in
# it, which must not end before the next renewal of the worker's leases has arrived.
START_MS: Millis = 1_300
# Bounds the share of a short limit that is reserved for the start.
MAX_START_SHARE = 0.5
# By how much a worker whose clock is 2% slow may exceed the lease in a start.
CLOCK_MARGIN_MS: Millis = 200
# Replies of the feed that must fit into the age at which knowledge is too old.
MIN_REPLIES = 3
# Wait of the feed after a failure, when a reply is needed soon.
RETRY_WAIT_MS: Millis = 1
UNLIMITED_MS: Millis = 1 << 40


class Evacuations:
    """Evacuated data centres as reported by the store's change feed.

    The key of a row is ``prefix`` and the name of a data centre, which is evacuated as
    long as the row exists. ``limit_ms`` is the longest time from the acknowledgement of
    a row to the last start there; without it, no data centre is ever evacuated. Times
    are on the clock that also counts while the machine is suspended.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        prefix: str = "",
        limit_ms: Millis | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._faults = FaultLog(log)
        self._limit_ms = limit_ms
        self._listeners: list[Callable[[], None]] = []
        # When the request of the last successful reply was sent.
        self._sent_ms: Millis | None = None
        self._suspended_ms: Millis | None = None
        self.prefix = prefix
        # By data centre, since when its evacuation is known. Always the same object.
        self.known_since_ms: dict[str, Millis] = {}

    @property
    def is_enabled(self) -> bool:
        """Return whether data centres can be evacuated in this deployment."""
        return self._limit_ms is not None

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when an evacuation starts or ends, or starts may go on."""
        self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """Remove a listener."""
        self._listeners.remove(listener)

    def may_start(self) -> bool:
        """Return whether the knowledge is recent enough to send a start."""
        if self._limit_ms is None or self._age_ms() <= self._max_age_ms(self._limit_ms):
            return True
        if self._suspended_ms is None:
            self._suspended_ms = self._clock.boot_ms()
            age_ms = -1 if self._sent_ms is None else self._age_ms()
            self._log.emit(Event.STARTS_SUSPENDED, age_ms=age_ms)
        return False

    def start_left_ms(self) -> Millis:
        """Return for how long a worker may carry out a start that is sent now."""
        if self._limit_ms is None:
            return UNLIMITED_MS
        return self._limit_ms - CLOCK_MARGIN_MS - self._age_ms()

    def watch_wait_ms(self, longest_ms: Millis, has_failed: bool) -> Millis:
        """Return how long a call of the feed may wait for changes."""
        if self._limit_ms is None:
            return longest_ms
        if has_failed:
            return RETRY_WAIT_MS
        return min(longest_ms, self._max_age_ms(self._limit_ms) // MIN_REPLIES)

    def replace(self, rows: Iterable[StoredRow], sent_ms: Millis) -> None:
        """Apply a read of all rows; an evacuation without a row has ended."""
        former = set(self.known_since_ms)
        names = {name for row in rows if (name := self._read_name(row))}
        self._apply(names - former, former - names, sent_ms)

    def update(self, rows: Iterable[StoredRow], sent_ms: Millis) -> None:
        """Apply rows that have changed since the last reply."""
        former = set(self.known_since_ms)
        names = set(former)
        for row in sorted(rows, key=lambda row: row.version):
            name = self._read_name(row)
            if name:
                (names.discard if row.is_deleted else names.add)(name)
        self._apply(names - former, former - names, sent_ms)

    def _age_ms(self) -> Millis:
        if self._sent_ms is None:
            return UNLIMITED_MS
        return self._clock.boot_ms() - self._sent_ms

    def _max_age_ms(self, limit_ms: Millis) -> Millis:
        reserved_ms = START_MS + CLOCK_MARGIN_MS
        return limit_ms - min(reserved_ms, int(MAX_START_SHARE * limit_ms))

    def _read_name(self, row: StoredRow) -> str:
        """Return the data centre of a row, empty if the row names none.

        Its key alone counts, so that an unreadable value doesn't prevent an evacuation.
        """
        if row.at.part or not row.at.key.startswith(self.prefix):
            return ""
        item = f"{row.at.table}/{row.at.key}"
        name = row.at.key.removeprefix(self.prefix)
        if row.is_deleted:
            self._faults.clear(item)
        elif not name:
            self._faults.record(item, InputError("the key names no data centre"))
        else:
            self._faults.read(item, _check_value, row.value)
        return name

    def _apply(self, started: set[str], ended: set[str], sent_ms: Millis) -> None:
        now_ms = self._clock.boot_ms()
        # The row was written after the last reply, or there was none.
        unknown_ms = -1 if self._sent_ms is None else self._age_ms()
        self._sent_ms = sent_ms
        for name in sorted(ended):
            lasted_ms = now_ms - self.known_since_ms.pop(name)
            self._log.emit(
                Event.EVACUATION_ENDED,
                evacuated=name,
                known_within_ms=unknown_ms,
                lasted_ms=lasted_ms,
            )
        for name in sorted(started):
            self.known_since_ms[name] = now_ms
            self._log.emit(
                Event.EVACUATION_STARTED, evacuated=name, known_within_ms=unknown_ms
            )
        is_resumed = self._resume_starts()
        if started or ended or is_resumed:
            for listener in list(self._listeners):
                listener()

    def _resume_starts(self) -> bool:
        """Return whether starts were suspended until now."""
        if self._suspended_ms is None or not self.may_start():
            return False
        waited_ms = self._clock.boot_ms() - self._suspended_ms
        self._suspended_ms = None
        self._log.emit(Event.STARTS_RESUMED, waited_ms=waited_ms)
        return True


def _check_value(value: bytes) -> None:
    read_object(parse_bounded_json(value), "evacuation")
