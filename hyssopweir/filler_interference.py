"""Model of the interference of fillers with co-located tasks, learned from reports.

A serving task behaves like a queue: its tail latency is a constant divided by the share
of its capacity that is idle. A filler reduces this share in proportion to the CPU that
it uses; the coefficient depends on both images (``interference_filter.py``).
"""

import json
from collections.abc import Iterator, Sequence
from typing import Any

from hyssopweir.clock import Millis
from hyssopweir.input_bounds import (
    InputError,
    parse_bounded_json,
    read_float,
    read_list,
    read_map,
    read_object,
)
from hyssopweir.interference_filter import InterferenceFilter
from hyssopweir.task_state import Run, RunPhase
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflows import Step

# A reported tail latency covers the half second before the report.
TAIL_WINDOW_MS: Millis = 650
# A tail latency reported this long after a filler ended or changed its speed is mostly
# steady.
UNSETTLED_MS: Millis = 300
# Assumed tail latency of an idle task before any report, as a share of its target.
INITIAL_IDLE_TAIL = 0.25
# The lowest reported tail latency comes from a task that is not quite idle.
IDLE_SHARE_OF_MIN_TAIL = 0.8
# Shares of the tail latency target: fillers are slowed down from the first on, and
# placed up to the second.
PACING_TAIL = 0.95
PLACEMENT_TAIL = 0.8
# Speeds are multiples of the first, in percent; no filler runs below the second.
# Workers start runs at the third.
PERCENT_STEP = 5
MIN_PERCENT = 20
FULL_PERCENT = 100
# Allowance for a rise of a task's own load while a filler runs, at most to its peak.
MAX_LOAD_RISE = 0.1
# Peaks decay by this share with each report, so that they follow a change of load.
PEAK_DECAY = 0.002
# Fillers with a coefficient below the first are compatible with tasks at any load,
# those above the second only while the load is low.
LOW_INTERFERENCE = 0.3
HIGH_INTERFERENCE = 0.9
# Assumed blocked share of pairs without a reliable estimate. Images are kept apart: the
# share is higher next to other images than on a worker without serving tasks.
UNKNOWN_BLOCKED_SHARED = 0.5
UNKNOWN_BLOCKED_ALONE = 0.1
UNKNOWN_BLOCKED = 0.5
# Compatible shares are cached this long, in which coefficients change little.
CACHE_MS: Millis = 500
# The store accepts rows of up to 64 KB.
MAX_STORED_BYTES = 48_000
# Bound of stored estimates and tail latencies.
MAX_ESTIMATE = 1e9
# Added utilization below this can't be distinguished from none.
MIN_ADDED_UTILIZATION = 0.015


class FillerInterference:
    """Estimator of interference per pair of images and of utilization next to fillers.

    Utilization is the used share of a serving task's capacity.
    """

    def __init__(self) -> None:
        self._filters: dict[str, InterferenceFilter] = {}
        self._min_tail_ms: dict[str, float] = {}
        self._peak_load: dict[str, float] = {}
        # Caches by the serving images of a worker, and by these and a further one.
        self._compatible_shares: dict[frozenset[str], float] = {}
        self._blocked_shares: dict[tuple[str, frozenset[str]], float] = {}
        self._cached_ms: Millis = 0
        # Changes with every estimate.
        self._revision = 0
        # By worker, the revisions of the estimates and the runs, and its headroom.
        self._headrooms: dict[str, tuple[int, int, dict[str, float]]] = {}

    def observe_worker(self, load: WorkerLoad, now_ms: Millis) -> None:
        """Update the estimates from the newest report of a worker."""
        if now_ms - self._cached_ms >= CACHE_MS:
            self._cached_ms = now_ms
            self._compatible_shares.clear()
            self._blocked_shares.clear()
        is_settled = now_ms - load.filler_ended_ms >= UNSETTLED_MS
        share_by_image: dict[str, float] = {}
        for run, step in load.runs.values():
            if not step.is_filler or run.phase is not RunPhase.RUNNING:
                continue
            is_paced = run.changed_ms > run.since_ms
            if is_paced and now_ms - run.changed_ms < UNSETTLED_MS:
                is_settled = False
            share = run.figure / max(load.entry.room.cpu, 1)
            share_by_image[step.image] = share_by_image.get(step.image, 0.0) + share
        for run, step in serving_runs(load):
            if run.figure <= 0:
                continue
            min_tail_ms = self._min_tail_ms.get(step.image, run.figure)
            self._min_tail_ms[step.image] = min(min_tail_ms, run.figure)
            image_filter = self._filters.setdefault(step.image, InterferenceFilter())
            self._revision += 1
            job = run.ref.task.job
            image_filter.observe(
                job,
                self.task_utilization(run, step),
                share_by_image,
                is_settled,
                now_ms,
            )
            self._update_peak(step.image, image_filter.baseline_load(job))

    def encode(self, stamp: str) -> bytes:
        """Return the state for the next owner of the cell, cut to fit into a row."""
        images: dict[str, Any] = {}
        size = 0
        for image, image_filter in self._filters.items():
            data = {
                "least_ms": self._min_tail_ms[image],
                "peak": round(self._peak_load[image], 3),
                "harm": image_filter.estimates(),
            }
            size += len(json.dumps({image: data}))
            if size > MAX_STORED_BYTES:
                break
            images[image] = data
        return json.dumps({"stamp": stamp, "images": images}).encode()

    def restore(self, body: bytes) -> None:
        """Load a stored state; raise ``InputError``, with no effect, if malformed."""
        data = read_object(parse_bounded_json(body), "interference")
        images = read_map(data.get("images"), "images", MAX_STORED_BYTES)
        self._revision += 1
        restored = [(image, *_parse_image(value)) for image, value in images.items()]
        for image, min_tail_ms, peak, coefficients in restored:
            self._min_tail_ms[image] = min_tail_ms
            self._peak_load[image] = peak
            image_filter = self._filters.setdefault(image, InterferenceFilter())
            for filler, (coefficient, variance) in coefficients.items():
                image_filter.restore(filler, coefficient, variance)

    def is_empty(self) -> bool:
        """Return whether there are no estimates to store."""
        return not self._filters

    def _update_peak(self, image: str, baseline: float) -> None:
        peak = self._peak_load.get(image, baseline)
        self._peak_load[image] = max(baseline, peak - PEAK_DECAY * (peak - baseline))

    def coefficient(self, image: str, victim: str) -> float:
        """Return the utilization that a worker full of an image adds to a victim."""
        return self._filters.get(victim, UNOBSERVED).coefficient(image)

    def task_utilization(self, run: Run, step: Step) -> float:
        """Return the utilization that a task's tail latency implies, 0 to 1."""
        return 1.0 - min(self._idle_tail_ms(step) / max(run.figure, 1.0), 1.0)

    def utilization_limit(self, step: Step, share: float = PACING_TAIL) -> float:
        """Return the utilization at which the tail is ``share`` of its target."""
        return 1.0 - min(self._idle_tail_ms(step) / (share * step.tail_target_ms), 1.0)

    def _idle_tail_ms(self, step: Step) -> float:
        min_tail_ms = self._min_tail_ms.get(step.image)
        if min_tail_ms is None:
            return INITIAL_IDLE_TAIL * step.tail_target_ms
        return IDLE_SHARE_OF_MIN_TAIL * min_tail_ms

    def headroom(self, load: WorkerLoad) -> dict[str, float]:
        """Return the utilization that fillers may still add, by serving image.

        Handles many fillers that wait: each of their images asks for each worker.
        """
        worker = load.entry.worker_id
        revisions = (self._revision, load.revision)
        cached = self._headrooms.get(worker)
        if cached is None or cached[:2] != revisions:
            cached = (*revisions, self._compute_headroom(load))
            self._headrooms[worker] = cached
        return cached[2]

    def forget_worker(self, worker: str) -> None:
        """Drop what is cached about a worker that has left."""
        self._headrooms.pop(worker, None)

    def _compute_headroom(self, load: WorkerLoad) -> dict[str, float]:
        headrooms: dict[str, float] = {}
        shares: list[tuple[str, float]] | None = None
        added_by_image: dict[str, float] = {}
        for run, step in serving_runs(load):
            image_filter = self._filters.get(step.image, UNOBSERVED)
            added = added_by_image.get(step.image)
            if added is None:
                if shares is None:
                    shares = filler_shares(load)
                added = added_by_image[step.image] = image_filter.added_by(shares)
            baseline = image_filter.baseline_load(run.ref.task.job)
            rise = max(self._peak_load.get(step.image, 1.0) - baseline, 0.0)
            utilization = baseline + min(rise, MAX_LOAD_RISE) + added
            available = self.utilization_limit(step, PLACEMENT_TAIL) - utilization
            headrooms[step.image] = min(available, headrooms.get(step.image, available))
        return headrooms

    def utilization_budget(
        self, run: Run, step: Step, shares: Sequence[tuple[str, float]]
    ) -> float:
        """Return the utilization that all fillers together may add to a task.

        ``shares`` are those of the fillers on its worker, from ``filler_shares``.
        """
        image_filter = self._filters.get(step.image, UNOBSERVED)
        baseline = image_filter.baseline_load(run.ref.task.job)
        expected = baseline + image_filter.added_by(shares)
        # Half of what the estimates do not explain counts as measurement noise.
        residual = max(self.task_utilization(run, step) - expected, 0.0) / 2
        return self.utilization_limit(step) - baseline - residual

    def added_utilization(self, step: Step, victim: str, load: WorkerLoad) -> float:
        """Return the utilization that a filler at full speed adds to a victim."""
        share = step.room.cpu / max(load.entry.room.cpu, 1)
        return self.coefficient(step.image, victim) * share

    def newly_blocked_share(self, image: str, load: WorkerLoad) -> float:
        """Return the share of filler images that a task of an image would exclude."""
        present = frozenset(load.serving_images())
        if image in present:
            return 0.0
        blocked = self._blocked_shares.get((image, present))
        if blocked is None:
            blocked = self._compute_newly_blocked_share(image, present)
            self._blocked_shares[image, present] = blocked
        return blocked

    def _compute_newly_blocked_share(
        self, image: str, present: frozenset[str]
    ) -> float:
        unknown = UNKNOWN_BLOCKED_SHARED if present else UNKNOWN_BLOCKED_ALONE
        fillers = self._filler_images()
        if not fillers:
            return unknown
        blocked_total = 0.0
        for filler in fillers:
            blocked_share = self._blocked_share(filler, image)
            present_shares = [self._blocked_share(filler, victim) for victim in present]
            estimated = [share for share in present_shares if share is not None]
            if blocked_share is None or len(estimated) < len(present_shares):
                blocked_total += unknown
            else:
                blocked_total += max(blocked_share - max(estimated, default=0.0), 0.0)
        return blocked_total / len(fillers)

    def _filler_images(self) -> set[str]:
        return {
            name
            for image_filter in self._filters.values()
            for name in image_filter.coefficients
        }

    def compatible_share(self, load: WorkerLoad) -> float:
        """Return the share of filler images that are compatible with a worker."""
        present = frozenset(load.serving_images())
        if present not in self._compatible_shares:
            self._compatible_shares[present] = self._compute_compatible_share(present)
        return self._compatible_shares[present]

    def _compute_compatible_share(self, present: frozenset[str]) -> float:
        fillers = self._filler_images()
        if not present or not fillers:
            return 1.0
        blocked = 0.0
        for filler in fillers:
            blocked_shares = [self._blocked_share(filler, victim) for victim in present]
            blocked += max(UNKNOWN_BLOCKED if b is None else b for b in blocked_shares)
        return 1.0 - blocked / len(fillers)

    def _blocked_share(self, filler: str, victim: str) -> float | None:
        """Return how far a victim excludes a filler, 0 to 1, None if unknown."""
        image_filter = self._filters.get(victim, UNOBSERVED)
        if not image_filter.is_reliable(filler):
            return None
        excess = (image_filter.coefficient(filler) - LOW_INTERFERENCE) / (
            HIGH_INTERFERENCE - LOW_INTERFERENCE
        )
        return min(max(excess, 0.0), 1.0)

    def headroom_fraction(self, step: Step, load: WorkerLoad) -> float:
        """Return the share of the headroom that a filler uses, infinite above 1."""
        worst = 0.0
        for victim, available in self.headroom(load).items():
            added_utilization = self.added_utilization(step, victim, load)
            if _is_negligible(added_utilization, available):
                continue
            if added_utilization > available:
                return float("inf")
            worst = max(worst, added_utilization / available)
        return worst

    def start_percent(self, step: Step, load: WorkerLoad, now_ms: Millis) -> int:
        """Return the speed at which a filler fits the headroom of a worker, 0 if none.

        Only a run can measure a coefficient again, so that an old one counts less.
        """
        share = 1.0
        for victim, available in self.headroom(load).items():
            image_filter = self._filters.get(victim, UNOBSERVED)
            added_utilization = self.added_utilization(step, victim, load)
            added_utilization *= image_filter.confidence(step.image, now_ms)
            if _is_negligible(added_utilization, available):
                continue
            if available <= 0.0:
                return 0
            share = min(share, available / added_utilization)
        return percent_of(share)

    def prepare_trial(self, step: Step, load: WorkerLoad, now_ms: Millis) -> None:
        """Let the next reports correct old estimates of a filler that starts."""
        for victim in self.headroom(load):
            if victim in self._filters:
                self._filters[victim].forget_old(step.image, now_ms)
        self._revision += 1

    def describe_limit(
        self, step: Step, load: WorkerLoad, now_ms: Millis
    ) -> dict[str, Any]:
        """Return event fields with the serving image that excludes a filler most."""
        headrooms = self.headroom(load)
        added = {
            victim: self.added_utilization(step, victim, load) for victim in headrooms
        }
        victim = min(
            (
                image
                for image in added
                if not _is_negligible(added[image], headrooms[image])
            ),
            key=lambda image: headrooms[image] - added[image],
        )
        image_filter = self._filters.get(victim, UNOBSERVED)
        measured_ms = image_filter.measured_ms.get(step.image)
        return {
            "beside": victim,
            "worker": load.entry.worker_id,
            "coefficient": round(image_filter.coefficient(step.image), 3),
            "variance": round(image_filter.variance(step.image), 3),
            "measured_ms_ago": -1 if measured_ms is None else now_ms - measured_ms,
            "adds": round(added[victim], 3),
            "headroom": round(headrooms[victim], 3),
            "tail": round(load.tail_of(victim), 3),
            "idle_tail_ms": round(
                IDLE_SHARE_OF_MIN_TAIL * self._min_tail_ms.get(victim, 0.0), 1
            ),
        }


def _is_negligible(added_utilization: float, available: float) -> bool:
    """Return whether a filler can't be told from none and little is missing."""
    return added_utilization < MIN_ADDED_UTILIZATION and available > -MAX_LOAD_RISE


def _parse_image(value: Any) -> tuple[float, float, dict[str, tuple[float, float]]]:
    data = read_object(value, "image")
    coefficients = {}
    for filler, pair in read_map(data.get("harm"), "harm", MAX_STORED_BYTES).items():
        if len(read_list(pair, "pair", 2)) < 2:
            raise InputError("a coefficient has no variance")
        coefficients[filler] = (
            _read_estimate(pair[0], "coefficient"),
            _read_estimate(pair[1], "variance"),
        )
    return (
        read_float(data.get("least_ms"), "least_ms", 0.0, MAX_ESTIMATE),
        _read_estimate(data.get("peak"), "peak"),
        coefficients,
    )


def _read_estimate(value: Any, name: str) -> float:
    return read_float(value, name, -MAX_ESTIMATE, MAX_ESTIMATE)


# Used for serving images without any report yet.
UNOBSERVED = InterferenceFilter()


def serving_runs(load: WorkerLoad) -> Iterator[tuple[Run, Step]]:
    """Yield the started runs with a tail latency target on a worker."""
    for run, step in load.runs.values():
        if step.tail_target_ms and run.percent >= 100:
            yield run, step


def percent_of(share: float) -> int:
    """Return a share of full speed as a speed that may be set, in percent."""
    percent = int(100 * share) // PERCENT_STEP * PERCENT_STEP
    return percent if percent >= MIN_PERCENT else 0


def filler_shares(load: WorkerLoad) -> list[tuple[str, float]]:
    """Return the image of each filler and the share of the worker's CPU that it uses.

    A filler without a report, or below full speed, counts with its expected use.
    """
    shares = []
    for run, step in load.runs.values():
        if step.is_filler:
            is_reported = run.figure > 0 and run.pace >= 100
            used = run.figure if is_reported else step.room.cpu * run.pace / 100
            shares.append((step.image, used / max(load.entry.room.cpu, 1)))
    return shares
