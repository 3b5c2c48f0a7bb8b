"""Stand-in for a worker, as PROTOCOL.md describes it."""

import asyncio
import json
import time

from aiohttp import web

HEARTBEAT_S = 1.1
HOLD_MAX_S = 10.0
MAX_LISTED_ENDS = 500
MAX_WAIT_S = 2.0
STOP_S = 0.05
CHECKPOINT_S = 2.0
RESTORE_S = 0.25


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, saved, work):
        self.task = task
        self.number = number
        self.saved = saved
        self.work = work
        self.started = time.monotonic()
        self.timer = None

    def percent(self):
        passed = time.monotonic() - self.started
        if self.work.lasts:
            return 100 if passed >= min(0.3, self.work.seconds) else 50
        return min(int(100 * passed / max(self.work.seconds, 0.001)), 99)


class Work:
    """What a task does: ``seconds`` until it ends as ``how``; ``lasts`` if it serves."""

    def __init__(self, seconds, how="done", lasts=False):
        self.seconds = seconds
        self.how = how
        self.lasts = lasts


class Worker:
    """Worker with its runs, its leases and the ends that are not acknowledged."""

    def __init__(self, lab, name, cpu, memory=64_000, rack="r1-1", kind="a"):
        self.lab = lab
        self.id = name
        self.cpu, self.memory = cpu, memory
        self.labels = [kind, rack]
        self.machine = f"m-{name}"
        self.state = "ready"
        self.address = ("", 0)
        self.is_up = True
        self.is_unhealthy = False
        self._begin()

    def _begin(self):
        self.started = time.monotonic()
        self.born = int(time.time() * 1_000)
        self.runs = {}
        self.ended = []
        self.closed = {}
        self.count = 0
        self.token = 0
        self.lease_until = 0.0
        self.sequence = 0
        self.end_event = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started) * 1_000)

    def entry(self):
        self.sequence += 1
        return {
            "service": self.lab.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "depot-north",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clockMs": self.clock(),
            "sequence": self.sequence,
        }

    async def beat(self, delay_s=0.0):
        """Write the entry of this worker to the store until cancelled."""
        await asyncio.sleep(delay_s)
        while True:
            if self.is_up and not self.lab.store.is_down:
                self.lab.store.put("servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self):
        """End all runs when the lease expires."""
        while True:
            await asyncio.sleep(0.05)
            if self.runs and time.monotonic() >= self.lease_until:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    def _end(self, run, how, saved=""):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.count += 1
        self.ended.append([self.count, run.task, run.number, how, saved])
        self.lab.record("end", f"{run.task} run {run.number} {how} on {self.id}")
        self.lab.ends.append((time.monotonic(), self, run.task, run.number, how))
        self.end_event.set()
        self.end_event = asyncio.Event()

    def crash(self):
        """Lose all runs and all state; the caller decides when it starts again."""
        self.is_up = False
        for run in list(self.runs.values()):
            if run.timer is not None:
                run.timer.cancel()
            self.lab.record("lost", f"{run.task} run {run.number} with {self.id}")
            self.lab.lost.append((time.monotonic(), self, run.task, run.number))
        self.runs = {}

    def restart(self):
        """Start again under the same id and knowing nothing of before."""
        self._begin()
        self.is_up = True

    async def handle(self, req):
        if not self.is_up:
            req.transport.abort()
            return web.Response(status=503)
        body = json.loads(await req.read() or b"{}")
        if req.headers.get("Expected-Instance") != self.id:
            return web.Response(status=421)
        if req.path == "/hold":
            return await self._hold(body)
        token = body.get("fencingToken", 0)
        if token < self.token:
            return self._refuse("fence")
        if self.is_unhealthy and req.path == "/run-start":
            return web.Response(status=503)
        self.token = token
        if req.path == "/run-start":
            return self._start(body)
        if req.path == "/run-stop":
            return await self._stop(body)
        if req.path == "/pace":
            return self._answer()
        return web.Response(status=404)

    def _answer(self, **fields):
        return web.json_response({"clockMs": self.clock(), "born": self.born, **fields})

    def _refuse(self, reason):
        data = {"clockMs": self.clock(), "born": self.born, "reason": reason}
        return web.json_response(data, status=409)

    def _extend(self, deadline_ms):
        until = self.started + deadline_ms / 1_000
        until = min(until, time.monotonic() + HOLD_MAX_S)
        self.lease_until = max(self.lease_until, until)

    def _start(self, body):
        task, number = body["task"], body["run"]
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return self._answer()
        if body["deadlineMs"] <= self.clock():
            return self._refuse("late")
        self._extend(body["deadlineMs"])
        if number <= self.closed.get(task, 0) or current is not None:
            return self._refuse("old")
        run = Run(
            task, number, body.get("checkpointed", ""), self.lab.work(task, number, self)
        )
        self.runs[task] = run
        self.lab.record("start", f"{task} run {number} on {self.id}")
        self.lab.starts.append((time.monotonic(), self, task, number))
        if run.work.seconds < 1e6:
            how = run.work.how
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(run.work.seconds, self._end, run, how)
        return self._answer()

    async def _stop(self, body):
        task, number = body["task"], body["run"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return self._answer()

    async def _hold(self, body):
        if body.get("fencingToken", 0) < self.token:
            return self._refuse("fence")
        self.token = body.get("fencingToken", 0)
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        acknowledged = body.get("acknowledged", 0)
        now = time.monotonic()
        for number, task, run, how, _ in self.ended:
            if number <= acknowledged:
                self.lab.acknowledged.append((now, self, task, run, how))
        self.ended = [end for end in self.ended if end[0] > acknowledged]
        wait_s = min(body.get("waitMs", 0) / 1_000, MAX_WAIT_S)
        if wait_s and not self.ended:
            try:
                await asyncio.wait_for(self.end_event.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [
            [run.task, run.number, self._saved(run), run.percent(), 0]
            for run in self.runs.values()
        ]
        return self._answer(running=running, finished=self.ended[:MAX_LISTED_ENDS])

    def _saved(self, run):
        steps = int((time.monotonic() - run.started) / CHECKPOINT_S)
        if not self.lab.checkpoints or not steps:
            return run.saved
        return f"{steps:08x}{abs(hash(run.task)) % 2**32:08x}"
