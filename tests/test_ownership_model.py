"""All orders and losses of calls of instances that claim one cell, to a stated depth.

The code explored is the product's own: ``CellOwnership`` and the guarded transactions.
Each instance takes the owner for silent at any moment, so that timing proves nothing.
"""

from collections.abc import Awaitable
from typing import Any

import pytest

from hyssopweir.cell_heartbeats import Heartbeat
from hyssopweir.cell_ownership import OWNER_KEY, OWNERS_TABLE, CellOwnership, OwnerRow
from hyssopweir.events import EventLog
from hyssopweir.row_store import Change, Committed, Expect, RowKey, Write
from tests.choice_store import ChoiceStore, ChoiceWorld, explore
from tests.virtual_time import VirtualClock

# Choices that are explored in full: two instances with five calls each, one loss.
DEPTH = 11
FAULTS = 1
OWNER_AT = RowKey(OWNERS_TABLE, "c0", OWNER_KEY)
JOB_AT = RowKey("progress", "c0", "j1")
SILENT = Heartbeat("", "", epoch=1 << 30, number=0)


async def claim_and_write(world: ChoiceWorld, name: str, tokens: list[int]) -> None:
    """Claim the cell, write twice as its owner, and give it back."""
    store, clock = ChoiceStore(world, name), VirtualClock()
    log = EventLog(name, "kista", clock)
    owners = CellOwnership("c0", name, f"{name}-1", store, clock, log)
    ownership = await owners.claim(SILENT, 0)
    if ownership is None:
        return
    tokens.append(ownership.epoch)
    version = 0
    for _ in range(2):
        value = f"{name} {ownership.epoch}".encode()
        changes: list[Change] = [ownership.guard, Write(JOB_AT, value, version)]
        reply = await store.transact(changes, 1_000)
        outcome = reply.ok() if reply.is_ok() else None
        if isinstance(outcome, Committed):
            version = outcome.version
        elif outcome is not None and JOB_AT in outcome.rows:
            version = outcome.rows[JOB_AT].version
    await owners.release(ownership)


def faults_of(world: ChoiceWorld, tokens: list[int]) -> list[str]:
    """Return what must never happen: shared tokens, and writes of former owners."""
    faults = []
    if len(set(tokens)) != len(tokens):
        faults.append(f"two claims have one token: {tokens}")
    owner = ""
    for caller, changes in world.applied:
        for change in changes:
            if change.at == OWNER_AT and isinstance(change, Write):
                owner = caller
            elif change.at == JOB_AT and caller != owner:
                faults.append(f"{caller} writes while {owner} owns the cell")
    return faults


def find_fault(depth: int) -> tuple[str, int]:
    """Return the first fault, empty if there is none, and how many plays it took."""
    tokens: list[int] = []

    def programs(world: ChoiceWorld) -> list[Awaitable[None]]:
        tokens.clear()
        return [claim_and_write(world, name, tokens) for name in ("a", "b")]

    plays = 0
    for world in explore(programs, FAULTS, depth):
        plays += 1
        faults = faults_of(world, tokens)
        if faults:
            return faults[0], plays
    return "", plays


def test_a_former_owner_never_writes() -> None:
    """Guards against two owners of a cell, whatever is lost, late or reordered."""
    fault, plays = find_fault(DEPTH)
    assert fault == ""
    assert plays > 1_000


def drop_the_guard(patch: pytest.MonkeyPatch) -> None:
    """Write without the condition on the owner's row."""
    apply = ChoiceWorld.apply

    def apply_unguarded(self: ChoiceWorld, caller: str, changes: Any) -> Any:
        kept = [change for change in changes if not isinstance(change, Expect)]
        return apply(self, caller, kept)

    patch.setattr(ChoiceWorld, "apply", apply_unguarded)


def claim_without_condition(patch: pytest.MonkeyPatch) -> None:
    """Claim whatever the version of the owner's row is by then."""
    apply = ChoiceWorld.apply

    def apply_any(self: ChoiceWorld, caller: str, changes: Any) -> Any:
        row = self.rows.rows.get(OWNER_AT)
        version = row.version if row is not None else 0
        kept = [
            (
                change._replace(expected=version)
                if change.at == OWNER_AT and isinstance(change, Write)
                else change
            )
            for change in changes
        ]
        return apply(self, caller, kept)

    patch.setattr(ChoiceWorld, "apply", apply_any)


def keep_the_epoch(patch: pytest.MonkeyPatch) -> None:
    """Claim with the epoch of the former owner."""
    read = CellOwnership._read

    async def read_lower(self: CellOwnership) -> OwnerRow | None:
        owner = await read(self)
        return owner and owner._replace(epoch=0)

    patch.setattr(CellOwnership, "_read", read_lower)


@pytest.mark.parametrize(
    "take_out", [drop_the_guard, claim_without_condition, keep_the_epoch]
)
def test_exploration_finds_a_missing_mechanism(
    take_out: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an exploration that passes whatever the code does."""
    take_out(monkeypatch)
    fault, _ = find_fault(DEPTH)
    assert fault
