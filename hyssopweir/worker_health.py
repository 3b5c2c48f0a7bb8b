"""Ejection and probing of workers that fail or are slow."""

from array import array
from collections import deque
from collections.abc import Callable
from statistics import median
from typing import Protocol, TypeVar

from hyssopweir.clock import MINUTE_MS, Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet import Worker

FAILURES_BEFORE_EJECTION = 3
EJECTED_MS: Millis = 5_000
LONGEST_EJECTION_MS: Millis = 60_000
# A worker that fails half of its runs passes one probe in two, and three in a row less
# often (docs/measurements.md).
PROBES_BEFORE_RESTORE = 3
# More workers than one in three rarely fail at once for a reason of their own.
SHARD_PART_EJECTED = 3

WORKERS_OF_FAILING_SERVICE = 3
FAILING_SERVICE_MS: Millis = 10_000

SLOW_FACTOR = 3
SLOW_SAMPLES = 20
# Older latencies were measured under another load.
SLOW_WINDOW_MS: Millis = MINUTE_MS
# A factor of 3 means nothing for a service that takes 1 ms.
LEAST_EXCESS_MS = 10.0

# Bounds the memory for names of services; the least recently used one is forgotten.
MOST_SERVICES = 16
LIMIT_LOG_MS: Millis = 10_000

T = TypeVar("T")


class ShardWorkers(Protocol):
    """Name the part of the fleet view that ejection uses."""

    def workers_of(self, shard: str) -> list[Worker]:
        """Return the listed workers of a shard."""
        ...

    def leaving_since_ms(self, worker_id: str) -> Millis | None:
        """Return since when the worker is leaving, None if it is not."""
        ...


class _Latencies:
    """Hold the newest latencies of a service on a worker."""

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
        """Return the median, None if there are too few new latencies."""
        if len(self._at_ms) < SLOW_SAMPLES or now_ms - self._at_ms[0] > SLOW_WINDOW_MS:
            return None
        return self._median_ms


class _Health:
    """Hold what is known of one worker; ``ejections`` is 0 unless it is ejected."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        # The services of the newest failures without a success in between.
        self.failures: deque[str] = deque(maxlen=FAILURES_BEFORE_EJECTION)
        self.latencies: dict[str, _Latencies] = {}
        self.ejections = 0
        self.until_ms: Millis = 0
        self.is_slow = False
        self.is_probed = False
        self.probes_passed = 0

    def note_latency(self, service: str, latency_ms: float, now_ms: Millis) -> None:
        latencies = _renewed(self.latencies, service, _Latencies)
        latencies.add(latency_ms, now_ms)

    def median_ms(self, service: str, now_ms: Millis) -> float | None:
        latencies = self.latencies.get(service)
        return latencies.median_ms(now_ms) if latencies is not None else None


class _ServiceFailures:
    """Hold the workers on which a service failed since its last success."""

    def __init__(self) -> None:
        self._at_ms: dict[str, Millis] = {}
        self.is_failing = False

    def add(self, worker_id: str, now_ms: Millis) -> None:
        self._at_ms.pop(worker_id, None)
        self._at_ms[worker_id] = now_ms
        newest = list(self._at_ms.items())[-WORKERS_OF_FAILING_SERVICE:]
        self._at_ms = {
            name: at_ms
            for name, at_ms in newest
            if now_ms - at_ms <= FAILING_SERVICE_MS
        }

    def workers(self) -> list[str]:
        return list(self._at_ms)


class _Shard:
    """Hold the workers of a shard of which something is known."""

    def __init__(self) -> None:
        self.workers: dict[str, _Health] = {}
        self.services: dict[str, _ServiceFailures] = {}
        self.limit_logged_ms: Millis | None = None


class WorkerHealth:
    """Eject workers that fail run after run or are slow; probe with single requests.

    A worker that fails everything at once always has the least work in flight and would
    otherwise attract most requests. A failure counts at first, because such a worker
    may get all requests of a service. It is taken back if the service turns out to fail
    on other workers too.

    ``forget`` must be called for a worker that has left, has restarted, or belongs to a
    shard that was lost.
    """

    def __init__(
        self,
        fleet: ShardWorkers,
        clock: Clock,
        log: EventLog,
        probes: int = PROBES_BEFORE_RESTORE,
        longest_ms: Millis = LONGEST_EJECTION_MS,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._log = log
        self._probes = probes
        self._longest_ms = longest_ms
        self._workers: dict[str, _Health] = {}
        self._shards: dict[str, _Shard] = {}

    def is_ejected(self, worker_id: str) -> bool:
        """Tell whether the worker gets no requests now."""
        health = self._workers.get(worker_id)
        return health is not None and self._clock.now_ms() < health.until_ms

    def mark_probed(self, worker_id: str) -> None:
        """Let no second request follow the probe of an ejected worker."""
        health = self._workers.get(worker_id)
        if health is not None and health.ejections:
            health.is_probed = True
            health.until_ms = self._clock.now_ms() + EJECTED_MS

    def succeeded(self, worker: Worker, service: str, latency_ms: float | None) -> None:
        """Note a run that was done; eject the worker if the service is slow there.

        Without a latency the run says nothing about the speed of the worker.
        """
        now_ms = self._clock.now_ms()
        health, shard = self._known(worker)
        self._note_recovery(worker.shard, shard, service)
        if health.ejections:
            self._take_probe(health, shard, service, latency_ms)
            return
        health.failures.clear()
        if latency_ms is None:
            return
        health.note_latency(service, latency_ms, now_ms)
        median_ms = health.median_ms(service, now_ms)
        if median_ms is None:
            return
        others_ms = self._others_ms(health, shard, service)
        if _is_slow(median_ms, others_ms):
            reason = _slowness(f"median of {service}", median_ms, others_ms)
            self._eject(health, shard, reason, is_slow=True)

    def failed(self, worker: Worker, service: str) -> None:
        """Note a run that failed; eject the worker for longer each time."""
        health, shard = self._known(worker)
        was_probed, health.is_probed = health.is_probed, False
        if self._is_service_failing(worker, shard, service):
            return
        if health.ejections and not was_probed:
            # Sent before the ejection; it must not make the ejection longer.
            return
        health.failures.append(service)
        if was_probed or len(health.failures) == FAILURES_BEFORE_EJECTION:
            services = ", ".join(sorted(set(health.failures)))
            reason = f"the newest runs failed ({services})"
            self._eject(health, shard, reason, is_slow=False)

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker."""
        health = self._workers.pop(worker_id, None)
        if health is None:
            return
        name = health.worker.shard
        del self._shards[name].workers[worker_id]
        if not self._shards[name].workers:
            del self._shards[name]

    def _known(self, worker: Worker) -> tuple[_Health, _Shard]:
        health = self._workers.get(worker.worker_id)
        if health is None:
            health = self._workers[worker.worker_id] = _Health(worker)
            shard = self._shards.setdefault(worker.shard, _Shard())
            shard.workers[worker.worker_id] = health
        return health, self._shards[health.worker.shard]

    def _is_service_failing(self, worker: Worker, shard: _Shard, service: str) -> bool:
        """Note a failure; tell whether the service, not the worker, is at fault."""
        failures = _renewed(shard.services, service, _ServiceFailures)
        failures.add(worker.worker_id, self._clock.now_ms())
        was_failing = failures.is_failing
        workers = failures.workers()
        failures.is_failing = len(workers) == WORKERS_OF_FAILING_SERVICE
        if failures.is_failing and not was_failing:
            self._log.emit(
                Event.SERVICE_FAILING,
                shard=worker.shard,
                service=service,
                workers=workers,
            )
            self._take_back(shard, service)
        return failures.is_failing

    def _take_back(self, shard: _Shard, service: str) -> None:
        """Count the failures of a service against no worker."""
        for health in shard.workers.values():
            if service not in health.failures:
                continue
            kept = [name for name in health.failures if name != service]
            health.failures.clear()
            health.failures.extend(kept)
            if health.ejections and not kept and not health.is_slow:
                self._restore(health, f"{service} fails on other workers too")

    def _note_recovery(self, name: str, shard: _Shard, service: str) -> None:
        failures = shard.services.pop(service, None)
        if failures is not None and failures.is_failing:
            self._log.emit(Event.SERVICE_RECOVERED, shard=name, service=service)

    def _take_probe(
        self, health: _Health, shard: _Shard, service: str, latency_ms: float | None
    ) -> None:
        if not health.is_probed:
            # Sent before the ejection, so it says nothing new.
            return
        health.is_probed = False
        others_ms = self._others_ms(health, shard, service)
        if (
            health.is_slow
            and latency_ms is not None
            and _is_slow(latency_ms, others_ms)
        ):
            reason = _slowness(f"probe with {service}", latency_ms, others_ms)
            self._eject(health, shard, reason, is_slow=True)
            return
        health.probes_passed += 1
        if health.probes_passed < self._probes:
            health.until_ms = self._clock.now_ms()
            return
        self._restore(health, f"{self._probes} probes in a row were answered")

    def _others_ms(self, health: _Health, shard: _Shard, service: str) -> float | None:
        """Return the median of the medians of the shard's other workers."""
        now_ms = self._clock.now_ms()
        medians = [
            median_ms
            for other in shard.workers.values()
            if other is not health
            and (median_ms := other.median_ms(service, now_ms)) is not None
        ]
        return median(medians) if medians else None

    def _eject(
        self, health: _Health, shard: _Shard, reason: str, is_slow: bool
    ) -> None:
        worker_id, name = health.worker.worker_id, health.worker.shard
        now_ms = self._clock.now_ms()
        if not self._has_room(health):
            health.ejections, health.until_ms = 0, 0
            if (
                shard.limit_logged_ms is None
                or now_ms - shard.limit_logged_ms >= LIMIT_LOG_MS
            ):
                shard.limit_logged_ms = now_ms
                self._log.emit(
                    Event.EJECTION_WITHHELD, worker=worker_id, shard=name, reason=reason
                )
            return
        ejected_ms = min(EJECTED_MS << min(health.ejections, 10), self._longest_ms)
        health.ejections += 1
        health.probes_passed = 0
        health.until_ms = now_ms + ejected_ms
        health.is_slow = is_slow
        # Only what is measured after the ejection may count against the worker again.
        health.latencies.clear()
        self._log.emit(
            Event.WORKER_EJECTED,
            worker=worker_id,
            shard=name,
            reason=reason,
            ejections=health.ejections,
            ejected_ms=ejected_ms,
        )

    def _has_room(self, health: _Health) -> bool:
        """Tell whether one more of the shard's staying workers may be ejected."""
        staying = [
            worker.worker_id
            for worker in self._fleet.workers_of(health.worker.shard)
            if self._fleet.leaving_since_ms(worker.worker_id) is None
        ]
        others = sum(
            self._is_held(worker_id)
            for worker_id in staying
            if worker_id != health.worker.worker_id
        )
        return others < max(len(staying) // SHARD_PART_EJECTED, 1)

    def _is_held(self, worker_id: str) -> bool:
        """Tell whether a worker is ejected or waits for its probe."""
        health = self._workers.get(worker_id)
        if health is None or not health.ejections:
            return False
        # One that is not probed for long gets no requests anyway.
        return self._clock.now_ms() < health.until_ms + self._longest_ms

    def _restore(self, health: _Health, reason: str) -> None:
        health.failures.clear()
        health.ejections, health.until_ms = 0, 0
        health.is_slow = health.is_probed = False
        self._log.emit(
            Event.WORKER_RESTORED,
            worker=health.worker.worker_id,
            shard=health.worker.shard,
            reason=reason,
        )


def _is_slow(latency_ms: float, others_ms: float | None) -> bool:
    if others_ms is None:
        return False
    return latency_ms >= max(SLOW_FACTOR * others_ms, others_ms + LEAST_EXCESS_MS)


def _slowness(what: str, latency_ms: float, others_ms: float | None) -> str:
    return f"{what} is {latency_ms:.0f} ms, on the other workers {others_ms:.0f} ms"


def _renewed(items: dict[str, T], name: str, build: Callable[[], T]) -> T:
    """Return an item as the most recently used one, and drop the least recent."""
    item = items.pop(name, None) or build()
    items[name] = item
    if len(items) > MOST_SERVICES:
        del items[next(iter(items))]
    return item
