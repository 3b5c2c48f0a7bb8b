"""Stand-in for a worker: runs, leases on its own clock, fencing, numbered ends."""

import asyncio
import contextlib
import json
import random
import time
import zlib
from collections.abc import Callable
from typing import Any, NamedTuple

from aiohttp import web

from soak.events import (
    EndAcknowledged,
    EndListed,
    EventRecord,
    Life,
    Millis,
    RunEnded,
    RunKey,
    RunStarted,
    RunStopping,
    WorkerBegan,
)
from soak.proxy import LATE_S

HOLD_MAX_MS = 10_000
STOP_MS = 200
MAX_WAIT_MS = 2_000
MAX_LISTED_ENDS = 500
# The clocks of workers may be 2% slow.
MIN_CLOCK_RATE = 0.98
MAX_FIRST_CLOCK_MS = 10_000_000
# An end that a reply has listed counts as taken note of after this time.
LISTED_MS = 100
# Ends that the reply to a request lists, each with its time.
LISTED_ENDS = web.RequestKey("listed_ends", list[tuple[RunKey, Millis]])
# A lasting task is at work after this time.
STARTUP_MS = 300
# Restoring a checkpoint takes this long.
RESTORE_MS = 250


class Work(NamedTuple):
    """What a run does: how long, how it ends, and how often it saves its progress."""

    duration_ms: Millis
    how: str = "done"
    is_endless: bool = False
    checkpoint_ms: Millis = 0


class Shape(NamedTuple):
    """Properties of a worker's machine that stay when it starts again."""

    machine: str
    service: str
    zone: str
    cpu: int
    memory_mb: int
    labels: tuple[str, ...]


class Run:
    """A run that is at work."""

    def __init__(self, key: RunKey, work: Work, saved: str, now_ms: Millis) -> None:
        self.key = key
        self.work = work
        self.started_ms = now_ms
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopping = False
        self.initial_ms = saved_progress_ms(saved)

    def progress_ms(self, now_ms: Millis) -> Millis:
        """Return the time of work done, with that of earlier runs."""
        restore_ms = RESTORE_MS if self.initial_ms else 0
        return self.initial_ms + max(now_ms - self.started_ms - restore_ms, 0)

    def saved(self, now_ms: Millis) -> str:
        """Return the latest checkpoint, empty if there is none."""
        if not self.work.checkpoint_ms:
            return ""
        count = int(self.progress_ms(now_ms) / self.work.checkpoint_ms)
        progress_ms = int(count * self.work.checkpoint_ms)
        return checkpoint(self.key.task, progress_ms) if count else ""

    def percent(self, now_ms: Millis) -> int:
        """Return the progress, which a lasting task has after its startup."""
        if self.work.is_endless:
            return 100 if now_ms - self.started_ms >= STARTUP_MS else 50
        return min(int(100 * self.progress_ms(now_ms) / self.work.duration_ms), 99)


def checkpoint(task: str, progress_ms: int) -> str:
    """Return a checkpoint, which names its task by a checksum."""
    return f"{progress_ms:08x}{zlib.crc32(task.encode()):08x}"


def saved_progress_ms(saved: str) -> int:
    """Return the progress of a checkpoint."""
    return int(saved[:8], 16) if saved else 0


class Worker:
    """One life of a worker with its runs and the ends that aren't acknowledged.

    ``sender_of`` returns the instance behind the connection of a request and whether
    the request was held up on its way.
    """

    def __init__(
        self,
        worker_id: str,
        shape: Shape,
        record: EventRecord,
        work_of: Callable[[RunKey], Work],
        sender_of: Callable[[web.BaseRequest], tuple[str, bool]],
        rng: random.Random,
    ) -> None:
        self.shape = shape
        self.life = Life(worker_id, int(time.time() * 1_000))
        self.runs: dict[RunKey, Run] = {}
        self.state = "ready"
        self.is_up = True
        self._record = record
        self._work_of = work_of
        self._sender_of = sender_of
        self._clock_rate = rng.uniform(MIN_CLOCK_RATE, 1.0)
        self._began_ms = record.now_ms()
        # The clock of each life starts at another value.
        birth = f"{worker_id} {self.life.born_ms}"
        self._first_clock_ms = zlib.crc32(birth.encode()) % MAX_FIRST_CLOCK_MS
        self._ends: list[tuple[int, RunKey, str, str, Millis]] = []
        self._end_count = 0
        # By task, the highest run that was stopped or has ended.
        self._closed: dict[str, int] = {}
        self._token = 0
        self.lease_until_ms: Millis = 0
        self._lapsed_ms: Millis = 0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._sequence = 0
        self._ended = asyncio.Event()
        self._has_processor = asyncio.Event()
        self._has_processor.set()
        # While it stands still, and until the calls of that time are handled.
        self._is_behind = False
        # When it last began to end what had lapsed while it stood still.
        self._resumed_ms: Millis = 0
        # By how much the timer that ends lapsed runs is late.
        self.timer_delay_ms: Millis = 0
        # Set when the replies of handled calls are sent.
        self._replies_sent = asyncio.Event()
        self._replies_sent.set()
        # Runs whose end a reply has listed.
        self._listed: set[RunKey] = set()
        record.add(
            WorkerBegan(
                self._began_ms, self.life, shape.cpu, shape.memory_mb, shape.zone
            )
        )

    def entry(self, address: tuple[str, int]) -> dict[str, Any]:
        """Return the entry of the worker in the store."""
        self._sequence += 1
        return {
            "service": self.shape.service,
            "address": f"{address[0]}:{address[1]}",
            "zone": self.shape.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {
                "cpu": self.shape.cpu,
                "memMb": self.shape.memory_mb,
                "gpu": 0,
            },
            "labels": list(self.shape.labels),
            "machine": self.shape.machine,
            "born": self.life.born_ms,
            "clockMs": self._clock_ms(),
            "sequence": self._sequence,
        }

    async def wait_processor(self) -> None:
        """Wait until the worker doesn't stand still."""
        while not self._has_processor.is_set():
            await self._has_processor.wait()

    def stand_still(self) -> None:
        """Handle no call and end no lapsed run until ``resume``; runs go on."""
        self._expire_leases()
        self._has_processor.clear()
        self._is_behind = True

    def resume(self, is_timer_first: bool, keeps_replies: bool) -> None:
        """Handle the calls that have arrived, and end what has lapsed meanwhile.

        The expiry of leases is handled before these calls or after them. Replies to
        handled calls are sent together at the next resumption if ``keeps_replies``.
        """
        kept, self._replies_sent = self._replies_sent, asyncio.Event()
        kept.set()
        if not keeps_replies:
            self._replies_sent.set()
        self._has_processor.set()
        if is_timer_first:
            self._catch_up()
        # The calls that wait are scheduled before this one.
        asyncio.get_running_loop().call_soon(self._catch_up)

    def _catch_up(self) -> None:
        if self._is_behind and self._has_processor.is_set():
            self._is_behind = False
            self._resumed_ms = self._record.now_ms()
            self._expire_leases()

    def crash(self) -> None:
        """End the life with all its runs."""
        self.is_up = False
        self._expire_leases()
        for run in list(self.runs.values()):
            self._remove(run)
            self._record.add(
                RunEnded(self._record.now_ms(), self.life, run.key, "crashed")
            )

    def _clock_ms(self) -> int:
        passed_ms = (self._record.now_ms() - self._began_ms) * self._clock_rate
        return self._first_clock_ms + int(passed_ms)

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one call of an instance."""
        if not self.is_up:
            return _drop_connection(req)
        # Its connection may be closed when the call is carried out.
        sender, is_late = self._sender_of(req)
        body = json.loads(await req.read() or b"{}")
        arrived_ms = self._record.now_ms()
        await self.wait_processor()
        if not self.is_up:
            return _drop_connection(req)
        is_late = is_late or self._record.now_ms() - arrived_ms > LATE_S * 1_000
        reply = await self._carry_out(req, body, sender, is_late)
        await self._replies_sent.wait()
        if req.get(LISTED_ENDS) and req.transport is not None:
            _call_later(LISTED_MS, self._note_listed, req[LISTED_ENDS])
        return reply

    async def _carry_out(
        self, req: web.BaseRequest, body: dict[str, Any], sender: str, is_late: bool
    ) -> web.StreamResponse:
        if req.headers.get("Expected-Instance") != self.life.worker:
            return self._reply(421)
        self._expire_leases()
        token = body.get("fencingToken", 0)
        if token < self._token:
            return self._reply(409, reason="fence")
        self._token = token
        if req.path == "/run-start":
            return self._start(body, sender, is_late)
        if req.path == "/run-stop":
            return self._stop(body, sender)
        if req.path == "/hold":
            return await self._hold(req, body, sender)
        return self._reply(200 if req.path == "/pace" else 404)

    def _reply(self, status: int, **fields: Any) -> web.Response:
        data = {"clockMs": self._clock_ms(), "born": self.life.born_ms, **fields}
        return web.json_response(data, status=status)

    def _start(self, body: dict[str, Any], sender: str, is_late: bool) -> web.Response:
        key = RunKey(body["task"], body["run"])
        if key in self.runs:
            return self._reply(200)
        if body["deadlineMs"] <= self._clock_ms():
            return self._reply(409, reason="late")
        self._extend_leases(body["deadlineMs"])
        if key.number <= self._closed.get(key.task, 0):
            return self._reply(409, reason="old")
        now_ms = self._record.now_ms()
        saved = body.get("checkpointed", "")
        run = Run(key, self._work_of(key), saved, now_ms)
        self.runs[key] = run
        payload = body.get("spec", "")
        self._record.add(
            RunStarted(now_ms, self.life, key, sender, is_late, payload, saved)
        )
        if not run.work.is_endless:
            left_ms = max(run.work.duration_ms - run.initial_ms, 1)
            restore_ms = RESTORE_MS if run.initial_ms else 0
            run.timer = _call_later(left_ms + restore_ms, self._end, run, run.work.how)
        return self._reply(200)

    def _stop(self, body: dict[str, Any], sender: str) -> web.Response:
        key = RunKey(body["task"], body["run"])
        self._closed[key.task] = max(self._closed.get(key.task, 0), key.number)
        for run in list(self.runs.values()):
            is_named = run.key.task == key.task and run.key.number <= key.number
            if is_named and not run.is_stopping:
                run.is_stopping = True
                now_ms = self._record.now_ms()
                self._record.add(RunStopping(now_ms, self.life, run.key, sender))
                _call_later(STOP_MS / 2, self._end, run, "stopped")
        return self._reply(200)

    async def _hold(
        self, req: web.BaseRequest, body: dict[str, Any], sender: str
    ) -> web.StreamResponse:
        if "deadlineMs" in body:
            self._extend_leases(body["deadlineMs"])
        self._acknowledge(body.get("acknowledged", 0), sender)
        wait_ms = min(body.get("waitMs", 0), MAX_WAIT_MS)
        if wait_ms and not self._ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_ms / 1_000)
            await self.wait_processor()
            if not self.is_up:
                return _drop_connection(req)
        self._expire_leases()
        now_ms = self._record.now_ms()
        running = [
            [*run.key, run.saved(now_ms), run.percent(now_ms), 0]
            for run in self.runs.values()
        ]
        finished = [
            [number, *key, how, saved]
            for number, key, how, saved, _ in self._ends[:MAX_LISTED_ENDS]
        ]
        req[LISTED_ENDS] = [(end[1], end[4]) for end in self._ends[:MAX_LISTED_ENDS]]
        return self._reply(200, running=running, finished=finished)

    def _acknowledge(self, number: int, sender: str) -> None:
        now_ms = self._record.now_ms()
        for end in self._ends:
            if end[0] <= number and self._lapsed_ms <= end[4]:
                self._record.add(EndAcknowledged(now_ms, self.life, end[1], sender))
        self._ends = [end for end in self._ends if end[0] > number]

    def _note_listed(self, ends: list[tuple[RunKey, Millis]]) -> None:
        """Record the ends that a reply listed, unless the lease has expired since."""
        for key, ended_ms in ends:
            if key not in self._listed and self._lapsed_ms <= ended_ms:
                self._listed.add(key)
                now_ms = self._record.now_ms()
                self._record.add(EndListed(now_ms, self.life, key))

    def _extend_leases(self, deadline_ms: Millis) -> None:
        until_ms = min(deadline_ms, self._clock_ms() + HOLD_MAX_MS)
        if until_ms <= self.lease_until_ms:
            return
        self.lease_until_ms = until_ms
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        left_ms = (until_ms - self._clock_ms()) / self._clock_rate
        self._lease_timer = _call_later(
            left_ms + self.timer_delay_ms + 1, self._expire_leases
        )

    def _expire_leases(self) -> None:
        """End all runs if the lease has expired, at the time when it did.

        A worker that stood still then ends them when it goes on, and one whose timer is
        late by as much later.
        """
        if self._is_behind:
            return
        handled_ms = self._clock_ms() - self.timer_delay_ms * self._clock_rate
        if not self.lease_until_ms or handled_ms < self.lease_until_ms:
            return
        lease_ms = self.lease_until_ms - self._first_clock_ms
        at_ms = self._began_ms + lease_ms / self._clock_rate
        at_ms = max(at_ms + self.timer_delay_ms, self._resumed_ms)
        self._lapsed_ms, self.lease_until_ms = at_ms, 0
        for run in list(self.runs.values()):
            self._end(run, "lapsed", at_ms)

    def _end(self, run: Run, how: str, at_ms: Millis = 0) -> None:
        if self.runs.get(run.key) is not run:
            return
        if not at_ms:
            self._expire_leases()
            if run.key not in self.runs:
                return
        self._remove(run)
        ended_ms = at_ms or self._record.now_ms()
        key = run.key
        self._closed[key.task] = max(self._closed.get(key.task, 0), key.number)
        self._end_count += 1
        saved = run.saved(ended_ms)
        self._ends.append((self._end_count, key, how, saved, ended_ms))
        self._record.add(RunEnded(ended_ms, self.life, key, how))
        self._ended.set()
        self._ended = asyncio.Event()

    def _remove(self, run: Run) -> None:
        del self.runs[run.key]
        if run.timer is not None:
            run.timer.cancel()


def _drop_connection(req: web.BaseRequest) -> web.Response:
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=503)


def _call_later(
    delay_ms: Millis, callback: Callable[..., None], *args: Any
) -> asyncio.TimerHandle:
    return asyncio.get_running_loop().call_later(delay_ms / 1_000, callback, *args)
