"""Outlier detection: ejection and probing of failing or slow workers."""

from array import array
from collections import deque
from collections.abc import Callable
from statistics import median
from typing import Protocol, TypeVar

from hyssopweir.clock import MINUTE_MS, Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet import Worker

FAILURES_BEFORE_EJECTION = 3
BASE_EJECTION_MS: Millis = 5_000
MAX_EJECTION_MS: Millis = 60_000
# A worker that fails half of its runs passes half of its probes, but seldom three in a
# row (docs/measurements.md).
PROBES_BEFORE_RESTORE = 3
# At most one worker in three, but at least one, may be ejected: when more fail at once,
# the workers themselves are rarely the cause.
WORKERS_PER_EJECTION = 3

MIN_FAILING_WORKERS = 3
FAILING_SERVICE_WINDOW_MS: Millis = 10_000

SLOW_FACTOR = 3
SLOW_SAMPLES = 20
# Older latencies may stem from a different load and are not comparable.
SLOW_WINDOW_MS: Millis = MINUTE_MS
# For a service that takes 1 ms, a factor of 3 alone is not significant.
MIN_EXCESS_MS = 10.0

# Bounds the memory per worker and shard; the least recently used service is evicted.
MAX_SERVICES = 16
LIMIT_LOG_INTERVAL_MS: Millis = 10_000

T = TypeVar("T")


class ShardWorkers(Protocol):
    """Membership of a shard, as needed to limit ejections."""

    def workers_of(self, shard: str) -> list[Worker]:
        """Return the listed workers of a shard."""
        ...

    def leaving_since_ms(self, worker_id: str) -> Millis | None:
        """Return when the worker started to leave, None if it is not leaving."""
        ...


class _LatencyWindow:
    """Sliding window of the latencies of one service on one worker."""

    def __init__(self) -> None:
        self._at_ms = array("q")
        self._latency_ms = array("d")
        self._median_ms = 0.0

    def add(self, latency_ms: float, now_ms: Millis) -> None:
        self._at_ms.append(now_ms)
        self._latency_ms.append(latency_ms)
        if len(self._at_ms) > SLOW_SAMPLES:
            del self._at_ms[0], self._latency_ms[0]
        self._median_ms = median(self._latency_ms)

    def median_ms(self, now_ms: Millis) -> float | None:
        """Return the median, None with fewer than ``SLOW_SAMPLES`` in the window."""
        if len(self._at_ms) < SLOW_SAMPLES or now_ms - self._at_ms[0] > SLOW_WINDOW_MS:
            return None
        return self._median_ms


class _HealthRecord:
    """Health state of one worker.

    ``ejections`` counts the consecutive ejections and is 0 for a worker in service.
    """

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        # The services of the latest failures since the last success.
        self.failures: deque[str] = deque(maxlen=FAILURES_BEFORE_EJECTION)
        self.latencies: dict[str, _LatencyWindow] = {}
        self.ejections = 0
        self.ejected_until_ms: Millis = 0
        self.is_slow = False
        self.is_probed = False
        self.probes_passed = 0

    def record_latency(self, service: str, latency_ms: float, now_ms: Millis) -> None:
        latencies = _get_or_create(self.latencies, service, _LatencyWindow)
        latencies.add(latency_ms, now_ms)

    def median_ms(self, service: str, now_ms: Millis) -> float | None:
        latencies = self.latencies.get(service)
        return latencies.median_ms(now_ms) if latencies is not None else None


class _ServiceFailures:
    """Workers on which a service has failed since its last success in the shard."""

    def __init__(self) -> None:
        self._at_ms: dict[str, Millis] = {}
        self.is_failing = False

    def add(self, worker_id: str, now_ms: Millis) -> None:
        self._at_ms.pop(worker_id, None)
        self._at_ms[worker_id] = now_ms
        newest = list(self._at_ms.items())[-MIN_FAILING_WORKERS:]
        self._at_ms = {
            failed_id: at_ms
            for failed_id, at_ms in newest
            if now_ms - at_ms <= FAILING_SERVICE_WINDOW_MS
        }

    def workers(self) -> list[str]:
        return list(self._at_ms)


class _ShardHealth:
    """Health state of the workers and services of one shard."""

    def __init__(self) -> None:
        self.workers: dict[str, _HealthRecord] = {}
        self.services: dict[str, _ServiceFailures] = {}
        self.limit_logged_ms: Millis | None = None


class WorkerHealth:
    """Ejects workers that fail repeatedly or are slow and probes them for recovery.

    A worker that fails every request immediately always has the least work in flight
    and would otherwise attract most requests. A failure counts against the worker at
    first, because such a worker may receive all requests of a service. It is discarded
    when the service turns out to fail on other workers too.

    An ejected worker is probed with single requests. Callers must call ``forget`` for a
    worker that has left or restarted, or whose shard is no longer owned.
    """

    def __init__(
        self,
        fleet: ShardWorkers,
        clock: Clock,
        log: EventLog,
        probes: int = PROBES_BEFORE_RESTORE,
        max_ejection_ms: Millis = MAX_EJECTION_MS,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._log = log
        self._probes = probes
        self._max_ejection_ms = max_ejection_ms
        self._workers: dict[str, _HealthRecord] = {}
        self._shards: dict[str, _ShardHealth] = {}

    def is_ejected(self, worker_id: str) -> bool:
        """Return whether the worker is currently excluded from dispatch."""
        health = self._workers.get(worker_id)
        return health is not None and self._clock.now_ms() < health.ejected_until_ms

    def mark_probed(self, worker_id: str) -> None:
        """Block an ejected worker until its probe ends or ``BASE_EJECTION_MS`` pass."""
        health = self._workers.get(worker_id)
        if health is not None and health.ejections:
            health.is_probed = True
            health.ejected_until_ms = self._clock.now_ms() + BASE_EJECTION_MS

    def succeeded(self, worker: Worker, service: str, latency_ms: float | None) -> None:
        """Record a successful run; eject the worker if the service is slow on it.

        ``latency_ms`` is None if the run can't be used to judge the worker's speed.
        """
        now_ms = self._clock.now_ms()
        health, shard = self._get_state(worker)
        self._record_recovery(worker.shard, shard, service)
        if health.ejections:
            self._record_passed_probe(health, shard, service, latency_ms)
            return
        health.failures.clear()
        if latency_ms is None:
            return
        health.record_latency(service, latency_ms, now_ms)
        median_ms = health.median_ms(service, now_ms)
        if median_ms is None:
            return
        others_median_ms = self._others_median_ms(health, shard, service)
        if _is_slow(median_ms, others_median_ms):
            reason = _slow_reason(f"median of {service}", median_ms, others_median_ms)
            self._eject(health, shard, reason, is_slow=True)

    def failed(self, worker: Worker, service: str) -> None:
        """Record a failed run; each consecutive ejection lasts twice as long."""
        health, shard = self._get_state(worker)
        was_probed, health.is_probed = health.is_probed, False
        if self._is_service_failing(worker, shard, service):
            return
        if health.ejections and not was_probed:
            # Dispatched before the ejection, so it must not extend the ejection.
            return
        health.failures.append(service)
        if was_probed or len(health.failures) == FAILURES_BEFORE_EJECTION:
            services = ", ".join(sorted(set(health.failures)))
            reason = f"the latest runs failed ({services})"
            self._eject(health, shard, reason, is_slow=False)

    def forget(self, worker_id: str) -> None:
        """Discard the state of a worker."""
        health = self._workers.pop(worker_id, None)
        if health is None:
            return
        shard_name = health.worker.shard
        del self._shards[shard_name].workers[worker_id]
        if not self._shards[shard_name].workers:
            del self._shards[shard_name]

    def _get_state(self, worker: Worker) -> tuple[_HealthRecord, _ShardHealth]:
        health = self._workers.get(worker.worker_id)
        if health is None:
            health = self._workers[worker.worker_id] = _HealthRecord(worker)
            shard = self._shards.setdefault(worker.shard, _ShardHealth())
            shard.workers[worker.worker_id] = health
        return health, self._shards[health.worker.shard]

    def _is_service_failing(
        self, worker: Worker, shard: _ShardHealth, service: str
    ) -> bool:
        """Record a failure; return whether the service fails on several workers."""
        failures = _get_or_create(shard.services, service, _ServiceFailures)
        failures.add(worker.worker_id, self._clock.now_ms())
        was_failing = failures.is_failing
        workers = failures.workers()
        failures.is_failing = len(workers) == MIN_FAILING_WORKERS
        if failures.is_failing and not was_failing:
            self._log.emit(
                Event.SERVICE_FAILING,
                shard=worker.shard,
                service=service,
                workers=workers,
            )
            self._discard_failures(shard, service)
        return failures.is_failing

    def _discard_failures(self, shard: _ShardHealth, service: str) -> None:
        """Discard a service's failures and restore workers ejected only for them."""
        for health in shard.workers.values():
            if service not in health.failures:
                continue
            remaining = [name for name in health.failures if name != service]
            health.failures.clear()
            health.failures.extend(remaining)
            if health.ejections and not remaining and not health.is_slow:
                self._restore(health, f"{service} fails on other workers too")

    def _record_recovery(
        self, shard_name: str, shard: _ShardHealth, service: str
    ) -> None:
        failures = shard.services.pop(service, None)
        if failures is not None and failures.is_failing:
            self._log.emit(Event.SERVICE_RECOVERED, shard=shard_name, service=service)

    def _record_passed_probe(
        self,
        health: _HealthRecord,
        shard: _ShardHealth,
        service: str,
        latency_ms: float | None,
    ) -> None:
        if not health.is_probed:
            # Dispatched before the ejection, so it is no evidence of recovery.
            return
        health.is_probed = False
        others_median_ms = self._others_median_ms(health, shard, service)
        if (
            health.is_slow
            and latency_ms is not None
            and _is_slow(latency_ms, others_median_ms)
        ):
            reason = _slow_reason(f"probe with {service}", latency_ms, others_median_ms)
            self._eject(health, shard, reason, is_slow=True)
            return
        health.probes_passed += 1
        if health.probes_passed < self._probes:
            health.ejected_until_ms = self._clock.now_ms()
            return
        self._restore(health, f"{self._probes} consecutive probes succeeded")

    def _others_median_ms(
        self, health: _HealthRecord, shard: _ShardHealth, service: str
    ) -> float | None:
        """Return the median over the other workers' medians, None if there are none."""
        now_ms = self._clock.now_ms()
        medians = [
            median_ms
            for other in shard.workers.values()
            if other is not health
            and (median_ms := other.median_ms(service, now_ms)) is not None
        ]
        return median(medians) if medians else None

    def _eject(
        self, health: _HealthRecord, shard: _ShardHealth, reason: str, is_slow: bool
    ) -> None:
        worker_id, shard_name = health.worker.worker_id, health.worker.shard
        now_ms = self._clock.now_ms()
        if not self._may_eject(health):
            health.ejections, health.ejected_until_ms = 0, 0
            if (
                shard.limit_logged_ms is None
                or now_ms - shard.limit_logged_ms >= LIMIT_LOG_INTERVAL_MS
            ):
                shard.limit_logged_ms = now_ms
                self._log.emit(
                    Event.EJECTION_WITHHELD,
                    worker=worker_id,
                    shard=shard_name,
                    reason=reason,
                )
            return
        ejected_ms = min(
            BASE_EJECTION_MS << min(health.ejections, 10), self._max_ejection_ms
        )
        health.ejections += 1
        health.probes_passed = 0
        health.ejected_until_ms = now_ms + ejected_ms
        health.is_slow = is_slow
        # Latencies from before the ejection must not eject the worker again.
        health.latencies.clear()
        self._log.emit(
            Event.WORKER_EJECTED,
            worker=worker_id,
            shard=shard_name,
            reason=reason,
            ejections=health.ejections,
            ejected_ms=ejected_ms,
        )

    def _may_eject(self, health: _HealthRecord) -> bool:
        """Return whether the limit on ejected workers leaves room for this one."""
        active_ids = [
            worker.worker_id
            for worker in self._fleet.workers_of(health.worker.shard)
            if self._fleet.leaving_since_ms(worker.worker_id) is None
        ]
        others = sum(
            self._counts_as_ejected(worker_id)
            for worker_id in active_ids
            if worker_id != health.worker.worker_id
        )
        return others < max(len(active_ids) // WORKERS_PER_EJECTION, 1)

    def _counts_as_ejected(self, worker_id: str) -> bool:
        """Return whether a worker is ejected or awaits its probe."""
        health = self._workers.get(worker_id)
        if health is None or not health.ejections:
            return False
        # After that time without a probe the worker receives no requests anyway.
        return self._clock.now_ms() < health.ejected_until_ms + self._max_ejection_ms

    def _restore(self, health: _HealthRecord, reason: str) -> None:
        health.failures.clear()
        health.ejections, health.ejected_until_ms = 0, 0
        health.is_slow = health.is_probed = False
        self._log.emit(
            Event.WORKER_RESTORED,
            worker=health.worker.worker_id,
            shard=health.worker.shard,
            reason=reason,
        )


def _is_slow(latency_ms: float, others_median_ms: float | None) -> bool:
    if others_median_ms is None:
        return False
    return latency_ms >= max(
        SLOW_FACTOR * others_median_ms, others_median_ms + MIN_EXCESS_MS
    )


def _slow_reason(
    measurement: str, latency_ms: float, others_median_ms: float | None
) -> str:
    return (
        f"{measurement} is {latency_ms:.0f} ms, "
        f"on the other workers {others_median_ms:.0f} ms"
    )


def _get_or_create(items: dict[str, T], name: str, factory: Callable[[], T]) -> T:
    """Return an item, created if absent, and evict the least recently used one."""
    item = items.pop(name, None) or factory()
    items[name] = item
    if len(items) > MAX_SERVICES:
        del items[next(iter(items))]
    return item
