"""Readiness of an entry instance, and the end of its graceful shutdown."""

from hyssopweir.clock import Millis

# Not ready after this long without a store reply; other instances serve callers better.
MAX_STORE_SILENCE_MS: Millis = 2_500
# The load balancer probes once per second and needs two failed probes.
UNREADY_DETECTION_MS: Millis = 2_300
# Share of the time until the process is killed in which open requests may finish.
DRAIN_TIME_SHARE = 0.75

# The owner of a loaded cell with 50 workers uses half a processor, in addition to what
# callers use, and its links carry about 0.3 MB/s.
MIN_OWNER_PROCESSORS = 1.0
MIN_OWNER_LINK_MBPS = 20.0
# The smallest machines of the deployments so far have owned cells with this memory.
MIN_OWNER_MEMORY_MB = 200
CAPACITY_UNIT = 1_000
# Longer than it takes until all instances have seen a vacant cell.
MAX_CLAIM_DELAY_MS: Millis = 600


def is_ready(is_open: bool, is_stopping: bool, store_silent_ms: Millis) -> bool:
    """Return whether to accept new connections; requests are served once open."""
    return is_open and not is_stopping and store_silent_ms < MAX_STORE_SILENCE_MS


def claim_delay_ms(processors: float, link_mbps: float) -> Millis:
    """Return how long to wait for larger instances to claim a vacant cell."""
    shortfall = max(
        1.0 - processors / MIN_OWNER_PROCESSORS, 1.0 - link_mbps / MIN_OWNER_LINK_MBPS
    )
    return int(MAX_CLAIM_DELAY_MS * max(shortfall, 0.0))


def owner_capacity(processors: float, link_mbps: float, memory_mb: int) -> int:
    """Return what an instance can carry, in thousandths of a loaded cell."""
    share = min(
        processors / MIN_OWNER_PROCESSORS,
        link_mbps / MIN_OWNER_LINK_MBPS,
        memory_mb / MIN_OWNER_MEMORY_MB,
    )
    # 0 would mean that the capacity is unknown.
    return max(int(CAPACITY_UNIT * share), 1)


def may_close_connections(
    stopping_ms: Millis, limit_ms: Millis, in_progress: int
) -> bool:
    """Return whether a shutdown begun ``stopping_ms`` ago may close connections."""
    if stopping_ms >= limit_ms * DRAIN_TIME_SHARE:
        return True
    return stopping_ms >= UNREADY_DETECTION_MS and not in_progress
