"""Worker whose filling tasks disturb its serving tasks and can be slowed down."""

import json
from collections.abc import Callable
from typing import Any

from aiohttp import web

from soak.events import RunKey
from soak.worker import MAX_LISTED_ENDS, RESTORE_MS, Run, Worker, _call_later

# Tail latency of a serving task without any load, and the load of its own users, as in
# the site files (``tail_ms``, ``load``).
IDLE_TAIL_MS = 10.0
OWN_LOAD = 0.45
MAX_UTILIZATION = 0.97


class PacedRun(Run):
    """Run whose speed can be limited."""

    pace = 100
    worked_ms = 0.0
    changed_ms = 0.0

    def progress_ms(self, now_ms: float) -> float:
        """Return the time of work done, with that of earlier runs."""
        restore_ms = RESTORE_MS if self.initial_ms else 0
        since_ms = max(self.changed_ms, self.started_ms + restore_ms)
        at_work_ms = max(now_ms - since_ms, 0) * self.pace / 100
        return self.initial_ms + self.worked_ms + at_work_ms


class SharedWorker(Worker):
    """Worker that reports tails and carries out changes of speed.

    ``phase_of`` returns the step of a run, ``harm`` the utilization that a whole worker
    of fillers adds to a serving task now.
    """

    phase_of: Callable[[RunKey], dict[str, Any]]
    harm: Callable[[], float]

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one call of an instance."""
        if req.path != "/pace" or not self.is_up:
            return await super().handle(req)
        body = await _read(req)
        if req.headers.get("Expected-Instance") != self.life.worker:
            return self._reply(421)
        if body.get("fencingToken", 0) < self._token:
            return self._reply(409, reason="fence")
        run = self.runs.get(RunKey(body["task"], body["run"]))
        if isinstance(run, PacedRun):
            self._set_pace(run, body["percent"])
        return self._reply(200)

    def _start(self, body: dict[str, Any], sender: str, is_late: bool) -> web.Response:
        response = super()._start(body, sender, is_late)
        key = RunKey(body["task"], body["run"])
        run = self.runs.get(key)
        if run is not None and not isinstance(run, PacedRun):
            paced = PacedRun(
                key, run.work, body.get("checkpointed", ""), run.started_ms
            )
            if run.timer is not None:
                run.timer.cancel()
            self.runs[key] = paced
            self._set_pace(paced, 100)
        return response

    def _set_pace(self, run: PacedRun, percent: int) -> None:
        now_ms = self._record.now_ms()
        run.worked_ms = run.progress_ms(now_ms) - run.initial_ms
        run.changed_ms, run.pace = now_ms, percent
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        if run.work.is_endless or not percent:
            return
        left_ms = max(run.work.duration_ms - run.progress_ms(now_ms), 1) * 100 / percent
        if run.initial_ms:
            left_ms += max(run.started_ms + RESTORE_MS - now_ms, 0)
        run.timer = _call_later(left_ms, self._end, run, run.work.how)

    def figure(self, run: Run) -> float:
        """Return the tail of a serving task, or the processors in use."""
        phase = self.phase_of(run.key)
        if not phase.get("targetMs"):
            return phase["cpu"] * getattr(run, "pace", 100) / 100
        filled = sum(
            self.phase_of(other.key)["cpu"] * getattr(other, "pace", 100) / 100
            for other in self.runs.values()
            if self.phase_of(other.key).get("fillCount")
        )
        used = OWN_LOAD + self.harm() * filled / self.shape.cpu
        return round(IDLE_TAIL_MS / (1 - min(used, MAX_UTILIZATION)))

    async def _hold(
        self, req: web.BaseRequest, body: dict[str, Any], sender: str
    ) -> web.StreamResponse:
        response = await super()._hold(req, body, sender)
        if not isinstance(response, web.Response) or response.status != 200:
            return response
        now_ms = self._record.now_ms()
        running = [
            [*run.key, run.saved(now_ms), run.percent(now_ms), self.figure(run)]
            for run in self.runs.values()
        ]
        finished = [
            [number, *key, how, saved]
            for number, key, how, saved, _ in self._ends[:MAX_LISTED_ENDS]
        ]
        return self._reply(200, running=running, finished=finished)


async def _read(req: web.BaseRequest) -> dict[str, Any]:
    return dict(json.loads(await req.read() or b"{}"))
