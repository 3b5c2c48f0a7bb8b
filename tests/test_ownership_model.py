"""Model checking of cell ownership: all call orders and lost replies to a fixed depth.

The explored code is that of production: ``CellOwnership`` and its guarded transactions.
Each instance considers the owner silent at any time, so no result depends on timing.
"""

from collections.abc import Awaitable
from typing import Any

import pytest

from hyssopweir.cell_heartbeats import Heartbeat
from hyssopweir.cell_ownership import OWNER_KEY, OWNERS_TABLE, CellOwnership, OwnerRow
from hyssopweir.events import EventLog
from hyssopweir.row_store import Change, Committed, Expect, RowKey, Write
from tests.choice_store import ChoiceSimulation, ChoiceStore, explore
from tests.virtual_time import VirtualClock

# Number of choices explored exhaustively: two instances with five calls each and one
# lost reply.
DEPTH = 11
FAULTS = 1
OWNER_ROW_KEY = RowKey(OWNERS_TABLE, "c0", OWNER_KEY)
JOB_ROW_KEY = RowKey("progress", "c0", "j1")
SILENT = Heartbeat("", "", epoch=1 << 30, number=0)


async def claim_and_write(
    simulation: ChoiceSimulation, name: str, epochs: list[int]
) -> None:
    """Claim the cell, write twice as its owner, and release it."""
    store, clock = ChoiceStore(simulation, name), VirtualClock()
    log = EventLog(name, "kista", clock)
    cell_ownership = CellOwnership("c0", name, f"{name}-1", store, clock, log)
    ownership = await cell_ownership.claim(SILENT, 0)
    if ownership is None:
        return
    epochs.append(ownership.epoch)
    version = 0
    for _ in range(2):
        value = f"{name} {ownership.epoch}".encode()
        changes: list[Change] = [ownership.guard, Write(JOB_ROW_KEY, value, version)]
        reply = await store.transact(changes, 1_000)
        outcome = reply.ok() if reply.is_ok() else None
        if isinstance(outcome, Committed):
            version = outcome.version
        elif outcome is not None and JOB_ROW_KEY in outcome.rows:
            version = outcome.rows[JOB_ROW_KEY].version
    await cell_ownership.release(ownership)


def list_violations(simulation: ChoiceSimulation, epochs: list[int]) -> list[str]:
    """Return the violations: epochs claimed twice, and writes of former owners."""
    violations = []
    if len(set(epochs)) != len(epochs):
        violations.append(f"two claims have the same epoch: {epochs}")
    owner = ""
    for caller, changes in simulation.applied:
        for change in changes:
            if change.at == OWNER_ROW_KEY and isinstance(change, Write):
                owner = caller
            elif change.at == JOB_ROW_KEY and caller != owner:
                violations.append(f"{caller} writes while {owner} owns the cell")
    return violations


def find_first_violation(depth: int) -> tuple[str, int]:
    """Return the first violation, empty if none, and the number of runs."""
    epochs: list[int] = []

    def programs(simulation: ChoiceSimulation) -> list[Awaitable[None]]:
        epochs.clear()
        return [claim_and_write(simulation, name, epochs) for name in ("a", "b")]

    runs = 0
    for simulation in explore(programs, FAULTS, depth):
        runs += 1
        violations = list_violations(simulation, epochs)
        if violations:
            return violations[0], runs
    return "", runs


def test_a_former_owner_never_writes() -> None:
    """Guards against two owners of a cell under lost, late or reordered calls."""
    violation, runs = find_first_violation(DEPTH)
    assert violation == ""
    assert runs > 1_000


def ignore_guards(patch: pytest.MonkeyPatch) -> None:
    """Write without the condition on the owner row."""
    apply = ChoiceSimulation.apply

    def apply_unguarded(self: ChoiceSimulation, caller: str, changes: Any) -> Any:
        remaining = [change for change in changes if not isinstance(change, Expect)]
        return apply(self, caller, remaining)

    patch.setattr(ChoiceSimulation, "apply", apply_unguarded)


def claim_unconditionally(patch: pytest.MonkeyPatch) -> None:
    """Claim with whatever version the owner row has at that time."""
    apply = ChoiceSimulation.apply

    def apply_any(self: ChoiceSimulation, caller: str, changes: Any) -> Any:
        row = self.rows.rows.get(OWNER_ROW_KEY)
        version = row.version if row is not None else 0
        remaining = [
            (
                change._replace(expected=version)
                if change.at == OWNER_ROW_KEY and isinstance(change, Write)
                else change
            )
            for change in changes
        ]
        return apply(self, caller, remaining)

    patch.setattr(ChoiceSimulation, "apply", apply_any)


def reuse_former_epoch(patch: pytest.MonkeyPatch) -> None:
    """Claim with an epoch that does not increase."""
    read = CellOwnership._read

    async def read_lower(self: CellOwnership) -> OwnerRow | None:
        owner = await read(self)
        return owner and owner._replace(epoch=0)

    patch.setattr(CellOwnership, "_read", read_lower)


@pytest.mark.parametrize(
    "mutate", [ignore_guards, claim_unconditionally, reuse_former_epoch]
)
def test_exploration_detects_a_missing_mechanism(
    mutate: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an exploration that passes even if the code is broken."""
    mutate(monkeypatch)
    violation, _ = find_first_violation(DEPTH)
    assert violation
