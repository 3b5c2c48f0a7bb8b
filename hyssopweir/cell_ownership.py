"""Ownership of cells: only the owner places a cell's tasks on its workers.

The owner row changes only when the ownership does, so its version guards every write of
the owner. A silent owner can be replaced at any time, because the store and the workers
reject whatever a previous owner sends.
"""

import json
from typing import NamedTuple

from result import Ok

from hyssopweir.call_failures import CallFailures
from hyssopweir.cell_heartbeats import CALL_TIMEOUT_MS, TAKEOVER_MS, Heartbeat
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.fencing import TOKENS_PER_EPOCH
from hyssopweir.input_bounds import (
    FaultLog,
    parse_bounded_json,
    read_bool,
    read_int,
    read_object,
    read_text,
)
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

OWNERS_TABLE = "owners"
OWNER_KEY = "owner"


class OwnerRow(NamedTuple):
    """Decoded owner row; the defaults describe a cell that was never owned."""

    instance: str = ""
    life: str = ""
    epoch: int = 0
    is_released: bool = True
    version: int = ABSENT


class OwnershipGrant(NamedTuple):
    """Proof of ownership: the fencing token and the precondition of every write.

    ``has_silent_former`` means that the previous owner never stored a heartbeat.
    """

    epoch: int
    guard: Expect
    has_silent_former: bool = False


class CellOwnership:
    """Claim and release of one cell for one process lifetime of an instance."""

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
        self._failures = CallFailures("cell claim", clock, log, cell=cell)
        self._faults = FaultLog(log)
        # Version of an owner row without a heartbeat yet, and when it was first seen.
        self._unconfirmed_claim = (ABSENT, Millis(0))
        self.owner_key = RowKey(OWNERS_TABLE, cell, OWNER_KEY)

    async def claim(
        self, heartbeat: Heartbeat | None, silent_ms: Millis
    ) -> OwnershipGrant | None:
        """Replace the owner that wrote ``heartbeat``; return None if the claim failed.

        Each claim raises the epoch, even if the same instance owned the cell before, so
        that workers reject commands sent under earlier epochs.
        """
        owner = await self._read()
        if owner is None:
            return None
        if self._is_claimed_by_other(owner, heartbeat):
            return None
        epoch = owner.epoch + TOKENS_PER_EPOCH
        write = Write(self.owner_key, self._encode(epoch, False), owner.version)
        sent_ms = self._clock.now_ms()
        reply = await self._store.transact([write], CALL_TIMEOUT_MS)
        self._failures.record(reply, sent_ms, CALL_TIMEOUT_MS)
        if not isinstance(reply, Ok) or not isinstance(reply.ok_value, Committed):
            return None
        self._log.emit(
            Event.CELL_CLAIMED,
            cell=self._cell,
            epoch=epoch,
            silent_ms=silent_ms,
            former=owner.instance,
            was_released=owner.is_released,
        )
        guard = Expect(self.owner_key, reply.ok_value.version)
        heartbeat_epoch = heartbeat.epoch if heartbeat is not None else 0
        return OwnershipGrant(epoch, guard, owner.epoch > heartbeat_epoch)

    def _is_claimed_by_other(
        self, owner: OwnerRow, heartbeat: Heartbeat | None
    ) -> bool:
        """Return whether another instance claimed the cell and may still be alive."""
        heartbeat_epoch = heartbeat.epoch if heartbeat is not None else 0
        if owner.is_released or owner.epoch <= heartbeat_epoch:
            return False
        if owner.instance == self._instance:
            return False
        now_ms = self._clock.now_ms()
        if self._unconfirmed_claim[0] != owner.version:
            self._unconfirmed_claim = (owner.version, now_ms)
        return now_ms - self._unconfirmed_claim[1] < TAKEOVER_MS

    async def _read(self) -> OwnerRow | None:
        sent_ms = self._clock.now_ms()
        reply = await read_all(self._store, OWNERS_TABLE, self._cell, CALL_TIMEOUT_MS)
        if not isinstance(reply, Ok):
            self._failures.record(reply, sent_ms, CALL_TIMEOUT_MS)
            return None
        for row in reply.ok_value.rows:
            if row.at == self.owner_key:
                # Without the epoch, no later one can be chosen: the claim fails.
                return self._faults.read(
                    f"{OWNERS_TABLE}/{self._cell}", decode_owner, row
                )
        return OwnerRow()

    def _encode(self, epoch: int, is_released: bool) -> bytes:
        data = {
            "instance": self._instance,
            "life": self._life,
            "epoch": epoch,
            "released": is_released,
        }
        return json.dumps(data).encode()

    async def release(self, grant: OwnershipGrant) -> None:
        """Mark the cell as released so that others can claim it immediately."""
        value = self._encode(grant.epoch, True)
        write = Write(self.owner_key, value, grant.guard.expected)
        reply = await self._store.transact([write], CALL_TIMEOUT_MS)
        self._log.emit(
            Event.CELL_RELEASED, cell=self._cell, stored=isinstance(reply, Ok)
        )


def decode_owner(row: StoredRow) -> OwnerRow:
    """Parse an owner row; raise ``InputError`` if malformed."""
    data = read_object(parse_bounded_json(row.value), "owner")
    return OwnerRow(
        read_text(data.get("instance"), "instance"),
        read_text(data.get("life"), "life"),
        read_int(data.get("epoch"), "epoch"),
        read_bool(data.get("released"), "released"),
        row.version,
    )
