"""Team quotas across instances: one row per team grants its slots to shards."""

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

ROW_PREFIX = "quotas/"
# Bounds how late a grant that another shard released is seen.
REFRESH_INTERVAL_MS: Millis = 500
# An unused grant is kept for this time, so that a task that starts right after another
# one needs no write.
IDLE_GRANT_MS: Millis = 2_000
# A shard that released a grant to starving shards requests none for this time. It is
# longer than a refresh interval, so that the others see the released slots first.
YIELD_BACKOFF_MS: Millis = 2 * REFRESH_INTERVAL_MS
# If there are more shards than slots, the slots rotate. A shard keeps its slot for this
# time, so that the slot is idle for only a small part of the time.
ROTATION_MS: Millis = 5_000
# A write that conflicts with that of another owner is retried after a random delay.
# After the last attempt, the next refresh tries again.
MAX_ATTEMPTS = 6
RETRY_DELAY_MS: Millis = 20
# Bounds the reads and writes that requested refreshes cause.
MIN_PAUSE_MS: Millis = 100
# Rows, one per team, that are written in one transaction.
MAX_ROWS = 50

Key = tuple[str, str]
QuotaOf = Callable[[str], int | None]


class QuotaRow(TypedDict):
    """Record the slots of a team granted to shards, row ``quotas/<team>``.

    ``waiting`` lists the shards that could start more tasks of the team immediately.
    """

    grants: dict[str, int]
    waiting: list[str]


class SlotDemand(NamedTuple):
    """Hold the slots of a team that a shard uses, and those it could use at once."""

    live: int
    wanted: int


class QuotaHeadroom:
    """Track how the slots of a team are divided among shards.

    ``fair_share`` is the share of each shard that uses or requests slots, rounded down;
    ``starving`` holds the waiting shards that have less than that, or no slot at all.
    """

    def __init__(
        self, quota: int, granted: int, fair_share: int, starving: set[str]
    ) -> None:
        self.quota = quota
        self.granted = granted
        self.fair_share = fair_share
        self.starving = starving

    def set_grant(self, shard: str, count: int, grants: dict[str, int]) -> None:
        """Set the grant of a shard, and update the totals."""
        self.granted += count - grants.get(shard, 0)
        grants[shard] = count
        if count >= max(self.fair_share, 1):
            self.starving.discard(shard)


class QuotaUpdate(NamedTuple):
    """Hold a team's new row, and the epochs of the owned shards that it covers.

    ``changed`` holds the shards whose grant or waiting state the row changes.
    """

    team: str
    row: QuotaRow
    version: int
    owned: dict[str, int]
    changed: dict[str, int]


class OwnedShards(Protocol):
    """Provide the owned shards with loaded tasks; implemented by ``TaskKeeper``."""

    def epochs(self) -> dict[str, int]:
        """Return the epoch of each owned shard whose tasks are loaded."""
        ...

    def live(self, shard: str, team: str) -> int:
        """Count the runs of a team, including those that are about to start."""
        ...

    def count_startable(self) -> dict[str, dict[str, int]]:
        """Count the tasks by shard and team that could start immediately."""
        ...

    def signal(self, shard: str) -> None:
        """Trigger the placement of the queued tasks of a shard."""
        ...


class TeamQuotas:
    """Manage the quota grants of the owned shards.

    Only the owner of a shard changes the shard's grant, fenced by its epoch. It starts
    a task only within the grant, and never lowers the grant below the number of live
    runs. A grant therefore remains valid when the shard changes its owner.
    """

    def __init__(
        self,
        store: TableStore,
        quota_of: QuotaOf,
        shards: OwnedShards,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._store = store
        self._quota_of = quota_of
        self._shards = shards
        self._clock = clock
        self._log = log
        self._wanted: dict[str, dict[str, int]] = {}
        # By shard and team. Grants come only from rows that are confirmed.
        self._grants: dict[Key, int] = {}
        self._caps: dict[Key, int] = {}
        self._last_used_ms: dict[Key, Millis] = {}
        self._yield_until_ms: dict[Key, Millis] = {}
        self._slot_since_ms: dict[Key, Millis] = {}
        self._exhausted: set[str] = set()
        self._unconfirmed: set[str] = set()
        self._refresh_requested = asyncio.Event()

    def has_room(self, shard: str, team: str, pending: int = 0) -> bool:
        """Return whether a task of the team may start in the shard now.

        ``pending`` is the number of other tasks that are to start before it.
        """
        if self._quota_of(team) is None:
            return True
        key = (shard, team)
        granted = self._grants.get(key, 0)
        return self._shards.live(shard, team) + pending < min(
            granted, self._caps.get(key, granted)
        )

    def is_exhausted(self, team: str) -> bool:
        """Return whether all slots of the team were granted at the last refresh."""
        return team in self._exhausted

    def shard_lost(self, shard: str) -> None:
        """Drop the state of a lost shard; its grants pass to the next owner."""
        states: tuple[dict[Key, int], ...] = (
            self._grants,
            self._caps,
            self._last_used_ms,
            self._yield_until_ms,
            self._slot_since_ms,
        )
        for state in states:
            for key in [key for key in state if key[0] == shard]:
                del state[key]

    def request_refresh(self) -> None:
        """Request a refresh before the next interval ends."""
        self._refresh_requested.set()

    async def run(self) -> None:
        """Refresh every ``REFRESH_INTERVAL_MS``, and soon after a request."""
        while True:
            await run_guarded(self.refresh, "team quotas", self._log)
            await self._clock.sleep_ms(MIN_PAUSE_MS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REFRESH_INTERVAL_MS / 1_000):
                    await self._refresh_requested.wait()
            self._refresh_requested.clear()

    async def refresh(self) -> None:
        """Read all quota rows once and adjust the grants of the owned shards.

        The epochs are taken before the read. A row that was read before this instance
        gained a shard may show a grant that the former owner has changed since.
        """
        epochs = self._shards.epochs()
        reply = await self._store.scan(ROW_PREFIX)
        if isinstance(reply, Err):
            return
        rows = {row.key.removeprefix(ROW_PREFIX): row for row in reply.ok_value}
        self._wanted = self._shards.count_startable()
        teams = {team for wants in self._wanted.values() for team in wants}
        limited = {team for team in teams if self._quota_of(team) is not None}
        row_updates = [
            row_update
            for team in sorted({*rows, *limited})
            if (row_update := self._plan_update(team, rows.get(team), epochs))
            is not None
        ]
        for start in range(0, len(row_updates), MAX_ROWS):
            await self._write_batch(row_updates[start : start + MAX_ROWS])

    async def _write_batch(self, row_updates: list[QuotaUpdate]) -> None:
        """Write the rows of several teams at once; after a conflict, one by one."""
        if await self._write(row_updates):
            return
        for row_update in row_updates:
            await self._adjust_team(row_update.team)

    async def _adjust_team(self, team: str) -> None:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            await self._clock.sleep_ms(random.randint(0, RETRY_DELAY_MS * attempt))
            epochs = self._shards.epochs()
            reply = await self._store.read(ROW_PREFIX + team)
            if isinstance(reply, Err):
                return
            row_update = self._plan_update(team, reply.ok_value, epochs)
            if row_update is None or await self._write([row_update]):
                return

    def _plan_update(
        self,
        team: str,
        row: Row | None,
        epochs: dict[str, int],
    ) -> QuotaUpdate | None:
        """Return the update that a row needs; apply the row if it needs none."""
        current = _parse_row(row)
        current_epochs = self._shards.epochs()
        owned = {
            s: epoch for s, epoch in epochs.items() if current_epochs.get(s) == epoch
        }
        planned = self._next_row(team, current, list(owned))
        changed = {
            s: owned[s]
            for s in owned
            if _shard_state(current, s) != _shard_state(planned, s)
        }
        if not changed and team not in self._unconfirmed:
            self._apply_grants(team, planned, owned)
            return None
        # From here on, no start may rely on slots that this update releases.
        for shard in changed:
            key = (shard, team)
            granted = planned["grants"].get(shard, 0)
            self._grants[key] = min(self._grants.get(key, 0), granted)
        version = row.version if row is not None else ABSENT
        return QuotaUpdate(team, planned, version, owned, changed)

    async def _write(self, row_updates: list[QuotaUpdate]) -> bool:
        """Write updates in one transaction; False if another write conflicts."""
        epochs = {s: epoch for item in row_updates for s, epoch in item.changed.items()}
        operations: list[Operation] = [
            *(
                Put(
                    ROW_PREFIX + item.team, cast(dict[str, Any], item.row), item.version
                )
                for item in row_updates
            ),
            *(Require(f"shards/{s}", "epoch", epoch) for s, epoch in epochs.items()),
        ]
        written = await self._store.commit(operations)
        if isinstance(written, Ok):
            for item in row_updates:
                self._unconfirmed.discard(item.team)
                self._apply_grants(item.team, item.row, item.owned)
            return True
        if written.err_value.code is Code.STORE_OUTCOME_UNKNOWN:
            # The rows are rewritten before they are used, so that this write fails if
            # it arrives late.
            self._unconfirmed.update(item.team for item in row_updates)
        return written.err_value.code is not Code.STORE_CONFLICT

    def _apply_grants(self, team: str, row: QuotaRow, epochs: dict[str, int]) -> None:
        """Apply the grants of the shards that are still owned under the same epoch."""
        self._update_exhausted(team, row)
        current_epochs = self._shards.epochs()
        for shard, epoch in epochs.items():
            if current_epochs.get(shard) != epoch:
                continue
            key, granted = (shard, team), row["grants"].get(shard, 0)
            before = self._grants.get(key, 0)
            if granted or before:
                self._grants[key] = granted
            if granted > before:
                self._shards.signal(shard)

    def _update_exhausted(self, team: str, row: QuotaRow) -> None:
        quota, granted = self._quota_of(team), sum(row["grants"].values())
        if quota is None or granted < quota:
            self._exhausted.discard(team)
        elif team not in self._exhausted:
            self._exhausted.add(team)
            self._log.emit(Event.QUOTA_REACHED, team=team, quota=quota, granted=granted)

    def _next_row(self, team: str, current: QuotaRow, owned: list[str]) -> QuotaRow:
        """Compute the row with the new grants of the owned shards."""
        quota = self._quota_of(team)
        grants = dict(current["grants"])
        if quota is None:
            kept = {
                shard: slots for shard, slots in grants.items() if shard not in owned
            }
            waiting = set(current["waiting"]) - set(owned)
            return {"grants": kept, "waiting": sorted(waiting)}
        demands = self._slot_demands(team, owned, grants)
        requesting = {
            shard for shard, demand in demands.items() if demand.count_startable
        }
        waiting = (set(current["waiting"]) - set(owned)) | requesting
        headroom = _headroom(quota, grants, waiting)
        for shard, demand in demands.items():
            self._release_unused(team, shard, demand, grants, headroom)
        headroom = _headroom(quota, grants, waiting)
        for shard in sorted(requesting, key=lambda name: (grants[name], name)):
            self._raise_grant(team, shard, demands[shard], grants, headroom)
        satisfied = {
            shard for shard in requesting if grants[shard] >= sum(demands[shard])
        }
        return {
            "grants": {shard: count for shard, count in grants.items() if count},
            "waiting": sorted(waiting - satisfied),
        }

    def _slot_demands(
        self,
        team: str,
        owned: list[str],
        grants: dict[str, int],
    ) -> dict[str, SlotDemand]:
        """Return the demand of the owned shards that have a demand or a grant."""
        demands = {
            shard: SlotDemand(
                self._shards.live(shard, team),
                self._wanted.get(shard, {}).get(team, 0),
            )
            for shard in owned
        }
        return {
            shard: demand
            for shard, demand in demands.items()
            if any(demand) or shard in grants
        }

    def _release_unused(
        self,
        team: str,
        shard: str,
        demand: SlotDemand,
        grants: dict[str, int],
        headroom: QuotaHeadroom,
    ) -> None:
        """Release slots that a shard does not need, or has beyond its fair share."""
        key, now_ms = (shard, team), self._clock.now_ms()
        granted = grants.get(shard, 0)
        fair_share, starving = headroom.fair_share, bool(headroom.starving - {shard})
        self._caps.pop(key, None)
        if not granted:
            self._slot_since_ms.pop(key, None)
        held_ms = now_ms - self._slot_since_ms.setdefault(key, now_ms)
        if starving and granted > fair_share and (fair_share or held_ms > ROTATION_MS):
            self._yield_until_ms[key] = now_ms + YIELD_BACKOFF_MS
            granted = fair_share
        elif sum(demand) >= granted:
            self._last_used_ms[key] = now_ms
        elif (
            starving
            or now_ms - self._last_used_ms.setdefault(key, now_ms) > IDLE_GRANT_MS
        ):
            granted = sum(demand)
        excess = max(headroom.granted - headroom.quota, 0)
        granted = min(granted, max(granted - excess, fair_share))
        if granted < demand.live:
            # Without the cap, a new task would take each slot as soon as it is free.
            self._caps[key] = granted
        headroom.set_grant(shard, max(demand.live, granted), grants)

    def _raise_grant(
        self,
        team: str,
        shard: str,
        demand: SlotDemand,
        grants: dict[str, int],
        headroom: QuotaHeadroom,
    ) -> None:
        """Raise the grant of a shard as far as the quota has slots left."""
        if self._yield_until_ms.get((shard, team), 0) > self._clock.now_ms():
            return
        limit = sum(demand)
        if headroom.starving - {shard}:
            limit = min(limit, max(headroom.fair_share, 1))
        added = min(limit - grants[shard], headroom.quota - headroom.granted)
        headroom.set_grant(shard, grants[shard] + max(added, 0), grants)


def _headroom(quota: int, grants: dict[str, int], waiting: set[str]) -> QuotaHeadroom:
    """Compute the current division of a quota."""
    claimants = len(waiting.union(shard for shard, count in grants.items() if count))
    fair_share = quota // max(claimants, 1)
    starving = {shard for shard in waiting if grants.get(shard, 0) < max(fair_share, 1)}
    return QuotaHeadroom(quota, sum(grants.values()), fair_share, starving)


def _shard_state(row: QuotaRow, shard: str) -> tuple[int, bool]:
    return row["grants"].get(shard, 0), shard in row["waiting"]


def _parse_row(row: Row | None) -> QuotaRow:
    """Parse a stored row; fields of the wrong type count as absent."""
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
