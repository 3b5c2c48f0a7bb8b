"""HTTP interface through which callers submit, read and cancel jobs."""

import json
from typing import Any

from aiohttp import web
from result import Err

from hyssopweir.client_limits import ParsingTurns
from hyssopweir.clock import SECOND_MS, Clock, Millis
from hyssopweir.codes import Code, Failure, Outcome, failure_to_dict, not_run
from hyssopweir.events import Event, EventLog
from hyssopweir.input_bounds import InputError, parse_bounded_json
from hyssopweir.job_admission import MAX_RETRY_S, spread_retry_s
from hyssopweir.platform.job_bodies import JOB_ID, parse_workflow
from hyssopweir.queue_policies import QueuePolicy, QueueTable
from hyssopweir.workflow_api import WorkflowApi

DEFAULT_DEADLINE_MS: Millis = 3_000
# Parsing takes up to 28 times the bytes, and 0.6 us a byte. Ordinary jobs are smaller.
LARGE_BODY_BYTES = 32 * 1_024
LARGE_BODY_WAIT_MS: Millis = 1_000

STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.NOT_FOUND: 410,
    Code.UNKNOWN_SERVICE: 404,
    Code.TOO_MANY_CLIENTS: 503,
    Code.NOT_READY: 503,
    Code.STORE_UNAVAILABLE: 503,
    Code.STORE_OUTCOME_UNKNOWN: 504,
    Code.CANCELLED: 429,
    Code.OVERLOADED: 429,
    Code.NO_CAPACITY: 429,
}
# Refusals whose reason doesn't pass by itself.
LASTING_CODES = frozenset({Code.CANCELLED, Code.NO_CAPACITY})
RETRYABLE_STATUSES = frozenset({429, 503})


class Frontend:
    """HTTP handler that translates callers' requests into calls of ``WorkflowApi``."""

    def __init__(
        self, queues: QueueTable, api: WorkflowApi, clock: Clock, log: EventLog
    ) -> None:
        self._queues = queues
        self._api = api
        self._clock = clock
        self._log = log
        self._since_ms = clock.now_ms()
        self._turns = ParsingTurns()
        self.in_progress = 0
        self.is_stopping = False

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Serve one request; during a planned stop, close its connection afterwards."""
        self.in_progress += 1
        try:
            response = await self._route(req)
        finally:
            self.in_progress -= 1
        if self.is_stopping:
            response.force_close()
        return response

    async def _route(self, req: web.BaseRequest) -> web.Response:
        if not self._queues.version or not self._api.is_accepting_requests():
            detail = "configuration or cells are not known yet"
            return self._refuse(req, not_run(Code.NOT_READY, detail))
        host = req.host.rsplit(":", 1)[0]
        queue = self._queues.find(host, req.path)
        if queue is None:
            return self._refuse(req, not_run(Code.UNKNOWN_SERVICE, "no such queue"))
        job = req.path[len(queue.prefix) :]
        timeout_ms = _caller_timeout_ms(req)
        if req.method == "POST":
            return await self._submit(req, queue, job, timeout_ms)
        if req.method == "GET" and not job:
            return self._count_pending(req, queue)
        if req.method == "GET":
            return await self._get_status(req, job, timeout_ms)
        if req.method == "DELETE" and job:
            return await self._cancel(req, job, timeout_ms)
        return self._refuse(req, not_run(Code.BAD_REQUEST, "unknown method"))

    async def _submit(
        self, req: web.BaseRequest, queue: QueuePolicy, job: str, timeout_ms: Millis
    ) -> web.Response:
        if not JOB_ID.fullmatch(job):
            return self._refuse(req, not_run(Code.BAD_REQUEST, "malformed job id"))
        body = await _read_body(req, self._queues.most_body_bytes)
        if body is None:
            return self._refuse(req, not_run(Code.BODY_TOO_LARGE, "body too large"))
        try:
            wall_ms = self._clock.wall_ms()
            if len(body) <= LARGE_BODY_BYTES:
                workflow = parse_workflow(job, parse_bounded_json(body), queue, wall_ms)
            else:
                async with self._turns.turn(LARGE_BODY_WAIT_MS):
                    data = parse_bounded_json(body)
                    workflow = parse_workflow(job, data, queue, wall_ms)
                    del data
        except TimeoutError:
            detail = "too many large bodies wait"
            return self._refuse(req, not_run(Code.TOO_MANY_CLIENTS, detail), job)
        except InputError as exc:
            return self._refuse(req, not_run(Code.BAD_REQUEST, str(exc)))
        if queue.needs_ticket or any(step.is_gang for step in workflow.steps):
            detail = "gangs and advised queues are not supported"
            return self._refuse(req, not_run(Code.NO_CAPACITY, detail), job)
        result = await self._api.submit(workflow, timeout_ms)
        if isinstance(result, Err):
            return self._refuse(req, result.err_value, job)
        return _json_response({})

    async def _get_status(
        self, req: web.BaseRequest, job: str, timeout_ms: Millis
    ) -> web.Response:
        state = await self._api.status(job, timeout_ms)
        if isinstance(state, Err):
            return self._refuse(req, state.err_value, job)
        if state.ok_value is None:
            return self._refuse(req, not_run(Code.NOT_FOUND, "no such job"), job)
        return _json_response({"state": state.ok_value.value})

    async def _cancel(
        self, req: web.BaseRequest, job: str, timeout_ms: Millis
    ) -> web.Response:
        result = await self._api.cancel(job, timeout_ms)
        if isinstance(result, Err):
            return self._refuse(req, result.err_value, job)
        return _json_response({})

    def _count_pending(self, req: web.BaseRequest, queue: QueuePolicy) -> web.Response:
        count = self._api.pending(queue.name)
        if isinstance(count, Err):
            return self._refuse(req, count.err_value)
        return _json_response({"pendingJobs": count.ok_value})

    def _refuse(
        self, req: web.BaseRequest, failure: Failure, job: str = ""
    ) -> web.Response:
        status = STATUS_BY_CODE.get(failure.code, 500)
        headers, fields = None, {}
        if status in RETRYABLE_STATUSES:
            fields["retry_after_s"] = self._retry_after_s(failure, job or req.path)
            headers = {"Retry-After": str(fields["retry_after_s"])}
        is_uncertain = failure.outcome is Outcome.UNKNOWN and req.method == "POST"
        self._log.emit(
            Event.JOB_UNCERTAIN if is_uncertain else Event.JOB_REFUSED,
            job=job,
            method=req.method,
            status=status,
            code=int(failure.code),
            detail=failure.detail,
            configuration=self._queues.version,
            **fields,
        )
        return _json_response(failure_to_dict(failure), status, headers)

    def _retry_after_s(self, failure: Failure, key: str) -> int:
        """Return when a caller should return, spread by ``key``."""
        if "retry_after_s" in failure.extra:
            return int(failure.extra["retry_after_s"])
        if failure.code in LASTING_CODES:
            return spread_retry_s(key, MAX_RETRY_S)
        # What has lasted for some time is expected to last as long again.
        if failure.code is Code.NOT_READY:
            return spread_retry_s(
                key, (self._clock.now_ms() - self._since_ms) // SECOND_MS
            )
        return spread_retry_s(key, self._api.store_silent_ms() // SECOND_MS)


def _caller_timeout_ms(req: web.BaseRequest) -> Millis:
    """Return the caller's remaining time from the ``Deadline-Ms`` header."""
    try:
        return max(int(req.headers["Deadline-Ms"]), 0)
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_MS


async def _read_body(req: web.BaseRequest, max_bytes: int) -> bytes | None:
    if (req.content_length or 0) > max_bytes:
        return None
    first = await req.content.readany()
    if req.content.at_eof():
        return first if len(first) <= max_bytes else None
    # A growing buffer would leave holes in the heap.
    pieces, size = [first], len(first)
    while size <= max_bytes:
        piece = await req.content.readany()
        if not piece:
            return b"".join(pieces)
        pieces.append(piece)
        size += len(piece)
    return None


def _json_response(
    data: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    return web.Response(
        body=json.dumps(data).encode(),
        status=status,
        headers=headers,
        content_type="application/json",
    )
