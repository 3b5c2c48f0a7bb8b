"""Learned slowdowns: what ran when, and which pair of kinds is the cause."""

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
def test_interval_is_compared_with_what_ran_then(
    from_ms: int, to_ms: int, expected: dict[str, float]
) -> None:
    """Guards against late measurements that are blamed on what runs on arrival."""
    colocation = Colocation()
    colocation.started("w", "a", "watch", 1_000)
    colocation.started("w", "b", "repaint", 3_000)
    colocation.ended("w", "a", 4_000)
    colocation.started("w", "b", "repaint", 4_000)
    colocation.started("w", "c", "repaint", 4_000)
    assert colocation.between("w", from_ms, to_ms) == expected
    assert colocation.now("w") == {"repaint": 2}
    colocation.forget("w")
    colocation.ended("w", "b", 5_000)
    assert colocation.between("w", from_ms, to_ms) == colocation.now("w") == {}


@pytest.mark.parametrize(("every_ms", "kept"), [(1, MAX_ENDED_RUNS), (1_000, 61)])
def test_history_is_bounded(every_ms: int, kept: int) -> None:
    """Guards against memory that grows with the number of tasks that ended."""
    colocation = Colocation()
    colocation.started("w", "long", "watch", 0)
    for number in range(2_000):
        colocation.started("w", str(number), "report", number * every_ms)
        colocation.ended("w", str(number), (number + 1) * every_ms)
    now_ms = 2_000 * every_ms
    ended_ms = colocation.between("w", 0, now_ms)["report"] * now_ms
    assert ended_ms == pytest.approx(kept * every_ms)
    assert kept * every_ms <= HISTORY_MS + every_ms
    assert colocation.now("w") == {"watch": 1}


def hidden_table(rng: random.Random) -> dict[tuple[str, str, bool], float]:
    """Return the true slowdown of each service beside one task of each kind."""
    return {
        (service, kind, is_busy): rng.choice([1.0, 1.1, 1.3, 1.8, 2.5])
        for service in SERVICES
        for kind in KINDS
        for is_busy in (False, True)
    }


def test_hidden_table_is_recovered_from_noisy_measurements() -> None:
    """Guards against slowdowns that are attributed to the wrong kind or load."""
    errors: list[float] = []
    for seed in range(10):
        rng = random.Random(seed)
        model, table = Interference(), hidden_table(rng)
        for _ in range(6_000):
            service, load = rng.choice(SERVICES), rng.choice([QUIET, BUSY])
            kinds = rng.sample(KINDS, rng.randint(0, 3))
            beside = {kind: rng.uniform(0.2, 2.0) for kind in kinds}
            logs = (
                math.log(table[service, kind, load == BUSY]) * share
                for kind, share in beside.items()
            )
            # A baseline of a low percentile shows a slowdown of 1.25 without tasks.
            slowdown = 1.25 * math.exp(sum(logs) + rng.gauss(0.0, 0.25))
            model.observe(service, beside, load, slowdown)
        for (service, kind, is_busy), truth in table.items():
            found = model.predict(service, {kind: 1}, BUSY if is_busy else QUIET)
            assert found.is_known
            assert 0.1 < found.spread < 0.6
            errors.append(abs(math.log(found.slowdown / truth)))
    errors.sort()
    assert errors[len(errors) // 2] < 0.05
    assert errors[int(len(errors) * 0.99)] < 0.2


def test_pair_is_unknown_until_it_was_observed_often_enough() -> None:
    """Guards against decisions on a few measurements, or on another kind's."""
    model = Interference()
    known_beside_nothing = model.predict("offer", {}, QUIET)
    assert known_beside_nothing == (1.0, 0, 0.0, True)
    for number in range(MIN_OBSERVATIONS):
        assert not model.predict("offer", {"repaint": 1}, QUIET).is_known
        assert model.expected_log("offer", {"repaint": 1}, QUIET) == (0.0, False)
        load = BUSY if number % 2 else QUIET
        model.observe("offer", {"repaint": 1.0, "watch": 0.2}, load, 2.0)
    # Nothing shows yet how long an offer takes without a repaint round beside it.
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
def test_absurd_measurement_does_no_lasting_harm(slowdown: float) -> None:
    """Guards against a model that one broken measurement spoils for good."""
    model = Interference()
    for value in [1.5] * 50 + [slowdown] + [1.5] * 100:
        model.observe("offer", {"repaint": 1.0}, QUIET, value)
    found = model.predict("offer", {"repaint": 1}, QUIET)
    assert found.slowdown == pytest.approx(1.5, rel=0.01)


def test_model_is_bounded() -> None:
    """Guards against memory that grows with the names that were ever seen."""
    model = Interference()
    for number in range(MAX_PAIRS + 10):
        model.observe("offer", {f"kind-{number}": 1.0}, QUIET, 2.0)
        model.observe(f"service-{number}", {}, QUIET, 2.0)
        model.baselines.note(f"shard-{number}", "offer", 5.0, is_alone=True)
    assert len(model._pairs) == len(model._alone) == MAX_PAIRS
    assert len(model.baselines._windows) == MAX_BASELINES
    assert model.predict("offer", {"kind-9": 1}, QUIET).observations == 0
    assert model.predict("offer", {"kind-10": 1}, QUIET).observations == 1


def test_baseline_is_that_of_workers_without_tasks() -> None:
    """Guards against a baseline that a harmful task beside the service raises."""
    baselines = Baselines()
    assert baselines.of("r0", "offer") is None
    for latency_ms in range(101, 201):
        baselines.note("r0", "offer", latency_ms, is_alone=False)
    newest = range(201 - LATENCY_WINDOW, 201)
    assert baselines.of("r0", "offer") == newest[(LATENCY_WINDOW - 1) // 5]
    for latency_ms in range(10, 10 + MIN_ALONE_LATENCIES):
        baselines.note("r0", "offer", latency_ms, is_alone=True)
    assert baselines.note("r0", "offer", 500, is_alone=False) == 11
    assert baselines.of("r1", "offer") is None
    baselines.drop_shard("r0")
    assert baselines.of("r0", "offer") is None
    assert baselines.shares("r0") == {}


def test_shares_follow_the_requests() -> None:
    """Guards against harm to a service that is not requested any more."""
    baselines = Baselines()
    for _ in range(30):
        baselines.note("r0", "offer", 5.0, is_alone=True)
    for _ in range(10):
        baselines.note("r0", "price-check", 5.0, is_alone=True)
    assert baselines.shares("r0") == {"offer": 0.75, "price-check": 0.25}
    for _ in range(6 * MAX_COUNTED_REQUESTS):
        baselines.note("r0", "price-check", 5.0, is_alone=True)
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
def test_slowdown_of_a_task_follows_its_progress(
    readings: list[tuple[float, int]], expected: list[tuple[int, int, float] | None]
) -> None:
    """Guards against slowdowns from too short times, and a division by zero."""
    meter = SpeedMeter(0.0, 0)
    for reading, result in zip(readings, expected, strict=True):
        assert meter.note(*reading) == (result and pytest.approx(result))
