"""What to do about tasks that slow services down: throttle, checkpoint, evict."""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from statistics import median
from typing import Any, NamedTuple, Protocol

from hyssopweir.clock import MINUTE_MS, SECOND_MS, Millis

# The latency of a service on a worker: the median of so many newest requests.
MOST_SAMPLES = 20
LEAST_SAMPLES = 5
SAMPLE_AGE_MS: Millis = 10_000
# Without a target, a service may be this much slower than its baseline.
BASELINE_FACTOR = 2.0
BASELINE_SAMPLES = 64
LEAST_CALM_SAMPLES = 10
# Shorter waves of noise lead to nothing.
STEP_MS: Millis = 3_000
# Longer than a step, so that an oscillating load keeps the reaction as it is.
CALM_MS: Millis = 10_000
EVICTION_DELAY_MS: Millis = 10_000
LEAST_RATIO = 0.1
MOST_RATIO = 10.0
MOST_EVICTIONS = 2
BUDGET_MS: Millis = MINUTE_MS
THROTTLED_SHARE = 0.5
# A second throttled task gives the eviction a choice; more would slow batch work down
# on little evidence.
MOST_TASKS = 2
# A task of an unknown kind is assumed to slow a service down by this factor if it uses
# all cores of its worker, and in proportion (of the logarithm) if it uses fewer.
UNKNOWN_SLOWDOWN = 2.0
# A task that is known to slow services down by less is left alone: it is not the cause.
LEAST_SLOWDOWN = 1.05
# Decisions that are further apart have no common samples, so that pressure at both does
# not show that it lasted in between.
LONGEST_GAP_MS: Millis = SAMPLE_AGE_MS


class Step(str, Enum):
    """Name the steps of the reaction."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    EVICT = "evict"
    RESTORE = "restore"


class Action(NamedTuple):
    """Name what is to be done to a task; ``share`` is that of its processors."""

    step: Step
    task_id: str
    worker_id: str
    share: float
    text: str
    figures: dict[str, Any]


class RunningTask(NamedTuple):
    """Describe a running task to the control.

    ``cores_share`` is its part of the worker's cores, ``lost_ms`` the run time that an
    eviction would lose. ``step`` is the last step asked for, ``is_pending`` tells that
    a step is still being carried out.
    """

    task_id: str
    kind: str
    cores_share: float
    lost_ms: Millis
    step: Step | None = None
    is_saved: bool = False
    is_pending: bool = False


class PressurePolicy(NamedTuple):
    """Hold what the operators want; a service without a target has None."""

    targets: Mapping[str, float | None] = {}
    tail_latency: float = 1.0
    evictions: float = 1.0

    @property
    def eviction_delay_ms(self) -> Millis | None:
        """Return the time between checkpoint and eviction, None for no eviction."""
        if self.tail_latency <= 0:
            return None
        ratio = self.evictions / self.tail_latency
        return int(EVICTION_DELAY_MS * min(max(ratio, LEAST_RATIO), MOST_RATIO))


class HarmPrediction(Protocol):
    """Name the part of ``interference.Prediction`` that the control uses."""

    @property
    def slowdown(self) -> float:
        """Return the factor by which a service becomes slower."""
        ...

    @property
    def observations(self) -> int:
        """Return how many observations are behind it."""
        ...

    @property
    def is_known(self) -> bool:
        """Tell whether there are enough observations."""
        ...


class InterferenceModel(Protocol):
    """Predict the harm of a task; implemented by ``Interference``."""

    def harm(
        self,
        kind: str,
        services: Mapping[str, float],
        load: float,
    ) -> HarmPrediction:
        """Return the slowdown of the weighted services by one task of the kind."""
        ...


class Excess(NamedTuple):
    """Hold by how much a service is too slow on a worker; times in ms."""

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


class _Harm(NamedTuple):
    value: float
    text: str
    figures: dict[str, Any]


class _Baseline:
    """Hold the newest latencies of a service, those beside no task apart."""

    def __init__(self) -> None:
        self._all: deque[float] = deque(maxlen=BASELINE_SAMPLES)
        self._alone: deque[float] = deque(maxlen=BASELINE_SAMPLES)

    def note(self, latency_ms: float, is_alone: bool) -> None:
        self._all.append(latency_ms)
        if is_alone:
            self._alone.append(latency_ms)

    def value_ms(self) -> float:
        is_enough = len(self._alone) >= LEAST_CALM_SAMPLES
        samples = sorted(self._alone if is_enough else self._all)
        return samples[len(samples) // 5]


class _Watch:
    """Hold how long a worker has been under pressure, or free of it."""

    def __init__(self, now_ms: Millis) -> None:
        self.pressed_since_ms: Millis | None = None
        self.calm_since_ms = now_ms
        self.step_from_ms = now_ms
        self.seen_ms = now_ms
        # Pressure since the checkpoint; pauses shorter than CALM_MS do not count.
        self.pressed_ms: Millis = 0

    def note(self, is_pressed: bool, now_ms: Millis) -> None:
        gap_ms = now_ms - self.seen_ms
        self.seen_ms = now_ms
        if not is_pressed:
            if self.pressed_since_ms is not None:
                self.pressed_since_ms, self.calm_since_ms = None, now_ms
            return
        if self.pressed_since_ms is None or gap_ms > LONGEST_GAP_MS:
            self.pressed_since_ms = self.step_from_ms = now_ms
        else:
            self.pressed_ms += gap_ms

    def pressed_for_ms(self, now_ms: Millis) -> Millis:
        since_ms = self.pressed_since_ms
        return 0 if since_ms is None else now_ms - since_ms


class PressureControl:
    """Decide on the tasks of one owned shard, step by step.

    The memory is bounded: a few latencies for each worker and configured service, of
    the last 10 s.
    """

    def __init__(
        self,
        policy: Callable[[], PressurePolicy],
        may_evict: Callable[[], bool],
        load_of: Callable[[str], float],
        model: InterferenceModel | None = None,
    ) -> None:
        self._read_policy = policy
        # Read for each decision rather than for each request.
        self._policy = policy()
        self._may_evict = may_evict
        self._load_of = load_of
        self._model = model
        self._samples: dict[tuple[str, str], deque[tuple[Millis, float]]] = {}
        self._baselines: dict[str, _Baseline] = {}
        self._watches: dict[str, _Watch] = {}
        self._evicted: deque[tuple[Millis, str]] = deque(maxlen=MOST_EVICTIONS)

    def record_latency(
        self,
        worker_id: str,
        service: str,
        latency_ms: float,
        now_ms: Millis,
    ) -> None:
        """Note the latency of a request that ended on a worker."""
        if service not in self._policy.targets:
            return
        key = (worker_id, service)
        samples = self._samples.setdefault(key, deque(maxlen=MOST_SAMPLES))
        samples.append((now_ms, latency_ms))
        baseline = self._baselines.setdefault(service, _Baseline())
        baseline.note(latency_ms, worker_id not in self._watches)

    def is_under_pressure(self, worker_id: str, now_ms: Millis) -> bool:
        """Tell whether a worker is under pressure, or a task was evicted from it.

        The second keeps an evicted task from being placed there again at once, as the
        worker counts as calm while it runs no task.
        """
        watch = self._watches.get(worker_id)
        if watch is not None and watch.pressed_since_ms is not None:
            return True
        limit_ms = now_ms - BUDGET_MS
        return any(at == worker_id and ms > limit_ms for ms, at in self._evicted)

    def decide(
        self,
        runs: Mapping[str, Sequence[RunningTask]],
        now_ms: Millis,
    ) -> list[Action]:
        """Return what is to be done to the tasks, which are given by worker."""
        self._policy = self._read_policy()
        self._forget_old(now_ms)
        busy = {worker_id: tasks for worker_id, tasks in runs.items() if tasks}
        self._watches = {
            worker_id: self._watches.get(worker_id) or _Watch(now_ms)
            for worker_id in busy
        }
        actions: list[Action] = []
        pressed: dict[str, list[Excess]] = {}
        for worker_id, tasks in busy.items():
            excesses = self._excesses(worker_id)
            self._watches[worker_id].note(bool(excesses), now_ms)
            if excesses:
                pressed[worker_id] = excesses
                actions += self._first_steps(worker_id, tasks, excesses, now_ms)
            else:
                actions += self._end_steps(worker_id, tasks, now_ms)
        return actions + self._evictions(busy, pressed, now_ms)

    def _forget_old(self, now_ms: Millis) -> None:
        services = self._policy.targets
        for key, samples in list(self._samples.items()):
            while samples and samples[0][0] < now_ms - SAMPLE_AGE_MS:
                samples.popleft()
            if not samples or key[1] not in services:
                del self._samples[key]
        for service in [name for name in self._baselines if name not in services]:
            del self._baselines[service]

    def _excesses(self, worker_id: str) -> list[Excess]:
        """Return the services that are too slow on a worker, the worst first."""
        found = []
        for service, target_ms in self._policy.targets.items():
            samples = self._samples.get((worker_id, service), ())
            if len(samples) < LEAST_SAMPLES:
                continue
            latency_ms = round(median(sample[1] for sample in samples), 1)
            limit_ms = target_ms
            if limit_ms is None:
                limit_ms = BASELINE_FACTOR * self._baselines[service].value_ms()
            if latency_ms > limit_ms:
                has_target = target_ms is not None
                found.append(
                    Excess(service, latency_ms, limit_ms, len(samples), has_target)
                )
        return sorted(found, key=lambda one: one.limit_ms / one.latency_ms)

    def _first_steps(
        self,
        worker_id: str,
        tasks: Sequence[RunningTask],
        excesses: Sequence[Excess],
        now_ms: Millis,
    ) -> Iterable[Action]:
        """Throttle or save one task after 3 s of pressure; one step at a time."""
        watch = self._watches[worker_id]
        if not any(task.step is Step.CHECKPOINT for task in tasks):
            watch.pressed_ms = 0
        if now_ms - watch.step_from_ms < STEP_MS or _any_pending(tasks):
            return
        throttled = [task for task in tasks if task.step is Step.THROTTLE]
        untouched = [task for task in tasks if task.step is None]
        if len(tasks) - len(untouched) >= MOST_TASKS:
            untouched = []
        step = Step.CHECKPOINT if throttled else Step.THROTTLE
        choices = self._harms(worker_id, throttled or untouched, excesses)
        if choices:
            harm, task = max(choices, key=lambda choice: choice[0].value)
            watch.step_from_ms = now_ms
            yield self._action(step, worker_id, task, excesses, harm, now_ms)

    def _end_steps(
        self,
        worker_id: str,
        tasks: Sequence[RunningTask],
        now_ms: Millis,
    ) -> Iterable[Action]:
        watch = self._watches[worker_id]
        if now_ms - watch.calm_since_ms < CALM_MS:
            return
        watch.pressed_ms = 0
        seconds = CALM_MS // SECOND_MS
        text = f"no service has been too slow on {worker_id} for {seconds} s"
        for task in tasks:
            if task.step is not None:
                figures = {"calm_s": seconds, "share": 1.0}
                yield Action(Step.RESTORE, task.task_id, worker_id, 1.0, text, figures)

    def _evictions(
        self,
        busy: Mapping[str, Sequence[RunningTask]],
        pressed: Mapping[str, Sequence[Excess]],
        now_ms: Millis,
    ) -> list[Action]:
        """Evict where the steps before did not help, while the budget lasts."""
        delay_ms = self._policy.eviction_delay_ms
        if delay_ms is None or not self._may_evict():
            return []
        due = []
        for worker_id, excesses in pressed.items():
            watch = self._watches[worker_id]
            if watch.pressed_ms < delay_ms or _any_pending(busy[worker_id]):
                continue
            saved = [
                task
                for task in busy[worker_id]
                if task.step is Step.CHECKPOINT and task.is_saved
            ]
            choices = self._harms(worker_id, saved, excesses)
            if choices:
                harm, task = max(choices, key=_harm_for_each_lost_second)
                due.append((worker_id, harm, task))
        due.sort(key=lambda one: -_harm_for_each_lost_second(one[1:]))
        actions = []
        for worker_id, harm, task in due:
            if not self._take_budget(worker_id, now_ms):
                break
            watch, excesses = self._watches[worker_id], pressed[worker_id]
            actions.append(
                self._action(Step.EVICT, worker_id, task, excesses, harm, now_ms)
            )
            watch.pressed_ms, watch.step_from_ms = 0, now_ms
        return actions

    def _take_budget(self, worker_id: str, now_ms: Millis) -> bool:
        while self._evicted and self._evicted[0][0] <= now_ms - BUDGET_MS:
            self._evicted.popleft()
        if len(self._evicted) >= MOST_EVICTIONS:
            return False
        self._evicted.append((now_ms, worker_id))
        return True

    def _harms(
        self,
        worker_id: str,
        tasks: Sequence[RunningTask],
        excesses: Sequence[Excess],
    ) -> list[tuple[_Harm, RunningTask]]:
        """Return the tasks that may be the cause, each with its harm."""
        harms = [(self._harm(worker_id, task, excesses), task) for task in tasks]
        least = math.log(LEAST_SLOWDOWN)
        return [
            (harm, task)
            for harm, task in harms
            if harm.value >= least or not harm.figures["observations"]
        ]

    def _harm(
        self,
        worker_id: str,
        task: RunningTask,
        excesses: Sequence[Excess],
    ) -> _Harm:
        """Return the harm to the services that are too slow, as a logarithm."""
        total = sum(one.samples for one in excesses)
        services = {one.service: one.samples / total for one in excesses}
        if self._model is not None:
            load = self._load_of(worker_id)
            prediction = self._model.harm(task.kind, services, load)
            if prediction.is_known:
                slowdown, count = round(prediction.slowdown, 2), prediction.observations
                return _Harm(
                    math.log(max(prediction.slowdown, 0.01)),
                    f"tasks of its kind {task.kind} make them {slowdown:g} times slower"
                    f", by {count} observations",
                    {"slowdown": slowdown, "observations": count},
                )
        share = round(task.cores_share, 3)
        return _Harm(
            task.cores_share * math.log(UNKNOWN_SLOWDOWN),
            f"the effect of its kind {task.kind} is not known yet, and it uses "
            f"{share:.0%} of the worker's cores",
            {"cores_share": share, "observations": 0},
        )

    def _action(
        self,
        step: Step,
        worker_id: str,
        task: RunningTask,
        excesses: Sequence[Excess],
        harm: _Harm,
        now_ms: Millis,
    ) -> Action:
        worst = excesses[0]
        seconds = round(self._watches[worker_id].pressed_for_ms(now_ms) / SECOND_MS, 1)
        figures = {
            "service": worst.service,
            "latency_ms": worst.latency_ms,
            "limit_ms": worst.limit_ms,
            "requests": worst.samples,
            "pressure_s": seconds,
            **harm.figures,
        }
        text = f"for {seconds:g} s {worst} on {worker_id}; {harm.text}"
        if step is Step.EVICT:
            figures["lost_s"] = round(task.lost_ms / SECOND_MS, 1)
            text += f"; {figures['lost_s']:g} s have passed since its work was saved"
        return Action(step, task.task_id, worker_id, THROTTLED_SHARE, text, figures)


def parse_pressure_policy(body: Mapping[str, Any]) -> PressurePolicy:
    """Return the policy that a configuration body gives."""
    services = body.get("services", {}).items()
    weights = body.get("weights", {})
    return PressurePolicy(
        {name: service.get("latency_target_ms") for name, service in services},
        weights.get("tail_latency", 1.0),
        weights.get("evictions", 1.0),
    )


def _any_pending(tasks: Sequence[RunningTask]) -> bool:
    return any(task.is_pending for task in tasks)


def _harm_for_each_lost_second(choice: tuple[_Harm, RunningTask]) -> float:
    harm, task = choice
    return harm.value / max(task.lost_ms / SECOND_MS, 1.0)
