"""Event loop with virtual time, which jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from hyssopweir.clock import Clock, Millis

T = TypeVar("T")


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances the virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError(
                "deadlock: no callback or timer is scheduled in virtual time"
            )
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting; it supports no sockets."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s


class VirtualClock(Clock):
    """Clock whose wall time is the virtual time plus ``skew_ms``."""

    def __init__(self, skew_ms: Millis = 0) -> None:
        self.skew_ms = skew_ms

    def wall_ms(self) -> Millis:
        return self.now_ms() + self.skew_ms

    def boot_ms(self) -> Millis:
        return self.now_ms()


def run_virtual(
    main: Coroutine[Any, Any, T],
    timeout_s: float = 100_000.0,
    loop: VirtualLoop | None = None,
) -> T:
    """Run ``main`` in virtual time, then cancel the tasks that are still pending."""
    loop = loop or VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(asyncio.wait_for(main, timeout_s))
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
