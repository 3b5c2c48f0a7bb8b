"""When an entry instance takes new connections, and when a planned stop is over."""

from hyssopweir.clock import Millis

# Without an answer of the store for that long, callers are better served elsewhere.
STORE_SILENCE_MS: Millis = 2_500
# The load balancer asks once a second and needs two refusals.
UNREADY_MS: Millis = 2_300
# Share of the time before the process is killed in which requests may finish.
STOP_SHARE = 0.75


def is_ready(version: int, is_stopping: bool, store_silent_ms: Millis) -> bool:
    """Tell whether to take new connections; ``version`` is the configuration's."""
    return version > 0 and not is_stopping and store_silent_ms < STORE_SILENCE_MS


def may_end(stopping_ms: Millis, limit_ms: Millis, in_progress: int) -> bool:
    """Tell whether a stop that began ``stopping_ms`` ago may close its connections."""
    if stopping_ms >= limit_ms * STOP_SHARE:
        return True
    return stopping_ms >= UNREADY_MS and not in_progress
