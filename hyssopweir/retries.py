"""Retry budget and exponential backoff."""

import random

from hyssopweir.clock import Millis

# Allows retries on an instance with little traffic: without a burst, a budget of 10%
# would not permit a retry before the tenth request.
BURST_TOKENS = 10.0


class RetryBudget:
    """Token bucket that limits retries to a percentage of first attempts."""

    def __init__(self, retry_percent: int) -> None:
        self._tokens_per_attempt = retry_percent / 100
        self._max_tokens = BURST_TOKENS if retry_percent else 0.0
        self._tokens = self._max_tokens

    def record_first_attempt(self) -> None:
        """Add the fraction of a token that a first attempt earns."""
        self._tokens = min(self._tokens + self._tokens_per_attempt, self._max_tokens)

    def try_retry(self) -> bool:
        """Spend one token; return False if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Backoff:
    """Exponential backoff with full jitter: uniform between 0 and a doubling bound."""

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
        """Restart from the base delay after a success."""
        self._bound_ms = self._base_ms
