"""Mitigation of interference: throttles, checkpoints and evicts tasks.

A worker is under pressure while a service on it exceeds its latency limit.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from statistics import median
from typing import Any, NamedTuple, Protocol

from hyssopweir.clock import MINUTE_MS, SECOND_MS, Millis

# The latency of a service on a worker is the median of this many latest requests.
MAX_SAMPLES = 20
MIN_SAMPLES = 5
SAMPLE_AGE_MS: Millis = 10_000
# Limit of a service without a target, as a multiple of its baseline.
BASELINE_FACTOR = 2.0
BASELINE_SAMPLES = 64
MIN_ALONE_SAMPLES = 10
# Pressure that lasts less than one interval is treated as noise.
STEP_INTERVAL_MS: Millis = 3_000
# Longer than a step interval, so that an oscillating load doesn't undo the mitigation.
RECOVERY_MS: Millis = 10_000
EVICTION_DELAY_MS: Millis = 10_000
MIN_WEIGHT_RATIO = 0.1
MAX_WEIGHT_RATIO = 10.0
MAX_EVICTIONS = 2
EVICTION_WINDOW_MS: Millis = MINUTE_MS
THROTTLED_SHARE = 0.5
# A second throttled task leaves the eviction a choice; more would slow down batch
# work on little evidence.
MAX_MITIGATED_TASKS = 2
# A task of an unknown kind is assumed to slow a service down by this factor if it uses
# all cores of its worker, and in proportion (of the logarithm) if it uses fewer.
UNKNOWN_SLOWDOWN = 2.0
# Tasks that are known to cause less slowdown are not the cause and are left alone.
MIN_SLOWDOWN = 1.05
# Decisions further apart share no samples, so pressure at both of them doesn't imply
# pressure in between.
MAX_DECISION_GAP_MS: Millis = SAMPLE_AGE_MS


class MitigationStep(str, Enum):
    """Mitigation steps, in order of escalation, and their reversal."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    EVICT = "evict"
    RESTORE = "restore"


class Action(NamedTuple):
    """Step to take for a task; ``share`` is the allowed share of its processors."""

    step: MitigationStep
    task_id: str
    worker_id: str
    share: float
    text: str
    figures: dict[str, Any]


class RunningTask(NamedTuple):
    """Running task as seen by ``PressureControl``.

    ``cores_share`` is its share of the worker's cores, ``lost_ms`` the run time that an
    eviction would lose. ``step`` is the last requested step, and ``is_pending`` is true
    while a step is still being executed.
    """

    task_id: str
    kind: str
    cores_share: float
    lost_ms: Millis
    step: MitigationStep | None = None
    is_saved: bool = False
    is_pending: bool = False


class PressurePolicy(NamedTuple):
    """Latency targets in ms and weights, as configured; None means no target."""

    targets: Mapping[str, float | None] = {}
    tail_latency: float = 1.0
    evictions: float = 1.0

    @property
    def eviction_delay_ms(self) -> Millis | None:
        """Return the delay from checkpoint to eviction, None to never evict."""
        if self.tail_latency <= 0:
            return None
        ratio = self.evictions / self.tail_latency
        return int(
            EVICTION_DELAY_MS * min(max(ratio, MIN_WEIGHT_RATIO), MAX_WEIGHT_RATIO)
        )


class InterferencePrediction(Protocol):
    """Fields of ``interference.Prediction`` that pressure control needs."""

    @property
    def slowdown(self) -> float:
        """Return the predicted factor on the latency of a service."""
        ...

    @property
    def observations(self) -> int:
        """Return the number of observations of the prediction."""
        ...

    @property
    def is_known(self) -> bool:
        """Return whether there are enough observations."""
        ...


class InterferenceModel(Protocol):
    """Predicts slowdowns by tasks; implemented by ``Interference``."""

    def harm(
        self,
        kind: str,
        services: Mapping[str, float],
        load: float,
    ) -> InterferencePrediction:
        """Predict the weighted mean slowdown of services by a task of the kind."""
        ...


class LatencyExcess(NamedTuple):
    """Measured latency of a service on a worker that exceeds its limit, in ms."""

    service: str
    latency_ms: float
    limit_ms: float
    samples: int
    has_target: bool

    def __str__(self) -> str:
        limit = (
            f"its target of {self.limit_ms:g} ms"
            if self.has_target
            else f"{BASELINE_FACTOR:g} times its usual time, {self.limit_ms:g} ms"
        )
        return (
            f"requests of {self.service} took {self.latency_ms:g} ms (median of "
            f"{self.samples}), more than {limit}"
        )


class _InterferenceEstimate(NamedTuple):
    log_slowdown: float
    text: str
    figures: dict[str, Any]


class _Baseline:
    """Latest latencies of a service, over all workers and over those without tasks."""

    def __init__(self) -> None:
        self._all: deque[float] = deque(maxlen=BASELINE_SAMPLES)
        self._alone: deque[float] = deque(maxlen=BASELINE_SAMPLES)

    def record(self, latency_ms: float, is_alone: bool) -> None:
        self._all.append(latency_ms)
        if is_alone:
            self._alone.append(latency_ms)

    def value_ms(self) -> float:
        has_enough = len(self._alone) >= MIN_ALONE_SAMPLES
        samples = sorted(self._alone if has_enough else self._all)
        return samples[len(samples) // 5]


class _PressureState:
    """Duration of the pressure, or of its absence, on one worker."""

    def __init__(self, now_ms: Millis) -> None:
        self.pressure_since_ms: Millis | None = None
        self.recovered_since_ms = now_ms
        self.step_start_ms = now_ms
        self.updated_ms = now_ms
        # Time under pressure since the checkpoint. Pauses shorter than RECOVERY_MS
        # don't reset it.
        self.pressure_ms: Millis = 0

    def update(self, has_pressure: bool, now_ms: Millis) -> None:
        gap_ms = now_ms - self.updated_ms
        self.updated_ms = now_ms
        if not has_pressure:
            if self.pressure_since_ms is not None:
                self.pressure_since_ms, self.recovered_since_ms = None, now_ms
            return
        if self.pressure_since_ms is None or gap_ms > MAX_DECISION_GAP_MS:
            self.pressure_since_ms = self.step_start_ms = now_ms
        else:
            self.pressure_ms += gap_ms

    def pressure_duration_ms(self, now_ms: Millis) -> Millis:
        since_ms = self.pressure_since_ms
        return 0 if since_ms is None else now_ms - since_ms


class PressureControl:
    """Selects mitigation steps for the tasks of one owned shard.

    Memory is bounded by a few latencies of the last 10 s for each worker and configured
    service.
    """

    def __init__(
        self,
        policy: Callable[[], PressurePolicy],
        may_evict: Callable[[], bool],
        load_of: Callable[[str], float],
        model: InterferenceModel | None = None,
    ) -> None:
        self._policy_source = policy
        # Refreshed once per decision rather than once per request.
        self._policy = policy()
        self._may_evict = may_evict
        self._load_of = load_of
        self._model = model
        self._samples: dict[tuple[str, str], deque[tuple[Millis, float]]] = {}
        self._baselines: dict[str, _Baseline] = {}
        self._pressure_states: dict[str, _PressureState] = {}
        self._recent_evictions: deque[tuple[Millis, str]] = deque(maxlen=MAX_EVICTIONS)

    def record_latency(
        self,
        worker_id: str,
        service: str,
        latency_ms: float,
        now_ms: Millis,
    ) -> None:
        """Record the latency of a request that ended on a worker."""
        if service not in self._policy.targets:
            return
        key = (worker_id, service)
        samples = self._samples.setdefault(key, deque(maxlen=MAX_SAMPLES))
        samples.append((now_ms, latency_ms))
        baseline = self._baselines.setdefault(service, _Baseline())
        baseline.record(latency_ms, worker_id not in self._pressure_states)

    def is_under_pressure(self, worker_id: str, now_ms: Millis) -> bool:
        """Return whether a worker is under pressure or recently had an eviction.

        The eviction counts because a worker without tasks has no pressure, and the
        evicted task would be placed there again at once.
        """
        state = self._pressure_states.get(worker_id)
        if state is not None and state.pressure_since_ms is not None:
            return True
        limit_ms = now_ms - EVICTION_WINDOW_MS
        return any(
            at == worker_id and ms > limit_ms for ms, at in self._recent_evictions
        )

    def decide(
        self,
        runs: Mapping[str, Sequence[RunningTask]],
        now_ms: Millis,
    ) -> list[Action]:
        """Return the actions for the running tasks, which are given by worker."""
        self._policy = self._policy_source()
        self._drop_expired(now_ms)
        tasks_by_worker = {
            worker_id: tasks for worker_id, tasks in runs.items() if tasks
        }
        self._pressure_states = {
            worker_id: self._pressure_states.get(worker_id) or _PressureState(now_ms)
            for worker_id in tasks_by_worker
        }
        actions: list[Action] = []
        excesses_by_worker: dict[str, list[LatencyExcess]] = {}
        for worker_id, tasks in tasks_by_worker.items():
            excesses = self._excesses(worker_id)
            self._pressure_states[worker_id].update(bool(excesses), now_ms)
            if excesses:
                excesses_by_worker[worker_id] = excesses
                actions += self._escalate(worker_id, tasks, excesses, now_ms)
            else:
                actions += self._restore_steps(worker_id, tasks, now_ms)
        return actions + self._evictions(tasks_by_worker, excesses_by_worker, now_ms)

    def _drop_expired(self, now_ms: Millis) -> None:
        services = self._policy.targets
        for key, samples in list(self._samples.items()):
            while samples and samples[0][0] < now_ms - SAMPLE_AGE_MS:
                samples.popleft()
            if not samples or key[1] not in services:
                del self._samples[key]
        for service in [name for name in self._baselines if name not in services]:
            del self._baselines[service]

    def _excesses(self, worker_id: str) -> list[LatencyExcess]:
        """Return the services over their limit on a worker, the worst first."""
        found = []
        for service, target_ms in self._policy.targets.items():
            samples = self._samples.get((worker_id, service), ())
            if len(samples) < MIN_SAMPLES:
                continue
            latency_ms = round(median(sample[1] for sample in samples), 1)
            limit_ms = target_ms
            if limit_ms is None:
                limit_ms = BASELINE_FACTOR * self._baselines[service].value_ms()
            if latency_ms > limit_ms:
                has_target = target_ms is not None
                found.append(
                    LatencyExcess(
                        service, latency_ms, limit_ms, len(samples), has_target
                    )
                )
        return sorted(found, key=lambda excess: excess.limit_ms / excess.latency_ms)

    def _escalate(
        self,
        worker_id: str,
        tasks: Sequence[RunningTask],
        excesses: Sequence[LatencyExcess],
        now_ms: Millis,
    ) -> Iterable[Action]:
        """Throttle or checkpoint one task after 3 s of pressure, one step at a time."""
        state = self._pressure_states[worker_id]
        if not any(task.step is MitigationStep.CHECKPOINT for task in tasks):
            state.pressure_ms = 0
        if now_ms - state.step_start_ms < STEP_INTERVAL_MS or _has_pending_step(tasks):
            return
        throttled = [task for task in tasks if task.step is MitigationStep.THROTTLE]
        unmitigated = [task for task in tasks if task.step is None]
        if len(tasks) - len(unmitigated) >= MAX_MITIGATED_TASKS:
            unmitigated = []
        step = MitigationStep.CHECKPOINT if throttled else MitigationStep.THROTTLE
        candidates = self._candidates(worker_id, throttled or unmitigated, excesses)
        if candidates:
            estimate, task = max(
                candidates, key=lambda candidate: candidate[0].log_slowdown
            )
            state.step_start_ms = now_ms
            yield self._action(step, worker_id, task, excesses, estimate, now_ms)

    def _restore_steps(
        self,
        worker_id: str,
        tasks: Sequence[RunningTask],
        now_ms: Millis,
    ) -> Iterable[Action]:
        state = self._pressure_states[worker_id]
        if now_ms - state.recovered_since_ms < RECOVERY_MS:
            return
        state.pressure_ms = 0
        seconds = RECOVERY_MS // SECOND_MS
        text = f"no service has been too slow on {worker_id} for {seconds} s"
        for task in tasks:
            if task.step is not None:
                figures = {"calm_s": seconds, "share": 1.0}
                yield Action(
                    MitigationStep.RESTORE, task.task_id, worker_id, 1.0, text, figures
                )

    def _evictions(
        self,
        tasks_by_worker: Mapping[str, Sequence[RunningTask]],
        excesses_by_worker: Mapping[str, Sequence[LatencyExcess]],
        now_ms: Millis,
    ) -> list[Action]:
        """Evict where throttling and checkpoint did not help, within the budget."""
        delay_ms = self._policy.eviction_delay_ms
        if delay_ms is None or not self._may_evict():
            return []
        evictions_due = []
        for worker_id, excesses in excesses_by_worker.items():
            state = self._pressure_states[worker_id]
            if state.pressure_ms < delay_ms or _has_pending_step(
                tasks_by_worker[worker_id]
            ):
                continue
            checkpointed = [
                task
                for task in tasks_by_worker[worker_id]
                if task.step is MitigationStep.CHECKPOINT and task.is_saved
            ]
            candidates = self._candidates(worker_id, checkpointed, excesses)
            if candidates:
                estimate, task = max(candidates, key=_interference_per_lost_second)
                evictions_due.append((worker_id, estimate, task))
        evictions_due.sort(
            key=lambda eviction: -_interference_per_lost_second(eviction[1:])
        )
        actions = []
        for worker_id, estimate, task in evictions_due:
            if not self._consume_eviction_budget(worker_id, now_ms):
                break
            state, excesses = (
                self._pressure_states[worker_id],
                excesses_by_worker[worker_id],
            )
            actions.append(
                self._action(
                    MitigationStep.EVICT, worker_id, task, excesses, estimate, now_ms
                )
            )
            state.pressure_ms, state.step_start_ms = 0, now_ms
        return actions

    def _consume_eviction_budget(self, worker_id: str, now_ms: Millis) -> bool:
        while (
            self._recent_evictions
            and self._recent_evictions[0][0] <= now_ms - EVICTION_WINDOW_MS
        ):
            self._recent_evictions.popleft()
        if len(self._recent_evictions) >= MAX_EVICTIONS:
            return False
        self._recent_evictions.append((now_ms, worker_id))
        return True

    def _candidates(
        self,
        worker_id: str,
        tasks: Sequence[RunningTask],
        excesses: Sequence[LatencyExcess],
    ) -> list[tuple[_InterferenceEstimate, RunningTask]]:
        """Return the tasks that may be the cause, with their estimates."""
        estimates = [
            (self._estimate(worker_id, task, excesses), task) for task in tasks
        ]
        min_log_slowdown = math.log(MIN_SLOWDOWN)
        return [
            (estimate, task)
            for estimate, task in estimates
            if estimate.log_slowdown >= min_log_slowdown
            or not estimate.figures["observations"]
        ]

    def _estimate(
        self,
        worker_id: str,
        task: RunningTask,
        excesses: Sequence[LatencyExcess],
    ) -> _InterferenceEstimate:
        """Return the estimated log slowdown of the services over their limits."""
        total = sum(excess.samples for excess in excesses)
        services = {excess.service: excess.samples / total for excess in excesses}
        if self._model is not None:
            load = self._load_of(worker_id)
            prediction = self._model.harm(task.kind, services, load)
            if prediction.is_known:
                slowdown, count = round(prediction.slowdown, 2), prediction.observations
                return _InterferenceEstimate(
                    math.log(max(prediction.slowdown, 0.01)),
                    f"tasks of its kind {task.kind} make them {slowdown:g} times slower"
                    f", by {count} observations",
                    {"slowdown": slowdown, "observations": count},
                )
        share = round(task.cores_share, 3)
        return _InterferenceEstimate(
            task.cores_share * math.log(UNKNOWN_SLOWDOWN),
            f"the effect of its kind {task.kind} is not known yet, and it uses "
            f"{share:.0%} of the worker's cores",
            {"cores_share": share, "observations": 0},
        )

    def _action(
        self,
        step: MitigationStep,
        worker_id: str,
        task: RunningTask,
        excesses: Sequence[LatencyExcess],
        estimate: _InterferenceEstimate,
        now_ms: Millis,
    ) -> Action:
        worst = excesses[0]
        seconds = round(
            self._pressure_states[worker_id].pressure_duration_ms(now_ms) / SECOND_MS, 1
        )
        figures = {
            "service": worst.service,
            "latency_ms": worst.latency_ms,
            "limit_ms": worst.limit_ms,
            "requests": worst.samples,
            "pressure_s": seconds,
            **estimate.figures,
        }
        text = f"for {seconds:g} s {worst} on {worker_id}; {estimate.text}"
        if step is MitigationStep.EVICT:
            figures["lost_s"] = round(task.lost_ms / SECOND_MS, 1)
            text += f"; {figures['lost_s']:g} s have passed since its work was saved"
        return Action(step, task.task_id, worker_id, THROTTLED_SHARE, text, figures)


def parse_pressure_policy(body: Mapping[str, Any]) -> PressurePolicy:
    """Read the policy from a configuration body."""
    services = body.get("services", {}).items()
    weights = body.get("weights", {})
    return PressurePolicy(
        {name: service.get("latency_target_ms") for name, service in services},
        weights.get("tail_latency", 1.0),
        weights.get("evictions", 1.0),
    )


def _has_pending_step(tasks: Sequence[RunningTask]) -> bool:
    return any(task.is_pending for task in tasks)


def _interference_per_lost_second(
    candidate: tuple[_InterferenceEstimate, RunningTask],
) -> float:
    estimate, task = candidate
    return estimate.log_slowdown / max(task.lost_ms / SECOND_MS, 1.0)
