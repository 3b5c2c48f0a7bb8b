"""Periodic background loops that survive an unexpected exception."""

from collections.abc import Awaitable, Callable

from mode import Service

from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog

# Keeps a loop whose action takes longer than its interval from using the whole core.
LEAST_PAUSE_MS: Millis = 10
# Keeps an action that fails at once from filling the log.
FAILURE_PAUSE_MS: Millis = 500


async def run_forever(
    service: Service,
    interval_ms: Millis,
    action: Callable[[], Awaitable[object]],
    clock: Clock,
    log: EventLog,
) -> None:
    """Run ``action`` every ``interval_ms`` until the service stops.

    The interval counts from start to start. An exception is logged as
    ``BACKGROUND_TASK_FAILED`` and the loop goes on; cancellation ends it.
    """
    while not service.should_stop:
        started_ms = clock.now_ms()
        least_ms = LEAST_PAUSE_MS
        if not await run_guarded(action, service.label, log):
            least_ms = FAILURE_PAUSE_MS
        left_ms = started_ms + interval_ms - clock.now_ms()
        await clock.sleep_ms(max(left_ms, least_ms))


async def run_guarded(
    action: Callable[[], Awaitable[object]],
    name: str,
    log: EventLog,
) -> bool:
    """Run ``action`` once; log an exception and return False instead of raising."""
    try:
        await action()
    except Exception as exc:
        log.emit(
            Event.BACKGROUND_TASK_FAILED,
            task=f"{name}.{getattr(action, '__name__', 'action')}",
            error=f"{type(exc).__name__}: {exc}",
        )
        return False
    return True
