"""Choice of cells that move from a small owner to a larger instance without a cell.

A cell is claimed by whichever instance notices first that it is vacant, and would stay
with it for good. Large instances without a cell announce themselves while a cell has a
small owner, and one such owner at a time hands its cell over.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hyssopweir.cell_heartbeats import Candidate, Heartbeat
from hyssopweir.clock import Millis

# Capacity of an instance that can carry one loaded cell.
NEEDED_CAPACITY = 1_000
# A cell moves only to an instance with this multiple of its owner's capacity.
MIN_GAIN = 2
# Candidates repeat their announcement at this interval, and count as gone when it has
# not changed for the second time.
ANNOUNCE_INTERVAL_MS: Millis = 1_000
MAX_CANDIDATE_AGE_MS: Millis = 2_500
# A candidate must have been there for this long: an instance that has just started may
# be stopped again, and its process is still busy.
SETTLING_MS: Millis = 3_000
# A cell keeps its owner for this time after each change, whatever the cause.
MIN_OWNED_MS: Millis = 10_000
# No cell moves for this time after another one has changed its owner, which may be part
# of a larger failure or of a rolling release.
CALM_MS: Millis = 3_000
# The same after a read of the heartbeats has failed.
OUTAGE_CALM_MS: Millis = 10_000


class OwnedCell(NamedTuple):
    """Owner of a cell as last read, and since when it has been unchanged."""

    owner: tuple[str, int, bool]
    since_ms: Millis


class SeenCandidate(NamedTuple):
    """Announcement of a candidate, since when it is there and when it last changed."""

    candidate: Candidate
    since_ms: Millis
    changed_ms: Millis


class CellMoves:
    """View that one instance has of the owners and candidates, over time."""

    def __init__(self) -> None:
        self._cells: dict[str, OwnedCell] = {}
        self._capacities: dict[str, int] = {}
        self._candidates: dict[str, SeenCandidate] = {}
        self._outage_ms: Millis | None = None
        self._now_ms: Millis = 0

    def record_outage(self, now_ms: Millis) -> None:
        """Record a failed read; candidates must be there again for a while."""
        self._outage_ms = now_ms
        self._candidates.clear()

    def record(
        self,
        heartbeats: Mapping[str, Heartbeat],
        candidates: Mapping[str, Candidate],
        now_ms: Millis,
    ) -> None:
        """Compare the owners and candidates with those of the previous read."""
        self._now_ms = now_ms
        for cell, heartbeat in heartbeats.items():
            owner = (heartbeat.instance, heartbeat.epoch, heartbeat.is_released)
            known = self._cells.get(cell)
            if known is None or known.owner != owner:
                self._cells[cell] = OwnedCell(owner, now_ms)
            self._capacities[cell] = heartbeat.capacity
        self._candidates = {
            name: self._see(candidate) for name, candidate in candidates.items()
        }

    def _see(self, candidate: Candidate) -> SeenCandidate:
        now_ms = self._now_ms
        known = self._candidates.get(candidate.instance)
        if known is None or known.candidate.life != candidate.life:
            # A row that never changes was left by an instance that has died.
            return SeenCandidate(candidate, now_ms, now_ms - MAX_CANDIDATE_AGE_MS)
        if known.candidate.version == candidate.version:
            return known
        is_back = now_ms - known.changed_ms >= MAX_CANDIDATE_AGE_MS
        since_ms = now_ms if is_back else known.since_ms
        return SeenCandidate(candidate, since_ms, now_ms)

    def should_announce(self, capacity: int) -> bool:
        """Return whether an instance without a cell could relieve a small owner."""
        return any(
            is_gain(own, capacity)
            for cell, own in self._capacities.items()
            if not self._cells[cell].owner[2]
        )

    def choose_successor(self, cell: str, silent: Iterable[str]) -> Candidate | None:
        """Return the instance to which the owner of a cell hands it over now.

        ``silent`` are cells whose owner may have died. Only the cell with the smallest
        owner moves, so that no two cells move at once or to the same instance.
        """
        if not self._is_calm() or any(silent):
            return None
        known = self._cells.get(cell)
        if known is None or self._now_ms - known.since_ms < MIN_OWNED_MS:
            return None
        candidates = [
            seen.candidate
            for seen in self._candidates.values()
            if self._now_ms - seen.since_ms >= SETTLING_MS
            and self._now_ms - seen.changed_ms < MAX_CANDIDATE_AGE_MS
        ]
        if not candidates:
            return None
        best = max(candidates, key=lambda one: (one.capacity, one.instance))
        small = [
            (own, name)
            for name, own in self._capacities.items()
            if is_gain(own, best.capacity)
        ]
        return best if small and min(small)[1] == cell else None

    def _is_calm(self) -> bool:
        is_outage_over = (
            self._outage_ms is None or self._now_ms - self._outage_ms >= OUTAGE_CALM_MS
        )
        return is_outage_over and all(
            self._now_ms - known.since_ms >= CALM_MS and not known.owner[2]
            for known in self._cells.values()
        )


def is_gain(own: int, other: int) -> bool:
    """Return whether an owner is too small, and an instance large enough instead.

    A capacity of 0 is unknown: earlier builds don't state it.
    """
    return 0 < own < NEEDED_CAPACITY <= other and other >= MIN_GAIN * own
