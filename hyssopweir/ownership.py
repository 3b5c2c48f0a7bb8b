"""Which instance owns which shard: claims, takeover and hand-over."""

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
# The next-ranked instance waits this long for the one before it to claim a shard.
RANK_DELAY_MS: Millis = 500
# An instance that keeps restarting must not move shards each time.
SETTLED_MS: Millis = 5_000
# A takeover of many shards stays within the takeover time without a burst of writes.
PARALLEL_CLAIMS = 8
HAND_OVER_RETRY_MS: Millis = 250


class Held(NamedTuple):
    """Hold the newest known row of a shard."""

    version: int
    owner: str
    epoch: int


def rank_sessions(shard: str, sessions: dict[str, SessionRow]) -> list[str]:
    """Return sessions best first: the shard's data centre, then rendezvous hashing.

    The hash uses the instance's name, so that a restarted instance gets its shards
    back; the session decides between instances of the same name.
    """
    data_centre = shard.partition("/")[0]

    def order(session: str) -> tuple[bool, bytes, str]:
        row = sessions[session]
        name = f"{shard}|{row['instance']}".encode()
        digest = blake2b(name, digest_size=8).digest()
        return row["data_centre"] != data_centre, digest, session

    return sorted(sessions, key=order)


class Ownership(Service):
    """Own shards, take over those of instances that are gone, hand over to others.

    The rows ``shards/`` are the only authority: a claim whose outcome is unknown counts
    once a scan shows it.
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
        self._rows: dict[str, Held] = {}
        self._owned: dict[str, int] = {}
        self._refused: dict[str, int] = {}
        self._junk_versions: dict[str, int] = {}
        self._open_since_ms: dict[str, Millis] = {}
        self._gained_handlers: list[Callable[[str, int], None]] = []
        self._lost_handlers: list[Callable[[str], None]] = []
        self._is_stopping = False
        self._is_requested = False
        peers.on_notification(TOPIC, self._on_note)

    async def on_start(self) -> None:
        """Scan the shard rows every ``scan_ms``."""
        interval_ms = self._cfg["timing"]["scan_ms"]
        self.add_future(
            run_forever(self, interval_ms, self.refresh, self._clock, self._log)
        )

    def owner_of(self, shard: str) -> str | None:
        """Return the session that the newest known row names as owner."""
        held = self._rows.get(shard)
        return held.owner if held is not None else None

    def epoch_of(self, shard: str) -> int | None:
        """Return the epoch if this instance owns the shard."""
        return self._owned.get(shard)

    def owned(self) -> dict[str, int]:
        """Return the epochs of the shards that this instance owns."""
        return dict(self._owned)

    def on_gained(self, handler: Callable[[str, int], None]) -> None:
        """Call ``handler`` with shard and epoch of each gained shard."""
        self._gained_handlers.append(handler)

    def on_lost(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with each shard that is not owned any more."""
        self._lost_handlers.append(handler)

    def lost(self, shard: str, epoch: int) -> None:
        """Drop a shard because a worker or the table refused its epoch."""
        if self._owned.get(shard) != epoch:
            return
        self._refused[shard] = epoch
        self._drop(shard, "the epoch was refused")
        self._request_refresh()

    async def refresh(self) -> None:
        """Scan once: drop, adopt, take over and rebalance shards."""
        async with self._lock:
            reply = await self._store.scan(PREFIX)
            if isinstance(reply, Err):
                return
            self._learn(reply.ok_value)
            if self._is_stopping or not self._membership.is_observing():
                self._open_since_ms.clear()
                return
            await self._claim_open_shards()
            await self._rebalance()
            await self._membership.remove_expired(self._named_owners())

    async def hand_over(self) -> None:
        """Hand all shards over, waiting for the table service up to the stop limit.

        Shards that no other instance can take stay in this instance's name.
        """
        self._is_stopping = True
        self._membership.set_ready(False)
        limit_ms = self._clock.now_ms() + self._cfg["timing"]["stop_limit_ms"]
        while True:
            # While the own row shows ready, the new owners would hand shards back.
            is_done = await self._membership.publish()
            if is_done:
                async with self._lock:
                    is_done = await self._hand_over_all()
            if is_done or self._clock.now_ms() >= limit_ms:
                return
            await self._clock.sleep_ms(HAND_OVER_RETRY_MS)
            await self.refresh()

    def _learn(self, rows: Iterable[Row]) -> None:
        for row in rows:
            shard = row.key.removeprefix(PREFIX)
            known = self._rows.get(shard)
            if known is not None and known.version >= row.version:
                continue
            least_epoch = known.epoch if known is not None else FIRST_EPOCH
            if not is_shard_row(row.value, least_epoch):
                self._note_junk(shard, row)
                continue
            self._junk_versions.pop(shard, None)
            epoch, owner = row.value["epoch"], row.value["owner"]
            self._rows[shard] = Held(row.version, owner, epoch)
        for shard in sorted(self._rows):
            self._settle(shard)

    def _note_junk(self, shard: str, row: Row) -> None:
        if self._junk_versions.get(shard) != row.version:
            self._junk_versions[shard] = row.version
            detail = "wrong shape or an epoch that went back"
            self._log.emit(Event.BAD_INPUT, source=row.key, detail=detail)

    def _settle(self, shard: str) -> None:
        """Make ownership follow the newest row of a shard."""
        held, epoch = self._rows[shard], self._owned.get(shard)
        is_own = held.owner == self._membership.session
        if epoch is not None and (not is_own or held.epoch != epoch):
            self._drop(shard, f"{held.owner} owns it at epoch {held.epoch}")
            epoch = None
        if is_own and epoch is None and self._refused.get(shard, 0) < held.epoch:
            self._gain(shard, held.epoch)

    def _gain(self, shard: str, epoch: int) -> None:
        self._owned[shard] = epoch
        self._refused.pop(shard, None)
        self._log.emit(Event.SHARD_CLAIMED, shard=shard, epoch=epoch)
        for handler in self._gained_handlers:
            self._guard(handler, shard, epoch)

    def _drop(self, shard: str, reason: str, event: Event = Event.SHARD_LOST) -> None:
        epoch = self._owned.pop(shard)
        self._log.emit(event, shard=shard, epoch=epoch, reason=reason)
        for handler in self._lost_handlers:
            self._guard(handler, shard)

    def _guard(self, handler: Callable[..., None], *args: Any) -> None:
        """Call a handler; its exception must not stop the others."""
        try:
            handler(*args)
        except Exception as exc:
            error = f"{type(exc).__name__}: {exc}"
            self._log.emit(
                Event.BACKGROUND_TASK_FAILED, task=f"shard {args[0]}", error=error
            )

    async def _claim_open_shards(self) -> None:
        candidates = self._candidates()
        open_shards = [shard for shard in self._known_shards() if self._is_open(shard)]
        now_ms = self._clock.now_ms()
        self._open_since_ms = {
            shard: self._open_since_ms.get(shard, now_ms) for shard in open_shards
        }
        due = [
            shard
            for shard in open_shards
            if self._is_due(shard, rank_sessions(shard, candidates), now_ms)
        ]
        limit = asyncio.Semaphore(PARALLEL_CLAIMS)

        async def claim(shard: str) -> None:
            async with limit:
                await self._claim(shard)

        await asyncio.gather(*map(claim, due))

    def _known_shards(self) -> list[str]:
        return sorted({*self._fleet.shards(), *self._rows})

    def _is_open(self, shard: str) -> bool:
        held = self._rows.get(shard)
        if shard in self._junk_versions:
            return False
        if held is None or self._membership.is_gone(held.owner):
            return True
        is_own = held.owner == self._membership.session
        return is_own and shard not in self._owned

    def _is_due(self, shard: str, ranked: list[str], now_ms: Millis) -> bool:
        own = self._membership.session
        if self.owner_of(shard) == own:
            return True
        if own not in ranked:
            return False
        delay_ms = ranked.index(own) * RANK_DELAY_MS
        return now_ms >= self._open_since_ms[shard] + delay_ms

    async def _claim(self, shard: str) -> None:
        """Become the owner in one write that the old owner's session must allow."""
        if not self._membership.is_observing() or not self._is_open(shard):
            return
        own, held = self._membership.session, self._rows.get(shard)
        if held is None:
            held = Held(ABSENT, "", FIRST_EPOCH - 1)
        guards: list[Check | Require] = [self._require_own_session()]
        if held.owner and held.owner != own:
            seen = self._membership.version_of(held.owner)
            guards.append(Check(session_key(held.owner), seen))
        reply = await self._write_owner(shard, held, own, guards)
        if isinstance(reply, Err):
            self._note_refused_claim(shard, reply.err_value)
            return
        if held.version != ABSENT:
            epoch = held.epoch + 1
            self._log.emit(
                Event.SHARD_TAKEN_OVER, shard=shard, epoch=epoch, old_owner=held.owner
            )
        self._settle(shard)

    def _note_refused_claim(self, shard: str, failure: Failure) -> None:
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
        held: Held,
        owner: str,
        guards: Iterable[Check | Require],
    ) -> Result[None, Failure]:
        epoch = held.epoch + 1
        value = {"owner": owner, "epoch": epoch}
        put = Put(PREFIX + shard, value, held.version)
        reply = await self._store.commit([put, *guards])
        if isinstance(reply, Err):
            return reply
        self._rows[shard] = Held(reply.ok_value[put.key], owner, epoch)
        return Ok(None)

    def _require_own_session(self) -> Require:
        key = session_key(self._membership.session)
        return Require(key, "instance", self._cfg["instance"])

    async def _rebalance(self) -> None:
        """Hand one shard over to a better-ranked instance that has settled."""
        own = self._membership.session
        candidates = self._candidates(settled=True)
        live = self._membership.live()
        if own not in live:
            return
        candidates[own] = live[own]
        for shard in sorted(self._owned):
            best = rank_sessions(shard, candidates)[0]
            if best != own:
                await self._give(shard, best)
                return

    async def _hand_over_all(self) -> bool:
        """Try to hand each own shard over; return True if nothing is left to try."""
        own = self._membership.session
        candidates = self._candidates()
        candidates.pop(own, None)
        shards = [shard for shard, held in self._rows.items() if held.owner == own]
        if not candidates:
            return True
        for shard in shards:
            await self._give(shard, rank_sessions(shard, candidates)[0])
        return all(held.owner != own for held in self._rows.values())

    async def _give(self, shard: str, session: str) -> None:
        """Make another instance the owner; the own epoch holds until it is written."""
        guard = Require(session_key(session), "ready", True)
        reply = await self._write_owner(shard, self._rows[shard], session, [guard])
        if isinstance(reply, Err):
            self._note_refused_claim(shard, reply.err_value)
            return
        if shard in self._owned:
            self._drop(shard, f"handed over to {session}", Event.SHARD_HANDED_OVER)
        epoch = self._rows[shard].epoch
        self._peers.notify(session, TOPIC, {"shard": shard, "epoch": epoch})

    def _candidates(self, settled: bool = False) -> dict[str, SessionRow]:
        """Return the live and ready sessions, which may get shards."""
        return {
            session: row
            for session, row in self._membership.live().items()
            if row["ready"]
            and (not settled or self._membership.ready_for_ms(session) >= SETTLED_MS)
        }

    def _named_owners(self) -> set[str]:
        return {held.owner for held in self._rows.values()}

    def _on_note(self, _session: str, _params: Params) -> None:
        self._request_refresh()

    def _request_refresh(self) -> None:
        if not self._is_requested:
            self._is_requested = True
            self.add_future(self._refresh_once())

    async def _refresh_once(self) -> None:
        self._is_requested = False
        await run_guarded(self.refresh, self.label, self._log)


def is_shard_row(value: Any, least_epoch: int) -> bool:
    """Tell whether a value has the shape of a shard row and no lower epoch."""
    return (
        isinstance(value, dict)
        and type(value.get("epoch")) is int
        and value["epoch"] >= least_epoch
        and type(value.get("owner")) is str
    )
