"""When an entry instance takes new connections, and when a planned stop is over."""

from hyssopweir.clock import Millis

# Without an answer of the store for that long, callers are better served elsewhere.
STORE_SILENCE_MS: Millis = 2_500
# The load balancer asks once a second and needs two refusals.
UNREADY_MS: Millis = 2_300
# Share of the time before the process is killed in which requests may finish.
STOP_SHARE = 0.75

# The owner of a cell with 50 workers under load takes half a processor, and callers
# theirs; its links carry some 0.3 MB/s.
OWNER_PROCESSORS = 1.0
OWNER_LINK_MBPS = 20.0
# Longer than the time in which all instances have seen a vacant cell.
MOST_RELUCTANCE_MS: Millis = 600


def is_ready(is_open: bool, is_stopping: bool, store_silent_ms: Millis) -> bool:
    """Tell whether to take new connections; once open, callers can be served."""
    return is_open and not is_stopping and store_silent_ms < STORE_SILENCE_MS


def claim_delay_ms(processors: float, link_mbps: float) -> Millis:
    """Return how long to leave a vacant cell to larger instances."""
    missing = max(
        1.0 - processors / OWNER_PROCESSORS, 1.0 - link_mbps / OWNER_LINK_MBPS
    )
    return int(MOST_RELUCTANCE_MS * max(missing, 0.0))


def may_close_connections(
    stopping_ms: Millis, limit_ms: Millis, in_progress: int
) -> bool:
    """Tell whether a stop that began ``stopping_ms`` ago may close its connections."""
    if stopping_ms >= limit_ms * STOP_SHARE:
        return True
    return stopping_ms >= UNREADY_MS and not in_progress
