"""Processes on one virtual loop that can be frozen, resumed and killed as a whole.

Each callback runs in a context that names its process; the callbacks of a process that
does not run are held back, as the operating system does with a stopped process.
"""

import asyncio
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

from hyssopweir.clock import Millis

from .virtual_time import VirtualClock, VirtualLoop

T = TypeVar("T")

TIMER_STEP_S = 1e-12


class Process:
    """Hold the callbacks of one process while it is frozen or dead."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_running = True
        self.is_dead = False
        self.died = asyncio.Event()
        self._held: list[_Callback] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._context = Context()
        self._context.run(PROCESS.set, self)

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine in this process."""
        return asyncio.get_running_loop().create_task(
            work, context=self._context.copy()
        )

    def call(self, callback: Callable[..., None], *args: Any) -> None:
        """Call a function in this process soon."""
        loop = asyncio.get_running_loop()
        loop.call_soon(callback, *args, context=self._context.copy())

    def freeze(self) -> None:
        self.is_running = False

    def resume(self) -> None:
        if not self.is_dead:
            self.release()

    def kill(self) -> None:
        """Stop for ever, without running any clean-up of the process."""
        self.is_running = False
        self.is_dead = True
        self.died.set()
        # A pending coroutine that is collected would run its ``finally`` blocks.
        self._tasks = asyncio.all_tasks()

    def release(self) -> None:
        """Run what was held back, in order; ends the virtual run as well."""
        self.is_running = True
        held, self._held = self._held, []
        for callback in held:
            callback.run_again()

    def hold(self, callback: "_Callback") -> None:
        self._held.append(callback)


PROCESS: ContextVar[Process | None] = ContextVar("process", default=None)


class _Callback:
    """Run a callback of a process, or have it held back."""

    def __init__(
        self,
        process: Process,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        context: Context,
    ) -> None:
        self.handle: asyncio.Handle | None = None
        self._process = process
        self._callback = callback
        self._args = args
        self._context = context

    def __call__(self) -> None:
        if self.handle is not None and self.handle.cancelled():
            return
        if self._process.is_running:
            self._callback(*self._args)
        else:
            self._process.hold(self)

    def run_again(self) -> None:
        asyncio.get_running_loop().call_soon(self, context=self._context)


class ProcessLoop(VirtualLoop):
    """Run callbacks only while their process runs, and repeatably."""

    def __init__(self) -> None:
        super().__init__()
        self._timers = 0

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.Handle:
        context = copy_context() if context is None else context
        process = context.get(PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        held = _Callback(process, callback, args, context)
        held.handle = super().call_soon(held, context=context)
        return held.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        # Timers of the same time would run in the order of the heap, which depends on
        # cancelled ones as well.
        self._timers += 1
        when += self._timers * TIMER_STEP_S
        context = copy_context() if context is None else context
        process = context.get(PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        held = _Callback(process, callback, args, context)
        handle = super().call_at(when, held, context=context)
        held.handle = handle
        return handle


class ProcessClock(VirtualClock):
    """Give each process its own origin of monotonic time, and a skewed wall clock."""

    def __init__(self, offset_ms: Millis = 0, skew_ms: Millis = 0) -> None:
        super().__init__(skew_ms)
        self.offset_ms = offset_ms

    def now_ms(self) -> Millis:
        return super().now_ms() + self.offset_ms

    def wall_ms(self) -> Millis:
        return super().now_ms() + self.skew_ms


def outside(work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
    """Run a coroutine in no process, as what is in transit or elsewhere does."""
    return asyncio.get_running_loop().create_task(work, context=Context())
