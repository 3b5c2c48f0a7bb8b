"""Simulated processes on one event loop that can be frozen, resumed and killed.

The context of each callback identifies its process. Callbacks of a process that is not
running are deferred, as they are when an operating system stops a process.
"""

import asyncio
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

from hyssopweir.clock import Millis

from .virtual_time import VirtualClock, VirtualLoop

T = TypeVar("T")

TIMER_OFFSET_S = 1e-12


class Process:
    """Simulated process; defers its callbacks while it is frozen or dead."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_running = True
        self.is_dead = False
        self.killed = asyncio.Event()
        self._deferred: list[_Callback] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._context = Context()
        self._context.run(PROCESS.set, self)

    def spawn(self, coro: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Create a task that belongs to this process."""
        return asyncio.get_running_loop().create_task(
            coro, context=self._context.copy()
        )

    def call(self, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback that belongs to this process."""
        loop = asyncio.get_running_loop()
        loop.call_soon(callback, *args, context=self._context.copy())

    def freeze(self) -> None:
        self.is_running = False

    def resume(self) -> None:
        if not self.is_dead:
            self.release()

    def kill(self) -> None:
        """Stop the process permanently, without running its cleanup code."""
        self.is_running = False
        self.is_dead = True
        self.killed.set()
        # Garbage collection of a pending coroutine would run its ``finally`` blocks.
        self._tasks = asyncio.all_tasks()

    def release(self) -> None:
        """Run the deferred callbacks in order, also those of a dead process.

        At the end of a test it lets the tasks of dead processes be cancelled.
        """
        self.is_running = True
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            callback.reschedule()

    def defer(self, callback: "_Callback") -> None:
        self._deferred.append(callback)


PROCESS: ContextVar[Process | None] = ContextVar("process", default=None)


class _Callback:
    """Callback of a process, which runs or is deferred with the process."""

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
            self._process.defer(self)

    def reschedule(self) -> None:
        asyncio.get_running_loop().call_soon(self, context=self._context)


class ProcessLoop(VirtualLoop):
    """Event loop that runs callbacks only while their process runs.

    The order of timers is deterministic.
    """

    def __init__(self) -> None:
        super().__init__()
        self._timer_count = 0

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
        wrapper = _Callback(process, callback, args, context)
        wrapper.handle = super().call_soon(wrapper, context=context)
        return wrapper.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        # The heap order of timers with the same time also depends on cancelled timers,
        # so each timer gets a time of its own.
        self._timer_count += 1
        when += self._timer_count * TIMER_OFFSET_S
        context = copy_context() if context is None else context
        process = context.get(PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        wrapper = _Callback(process, callback, args, context)
        handle = super().call_at(when, wrapper, context=context)
        wrapper.handle = handle
        return handle


class ProcessClock(VirtualClock):
    """Clock of a process with its own monotonic origin and a skewed wall clock."""

    def __init__(self, offset_ms: Millis = 0, skew_ms: Millis = 0) -> None:
        super().__init__(skew_ms)
        self.offset_ms = offset_ms

    def now_ms(self) -> Millis:
        return super().now_ms() + self.offset_ms

    def wall_ms(self) -> Millis:
        return super().now_ms() + self.skew_ms


def spawn_outside_processes(coro: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
    """Create a task outside all processes, for messages in transit and for the test."""
    return asyncio.get_running_loop().create_task(coro, context=Context())
