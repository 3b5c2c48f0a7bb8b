"""Learned slowdowns of services and task kinds beside the tasks of a worker."""

import math
from bisect import bisect_left, insort
from collections import OrderedDict, deque
from collections.abc import Callable, Hashable, Mapping
from typing import NamedTuple, TypeVar

from hyssopweir.clock import Millis

# A worker with this share of its slots in use, or more, is in the upper load band.
BUSY_LOAD = 0.75
KNOWN_OBSERVATIONS = 20
# A pair moves by this share of the error. With noise of a standard deviation of 0.3 in
# the logarithm it leaves an error of about 5%, and follows a change in 40 observations.
STEP = 0.05
# The first observations of a pair move it further, so that it is soon near its value.
FIRST_STEP_DIVISOR = 2
SPREAD_WEIGHT = 0.1
# A task that was present for less than half of a request says little about its pair.
COUNTED_SHARE = 0.5
# Bounds the effect of one outlier, such as a request that met a pause of its worker.
LARGEST_SLOWDOWN = 20.0
LEAST_SLOWDOWN = 0.25
# Bounds memory; the pair that has not been observed for longest is dropped first.
MOST_PAIRS = 4_096

NEWEST_LATENCIES = 64
ALONE_LATENCIES = 10
BASELINE_DIVISOR = 5
# Bounds memory over all shards of an instance.
MOST_BASELINES = 2_048
# Counts are halved at this total, so that shares follow the load.
COUNTED_REQUESTS = 1_024
LEAST_COUNT = 0.5

SPEED_INTERVAL_MS: Millis = 1_000

Key = TypeVar("Key", bound=Hashable)
Item = TypeVar("Item")


class Prediction(NamedTuple):
    """State a slowdown, and the figures that say how far it can be relied on.

    ``observations`` is that of the least observed pair, and not more than there are
    without it; ``spread`` is the largest standard deviation of the errors, in the
    logarithm.
    """

    slowdown: float
    observations: int
    spread: float
    is_known: bool


class _Pair:
    """Hold what is known of a victim beside one aggressor, for both load bands."""

    __slots__ = ("coefficients", "counts", "observations", "variance")

    def __init__(self) -> None:
        self.coefficients = [0.0, 0.0]
        self.counts = [0, 0]
        self.observations = 0
        self.variance = 0.0

    def coefficient(self, band: int) -> float:
        """Return the logarithm; that of the other band until this one was seen."""
        return self.coefficients[band if self.counts[band] else 1 - band]

    def learn(self, band: int, share: float, norm: float, error: float) -> None:
        """Move by a step of normalised least mean squares."""
        if not self.counts[band]:
            self.coefficients[band] = self.coefficients[1 - band]
        step = max(STEP, 1 / (FIRST_STEP_DIVISOR + self.counts[band]))
        self.coefficients[band] += step * error * share / norm
        self.counts[band] += 1
        if share >= COUNTED_SHARE:
            self.observations += 1
        weight = max(SPREAD_WEIGHT, 1 / self.counts[band])
        self.variance += weight * (error * error - self.variance)


class _Victim:
    """Count the observations of a victim, beside whatever tasks."""

    __slots__ = ("observations",)

    def __init__(self) -> None:
        self.observations = 0


class Interference:
    """Learn the slowdown of victims step by step, one coefficient for each pair.

    The mean logarithm of a victim that runs alone is learned separately for each load
    band, because the baseline of a service is a low percentile and the load slows it
    down without any task. At most ``MOST_PAIRS`` pairs are kept.
    """

    def __init__(self) -> None:
        self.baselines = Baselines()
        self._pairs: OrderedDict[tuple[str, str], _Pair] = OrderedDict()
        self._alone: OrderedDict[str, _Pair] = OrderedDict()
        self._victims: OrderedDict[str, _Victim] = OrderedDict()

    def observe(
        self, victim: str, beside: Mapping[str, float], load: float, slowdown: float
    ) -> None:
        """Learn from one measurement; ``load`` is slots in use divided by slots."""
        if not math.isfinite(slowdown) or slowdown <= 0.0:
            return
        band = _band(load)
        _kept(self._victims, victim, _Victim, MOST_PAIRS).observations += 1
        value = math.log(min(max(slowdown, LEAST_SLOWDOWN), LARGEST_SLOWDOWN))
        if not beside:
            alone = _kept(self._alone, victim, _Pair, MOST_PAIRS)
            alone.learn(band, 1.0, 1.0, value - alone.coefficient(band))
            return
        pairs = [
            (_kept(self._pairs, (victim, kind), _Pair, MOST_PAIRS), share)
            for kind, share in beside.items()
        ]
        known = sum(pair.coefficient(band) * share for pair, share in pairs)
        error = value - self._alone_log(victim, band) - known
        # A task that was present for a short time must not take the whole error.
        norm = max(sum(share * share for _, share in pairs), 1.0)
        for pair, share in pairs:
            pair.learn(band, share, norm, error)

    def predict(
        self, victim: str, beside: Mapping[str, float], load: float
    ) -> Prediction:
        """Predict how many times as long the victim takes beside these tasks."""
        band = _band(load)
        value, spread, observations = 0.0, 0.0, math.inf
        for kind, share in beside.items():
            pair = self._pairs.get((victim, kind))
            if pair is None:
                observations = 0
                continue
            value += share * max(pair.coefficient(band), 0.0)
            observations = min(observations, self._contrasted(victim, pair))
            spread = max(spread, math.sqrt(pair.variance))
        is_known = observations >= KNOWN_OBSERVATIONS
        count = 0 if observations == math.inf else int(observations)
        return Prediction(math.exp(value), count, spread, is_known)

    def expected_log(
        self, victim: str, beside: Mapping[str, float], load: float
    ) -> tuple[float, bool]:
        """Return the logarithm of time by baseline, and whether all pairs are known.

        Unknown pairs count as harmless, so that requests go on to reach a worker with
        a task of an unknown kind until its pairs are known.
        """
        band = _band(load)
        value, is_known = self._alone_log(victim, band), True
        for kind, share in beside.items():
            pair = self._pairs.get((victim, kind))
            if pair is None or self._contrasted(victim, pair) < KNOWN_OBSERVATIONS:
                is_known = False
            else:
                value += share * max(pair.coefficient(band), 0.0)
        return value, is_known

    def harm(self, kind: str, services: Mapping[str, float], load: float) -> Prediction:
        """Predict the mean slowdown of services by one more task of a kind.

        ``services`` holds the share of requests of each service.
        """
        beside = {kind: 1.0}
        each = {name: self.predict(name, beside, load) for name in services}
        value = sum(services[name] * math.log(each[name].slowdown) for name in each)
        return Prediction(
            math.exp(value),
            min((one.observations for one in each.values()), default=0),
            max((one.spread for one in each.values()), default=0.0),
            all(one.is_known for one in each.values()),
        )

    def _contrasted(self, victim: str, pair: _Pair) -> int:
        """Return the observations of a pair that others can be compared with.

        If a task of the kind runs on every worker, no time without it is known, and it
        would seem harmless.
        """
        known = self._victims.get(victim)
        others = known.observations - sum(pair.counts) if known is not None else 0
        return min(pair.observations, max(others, 0))

    def _alone_log(self, victim: str, band: int) -> float:
        alone = self._alone.get(victim)
        return alone.coefficient(band) if alone is not None else 0.0


class Baselines:
    """Keep the usual latency of each service in each shard, and its share of requests.

    The baseline is the 20th percentile of the newest ``NEWEST_LATENCIES`` latencies on
    workers without tasks, and of all workers until ``ALONE_LATENCIES`` are known. At
    most ``MOST_BASELINES`` services of shards are kept.
    """

    def __init__(self) -> None:
        self._windows: OrderedDict[tuple[str, str], _Windows] = OrderedDict()
        self._counts: dict[str, dict[str, float]] = {}
        self._totals: dict[str, float] = {}

    def note(
        self, shard: str, service: str, latency_ms: float, is_alone: bool
    ) -> float:
        """Take a latency in; return the baseline in ms."""
        self._count(shard, service)
        windows = _kept(self._windows, (shard, service), _Windows, MOST_BASELINES)
        if is_alone:
            windows.alone.add(latency_ms)
        windows.all.add(latency_ms)
        return windows.baseline_ms

    def of(self, shard: str, service: str) -> float | None:
        """Return the baseline in ms, None if no request has been measured."""
        windows = self._windows.get((shard, service))
        return windows.baseline_ms if windows is not None else None

    def shares(self, shard: str) -> dict[str, float]:
        """Return the share of recent requests of each service seen in a shard."""
        total = self._totals.get(shard, 0.0)
        counts = self._counts.get(shard, {})
        return {service: count / total for service, count in counts.items()}

    def drop_shard(self, shard: str) -> None:
        """Forget a shard that was lost."""
        for service in self._counts.pop(shard, {}):
            self._windows.pop((shard, service), None)
        self._totals.pop(shard, None)

    def _count(self, shard: str, service: str) -> None:
        counts = self._counts.setdefault(shard, {})
        counts[service] = counts.get(service, 0.0) + 1
        self._totals[shard] = self._totals.get(shard, 0.0) + 1
        if self._totals[shard] < COUNTED_REQUESTS:
            return
        for name, count in list(counts.items()):
            counts[name] = count / 2
            if counts[name] < LEAST_COUNT:
                del counts[name]
                self._windows.pop((shard, name), None)
        self._totals[shard] = sum(counts.values())


class _Window:
    """Hold the newest latencies in their order and sorted."""

    __slots__ = ("newest", "ordered")

    def __init__(self) -> None:
        self.newest: deque[float] = deque()
        self.ordered: list[float] = []

    def add(self, latency_ms: float) -> None:
        if len(self.newest) == NEWEST_LATENCIES:
            oldest = self.newest.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]
        self.newest.append(latency_ms)
        insort(self.ordered, latency_ms)

    @property
    def baseline_ms(self) -> float:
        return self.ordered[(len(self.ordered) - 1) // BASELINE_DIVISOR]


class _Windows:
    """Hold the latencies of one service in one shard."""

    __slots__ = ("all", "alone")

    def __init__(self) -> None:
        self.alone = _Window()
        self.all = _Window()

    @property
    def baseline_ms(self) -> float:
        is_known = len(self.alone.newest) >= ALONE_LATENCIES
        return (self.alone if is_known else self.all).baseline_ms


class Slowdown(NamedTuple):
    """Hold the slowdown of a run between two readings of the worker's clock."""

    from_ms: Millis
    to_ms: Millis
    slowdown: float


class SpeedMeter:
    """Derive the slowdown of one run from its progress."""

    __slots__ = ("_at_ms", "_best", "_progress")

    def __init__(self, progress: float, at_ms: Millis) -> None:
        self._progress = progress
        self._at_ms = at_ms
        self._best = 0.0

    def note(self, progress: float, at_ms: Millis) -> Slowdown | None:
        """Return the slowdown since the last reading that was used.

        The first interval gives none, since there is nothing to compare it with. An
        interval without progress goes on until there is some: workers may report
        progress in steps.
        """
        spent_ms = at_ms - self._at_ms
        if spent_ms < SPEED_INTERVAL_MS or progress <= self._progress:
            return None
        speed = (progress - self._progress) / spent_ms
        from_ms, best = self._at_ms, self._best
        self._at_ms, self._progress = at_ms, progress
        self._best = max(best, speed)
        return Slowdown(from_ms, at_ms, self._best / speed) if best else None


def kind_as_victim(kind: str) -> str:
    """Return the name of a task kind as a victim; a service may have the same name."""
    return f"task {kind}"


def _band(load: float) -> int:
    return int(load >= BUSY_LOAD)


def _kept(
    items: "OrderedDict[Key, Item]", key: Key, make: Callable[[], Item], most: int
) -> Item:
    """Return an item, made if missing; drop the one that was not used for longest."""
    item = items.get(key)
    if item is None:
        item = items[key] = make()
        if len(items) > most:
            items.popitem(last=False)
    items.move_to_end(key)
    return item
