"""Interference model: colocation history, learned slowdowns and baselines."""

import math
import random

import pytest

from hyssopweir.colocation import HISTORY_MS, MAX_ENDED_RUNS, Colocation
from hyssopweir.interference import (
    LATENCY_WINDOW,
    MAX_BASELINES,
    MAX_COUNTED_REQUESTS,
    MAX_PAIRS,
    MIN_ALONE_LATENCIES,
    MIN_OBSERVATIONS,
    Baselines,
    Interference,
    SpeedMeter,
)

SERVICES = ("price-check", "offer", "supplier-price")
KINDS = ("watch", "repaint", "backup", "report", "index")
QUIET, BUSY = 0.25, 0.9


@pytest.mark.parametrize(
    ("from_ms", "to_ms", "expected"),
    [
        (0, 1_000, {}),
        (1_000, 2_000, {"watch": 1.0}),
        (500, 1_500, {"watch": 0.5}),
        (2_500, 3_500, {"watch": 1.0, "repaint": 0.5}),
        (3_000, 5_000, {"watch": 0.5, "repaint": 1.5}),
        (3_500, 3_500, {"watch": 1.0, "repaint": 1.0}),
        (6_000, 9_000, {"repaint": 2.0}),
    ],
)
def test_interval_yields_runs_of_that_time(
    from_ms: int, to_ms: int, expected: dict[str, float]
) -> None:
    """Guards against attributing late measurements to the runs at their arrival."""
    colocation = Colocation()
    colocation.record_start("w", "a", "watch", 1_000)
    colocation.record_start("w", "b", "repaint", 3_000)
    colocation.record_end("w", "a", 4_000)
    colocation.record_start("w", "b", "repaint", 4_000)
    colocation.record_start("w", "c", "repaint", 4_000)
    assert colocation.mean_counts("w", from_ms, to_ms) == expected
    assert colocation.live_counts("w") == {"repaint": 2}
    colocation.drop_worker("w")
    colocation.record_end("w", "b", 5_000)
    assert (
        colocation.mean_counts("w", from_ms, to_ms) == colocation.live_counts("w") == {}
    )


@pytest.mark.parametrize(("every_ms", "kept_runs"), [(1, MAX_ENDED_RUNS), (1_000, 61)])
def test_history_is_bounded(every_ms: int, kept_runs: int) -> None:
    """Guards against memory growth with the number of ended tasks."""
    colocation = Colocation()
    colocation.record_start("w", "long", "watch", 0)
    for number in range(2_000):
        colocation.record_start("w", str(number), "report", number * every_ms)
        colocation.record_end("w", str(number), (number + 1) * every_ms)
    now_ms = 2_000 * every_ms
    ended_ms = colocation.mean_counts("w", 0, now_ms)["report"] * now_ms
    assert ended_ms == pytest.approx(kept_runs * every_ms)
    assert kept_runs * every_ms <= HISTORY_MS + every_ms
    assert colocation.live_counts("w") == {"watch": 1}


def build_slowdowns(rng: random.Random) -> dict[tuple[str, str, bool], float]:
    """Return random true slowdowns by service, task kind and load band."""
    return {
        (service, kind, is_busy): rng.choice([1.0, 1.1, 1.3, 1.8, 2.5])
        for service in SERVICES
        for kind in KINDS
        for is_busy in (False, True)
    }


def test_slowdowns_are_learned_from_noisy_measurements() -> None:
    """Guards against attributing a slowdown to the wrong kind or load."""
    errors: list[float] = []
    for seed in range(10):
        rng = random.Random(seed)
        model, slowdowns = Interference(), build_slowdowns(rng)
        for _ in range(6_000):
            service, load = rng.choice(SERVICES), rng.choice([QUIET, BUSY])
            kinds = rng.sample(KINDS, rng.randint(0, 3))
            colocated = {kind: rng.uniform(0.2, 2.0) for kind in kinds}
            logs = (
                math.log(slowdowns[service, kind, load == BUSY]) * share
                for kind, share in colocated.items()
            )
            # The baseline is a low percentile: without tasks the slowdown is 1.25.
            slowdown = 1.25 * math.exp(sum(logs) + rng.gauss(0.0, 0.25))
            model.observe(service, colocated, load, slowdown)
        for (service, kind, is_busy), true_slowdown in slowdowns.items():
            prediction = model.predict(service, {kind: 1}, BUSY if is_busy else QUIET)
            assert prediction.is_known
            assert 0.1 < prediction.spread < 0.6
            errors.append(abs(math.log(prediction.slowdown / true_slowdown)))
    errors.sort()
    assert errors[len(errors) // 2] < 0.05
    assert errors[int(len(errors) * 0.99)] < 0.2


def test_pair_is_unknown_until_observed_often_enough() -> None:
    """Guards against decisions on few measurements, or on those of another kind."""
    model = Interference()
    without_tasks = model.predict("offer", {}, QUIET)
    assert without_tasks == (1.0, 0, 0.0, True)
    for number in range(MIN_OBSERVATIONS):
        assert not model.predict("offer", {"repaint": 1}, QUIET).is_known
        assert model.expected_log_ratio("offer", {"repaint": 1}, QUIET) == (0.0, False)
        load = BUSY if number % 2 else QUIET
        model.observe("offer", {"repaint": 1.0, "watch": 0.2}, load, 2.0)
    # There are no measurements of an offer without a repaint task yet.
    for _ in range(MIN_OBSERVATIONS):
        assert not model.predict("offer", {"repaint": 1}, QUIET).is_known
        model.observe("offer", {}, QUIET, 1.0)
    known = model.predict("offer", {"repaint": 1}, QUIET)
    assert known.is_known
    assert known.observations == MIN_OBSERVATIONS
    assert not model.predict("offer", {"repaint": 1, "index": 1}, QUIET).is_known
    assert not model.predict("offer", {"watch": 1}, QUIET).is_known
    mixed = model.harm("repaint", {"offer": 0.5, "price-check": 0.5}, QUIET)
    assert (mixed.observations, mixed.is_known) == (0, False)
    assert mixed.slowdown == pytest.approx(math.sqrt(known.slowdown))
    assert model.harm("repaint", {"offer": 1.0}, QUIET) == known


@pytest.mark.parametrize("slowdown", [0.0, -1.0, math.inf, math.nan, 1e300, 1e-300])
def test_model_recovers_from_invalid_measurement(slowdown: float) -> None:
    """Guards against one invalid or extreme measurement that ruins the model."""
    model = Interference()
    for value in [1.5] * 50 + [slowdown] + [1.5] * 100:
        model.observe("offer", {"repaint": 1.0}, QUIET, value)
    prediction = model.predict("offer", {"repaint": 1}, QUIET)
    assert prediction.slowdown == pytest.approx(1.5, rel=0.01)


def test_model_is_bounded() -> None:
    """Guards against memory growth with the number of names seen."""
    model = Interference()
    for number in range(MAX_PAIRS + 10):
        model.observe("offer", {f"kind-{number}": 1.0}, QUIET, 2.0)
        model.observe(f"service-{number}", {}, QUIET, 2.0)
        model.baselines.record_latency(f"shard-{number}", "offer", 5.0, is_alone=True)
    assert len(model._pairs) == len(model._alone) == MAX_PAIRS
    assert len(model.baselines._windows) == MAX_BASELINES
    assert model.predict("offer", {"kind-9": 1}, QUIET).observations == 0
    assert model.predict("offer", {"kind-10": 1}, QUIET).observations == 1


def test_baseline_uses_workers_without_tasks() -> None:
    """Guards against a baseline that is raised by interference of tasks."""
    baselines = Baselines()
    assert baselines.baseline_ms("r0", "offer") is None
    for latency_ms in range(101, 201):
        baselines.record_latency("r0", "offer", latency_ms, is_alone=False)
    newest = range(201 - LATENCY_WINDOW, 201)
    assert baselines.baseline_ms("r0", "offer") == newest[(LATENCY_WINDOW - 1) // 5]
    for latency_ms in range(10, 10 + MIN_ALONE_LATENCIES):
        baselines.record_latency("r0", "offer", latency_ms, is_alone=True)
    assert baselines.record_latency("r0", "offer", 500, is_alone=False) == 11
    assert baselines.baseline_ms("r1", "offer") is None
    baselines.drop_shard("r0")
    assert baselines.baseline_ms("r0", "offer") is None
    assert baselines.shares("r0") == {}


def test_shares_follow_recent_requests() -> None:
    """Guards against a share for a service that is no longer requested."""
    baselines = Baselines()
    for _ in range(30):
        baselines.record_latency("r0", "offer", 5.0, is_alone=True)
    for _ in range(10):
        baselines.record_latency("r0", "price-check", 5.0, is_alone=True)
    assert baselines.shares("r0") == {"offer": 0.75, "price-check": 0.25}
    for _ in range(6 * MAX_COUNTED_REQUESTS):
        baselines.record_latency("r0", "price-check", 5.0, is_alone=True)
    assert baselines.shares("r0") == {"price-check": 1.0}


@pytest.mark.parametrize(
    ("readings", "expected"),
    [
        ([(0.1, 1_000), (0.15, 2_000)], [None, (1_000, 2_000, 2.0)]),
        ([(0.1, 1_000), (0.3, 2_000)], [None, (1_000, 2_000, 1.0)]),
        ([(0.1, 1_000), (0.12, 1_999)], [None, None]),
        (
            [(0.1, 1_000), (0.1, 2_000), (0.2, 4_000)],
            [None, None, (1_000, 4_000, 3.0)],
        ),
        ([(0.1, 1_000), (0.05, 2_000)], [None, None]),
    ],
)
def test_slowdown_is_computed_from_progress(
    readings: list[tuple[float, int]], expected: list[tuple[int, int, float] | None]
) -> None:
    """Guards against slowdowns from too short intervals and a division by zero."""
    meter = SpeedMeter(0.0, 0)
    for reading, result in zip(readings, expected, strict=True):
        assert meter.measure(*reading) == (result and pytest.approx(result))
