"""Harm that a task is predicted to do to the services of a shard, for placement."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from hyssopweir.interference import BUSY_LOAD, Interference, Prediction

LEAST_WEIGHT = 0.1
MOST_WEIGHT = 10.0
# The pairs of a rare service would stay unknown for ever.
LEAST_SHARE = 0.05
MOST_NAMED = 4


class InterferenceForecast(NamedTuple):
    """Hold what one more task does to the services beside it at one worker.

    ``score`` is to be added to the closeness of the fit; ``obstacle`` says why the
    worker must not take the task yet.
    """

    score: float
    effects: Mapping[str, Prediction]
    obstacle: str | None = None

    def text(self) -> str:
        """Return the effects in plain words, empty without services."""
        named = list(self.effects.items())[:MOST_NAMED]
        return "; ".join(_effect_text(service, effect) for service, effect in named)

    def figures(self) -> dict[str, Any]:
        """Return the effects as data."""
        return {
            service: {
                "slowdown": round(effect.slowdown, 3),
                "observations": effect.observations,
                "spread": round(effect.spread, 3),
                "known": effect.is_known,
            }
            for service, effect in list(self.effects.items())[:MOST_NAMED]
        }


class InterferenceForecaster:
    """Predict the harm of a task kind at the workers of a shard."""

    def __init__(
        self,
        interference: Interference,
        load: Callable[[str], float],
        weights: Callable[[], Mapping[str, Any]],
    ) -> None:
        self._interference = interference
        self._load = load
        self._weights = weights

    def of(
        self, shard: str, kind: str, slots: Mapping[str, int], hosts: Iterable[str]
    ) -> dict[str, InterferenceForecast]:
        """Return the harm at each worker of a shard.

        ``slots`` holds the slots of each worker. ``hosts`` are the workers to which an
        unknown kind is bound, none if it may run anywhere.
        """
        shares = self._interference.baselines.shares(shard)
        if not shares:
            return {}
        bound = sorted(hosts)
        by_band: dict[bool, InterferenceForecast] = {}
        harms: dict[str, InterferenceForecast] = {}
        for worker_id, count in slots.items():
            load = self._load(worker_id) + 1 / max(count, 1)
            is_busy = load >= BUSY_LOAD
            if is_busy not in by_band:
                by_band[is_busy] = self._harm(kind, shares, load)
            harm = by_band[is_busy]
            if bound and worker_id not in bound:
                obstacle = _obstacle(kind, bound, shares, harm.effects)
                harm = harm._replace(obstacle=obstacle)
            harms[worker_id] = harm
        return harms

    def _harm(
        self, kind: str, shares: Mapping[str, float], load: float
    ) -> InterferenceForecast:
        effects = {
            service: self._interference.predict(service, {kind: 1.0}, load)
            for service in sorted(shares, key=lambda name: (-shares[name], name))
        }
        total = sum(
            shares[service] * math.log(effect.slowdown)
            for service, effect in effects.items()
        )
        return InterferenceForecast(
            interference_weight(self._weights()) * total, effects
        )


def interference_weight(weights: Mapping[str, Any]) -> float:
    """Return what harm counts against the closeness of the fit."""
    tail = float(weights.get("tail_latency", 1))
    batch = float(weights.get("batch_throughput", 1))
    if tail == batch:
        return 1.0
    ratio = tail / batch if batch else MOST_WEIGHT
    return min(max(ratio, LEAST_WEIGHT), MOST_WEIGHT)


def _obstacle(
    kind: str,
    hosts: list[str],
    shares: Mapping[str, float],
    effects: Mapping[str, Prediction],
) -> str | None:
    """Bind an unknown kind to the workers that run it already."""
    for service, effect in effects.items():
        if not effect.is_known and shares[service] >= LEAST_SHARE:
            return (
                f"gets no task of kind {kind} yet, because one runs on {hosts[0]} and "
                f"its effect on {service} is unknown"
            )
    return None


def _effect_text(service: str, effect: Prediction) -> str:
    count = effect.observations
    seen = "1 observation" if count == 1 else f"{count} observations"
    if not effect.is_known:
        return f"its effect on service {service} is unknown ({seen} so far)"
    if effect.slowdown < 1.005:
        return f"it is predicted not to slow down service {service} ({seen})"
    return (
        f"service {service} is predicted to take {effect.slowdown:.2f} times as long "
        f"beside it ({seen})"
    )
