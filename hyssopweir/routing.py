"""Selection of the shard and the worker for a request."""

import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from hyssopweir.clock import Clock, Millis
from hyssopweir.fleet import DataCentre, NetworkLink
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.slots import SlotLedger

# Bounds the cost of ranking all shards at a high request rate.
RANKING_INTERVAL_MS: Millis = 100
# Owners repeat an unchanged load every 10 s, so an older one means a lost connection.
MAX_LOAD_AGE_MS: Millis = 25_000
# Number of free slots assumed for a shard whose load is unknown.
ASSUMED_FREE_SLOTS = 1
MAX_CANDIDATES = 8
# Bounds the cost of each request in a large fleet.
MAX_RANKED_PER_DATA_CENTRE = 16
LATENCY_WEIGHT = 0.2


class OwnSession(Protocol):
    """Membership attributes that request handling needs."""

    @property
    def session(self) -> str:
        """Return the session of this instance; it changes if its row was lost."""
        ...


class SessionView(OwnSession, Protocol):
    """Membership methods that forwarding needs."""

    def is_gone(self, session: str) -> bool:
        """Return whether a session is known to have expired or been deleted."""
        ...

    def on_gone(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with each session that has expired or been deleted."""
        ...


class OwnersView(Protocol):
    """Shard ownership methods that routing needs."""

    def owner_of(self, shard: str) -> str | None:
        """Return the session that owns a shard, None if there is none."""
        ...


class ShardsView(Protocol):
    """Fleet view methods that routing needs."""

    def shards(self) -> list[str]:
        """Return all shards with listed workers."""
        ...


class ShardLoad(NamedTuple):
    """Load of one shard as announced by its owner."""

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
    """Ranks shards for requests: own data centre first, then by link delay."""

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
            tuple(
                NetworkLink(data_centre, name, delay) for name, delay in links.items()
            ),
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
        """Return up to ``MAX_CANDIDATES`` shards, best first.

        Shards without a known, connected owner are excluded. Shards whose announced
        wait is not within ``left_ms`` come last. Among the nearest shards with free
        slots the first is drawn at random, weighted by free slots: if all instances
        picked the largest number, they would overload one shard between announcements.
        """
        self._rank_if_due(now_ms)
        in_time = [
            candidate
            for candidate in self._ranking
            if left_ms is None or candidate.wait_ms < left_ms
        ]
        shards_in_time = {candidate.shard for candidate in in_time}
        order = [candidate.shard for candidate in self._draw_first(in_time)]
        order += [c.shard for c in self._ranking if c.shard not in shards_in_time]
        return order[:MAX_CANDIDATES]

    def record_load(self, session: str, params: Params) -> None:
        """Store the announced load of a peer's shards; ignore malformed entries."""
        shards = params.get("shards")
        if not isinstance(shards, dict):
            return
        for shard, load in shards.items():
            announced = _parse_load(session, load, self._clock.now_ms())
            if isinstance(shard, str) and announced is not None:
                self._loads[shard] = announced

    def free_by_shard(self) -> dict[str, int]:
        """Return the free slots of the ranked shards, whose owners are connected."""
        self._rank_if_due(self._clock.now_ms())
        return {candidate.shard: candidate.free for candidate in self._ranking}

    def changed(self) -> None:
        """Invalidate the ranking, for example after an owner was lost."""
        self._ranked_at_ms = None

    def _rank_if_due(self, now_ms: Millis) -> None:
        if (
            self._ranked_at_ms is None
            or now_ms - self._ranked_at_ms >= RANKING_INTERVAL_MS
        ):
            self._rank(now_ms)

    def _rank(self, now_ms: Millis) -> None:
        own = self._membership.session
        self.record_load(own, self._own_load())
        # Cached per owner and data centre, of which there are far fewer than shards.
        reachable = {own: True}
        distances_ms: dict[str, float] = {}
        ranking: list[_Candidate] = []
        for shard in self._fleet.shards():
            owner = self._ownership.owner_of(shard)
            if owner is None:
                continue
            if owner not in reachable:
                # A paused instance stays connected after its session has ended.
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
        self._ranking = _limit_per_data_centre(ranking)
        self._ranked_at_ms = now_ms

    def _candidate(
        self, shard: str, owner: str, distance_ms: float, now_ms: Millis
    ) -> _Candidate:
        load = self._loads.get(shard)
        if load is None or load.owner != owner:
            return _Candidate(shard, distance_ms, ASSUMED_FREE_SLOTS, 0)
        if now_ms - load.at_ms > MAX_LOAD_AGE_MS:
            return _Candidate(shard, distance_ms, ASSUMED_FREE_SLOTS, 0)
        return _Candidate(shard, distance_ms, load.free, load.wait_ms)

    def _draw_first(self, ranking: list[_Candidate]) -> list[_Candidate]:
        if not ranking or ranking[0].free == 0:
            return ranking
        nearest_ms = ranking[0].distance_ms
        nearest = [c for c in ranking if c.distance_ms == nearest_ms and c.free > 0]
        first = self._rng.choices(nearest, [c.free for c in nearest])[0]
        return [first, *(c for c in ranking if c is not first)]


def _limit_per_data_centre(ranking: list[_Candidate]) -> list[_Candidate]:
    counts: Counter[str] = Counter()
    limited: list[_Candidate] = []
    for candidate in ranking:
        data_centre = candidate.shard.partition("/")[0]
        counts[data_centre] += 1
        if counts[data_centre] <= MAX_RANKED_PER_DATA_CENTRE:
            limited.append(candidate)
    return limited


def _parse_load(session: str, load: object, now_ms: Millis) -> ShardLoad | None:
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

    Ties go to the worker with the fewest runs in flight, then the lowest latency.
    """
    workers = [worker for worker in ledger.ranked(shard) if is_eligible(worker)]
    return min(workers, key=expected_ms, default=None)


def has_worker(
    ledger: SlotLedger, shard: str, is_eligible: Callable[[str], bool]
) -> bool:
    """Return whether any worker of a shard can take a request."""
    return any(is_eligible(worker) for worker in ledger.ranked(shard))


class LatencyAverages:
    """Exponentially weighted moving average of the times measured for each name."""

    def __init__(self) -> None:
        self._average_ms: dict[str, float] = {}

    def note(self, name: str, latency_ms: Millis) -> float:
        """Add a measurement and return the new average of ``name`` in ms."""
        average_ms = self._average_ms.get(name, float(latency_ms))
        average_ms += LATENCY_WEIGHT * (latency_ms - average_ms)
        self._average_ms[name] = average_ms
        return average_ms

    def of(self, name: str) -> float:
        """Return the average of ``name`` in ms, 0 without a measurement."""
        return self._average_ms.get(name, 0.0)

    def drop(self, name: str) -> None:
        """Delete the average of ``name``, if there is one."""
        self._average_ms.pop(name, None)
