"""Group of asyncio tasks that share the lifetime of one component."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from hyssopweir.clock import Millis
from hyssopweir.events import Event, EventLog


class BackgroundTasks:
    """Set of background tasks that logs failures and cancels the rest on close."""

    def __init__(self, name: str, log: EventLog) -> None:
        self._name = name
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Start a task that runs until it finishes or the group is closed."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.emit(
                Event.BACKGROUND_TASK_FAILED,
                task=self._name,
                error=repr(task.exception()),
            )

    def close(self) -> None:
        """Cancel all running tasks."""
        for task in self._tasks:
            task.cancel()

    async def wait(self, limit_ms: Millis) -> None:
        """Wait until all tasks have finished, but at most ``limit_ms``."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit_ms / 1_000)
