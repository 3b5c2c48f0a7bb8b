"""Which instance owns a cell: it alone places the cell's tasks on its workers.

The owner's row changes only with the owner, so its version guards every write of the
owner. Beats are a row of their own. A silent owner can be replaced at any time, since
the store and the workers refuse what a former owner sends.
"""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from result import Err, Ok

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code
from hyssopweir.events import Event, EventLog
from hyssopweir.row_store import (
    ABSENT,
    Committed,
    Expect,
    RowKey,
    RowStore,
    StoredRow,
    Write,
    read_all,
)

OWNERS = "owners"
OWNER_KEY = "owner"
BEAT_KEY = "beat"

BEAT_INTERVAL_MS: Millis = 250
# Three beats, and a store that answers ten times as slowly as usual.
TAKEOVER_MS: Millis = 900
WATCH_MS: Millis = 300
CALL_TIMEOUT_MS: Millis = 800
RETRY_MS: Millis = 60
# An instance close to the store claims before those further away.
CLAIM_DELAY_FACTOR = 4
MOST_CLAIM_DELAY_MS: Millis = 250


class Owner(NamedTuple):
    """Hold the owner's row."""

    instance: str = ""
    life: str = ""
    epoch: int = 0
    is_released: bool = True
    version: int = ABSENT


class Ownership(NamedTuple):
    """Prove ownership of a cell: fencing token, and condition of each write."""

    epoch: int
    guard: Expect


class CellOwnership:
    """Watch the owner of one cell and take its place when it is silent."""

    def __init__(
        self,
        cell: str,
        instance: str,
        life: str,
        store: RowStore,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._cell = cell
        self._instance = instance
        self._life = life
        self._store = store
        self._clock = clock
        self._log = log
        self._owner = Owner()
        self._version = 0
        self._beat = ABSENT
        self._silent_ms: Millis = 0
        self._reply_ms: Millis = 20
        self.may_claim: Callable[[], bool] = lambda: True
        self.owner_key = RowKey(OWNERS, cell, OWNER_KEY)
        self.beat_key = RowKey(OWNERS, cell, BEAT_KEY)

    async def acquire(self) -> Ownership:
        """Return once this instance owns the cell."""
        await self._read()
        while True:
            if self._owner.life == self._life and not self._owner.is_released:
                return self._ownership()
            if self.may_claim() and self._is_vacant() and await self._claim():
                return self._ownership()
            await self._observe()

    def _ownership(self) -> Ownership:
        guard = Expect(self.owner_key, self._owner.version)
        return Ownership(self._owner.epoch, guard)

    def _is_vacant(self) -> bool:
        owner = self._owner
        # An owner of this name in another life is a former process of this instance.
        is_former_self = owner.instance == self._instance and owner.life != self._life
        return owner.is_released or is_former_self or self._silent_ms >= TAKEOVER_MS

    async def _read(self) -> None:
        while True:
            sent_ms = self._clock.now_ms()
            reply = await read_all(self._store, OWNERS, self._cell, CALL_TIMEOUT_MS)
            if isinstance(reply, Ok):
                break
            await self._clock.sleep_ms(RETRY_MS)
        self._reply_ms = self._clock.now_ms() - sent_ms
        self._version = reply.ok_value.version
        self._owner = Owner()
        self._take(reply.ok_value.rows)
        self._silent_ms = 0

    async def _observe(self) -> None:
        started_ms = self._clock.now_ms()
        reply = await self._store.watch(
            OWNERS, self._version, WATCH_MS, WATCH_MS + CALL_TIMEOUT_MS
        )
        if isinstance(reply, Err):
            # Silence counts only while the store answers.
            self._silent_ms = 0
            await self._clock.sleep_ms(RETRY_MS)
            if reply.err_value.code is Code.STORE_HISTORY_LOST:
                await self._read()
            return
        self._version = reply.ok_value.version
        if self._take(reply.ok_value.rows):
            self._silent_ms = 0
            return
        self._silent_ms += min(self._clock.now_ms() - started_ms, WATCH_MS)

    def _take(self, rows: list[StoredRow]) -> bool:
        mine = [row for row in rows if row.at.part == self._cell]
        for row in mine:
            if row.at.key == OWNER_KEY:
                self._owner = _decode_owner(row)
            elif row.at.key == BEAT_KEY:
                self._beat = row.version
        return bool(mine)

    async def _claim(self) -> bool:
        silent_ms = self._silent_ms
        delay_ms = min(CLAIM_DELAY_FACTOR * self._reply_ms, MOST_CLAIM_DELAY_MS)
        await self._clock.sleep_ms(delay_ms)
        known = (self._owner, self._beat)
        await self._read()
        # The feed may have been silent although the owner is alive.
        if (self._owner, self._beat) != known:
            return False
        if not self._is_vacant() and silent_ms < TAKEOVER_MS:
            return False
        epoch = self._owner.epoch + 1
        write = Write(self.owner_key, self._encode(epoch, False), self._owner.version)
        reply = await self._store.transact([write], CALL_TIMEOUT_MS)
        if isinstance(reply, Ok) and isinstance(reply.ok_value, Committed):
            version, former = reply.ok_value.version, self._owner
            self._owner = Owner(self._instance, self._life, epoch, False, version)
            self._log.emit(
                Event.CELL_CLAIMED,
                cell=self._cell,
                epoch=epoch,
                silent_ms=silent_ms,
                former=former.instance,
                was_released=former.is_released,
            )
            return True
        # An unanswered claim may have succeeded, or succeed later.
        await self._read()
        return self._owner.life == self._life and not self._owner.is_released

    def _encode(self, epoch: int, is_released: bool) -> bytes:
        data = {
            "instance": self._instance,
            "life": self._life,
            "epoch": epoch,
            "released": is_released,
        }
        return json.dumps(data).encode()

    async def release(self, ownership: Ownership) -> None:
        """Let another instance claim the cell at once."""
        value = self._encode(ownership.epoch, True)
        write = Write(self.owner_key, value, ownership.guard.expected)
        reply = await self._store.transact([write], CALL_TIMEOUT_MS)
        self._log.emit(
            Event.CELL_RELEASED, cell=self._cell, stored=isinstance(reply, Ok)
        )
        self._owner = self._owner._replace(is_released=True)


def _decode_owner(row: StoredRow) -> Owner:
    data: dict[str, Any] = json.loads(row.value)
    return Owner(
        data["instance"], data["life"], data["epoch"], data["released"], row.version
    )


def encode_beat(life: str, count: int) -> bytes:
    """Return the row by which an owner shows that it is alive."""
    return json.dumps({"life": life, "count": count}).encode()
