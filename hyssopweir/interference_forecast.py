"""Predicted interference of a task with the services of a shard, for placement."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from hyssopweir.interference import BUSY_LOAD, Interference, Prediction

MIN_WEIGHT = 0.1
MAX_WEIGHT = 10.0
# Rarer services don't restrict placement: their pairs would stay unknown forever.
MIN_SHARE = 0.05
MAX_REPORTED_SERVICES = 4


class InterferenceForecast(NamedTuple):
    """Predicted interference of one more task with the services on one worker.

    ``score`` is added to the placement score of the resource fit. ``obstacle`` is the
    reason why the task must not be placed on the worker yet.
    """

    score: float
    effects: Mapping[str, Prediction]
    obstacle: str | None = None

    def text(self) -> str:
        """Return a description of the effects, empty if there are no services."""
        reported = list(self.effects.items())[:MAX_REPORTED_SERVICES]
        return "; ".join(
            _prediction_text(service, effect) for service, effect in reported
        )

    def figures(self) -> dict[str, Any]:
        """Return the effects as JSON values by service."""
        return {
            service: {
                "slowdown": round(effect.slowdown, 3),
                "observations": effect.observations,
                "spread": round(effect.spread, 3),
                "known": effect.is_known,
            }
            for service, effect in list(self.effects.items())[:MAX_REPORTED_SERVICES]
        }


class InterferenceForecaster:
    """Predicts the interference that a task kind causes on the workers of a shard."""

    def __init__(
        self,
        interference: Interference,
        load: Callable[[str], float],
        weights: Callable[[], Mapping[str, Any]],
    ) -> None:
        self._interference = interference
        self._load = load
        self._weights = weights

    def predict_by_worker(
        self, shard: str, kind: str, slots: Mapping[str, int], hosts: Iterable[str]
    ) -> dict[str, InterferenceForecast]:
        """Return the predicted interference by worker of the shard.

        ``slots`` maps each worker to its number of slots. ``hosts`` are the only
        workers that may run a kind of unknown effect; if empty, all workers may.
        """
        shares = self._interference.baselines.shares(shard)
        if not shares:
            return {}
        allowed = sorted(hosts)
        by_load_band: dict[bool, InterferenceForecast] = {}
        forecasts: dict[str, InterferenceForecast] = {}
        for worker_id, count in slots.items():
            load = self._load(worker_id) + 1 / max(count, 1)
            is_busy = load >= BUSY_LOAD
            if is_busy not in by_load_band:
                by_load_band[is_busy] = self._predict(kind, shares, load)
            forecast = by_load_band[is_busy]
            if allowed and worker_id not in allowed:
                obstacle = _unknown_kind_obstacle(
                    kind, allowed, shares, forecast.effects
                )
                forecast = forecast._replace(obstacle=obstacle)
            forecasts[worker_id] = forecast
        return forecasts

    def _predict(
        self, kind: str, shares: Mapping[str, float], load: float
    ) -> InterferenceForecast:
        effects = {
            service: self._interference.predict(service, {kind: 1.0}, load)
            for service in sorted(shares, key=lambda name: (-shares[name], name))
        }
        weighted_log = sum(
            shares[service] * math.log(effect.slowdown)
            for service, effect in effects.items()
        )
        return InterferenceForecast(
            interference_weight(self._weights()) * weighted_log, effects
        )


def interference_weight(weights: Mapping[str, Any]) -> float:
    """Return the weight of interference relative to the resource fit."""
    tail = float(weights.get("tail_latency", 1))
    batch = float(weights.get("batch_throughput", 1))
    if tail == batch:
        return 1.0
    ratio = tail / batch if batch else MAX_WEIGHT
    return min(max(ratio, MIN_WEIGHT), MAX_WEIGHT)


def _unknown_kind_obstacle(
    kind: str,
    hosts: list[str],
    shares: Mapping[str, float],
    effects: Mapping[str, Prediction],
) -> str | None:
    """Return why a kind of unknown effect is kept off workers that don't run it."""
    for service, effect in effects.items():
        if not effect.is_known and shares[service] >= MIN_SHARE:
            return (
                f"gets no task of kind {kind} yet, because one runs on {hosts[0]} and "
                f"its effect on {service} is unknown"
            )
    return None


def _prediction_text(service: str, effect: Prediction) -> str:
    count = effect.observations
    count_text = "1 observation" if count == 1 else f"{count} observations"
    if not effect.is_known:
        return f"its effect on service {service} is unknown ({count_text} so far)"
    if effect.slowdown < 1.005:
        return f"it is predicted not to slow down service {service} ({count_text})"
    return (
        f"service {service} is predicted to take {effect.slowdown:.2f} times as long "
        f"beside it ({count_text})"
    )
