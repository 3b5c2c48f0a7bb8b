"""Timeout of calls to one worker that follows the delays of its replies."""

from hyssopweir.clock import Millis

MIN_TIMEOUT_MS: Millis = 600
# With the wait of a renewal, shorter than a lease.
MAX_TIMEOUT_MS: Millis = 2_000
TIMEOUT_FACTOR = 2
# Share of the difference to a shorter delay by which the expected delay falls.
DECAY = 1 / 8


class ReplyDelays:
    """Delays of the replies of one worker, at once when they rise, slowly when not.

    With a fixed timeout, a worker whose replies take longer would never be heard.
    """

    def __init__(self) -> None:
        self._expected_ms = 0.0

    def record(self, delay_ms: Millis) -> None:
        """Record the delay of a reply, also if it came after its timeout."""
        decayed_ms = self._expected_ms - DECAY * (self._expected_ms - delay_ms)
        self._expected_ms = max(delay_ms, decayed_ms)

    def timeout_ms(self) -> Millis:
        """Return the timeout of the next call."""
        timeout_ms = int(TIMEOUT_FACTOR * self._expected_ms)
        return min(max(timeout_ms, MIN_TIMEOUT_MS), MAX_TIMEOUT_MS)
