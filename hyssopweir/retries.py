"""Retry budget and backoff."""

import random

from hyssopweir.clock import Millis

# Lets an instance with little traffic retry at all: a budget of 10% would not allow a
# single retry before the tenth request.
BURST_TOKENS = 10.0


class RetryBudget:
    """Limit retries to a percentage of first attempts (token bucket)."""

    def __init__(self, retry_percent: int) -> None:
        self._per_attempt = retry_percent / 100
        self._most = BURST_TOKENS if retry_percent else 0.0
        self._tokens = self._most

    def note_first_attempt(self) -> None:
        """Earn the share of a retry that a first attempt allows."""
        self._tokens = min(self._tokens + self._per_attempt, self._most)

    def try_retry(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Backoff:
    """Yield delays with full jitter: uniform between 0 and an exponential bound."""

    def __init__(
        self,
        base_ms: Millis,
        cap_ms: Millis,
        rng: random.Random | None = None,
    ) -> None:
        self._base_ms = base_ms
        self._cap_ms = cap_ms
        self._rng = rng or random.Random()
        self._bound_ms = base_ms

    def next_ms(self) -> Millis:
        """Return the next delay, at least 1 ms."""
        bound_ms = self._bound_ms
        self._bound_ms = min(bound_ms * 2, self._cap_ms)
        return max(int(self._rng.uniform(0, bound_ms)), 1)

    def reset(self) -> None:
        """Start again from the base after a success."""
        self._bound_ms = self._base_ms
