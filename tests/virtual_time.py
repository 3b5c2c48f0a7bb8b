"""Event loop whose time advances at once to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from hyssopweir.clock import Clock, Millis

T = TypeVar("T")


class _InstantSelector(selectors.SelectSelector):
    """Advance the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("deadlock: nothing is scheduled in virtual time")
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers in order without waiting; sockets are not supported."""

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        return self._instant.now_s


class VirtualClock(Clock):
    """Derive the wall clock from virtual time, with an offset for skew tests."""

    def __init__(self, skew_ms: Millis = 0) -> None:
        self.skew_ms = skew_ms

    def wall_ms(self) -> Millis:
        return self.now_ms() + self.skew_ms


def run_virtual(
    main: Coroutine[Any, Any, T],
    limit_s: float = 100_000.0,
    loop: VirtualLoop | None = None,
) -> T:
    """Run ``main`` to its end in virtual time and cancel what it left running."""
    loop = loop or VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(asyncio.wait_for(main, limit_s))
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
