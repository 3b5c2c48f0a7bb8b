"""Online model of the interference of task kinds with services and other tasks."""

import math
from bisect import bisect_left, insort
from collections import OrderedDict, deque
from collections.abc import Callable, Hashable, Mapping
from typing import NamedTuple, TypeVar

from hyssopweir.clock import Millis

# A worker with this share of its slots in use, or more, is in the upper load band.
BUSY_LOAD = 0.75
MIN_OBSERVATIONS = 20
# Learning rate. Log noise with a standard deviation of 0.3 leaves an error of about
# 5%, and the coefficient follows a change within 40 observations.
STEP_SIZE = 0.05
# The first observations use a higher learning rate, for faster convergence.
FIRST_STEP_DIVISOR = 2
SPREAD_WEIGHT = 0.1
# A task that ran during less than half of a request gives little evidence.
MIN_COUNTED_SHARE = 0.5
# Clipping limits the effect of an outlier, such as a request during a worker pause.
MAX_SLOWDOWN = 20.0
MIN_SLOWDOWN = 0.25
# Bounds memory; the least recently observed pair is evicted first.
MAX_PAIRS = 4_096

LATENCY_WINDOW = 64
MIN_ALONE_LATENCIES = 10
BASELINE_DIVISOR = 5
# Bounds memory across all shards of an instance.
MAX_BASELINES = 2_048
# All counts are halved at this total, so that the shares follow recent load.
MAX_COUNTED_REQUESTS = 1_024
MIN_COUNT = 0.5

MIN_SPEED_INTERVAL_MS: Millis = 1_000

Key = TypeVar("Key", bound=Hashable)
Item = TypeVar("Item")


class Prediction(NamedTuple):
    """Predicted slowdown with measures of its reliability.

    ``observations`` is the count of the least observed pair, and at most the number
    of observations of the victim without the aggressor. ``spread`` is the largest
    standard deviation of the errors of the log slowdown.
    """

    slowdown: float
    observations: int
    spread: float
    is_known: bool


class _Pair:
    """Coefficients of one victim and one aggressor, one per load band."""

    __slots__ = ("coefficients", "counts", "observations", "variance")

    def __init__(self) -> None:
        self.coefficients = [0.0, 0.0]
        self.counts = [0, 0]
        self.observations = 0
        self.variance = 0.0

    def coefficient(self, band: int) -> float:
        """Return the log slowdown; falls back to the other band without data."""
        return self.coefficients[band if self.counts[band] else 1 - band]

    def update(self, band: int, share: float, norm: float, error: float) -> None:
        """Apply one update of normalised least mean squares (NLMS)."""
        if not self.counts[band]:
            self.coefficients[band] = self.coefficients[1 - band]
        step = max(STEP_SIZE, 1 / (FIRST_STEP_DIVISOR + self.counts[band]))
        self.coefficients[band] += step * error * share / norm
        self.counts[band] += 1
        if share >= MIN_COUNTED_SHARE:
            self.observations += 1
        weight = max(SPREAD_WEIGHT, 1 / self.counts[band])
        self.variance += weight * (error * error - self.variance)


class _Victim:
    """Number of observations of a victim, whatever tasks it was colocated with."""

    __slots__ = ("observations",)

    def __init__(self) -> None:
        self.observations = 0


class Interference:
    """Learns slowdowns online, with one log coefficient per victim and aggressor.

    The mean log slowdown of a victim without colocated tasks is learned separately for
    each load band: the baseline of a service is a low percentile, and load slows it
    down even without tasks. At most ``MAX_PAIRS`` pairs are kept.
    """

    def __init__(self) -> None:
        self.baselines = Baselines()
        self._pairs: OrderedDict[tuple[str, str], _Pair] = OrderedDict()
        self._alone: OrderedDict[str, _Pair] = OrderedDict()
        self._victims: OrderedDict[str, _Victim] = OrderedDict()

    def observe(
        self, victim: str, colocated: Mapping[str, float], load: float, slowdown: float
    ) -> None:
        """Update the model with a measurement; ``load`` is the share of used slots."""
        if not math.isfinite(slowdown) or slowdown <= 0.0:
            return
        band = _load_band(load)
        _get_or_create(self._victims, victim, _Victim, MAX_PAIRS).observations += 1
        value = math.log(min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN))
        if not colocated:
            alone = _get_or_create(self._alone, victim, _Pair, MAX_PAIRS)
            alone.update(band, 1.0, 1.0, value - alone.coefficient(band))
            return
        pairs = [
            (_get_or_create(self._pairs, (victim, kind), _Pair, MAX_PAIRS), share)
            for kind, share in colocated.items()
        ]
        predicted = sum(pair.coefficient(band) * share for pair, share in pairs)
        error = value - self._alone_log(victim, band) - predicted
        # Keeps a briefly present task from absorbing the whole error.
        norm = max(sum(share * share for _, share in pairs), 1.0)
        for pair, share in pairs:
            pair.update(band, share, norm, error)

    def predict(
        self, victim: str, colocated: Mapping[str, float], load: float
    ) -> Prediction:
        """Predict the factor by which the colocated tasks slow the victim down."""
        band = _load_band(load)
        value, spread, observations = 0.0, 0.0, math.inf
        for kind, share in colocated.items():
            pair = self._pairs.get((victim, kind))
            if pair is None:
                observations = 0
                continue
            value += share * max(pair.coefficient(band), 0.0)
            observations = min(
                observations, self._comparable_observations(victim, pair)
            )
            spread = max(spread, math.sqrt(pair.variance))
        is_known = observations >= MIN_OBSERVATIONS
        count = 0 if observations == math.inf else int(observations)
        return Prediction(math.exp(value), count, spread, is_known)

    def expected_log_ratio(
        self, victim: str, colocated: Mapping[str, float], load: float
    ) -> tuple[float, bool]:
        """Return the log of expected time over baseline, and if all pairs are known.

        Unknown pairs count as no slowdown: workers with a task of an unknown kind must
        keep receiving requests until its pairs are known.
        """
        band = _load_band(load)
        value, is_known = self._alone_log(victim, band), True
        for kind, share in colocated.items():
            pair = self._pairs.get((victim, kind))
            if (
                pair is None
                or self._comparable_observations(victim, pair) < MIN_OBSERVATIONS
            ):
                is_known = False
            else:
                value += share * max(pair.coefficient(band), 0.0)
        return value, is_known

    def harm(self, kind: str, services: Mapping[str, float], load: float) -> Prediction:
        """Predict the geometric mean slowdown of services by one more task of a kind.

        ``services`` maps each service to its share of the requests.
        """
        colocated = {kind: 1.0}
        predictions = {name: self.predict(name, colocated, load) for name in services}
        value = sum(
            services[name] * math.log(predictions[name].slowdown)
            for name in predictions
        )
        return Prediction(
            math.exp(value),
            min(
                (prediction.observations for prediction in predictions.values()),
                default=0,
            ),
            max(
                (prediction.spread for prediction in predictions.values()), default=0.0
            ),
            all(prediction.is_known for prediction in predictions.values()),
        )

    def _comparable_observations(self, victim: str, pair: _Pair) -> int:
        """Return the observations that are matched by others without the aggressor.

        If a task of the kind runs on every worker, there is no measurement without it
        to compare with, and the kind would appear to cause no slowdown.
        """
        entry = self._victims.get(victim)
        others = entry.observations - sum(pair.counts) if entry is not None else 0
        return min(pair.observations, max(others, 0))

    def _alone_log(self, victim: str, band: int) -> float:
        alone = self._alone.get(victim)
        return alone.coefficient(band) if alone is not None else 0.0


class Baselines:
    """Baseline latency and share of requests of each service in each shard.

    The baseline is the 20th percentile of the last ``LATENCY_WINDOW`` latencies on
    workers without tasks, or on all workers until ``MIN_ALONE_LATENCIES`` of those are
    known. At most ``MAX_BASELINES`` pairs of shard and service are kept.
    """

    def __init__(self) -> None:
        self._windows: OrderedDict[tuple[str, str], _ServiceLatencies] = OrderedDict()
        self._counts: dict[str, dict[str, float]] = {}
        self._totals: dict[str, float] = {}

    def record_latency(
        self, shard: str, service: str, latency_ms: float, is_alone: bool
    ) -> float:
        """Record a latency and return the updated baseline in ms."""
        self._count(shard, service)
        windows = _get_or_create(
            self._windows, (shard, service), _ServiceLatencies, MAX_BASELINES
        )
        if is_alone:
            windows.alone.add(latency_ms)
        windows.all.add(latency_ms)
        return windows.baseline_ms

    def baseline_ms(self, shard: str, service: str) -> float | None:
        """Return the baseline in ms, None if no request has been measured."""
        windows = self._windows.get((shard, service))
        return windows.baseline_ms if windows is not None else None

    def shares(self, shard: str) -> dict[str, float]:
        """Return the share of recent requests by service of a shard."""
        total = self._totals.get(shard, 0.0)
        counts = self._counts.get(shard, {})
        return {service: count / total for service, count in counts.items()}

    def drop_shard(self, shard: str) -> None:
        """Remove the data of a shard that was lost."""
        for service in self._counts.pop(shard, {}):
            self._windows.pop((shard, service), None)
        self._totals.pop(shard, None)

    def _count(self, shard: str, service: str) -> None:
        counts = self._counts.setdefault(shard, {})
        counts[service] = counts.get(service, 0.0) + 1
        self._totals[shard] = self._totals.get(shard, 0.0) + 1
        if self._totals[shard] < MAX_COUNTED_REQUESTS:
            return
        for name, count in list(counts.items()):
            counts[name] = count / 2
            if counts[name] < MIN_COUNT:
                del counts[name]
                self._windows.pop((shard, name), None)
        self._totals[shard] = sum(counts.values())


class _Window:
    """Sliding window of latencies, in arrival order and sorted."""

    __slots__ = ("latencies", "sorted_latencies")

    def __init__(self) -> None:
        self.latencies: deque[float] = deque()
        self.sorted_latencies: list[float] = []

    def add(self, latency_ms: float) -> None:
        if len(self.latencies) == LATENCY_WINDOW:
            oldest = self.latencies.popleft()
            del self.sorted_latencies[bisect_left(self.sorted_latencies, oldest)]
        self.latencies.append(latency_ms)
        insort(self.sorted_latencies, latency_ms)

    @property
    def baseline_ms(self) -> float:
        return self.sorted_latencies[
            (len(self.sorted_latencies) - 1) // BASELINE_DIVISOR
        ]


class _ServiceLatencies:
    """Latencies of one service in one shard, with and without colocated tasks."""

    __slots__ = ("all", "alone")

    def __init__(self) -> None:
        self.alone = _Window()
        self.all = _Window()

    @property
    def baseline_ms(self) -> float:
        is_known = len(self.alone.latencies) >= MIN_ALONE_LATENCIES
        return (self.alone if is_known else self.all).baseline_ms


class Slowdown(NamedTuple):
    """Slowdown of a run between two times on the worker's clock."""

    from_ms: Millis
    to_ms: Millis
    slowdown: float


class SpeedMeter:
    """Computes the slowdown of one run from its progress reports."""

    __slots__ = ("_at_ms", "_best", "_progress")

    def __init__(self, progress: float, at_ms: Millis) -> None:
        self._progress = progress
        self._at_ms = at_ms
        self._best = 0.0

    def measure(self, progress: float, at_ms: Millis) -> Slowdown | None:
        """Return the slowdown since the last accepted report, None if not measurable.

        The first interval only sets the reference speed. An interval without progress
        is extended until there is some, because workers may report progress in steps.
        """
        elapsed_ms = at_ms - self._at_ms
        if elapsed_ms < MIN_SPEED_INTERVAL_MS or progress <= self._progress:
            return None
        speed = (progress - self._progress) / elapsed_ms
        from_ms, best_speed = self._at_ms, self._best
        self._at_ms, self._progress = at_ms, progress
        self._best = max(best_speed, speed)
        return Slowdown(from_ms, at_ms, self._best / speed) if best_speed else None


def victim_name(kind: str) -> str:
    """Prefix a task kind, because a service may have the same name."""
    return f"task {kind}"


def _load_band(load: float) -> int:
    return int(load >= BUSY_LOAD)


def _get_or_create(
    items: "OrderedDict[Key, Item]",
    key: Key,
    factory: Callable[[], Item],
    max_items: int,
) -> Item:
    """Return an item, created if missing; evict the least recently used one."""
    item = items.get(key)
    if item is None:
        item = items[key] = factory()
        if len(items) > max_items:
            items.popitem(last=False)
    items.move_to_end(key)
    return item
