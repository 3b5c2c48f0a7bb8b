"""Team quotas over all instances: slots granted to shards in one row for each team."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, TypedDict, cast

from result import Err, Ok

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code
from hyssopweir.events import Event, EventLog
from hyssopweir.loops import run_guarded
from hyssopweir.table import ABSENT, Operation, Put, Require, Row, TableStore

PREFIX = "quotas/"
# How soon a grant that another shard gave back is seen.
TICK_MS: Millis = 500
# An unused grant is kept for this time, so that one task that follows another needs no
# write.
KEEP_MS: Millis = 2_000
# A shard that gave a grant back for the sake of others asks for none in this time;
# longer than a tick, so that the others see the grant first.
YIELD_MS: Millis = 2 * TICK_MS
# If there are more shards than slots, a shard keeps its slot for this time before it
# passes it on, so that the time in which no shard uses the slot remains small.
TURN_MS: Millis = 5_000
# A write that meets another owner's write is repeated after a random pause, and with
# the next tick at the latest.
ATTEMPTS = 6
RETRY_MS: Millis = 20
# Bounds the reads and writes that kicks cause.
LEAST_PAUSE_MS: Millis = 100
# Teams written in one transaction.
MOST_ROWS = 50

Key = tuple[str, str]
QuotaOf = Callable[[str], int | None]


class QuotaRow(TypedDict):
    """Hold the slots of a team granted to shards, row ``quotas/<team>``.

    ``waiting`` lists the shards that could start more tasks of the team at once.
    """

    grants: dict[str, int]
    waiting: list[str]


class Need(NamedTuple):
    """State the slots of a team that a shard uses, and could use at once."""

    live: int
    wanted: int


class QuotaHeadroom:
    """Follow how the slots of a team are divided.

    ``fair`` is the share of each shard that uses or wants slots, rounded down, and
    ``starving`` holds the waiting shards that have less.
    """

    def __init__(self, quota: int, granted: int, fair: int, starving: set[str]) -> None:
        self.quota = quota
        self.granted = granted
        self.fair = fair
        self.starving = starving

    def give(self, shard: str, count: int, grants: dict[str, int]) -> None:
        """Change the grant of a shard."""
        self.granted += count - grants.get(shard, 0)
        grants[shard] = count
        if count >= max(self.fair, 1):
            self.starving.discard(shard)


class QuotaUpdate(NamedTuple):
    """Hold a team's new row, and the epochs of the shards that it may be used for.

    ``moved`` holds those whose grant or wish it changes.
    """

    team: str
    row: QuotaRow
    version: int
    own: dict[str, int]
    moved: dict[str, int]


class Shards(Protocol):
    """Know the owned shards whose tasks are loaded; implemented by ``TaskKeeper``."""

    def epochs(self) -> dict[str, int]:
        """Return the epochs of the shards."""
        ...

    def live(self, shard: str, team: str) -> int:
        """Return the number of a team's runs, those included that are to start."""
        ...

    def wanted(self) -> dict[str, dict[str, int]]:
        """Return by shard how many tasks of each team could start at once."""
        ...

    def signal(self, shard: str) -> None:
        """Place the queued tasks of a shard."""
        ...


class TeamQuotas:
    """Hold the grants of the owned shards.

    Only the owner of a shard changes the shard's grant, under its epoch. It starts a
    task only below the grant, and never lowers the grant below the runs that are live.
    A grant therefore stays valid when the shard changes its owner.
    """

    def __init__(
        self,
        store: TableStore,
        quota_of: QuotaOf,
        shards: Shards,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._store = store
        self._quota_of = quota_of
        self._shards = shards
        self._clock = clock
        self._log = log
        self._wanted: dict[str, dict[str, int]] = {}
        # By shard and team; grants hold only what a confirmed row shows.
        self._grants: dict[Key, int] = {}
        self._caps: dict[Key, int] = {}
        self._used_ms: dict[Key, Millis] = {}
        self._yield_until_ms: dict[Key, Millis] = {}
        self._turn_since_ms: dict[Key, Millis] = {}
        self._exhausted: set[str] = set()
        self._unconfirmed: set[str] = set()
        self._kicked = asyncio.Event()

    def has_room(self, shard: str, team: str, promised: int = 0) -> bool:
        """Tell whether a task of the team may start in the shard now.

        ``promised`` is the number of further tasks that are to start before it.
        """
        if self._quota_of(team) is None:
            return True
        key = (shard, team)
        granted = self._grants.get(key, 0)
        return self._shards.live(shard, team) + promised < min(
            granted, self._caps.get(key, granted)
        )

    def is_exhausted(self, team: str) -> bool:
        """Tell whether all slots of the team were granted at the last look."""
        return team in self._exhausted

    def shard_lost(self, shard: str) -> None:
        """Forget the grants of a shard; they pass to its next owner."""
        memories: tuple[dict[Key, int], ...] = (
            self._grants,
            self._caps,
            self._used_ms,
            self._yield_until_ms,
            self._turn_since_ms,
        )
        for memory in memories:
            for key in [key for key in memory if key[0] == shard]:
                del memory[key]

    def kick(self) -> None:
        """Adjust the grants soon."""
        self._kicked.set()

    async def run(self) -> None:
        """Adjust the grants every ``TICK_MS``, and soon after a kick."""
        while True:
            await run_guarded(self.refresh, "team quotas", self._log)
            await self._clock.sleep_ms(LEAST_PAUSE_MS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_MS / 1_000):
                    await self._kicked.wait()
            self._kicked.clear()

    async def refresh(self) -> None:
        """Read all grants once and adjust those of the owned shards.

        The epochs are noted before the read: a row that was read earlier may show
        grants that a former owner of the shard has changed since.
        """
        epochs = self._shards.epochs()
        reply = await self._store.scan(PREFIX)
        if isinstance(reply, Err):
            return
        rows = {row.key.removeprefix(PREFIX): row for row in reply.ok_value}
        self._wanted = self._shards.wanted()
        teams = {team for wants in self._wanted.values() for team in wants}
        limited = {team for team in teams if self._quota_of(team) is not None}
        changes = [
            change
            for team in sorted({*rows, *limited})
            if (change := self._plan(team, rows.get(team), epochs)) is not None
        ]
        for start in range(0, len(changes), MOST_ROWS):
            await self._write_together(changes[start : start + MOST_ROWS])

    async def _write_together(self, changes: list[QuotaUpdate]) -> None:
        """Write the rows of several teams at once, after a conflict one by one."""
        if await self._write(changes):
            return
        for change in changes:
            await self._adjust(change.team)

    async def _adjust(self, team: str) -> None:
        for attempt in range(1, ATTEMPTS + 1):
            await self._clock.sleep_ms(random.randint(0, RETRY_MS * attempt))
            epochs = self._shards.epochs()
            reply = await self._store.read(PREFIX + team)
            if isinstance(reply, Err):
                return
            change = self._plan(team, reply.ok_value, epochs)
            if change is None or await self._write([change]):
                return

    def _plan(
        self,
        team: str,
        row: Row | None,
        epochs: dict[str, int],
    ) -> QuotaUpdate | None:
        """Return the change that a row needs; use the row if it needs none."""
        known = _parse(row)
        now = self._shards.epochs()
        own = {s: epoch for s, epoch in epochs.items() if now.get(s) == epoch}
        wanted = self._next_row(team, known, list(own))
        moved = {s: own[s] for s in own if _part(known, s) != _part(wanted, s)}
        if not moved and team not in self._unconfirmed:
            self._learn(team, wanted, own)
            return None
        # From here on no start may rely on what this change gives back.
        for shard in moved:
            key = (shard, team)
            granted = wanted["grants"].get(shard, 0)
            self._grants[key] = min(self._grants.get(key, 0), granted)
        version = row.version if row is not None else ABSENT
        return QuotaUpdate(team, wanted, version, own, moved)

    async def _write(self, changes: list[QuotaUpdate]) -> bool:
        """Write changes in one transaction; False if another owner was faster."""
        epochs = {s: epoch for item in changes for s, epoch in item.moved.items()}
        operations: list[Operation] = [
            *(
                Put(PREFIX + item.team, cast(dict[str, Any], item.row), item.version)
                for item in changes
            ),
            *(Require(f"shards/{s}", "epoch", epoch) for s, epoch in epochs.items()),
        ]
        written = await self._store.commit(operations)
        if isinstance(written, Ok):
            for item in changes:
                self._unconfirmed.discard(item.team)
                self._learn(item.team, item.row, item.own)
            return True
        if written.err_value.code is Code.STORE_OUTCOME_UNKNOWN:
            # The rows are written again before they are trusted, so that this write
            # fails if it is still on its way.
            self._unconfirmed.update(item.team for item in changes)
        return written.err_value.code is not Code.STORE_CONFLICT

    def _learn(self, team: str, row: QuotaRow, epochs: dict[str, int]) -> None:
        """Use the grants of the shards that are still owned under the same epoch."""
        self._note_exhausted(team, row)
        now = self._shards.epochs()
        for shard, epoch in epochs.items():
            if now.get(shard) != epoch:
                continue
            key, granted = (shard, team), row["grants"].get(shard, 0)
            before = self._grants.get(key, 0)
            if granted or before:
                self._grants[key] = granted
            if granted > before:
                self._shards.signal(shard)

    def _note_exhausted(self, team: str, row: QuotaRow) -> None:
        quota, granted = self._quota_of(team), sum(row["grants"].values())
        if quota is None or granted < quota:
            self._exhausted.discard(team)
        elif team not in self._exhausted:
            self._exhausted.add(team)
            self._log.emit(Event.QUOTA_REACHED, team=team, quota=quota, granted=granted)

    def _next_row(self, team: str, known: QuotaRow, own: list[str]) -> QuotaRow:
        """Return the row with the owned shards' grants as they should be."""
        quota = self._quota_of(team)
        grants = dict(known["grants"])
        if quota is None:
            kept = {shard: n for shard, n in grants.items() if shard not in own}
            waiting = set(known["waiting"]) - set(own)
            return {"grants": kept, "waiting": sorted(waiting)}
        needs = self._needs(team, own, grants)
        wanting = {shard for shard, need in needs.items() if need.wanted}
        waiting = (set(known["waiting"]) - set(own)) | wanting
        room = _room(quota, grants, waiting)
        for shard, need in needs.items():
            self._keep(team, shard, need, grants, room)
        room = _room(quota, grants, waiting)
        for shard in sorted(wanting, key=lambda name: (grants[name], name)):
            self._raise(team, shard, needs[shard], grants, room)
        met = {shard for shard in wanting if grants[shard] >= sum(needs[shard])}
        return {
            "grants": {shard: count for shard, count in grants.items() if count},
            "waiting": sorted(waiting - met),
        }

    def _needs(
        self,
        team: str,
        own: list[str],
        grants: dict[str, int],
    ) -> dict[str, Need]:
        """Return the needs of the owned shards that have any, or have a grant."""
        needs = {
            shard: Need(
                self._shards.live(shard, team),
                self._wanted.get(shard, {}).get(team, 0),
            )
            for shard in own
        }
        return {
            shard: need for shard, need in needs.items() if any(need) or shard in grants
        }

    def _keep(
        self,
        team: str,
        shard: str,
        need: Need,
        grants: dict[str, int],
        room: QuotaHeadroom,
    ) -> None:
        """Give back what a shard does not need, or has beyond its fair share."""
        key, now_ms = (shard, team), self._clock.now_ms()
        granted = grants.get(shard, 0)
        fair, starving = room.fair, bool(room.starving - {shard})
        self._caps.pop(key, None)
        if not granted:
            self._turn_since_ms.pop(key, None)
        turn_ms = now_ms - self._turn_since_ms.setdefault(key, now_ms)
        if starving and granted > fair and (fair or turn_ms > TURN_MS):
            self._yield_until_ms[key] = now_ms + YIELD_MS
            granted = fair
        elif sum(need) >= granted:
            self._used_ms[key] = now_ms
        elif starving or now_ms - self._used_ms.setdefault(key, now_ms) > KEEP_MS:
            granted = sum(need)
        excess = max(room.granted - room.quota, 0)
        granted = min(granted, max(granted - excess, fair))
        if granted < need.live:
            # Without the cap each slot would be used again as soon as it is free.
            self._caps[key] = granted
        room.give(shard, max(need.live, granted), grants)

    def _raise(
        self,
        team: str,
        shard: str,
        need: Need,
        grants: dict[str, int],
        room: QuotaHeadroom,
    ) -> None:
        """Raise the grant of a shard as far as slots are left."""
        if self._yield_until_ms.get((shard, team), 0) > self._clock.now_ms():
            return
        limit = sum(need)
        if room.starving - {shard}:
            limit = min(limit, max(room.fair, 1))
        more = min(limit - grants[shard], room.quota - room.granted)
        room.give(shard, grants[shard] + max(more, 0), grants)


def _room(quota: int, grants: dict[str, int], waiting: set[str]) -> QuotaHeadroom:
    """Return how a quota is divided at the moment."""
    claimants = len(waiting.union(shard for shard, count in grants.items() if count))
    fair = quota // max(claimants, 1)
    starving = {shard for shard in waiting if grants.get(shard, 0) < max(fair, 1)}
    return QuotaHeadroom(quota, sum(grants.values()), fair, starving)


def _part(row: QuotaRow, shard: str) -> tuple[int, bool]:
    return row["grants"].get(shard, 0), shard in row["waiting"]


def _parse(row: Row | None) -> QuotaRow:
    """Return the row; what has the wrong shape counts as absent."""
    value = row.value if row is not None else {}
    grants, waiting = value.get("grants"), value.get("waiting")
    return {
        "grants": {
            str(shard): count
            for shard, count in (grants if isinstance(grants, dict) else {}).items()
            if type(count) is int and count > 0
        },
        "waiting": sorted(map(str, waiting)) if isinstance(waiting, list) else [],
    }
