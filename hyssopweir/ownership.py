"""Ownership of shards by instances: claim, takeover, handover and rebalancing."""

import asyncio
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Any, NamedTuple

from mode import Service
from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure
from hyssopweir.contracts import SessionRow
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet_view import FleetView
from hyssopweir.loops import run_forever, run_guarded
from hyssopweir.membership import Membership, session_key
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.settings import Settings
from hyssopweir.table import ABSENT, Check, Put, Require, Row, TableStore

PREFIX = "shards/"
TOPIC = "shard_handed_over"
FIRST_EPOCH = 1
# An instance waits this long for each better-ranked instance to claim a shard first.
RANK_DELAY_MS: Millis = 500
# Shards move to a new instance only after it has been ready for this long, so that
# an instance that keeps restarting doesn't move shards each time.
MIN_READY_MS: Millis = 5_000
# Parallel claims keep a takeover of many shards within the takeover time; the limit
# prevents a burst of writes.
MAX_PARALLEL_CLAIMS = 8
HAND_OVER_RETRY_MS: Millis = 250


class KnownOwner(NamedTuple):
    """Owner and epoch of a shard in the newest known version of its row."""

    version: int
    owner: str
    epoch: int


def rank_sessions(shard: str, sessions: dict[str, SessionRow]) -> list[str]:
    """Rank sessions, best first: the shard's data centre, then rendezvous hashing.

    The hash uses the instance's name, so that a restarted instance gets its shards
    back; ties between instances of the same name are broken by the session.
    """
    data_centre = shard.partition("/")[0]

    def sort_key(session: str) -> tuple[bool, bytes, str]:
        row = sessions[session]
        name = f"{shard}|{row['instance']}".encode()
        digest = blake2b(name, digest_size=8).digest()
        return row["data_centre"] != data_centre, digest, session

    return sorted(sessions, key=sort_key)


class Ownership(Service):
    """Claim shards, take over those of gone instances and hand shards over.

    The rows ``shards/`` are the only source of truth: a claim whose outcome is unknown
    takes effect here once a scan shows it.
    """

    def __init__(
        self,
        cfg: Settings,
        store: TableStore,
        membership: Membership,
        fleet: FleetView,
        peers: PeerNetwork,
        clock: Clock,
        log: EventLog,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        self._store = store
        self._membership = membership
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._log = log
        self._lock = asyncio.Lock()
        self._rows: dict[str, KnownOwner] = {}
        self._owned: dict[str, int] = {}
        self._rejected_epochs: dict[str, int] = {}
        self._malformed_versions: dict[str, int] = {}
        self._claimable_since_ms: dict[str, Millis] = {}
        self._gained_handlers: list[Callable[[str, int], None]] = []
        self._lost_handlers: list[Callable[[str], None]] = []
        self._is_stopping = False
        self._is_refresh_requested = False
        peers.on_notification(TOPIC, self._on_handover)

    async def on_start(self) -> None:
        """Start to scan the shard rows every ``scan_ms``."""
        interval_ms = self._cfg["timing"]["scan_ms"]
        self.add_future(
            run_forever(self, interval_ms, self.refresh, self._clock, self._log)
        )

    def owner_of(self, shard: str) -> str | None:
        """Return the session of the owner in the newest known row."""
        known = self._rows.get(shard)
        return known.owner if known is not None else None

    def epoch_of(self, shard: str) -> int | None:
        """Return the epoch if this instance owns the shard, otherwise None."""
        return self._owned.get(shard)

    def owned(self) -> dict[str, int]:
        """Return the epochs of the shards that this instance owns."""
        return dict(self._owned)

    def on_gained(self, handler: Callable[[str, int], None]) -> None:
        """Call ``handler`` with shard and epoch of each gained shard."""
        self._gained_handlers.append(handler)

    def on_lost(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with each shard that this instance no longer owns."""
        self._lost_handlers.append(handler)

    def lost(self, shard: str, epoch: int) -> None:
        """Drop a shard because a worker or the table rejected its epoch as stale."""
        if self._owned.get(shard) != epoch:
            return
        self._rejected_epochs[shard] = epoch
        self._drop(shard, "the epoch was rejected")
        self._request_refresh()

    async def refresh(self) -> None:
        """Scan the shard rows once, follow them, claim due shards and rebalance."""
        async with self._lock:
            reply = await self._store.scan(PREFIX)
            if isinstance(reply, Err):
                return
            self._process_rows(reply.ok_value)
            if self._is_stopping or not self._membership.is_observing():
                self._claimable_since_ms.clear()
                return
            await self._claim_due_shards()
            await self._rebalance()
            await self._membership.remove_expired(self._recorded_owners())

    async def hand_over(self) -> None:
        """Hand all shards over; retry until the stop limit if the table fails.

        The rows of shards that no other instance can own keep this session as owner.
        """
        self._is_stopping = True
        self._membership.set_ready(False)
        deadline_ms = self._clock.now_ms() + self._cfg["timing"]["stop_limit_ms"]
        while True:
            # The new owners would hand shards back while the own row is still ready.
            is_done = await self._membership.publish()
            if is_done:
                async with self._lock:
                    is_done = await self._hand_over_all()
            if is_done or self._clock.now_ms() >= deadline_ms:
                return
            await self._clock.sleep_ms(HAND_OVER_RETRY_MS)
            await self.refresh()

    def _process_rows(self, rows: Iterable[Row]) -> None:
        for row in rows:
            shard = row.key.removeprefix(PREFIX)
            known = self._rows.get(shard)
            if known is not None and known.version >= row.version:
                continue
            min_epoch = known.epoch if known is not None else FIRST_EPOCH
            if not is_shard_row(row.value, min_epoch):
                self._log_malformed_row(shard, row)
                continue
            self._malformed_versions.pop(shard, None)
            epoch, owner = row.value["epoch"], row.value["owner"]
            self._rows[shard] = KnownOwner(row.version, owner, epoch)
        for shard in sorted(self._rows):
            self._apply_row(shard)

    def _log_malformed_row(self, shard: str, row: Row) -> None:
        if self._malformed_versions.get(shard) != row.version:
            self._malformed_versions[shard] = row.version
            detail = "malformed row or decreasing epoch"
            self._log.emit(Event.BAD_INPUT, source=row.key, detail=detail)

    def _apply_row(self, shard: str) -> None:
        """Update the own ownership to match the newest row of a shard."""
        known, epoch = self._rows[shard], self._owned.get(shard)
        is_owner = known.owner == self._membership.session
        if epoch is not None and (not is_owner or known.epoch != epoch):
            self._drop(shard, f"{known.owner} owns it at epoch {known.epoch}")
            epoch = None
        if (
            is_owner
            and epoch is None
            and self._rejected_epochs.get(shard, 0) < known.epoch
        ):
            self._acquire(shard, known.epoch)

    def _acquire(self, shard: str, epoch: int) -> None:
        self._owned[shard] = epoch
        self._rejected_epochs.pop(shard, None)
        self._log.emit(Event.SHARD_CLAIMED, shard=shard, epoch=epoch)
        for handler in self._gained_handlers:
            self._call_handler(handler, shard, epoch)

    def _drop(self, shard: str, reason: str, event: Event = Event.SHARD_LOST) -> None:
        epoch = self._owned.pop(shard)
        self._log.emit(event, shard=shard, epoch=epoch, reason=reason)
        for handler in self._lost_handlers:
            self._call_handler(handler, shard)

    def _call_handler(self, handler: Callable[..., None], *args: Any) -> None:
        """Call a handler; log its exception so that the other handlers still run."""
        try:
            handler(*args)
        except Exception as exc:
            error = f"{type(exc).__name__}: {exc}"
            self._log.emit(
                Event.BACKGROUND_TASK_FAILED, task=f"shard {args[0]}", error=error
            )

    async def _claim_due_shards(self) -> None:
        candidates = self._candidates()
        claimable = [
            shard for shard in self._known_shards() if self._is_claimable(shard)
        ]
        now_ms = self._clock.now_ms()
        self._claimable_since_ms = {
            shard: self._claimable_since_ms.get(shard, now_ms) for shard in claimable
        }
        due = [
            shard
            for shard in claimable
            if self._is_due(shard, rank_sessions(shard, candidates), now_ms)
        ]
        semaphore = asyncio.Semaphore(MAX_PARALLEL_CLAIMS)

        async def claim(shard: str) -> None:
            async with semaphore:
                await self._claim(shard)

        await asyncio.gather(*map(claim, due))

    def _known_shards(self) -> list[str]:
        return sorted({*self._fleet.shards(), *self._rows})

    def _is_claimable(self, shard: str) -> bool:
        known = self._rows.get(shard)
        if shard in self._malformed_versions:
            return False
        if known is None or self._membership.is_gone(known.owner):
            return True
        is_owner = known.owner == self._membership.session
        return is_owner and shard not in self._owned

    def _is_due(self, shard: str, ranked: list[str], now_ms: Millis) -> bool:
        own_session = self._membership.session
        if self.owner_of(shard) == own_session:
            return True
        if own_session not in ranked:
            return False
        delay_ms = ranked.index(own_session) * RANK_DELAY_MS
        return now_ms >= self._claimable_since_ms[shard] + delay_ms

    async def _claim(self, shard: str) -> None:
        """Write this session as owner unless the old owner's session has changed."""
        if not self._membership.is_observing() or not self._is_claimable(shard):
            return
        own_session, known = self._membership.session, self._rows.get(shard)
        if known is None:
            known = KnownOwner(ABSENT, "", FIRST_EPOCH - 1)
        conditions: list[Check | Require] = [self._require_own_session()]
        if known.owner and known.owner != own_session:
            version = self._membership.version_of(known.owner)
            conditions.append(Check(session_key(known.owner), version))
        reply = await self._write_owner(shard, known, own_session, conditions)
        if isinstance(reply, Err):
            self._log_rejected_claim(shard, reply.err_value)
            return
        if known.version != ABSENT:
            epoch = known.epoch + 1
            self._log.emit(
                Event.SHARD_TAKEN_OVER, shard=shard, epoch=epoch, old_owner=known.owner
            )
        self._apply_row(shard)

    def _log_rejected_claim(self, shard: str, failure: Failure) -> None:
        if failure.code is not Code.STORE_UNAVAILABLE:
            self._log.emit(
                Event.SHARD_CLAIM_CONFLICT,
                shard=shard,
                code=int(failure.code),
                detail=failure.detail,
            )

    async def _write_owner(
        self,
        shard: str,
        known: KnownOwner,
        owner: str,
        conditions: Iterable[Check | Require],
    ) -> Result[None, Failure]:
        epoch = known.epoch + 1
        value = {"owner": owner, "epoch": epoch}
        put = Put(PREFIX + shard, value, known.version)
        reply = await self._store.commit([put, *conditions])
        if isinstance(reply, Err):
            return reply
        self._rows[shard] = KnownOwner(reply.ok_value[put.key], owner, epoch)
        return Ok(None)

    def _require_own_session(self) -> Require:
        key = session_key(self._membership.session)
        return Require(key, "instance", self._cfg["instance"])

    async def _rebalance(self) -> None:
        """Hand one shard over to a better-ranked instance that has stayed ready."""
        own_session = self._membership.session
        candidates = self._candidates(only_stable=True)
        live = self._membership.live()
        if own_session not in live:
            return
        candidates[own_session] = live[own_session]
        for shard in sorted(self._owned):
            best_session = rank_sessions(shard, candidates)[0]
            if best_session != own_session:
                await self._hand_over_shard(shard, best_session)
                return

    async def _hand_over_all(self) -> bool:
        """Try to hand each own shard over; return whether no retry is needed."""
        own_session = self._membership.session
        candidates = self._candidates()
        candidates.pop(own_session, None)
        shards = [
            shard for shard, known in self._rows.items() if known.owner == own_session
        ]
        if not candidates:
            return True
        for shard in shards:
            await self._hand_over_shard(shard, rank_sessions(shard, candidates)[0])
        return all(known.owner != own_session for known in self._rows.values())

    async def _hand_over_shard(self, shard: str, session: str) -> None:
        """Write another instance as owner; this one stays owner until that succeeds."""
        condition = Require(session_key(session), "ready", True)
        reply = await self._write_owner(shard, self._rows[shard], session, [condition])
        if isinstance(reply, Err):
            self._log_rejected_claim(shard, reply.err_value)
            return
        if shard in self._owned:
            self._drop(shard, f"handed over to {session}", Event.SHARD_HANDED_OVER)
        epoch = self._rows[shard].epoch
        self._peers.notify(session, TOPIC, {"shard": shard, "epoch": epoch})

    def _candidates(self, only_stable: bool = False) -> dict[str, SessionRow]:
        """Return the live and ready sessions, which may own shards."""
        return {
            session: row
            for session, row in self._membership.live().items()
            if row["ready"]
            and (
                not only_stable
                or self._membership.ready_duration_ms(session) >= MIN_READY_MS
            )
        }

    def _recorded_owners(self) -> set[str]:
        return {known.owner for known in self._rows.values()}

    def _on_handover(self, _session: str, _params: Params) -> None:
        self._request_refresh()

    def _request_refresh(self) -> None:
        if not self._is_refresh_requested:
            self._is_refresh_requested = True
            self.add_future(self._refresh_once())

    async def _refresh_once(self) -> None:
        self._is_refresh_requested = False
        await run_guarded(self.refresh, self.label, self._log)


def is_shard_row(value: Any, min_epoch: int) -> bool:
    """Check that a value is a valid shard row with at least the given epoch."""
    return (
        isinstance(value, dict)
        and type(value.get("epoch")) is int
        and value["epoch"] >= min_epoch
        and type(value.get("owner")) is str
    )
