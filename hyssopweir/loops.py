"""Periodic background loops that continue after an unexpected exception."""

from collections.abc import Awaitable, Callable

from mode import Service

from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog

# Prevents a loop whose action takes longer than its interval from using a whole core.
MIN_PAUSE_MS: Millis = 10
# Prevents an action that fails immediately from filling the log.
FAILURE_PAUSE_MS: Millis = 500


async def run_forever(
    service: Service,
    interval_ms: Millis,
    action: Callable[[], Awaitable[object]],
    clock: Clock,
    log: EventLog,
) -> None:
    """Run ``action`` every ``interval_ms`` until the service stops.

    The interval is measured from start to start. An exception is logged as
    ``BACKGROUND_TASK_FAILED`` and the loop continues; cancellation ends it.
    """
    while not service.should_stop:
        started_ms = clock.now_ms()
        min_pause_ms = MIN_PAUSE_MS
        if not await run_guarded(action, service.label, log):
            min_pause_ms = FAILURE_PAUSE_MS
        remaining_ms = started_ms + interval_ms - clock.now_ms()
        await clock.sleep_ms(max(remaining_ms, min_pause_ms))


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
