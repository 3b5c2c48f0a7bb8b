"""Signs of life and load of the owners of all cells, in one part of the store.

An owner writes its row again and again; the others read all rows at once. A row names
the owner's epoch, so that a former owner learns from it that it was replaced.
"""

import json
import zlib
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Failure
from hyssopweir.row_commits import AdaptiveTimeout, OwnershipLostError
from hyssopweir.row_store import (
    ABSENT,
    Committed,
    Conflict,
    RowKey,
    RowStore,
    StoredRow,
    Write,
    read_all,
)

BEATS = "beats"

BEAT_INTERVAL_MS: Millis = 250
# Three beats, and a store that answers ten times as slowly as usual.
TAKEOVER_MS: Millis = 900
POLL_MS: Millis = 300
# Where there are several cells, every fourth of the instances without one looks that
# often, and the others at this interval. It stays below the silence of the store after
# which callers are refused.
SLOW_POLL_MS: Millis = 600
FAST_SHARE = 4
# While a cell has no owner.
VACANT_POLL_MS: Millis = 60
CALL_TIMEOUT_MS: Millis = 800
RETRY_MS: Millis = 60
# Counts of waiting jobs that are older than that are not shown.
FRESH_MS: Millis = 1_500
# The store handles 250 transactions a second of one part. With more cells than that,
# beats come further apart.
MOST_CELLS_AT_FULL_RATE = 40


class SpareCapacity(NamedTuple):
    """Hold what a cell has left of a service, in thousandths of a processor.

    ``waiting`` counts the jobs that may have tasks to place.
    """

    free_cpu: int = 0
    waiting: int = 0


class Heartbeat(NamedTuple):
    """Hold a cell's row: its owner, and what the cell has left of each service.

    ``queues`` counts the jobs of each queue that have not begun.
    """

    instance: str
    life: str
    epoch: int
    number: int
    is_released: bool = False
    rooms: Mapping[str, SpareCapacity] = {}
    queues: Mapping[str, int] = {}
    version: int = ABSENT


class BeatOutcome(NamedTuple):
    """Tell whether a beat is certainly stored, and the version to write next."""

    is_stored: bool
    version: int


def rate_factor(cells: int) -> int:
    """Return by how much beats and all times that follow from them are stretched."""
    return -(-cells // MOST_CELLS_AT_FULL_RATE)


def poll_interval_ms(instance: str, cells: int, is_owner: bool) -> Millis:
    """Return how often an instance looks at the beats."""
    is_fast = zlib.crc32(instance.encode()) % FAST_SHARE == 0
    if is_owner or is_fast or cells == 1:
        return POLL_MS * rate_factor(cells)
    return SLOW_POLL_MS * rate_factor(cells)


def beat_key(cell: str) -> RowKey:
    """Return the row of a cell's owner."""
    return RowKey(BEATS, "", cell)


def encode_beat(beat: Heartbeat) -> bytes:
    """Return the stored form."""
    data = beat._asdict()
    del data["version"]
    return json.dumps(data, separators=(",", ":")).encode()


def decode_beat(row: StoredRow) -> Heartbeat:
    """Return a beat; raise ``ValueError``, ``KeyError`` or ``TypeError`` on junk."""
    data: dict[str, Any] = json.loads(row.value)
    rooms = {
        service: SpareCapacity(*room) for service, room in data.pop("rooms").items()
    }
    return Heartbeat(**data, rooms=rooms, version=row.version)


class CellHeartbeats:
    """Read the beats of all cells, and write those of owned ones.

    ``on_answer`` is called whenever the store has answered.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        cells: int,
        on_answer: Callable[[], None],
    ) -> None:
        self._store = store
        self._on_answer = on_answer
        self._clock = clock
        self._timer = AdaptiveTimeout()
        self.interval_ms = BEAT_INTERVAL_MS * rate_factor(cells)
        self.known: dict[str, Heartbeat] = {}
        self.reply_ms: Millis = 20
        self._read_ms: Millis | None = None

    async def read(self) -> Result[Mapping[str, Heartbeat], Failure]:
        """Return the newest beat of each cell that ever had an owner."""
        sent_ms = self._clock.now_ms()
        page = await read_all(self._store, BEATS, "", CALL_TIMEOUT_MS)
        if isinstance(page, Err):
            return page
        self.reply_ms = self._clock.now_ms() - sent_ms
        self._on_answer()
        self._read_ms = sent_ms
        self.known = {row.at.key: decode_beat(row) for row in page.ok_value.rows}
        return Ok(self.known)

    def pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not begun, None if that is not known."""
        now_ms = self._clock.now_ms()
        if self._read_ms is None or now_ms - self._read_ms > FRESH_MS:
            return None
        return sum(beat.queues.get(queue, 0) for beat in self.known.values())

    async def write(self, cell: str, beat: Heartbeat) -> BeatOutcome:
        """Store a beat in place of the one with its version.

        Raises ``OwnershipLostError`` if a later owner has written.
        """
        write = Write(beat_key(cell), encode_beat(beat), beat.version)
        sent_ms = self._clock.now_ms()
        reply = await self._store.transact([write], self._timer.timeout_ms())
        self._timer.learn(reply, self._clock.now_ms() - sent_ms)
        if isinstance(reply, Err):
            await self._clock.sleep_ms(RETRY_MS)
            return BeatOutcome(False, beat.version)
        outcome = reply.ok_value
        if isinstance(outcome, Committed):
            return BeatOutcome(True, outcome.version)
        return BeatOutcome(False, _version_after(outcome, cell, beat))


def _version_after(conflict: Conflict, cell: str, beat: Heartbeat) -> int:
    row = conflict.rows.get(beat_key(cell))
    if row is None:
        return ABSENT
    if decode_beat(row).epoch > beat.epoch:
        raise OwnershipLostError
    return row.version


class FailureDetector:
    """Tell for how long the owner of each cell has not shown that it is alive."""

    def __init__(self, cells: int) -> None:
        self._takeover_ms = TAKEOVER_MS * rate_factor(cells)
        self._versions: dict[str, int] = {}
        self._silent_ms: dict[str, Millis] = {}

    def note_beats(self, beats: Mapping[str, Heartbeat], passed_ms: Millis) -> None:
        """Compare beats with those that were read ``passed_ms`` before."""
        for cell, beat in beats.items():
            if self._versions.get(cell) == beat.version:
                silent_ms = self._silent_ms.get(cell, 0)
                self._silent_ms[cell] = silent_ms + min(passed_ms, 2 * SLOW_POLL_MS)
            else:
                self._versions[cell] = beat.version
                self._silent_ms[cell] = 0

    def note_outage(self) -> None:
        """Count from now on: silence counts only while the store answers."""
        self._silent_ms.clear()

    def silent_ms(self, cell: str) -> Millis:
        """Return the time without a beat."""
        return self._silent_ms.get(cell, 0)

    def is_silent(self, cell: str) -> bool:
        """Tell whether another instance should own the cell."""
        return self.silent_ms(cell) >= self._takeover_ms
