"""Choice of the shard and of the worker for a request."""

import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from hyssopweir.clock import Clock, Millis
from hyssopweir.fleet import DataCentre, Link
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.slots import SlotLedger

# Bounds the work for ranking all shards at a high rate of requests.
RANKING_MS: Millis = 100
# Owners repeat an unchanged load every 10 s, so an older note means a lost link.
LOAD_STALE_MS: Millis = 25_000
# Free slots that are assumed of a shard whose load is not known.
ASSUMED_FREE = 1
MOST_CANDIDATES = 8
# Bounds the work for each request in a large fleet.
RANKED_PER_DATA_CENTRE = 16
LATENCY_WEIGHT = 0.2


class OwnSession(Protocol):
    """Name the part of membership that the path of a request uses."""

    @property
    def session(self) -> str:
        """Return the own session, which changes if its row was lost."""
        ...


class SessionView(OwnSession, Protocol):
    """Name the part of membership that forwarding uses."""

    def is_gone(self, session: str) -> bool:
        """Tell whether a session is expired or deleted; False if unsure."""
        ...

    def on_gone(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with each session that has expired or been deleted."""
        ...


class OwnersView(Protocol):
    """Name the part of shard ownership that routing uses."""

    def owner_of(self, shard: str) -> str | None:
        """Return the session of the owner."""
        ...


class ShardsView(Protocol):
    """Name the part of the fleet view that routing uses."""

    def shards(self) -> list[str]:
        """Return all shards with listed workers."""
        ...


class ShardLoad(NamedTuple):
    """Hold an owner's announcement of one shard."""

    owner: str
    free: int
    wait_ms: Millis
    at_ms: Millis


class _Candidate(NamedTuple):
    shard: str
    distance_ms: float
    free: int
    wait_ms: Millis


class ShardRouter:
    """Rank shards for a request: own data centre first, then by link delay."""

    def __init__(
        self,
        membership: SessionView,
        data_centre: str,
        links: Mapping[str, float],
        fleet: ShardsView,
        ownership: OwnersView,
        peers: PeerNetwork,
        own_load: Callable[[], Params],
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._membership = membership
        self._data_centre = DataCentre(
            data_centre,
            tuple(Link(data_centre, name, delay) for name, delay in links.items()),
        )
        self._fleet = fleet
        self._ownership = ownership
        self._peers = peers
        self._own_load = own_load
        self._clock = clock
        self._rng = rng or random.Random()
        self._loads: dict[str, ShardLoad] = {}
        self._ranking: list[_Candidate] = []
        self._ranked_at_ms: Millis | None = None

    def candidates(self, now_ms: Millis, left_ms: Millis | None = None) -> list[str]:
        """Return up to ``MOST_CANDIDATES`` shards, best first.

        Shards without a known, connected owner are left out. Shards whose announced
        wait is not within ``left_ms`` come last. Among equally near shards with free
        slots the first is drawn by the number of free slots, because instances that
        all chose the largest number would overload one shard between announcements.
        """
        self._rank_if_due(now_ms)
        reachable = [
            candidate
            for candidate in self._ranking
            if left_ms is None or candidate.wait_ms < left_ms
        ]
        known = {candidate.shard for candidate in reachable}
        order = [candidate.shard for candidate in self._spread(reachable)]
        order += [c.shard for c in self._ranking if c.shard not in known]
        return order[:MOST_CANDIDATES]

    def record_load(self, session: str, params: Params) -> None:
        """Take over a peer's announcement; malformed parts are ignored."""
        shards = params.get("shards")
        if not isinstance(shards, dict):
            return
        for shard, load in shards.items():
            noted = _load_of(session, load, self._clock.now_ms())
            if isinstance(shard, str) and noted is not None:
                self._loads[shard] = noted

    def free_by_shard(self) -> dict[str, int]:
        """Return the free slots of the ranked shards; their owners can be reached."""
        self._rank_if_due(self._clock.now_ms())
        return {candidate.shard: candidate.free for candidate in self._ranking}

    def changed(self) -> None:
        """Rank the shards again at the next request, after an owner was lost."""
        self._ranked_at_ms = None

    def _rank_if_due(self, now_ms: Millis) -> None:
        if self._ranked_at_ms is None or now_ms - self._ranked_at_ms >= RANKING_MS:
            self._rank(now_ms)

    def _rank(self, now_ms: Millis) -> None:
        own = self._membership.session
        self.record_load(own, self._own_load())
        # There are far fewer owners and data centres than shards.
        reachable = {own: True}
        distances_ms: dict[str, float] = {}
        ranking: list[_Candidate] = []
        for shard in self._fleet.shards():
            owner = self._ownership.owner_of(shard)
            if owner is None:
                continue
            if owner not in reachable:
                # A paused instance keeps its links open after its session has ended.
                reachable[owner] = self._peers.connected(
                    owner
                ) and not self._membership.is_gone(owner)
            if not reachable[owner]:
                continue
            name = shard.partition("/")[0]
            if name not in distances_ms:
                distances_ms[name] = self._data_centre.distance_ms(name)
            ranking.append(self._candidate(shard, owner, distances_ms[name], now_ms))
        ranking.sort(key=lambda c: (c.distance_ms, c.free == 0, c.wait_ms, -c.free))
        self._ranking = _best_of_each(ranking)
        self._ranked_at_ms = now_ms

    def _candidate(
        self, shard: str, owner: str, distance_ms: float, now_ms: Millis
    ) -> _Candidate:
        load = self._loads.get(shard)
        if load is None or load.owner != owner:
            return _Candidate(shard, distance_ms, ASSUMED_FREE, 0)
        if now_ms - load.at_ms > LOAD_STALE_MS:
            return _Candidate(shard, distance_ms, ASSUMED_FREE, 0)
        return _Candidate(shard, distance_ms, load.free, load.wait_ms)

    def _spread(self, ranking: list[_Candidate]) -> list[_Candidate]:
        if not ranking or ranking[0].free == 0:
            return ranking
        nearest_ms = ranking[0].distance_ms
        tier = [c for c in ranking if c.distance_ms == nearest_ms and c.free > 0]
        first = self._rng.choices(tier, [c.free for c in tier])[0]
        return [first, *(c for c in ranking if c is not first)]


def _best_of_each(ranking: list[_Candidate]) -> list[_Candidate]:
    counts: Counter[str] = Counter()
    best: list[_Candidate] = []
    for candidate in ranking:
        data_centre = candidate.shard.partition("/")[0]
        counts[data_centre] += 1
        if counts[data_centre] <= RANKED_PER_DATA_CENTRE:
            best.append(candidate)
    return best


def _load_of(session: str, load: object, now_ms: Millis) -> ShardLoad | None:
    if not isinstance(load, dict):
        return None
    free, wait_ms = load.get("free"), load.get("wait_ms", 0)
    if not isinstance(free, int) or not isinstance(wait_ms, int):
        return None
    return ShardLoad(session, max(free, 0), max(wait_ms, 0), now_ms)


def choose_worker(
    ledger: SlotLedger,
    shard: str,
    is_eligible: Callable[[str], bool],
    expected_ms: Callable[[str], float],
) -> str | None:
    """Return the eligible worker with a free slot and the lowest expected time.

    Of equal ones it is that with the least work in flight, then the lowest latency.
    """
    workers = [worker for worker in ledger.ranked(shard) if is_eligible(worker)]
    return min(workers, key=expected_ms, default=None)


def has_worker(
    ledger: SlotLedger, shard: str, is_eligible: Callable[[str], bool]
) -> bool:
    """Tell whether any worker of a shard can take a request."""
    return any(is_eligible(worker) for worker in ledger.ranked(shard))


class LatencyAverages:
    """Average the latency of each worker, newer measurements weighing more."""

    def __init__(self) -> None:
        self._average_ms: dict[str, float] = {}

    def note(self, name: str, latency_ms: Millis) -> float:
        """Return the new average of ``name`` in ms."""
        average_ms = self._average_ms.get(name, float(latency_ms))
        average_ms += LATENCY_WEIGHT * (latency_ms - average_ms)
        self._average_ms[name] = average_ms
        return average_ms

    def of(self, name: str) -> float:
        """Return the average of ``name`` in ms, 0 if nothing was measured."""
        return self._average_ms.get(name, 0.0)

    def drop(self, name: str) -> None:
        """Forget the measurements of ``name``."""
        self._average_ms.pop(name, None)
