"""HTTP API of an entry instance for callers, operators and the load balancer."""

import json
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from aiohttp import web
from mode import Service
from result import Err, Result

from hyssopweir.client_limits import ClientBudget
from hyssopweir.clock import Clock
from hyssopweir.codes import Code, Failure, failure_to_dict, not_run, unknown
from hyssopweir.contracts import Answer, Request
from hyssopweir.events import Event, EventLog, record_to_dict
from hyssopweir.explain import explain_job, explain_job_json
from hyssopweir.http_server import RequestDroppedError, start_site
from hyssopweir.input_bounds import MAX_ANSWER_DEPTH, InputError, parse_bounded_json
from hyssopweir.metrics import Metrics
from hyssopweir.settings import Settings

if TYPE_CHECKING:
    from hyssopweir.instance import InstanceComponents

KEY_HEADER = "Idempotency-Key"
CALLER_HEADER = "X-Caller"
DEADLINE_HEADER = "X-Deadline-Ms"
URGENT_HEADER = "X-Urgent"
DEFAULT_CALLER = "default"
MAX_NAME_LENGTH = 200
SHUTDOWN_TIMEOUT_S = 5.0

HTTP_STATUS = {
    Code.BAD_REQUEST: 400,
    Code.KEY_REQUIRED: 400,
    Code.CONFIGURATION_INVALID: 400,
    Code.QUESTION_UNKNOWN: 400,
    Code.NOT_FOUND: 404,
    Code.UNKNOWN_SERVICE: 404,
    Code.KEY_REUSED: 409,
    Code.IN_PROGRESS: 409,
    Code.PLAN_STALE: 409,
    Code.CONFIGURATION_CONFLICT: 409,
    Code.STORE_CONFLICT: 409,
    Code.BODY_TOO_LARGE: 413,
    Code.PLAN_IMPOSSIBLE: 422,
    Code.INTERNAL: 500,
    Code.INVARIANT_BREACH: 500,
    Code.OUTCOME_UNKNOWN: 502,
    Code.WORKER_UNREACHABLE: 502,
    Code.ANSWER_MISMATCH: 502,
    Code.TASK_FAILED: 502,
    Code.DEADLINE_EXCEEDED: 504,
}
DEFAULT_STATUS = 503

Endpoint = Callable[[web.Request], Awaitable[web.StreamResponse]]


class EntryServer(Service):
    """HTTP server for callers, operators and the load balancer."""

    def __init__(
        self,
        cfg: Settings,
        parts: "InstanceComponents",
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        budget: ClientBudget,
    ) -> None:
        super().__init__()
        self.requests_in_progress = 0
        self.port = 0
        self._cfg = cfg
        self._parts = parts
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._request_count = 0
        self._budget = budget
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Start to listen on the ``callers`` address of the settings."""
        self._runner = web.AppRunner(
            self._application(),
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        address = self._cfg["callers"]
        await start_site(self._runner, (address["host"], address["port"]), self._budget)
        self.add_future(self._budget.run())
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stop the server, after the requests in progress have ended."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _application(self) -> web.Application:
        app = web.Application(
            client_max_size=self._cfg["limits"]["body_bytes"],
            middlewares=[self._handle_errors],
        )
        app.add_routes(
            [
                web.post("/v1/requests/{service}", self._serve_request),
                web.post("/v1/jobs", self._submit_job),
                web.get("/v1/jobs/{job}", self._show_job),
                web.delete("/v1/jobs/{job}", self._cancel_job),
                web.get("/v1/jobs/{job}/explain", self._explain_job),
                web.get("/v1/configuration", self._show_configuration),
                web.put("/v1/configuration", self._change_configuration),
                web.post("/v1/plans", self._make_plan),
                web.get("/v1/plans/{plan}", self._show_plan),
                web.post("/v1/plans/{plan}/confirm", self._confirm_plan),
                web.post("/v1/plans/{plan}/ask", self._ask_plan),
                web.get("/v1/workers", self._show_workers),
                web.get("/v1/instances", self._show_instances),
                web.get("/v1/events", self._show_events),
                web.get("/v1/health/live", self._show_live),
                web.get("/v1/health/ready", self._show_ready),
            ]
        )
        return app

    @web.middleware
    async def _handle_errors(
        self,
        request: web.Request,
        handler: Endpoint,
    ) -> web.StreamResponse:
        self.requests_in_progress += 1
        try:
            response = await handler(request)
            if self._parts.readiness.is_draining():
                response.force_close()
            return response
        except web.HTTPRequestEntityTooLarge:
            limit = self._cfg["limits"]["body_bytes"]
            return self._failure_response(
                not_run(Code.BODY_TOO_LARGE, f"the body exceeds {limit} bytes")
            )
        except (ConnectionError, RequestDroppedError, web.RequestPayloadError):
            # The connection is lost, or refuses the request itself.
            raise
        except web.HTTPException as exc:
            code = Code.NOT_FOUND if exc.status == 404 else Code.BAD_REQUEST
            return self._failure_response(not_run(code, exc.reason), exc.status)
        except Exception as exc:
            self._log.emit(
                Event.BACKGROUND_TASK_FAILED,
                task=f"{request.method} {request.path}",
                error=repr(exc),
            )
            return self._failure_response(
                unknown(Code.INTERNAL, "internal error; see the log")
            )
        finally:
            self.requests_in_progress -= 1

    async def _serve_request(self, http_req: web.Request) -> web.Response:
        refusal = self._parts.readiness.refusal()
        if refusal is not None:
            return self._failure_response(refusal)
        body = await http_req.read()
        parsed = self._parse_request(http_req, body)
        if isinstance(parsed, Failure):
            return self._failure_response(parsed)
        started_ms = self._clock.now_ms()
        reply = await self._parts.forwarder.handle(parsed)
        duration_ms = self._clock.now_ms() - started_ms
        self._metrics.time(f"request.{parsed.service}", duration_ms)
        if isinstance(reply, Err):
            return self._failure_response(reply.err_value, request_id=parsed.request_id)
        return self._answer_response(reply.ok_value)

    def _parse_request(self, http_req: web.Request, body: bytes) -> Request | Failure:
        """Parse a request; the forwarder applies the policy of its service."""
        default_ms = self._cfg["limits"]["default_deadline_ms"]
        text = http_req.headers.get(DEADLINE_HEADER, str(default_ms))
        if not text.isascii() or not text.isdigit() or not 0 < int(text[:9]) < 10**8:
            detail = f"{DEADLINE_HEADER} must be a number of milliseconds, not {text!r}"
            return not_run(Code.BAD_REQUEST, detail)
        key = http_req.headers.get(KEY_HEADER)
        caller = http_req.headers.get(CALLER_HEADER, DEFAULT_CALLER)
        for name, value in ((KEY_HEADER, key), (CALLER_HEADER, caller)):
            if value is not None and not _is_valid_name(value):
                detail = f"{name} must have 1 to {MAX_NAME_LENGTH} printable characters"
                return not_run(Code.BAD_REQUEST, f"{detail}, no '/' and no '#'")
        service = http_req.match_info["service"]
        self._request_count += 1
        return Request(
            request_id=f"{self._parts.membership.session}.{self._request_count}",
            caller=caller,
            service=service,
            body=body,
            idempotent=False,
            key=key,
            urgent=URGENT_HEADER in http_req.headers,
            expires_ms=self._clock.now_ms() + int(text),
        )

    def _answer_response(self, answer: Answer) -> web.Response:
        return web.Response(
            body=answer.body,
            headers={
                "X-Request-Id": answer.request_id,
                "X-Run-Id": answer.run_id,
                "X-Worker": answer.worker_id,
                "X-Digest": f"sha-256={answer.digest}",
                "X-Configuration": str(self._parts.configuration.version),
            },
        )

    async def _submit_job(self, http_req: web.Request) -> web.Response:
        refusal = self._parts.readiness.refusal()
        if refusal is not None:
            return self._failure_response(refusal)
        spec = await _read_json(http_req)
        caller = http_req.headers.get(CALLER_HEADER, DEFAULT_CALLER)
        return self._result_response(await self._parts.jobs.submit(spec, caller), 202)

    async def _show_job(self, http_req: web.Request) -> web.Response:
        return self._result_response(
            await self._parts.jobs.status(http_req.match_info["job"])
        )

    async def _cancel_job(self, http_req: web.Request) -> web.Response:
        return self._result_response(
            await self._parts.jobs.cancel(http_req.match_info["job"])
        )

    async def _explain_job(self, http_req: web.Request) -> web.Response:
        records = await self._parts.jobs.task_rows(http_req.match_info["job"])
        if isinstance(records, Err):
            return self._failure_response(records.err_value)
        if records.ok_value.row is None and not records.ok_value.tasks:
            text = explain_job(records.ok_value)
            return self._failure_response(not_run(Code.NOT_FOUND, text))
        answer = explain_job_json(records.ok_value)
        return self._json_response({"text": explain_job(records.ok_value), **answer})

    async def _show_configuration(self, http_req: web.Request) -> web.Response:
        current = self._parts.configuration
        return self._json_response({"version": current.version, "body": current.body})

    async def _change_configuration(self, http_req: web.Request) -> web.Response:
        data = await _read_json(http_req)
        if not isinstance(data, dict) or type(data.get("version")) is not int:
            detail = 'the body must be {"version": number, "body": {...}}'
            return self._failure_response(not_run(Code.BAD_REQUEST, detail))
        result = await self._parts.configuration.change(
            data.get("body"),
            data["version"],
        )
        return self._result_response(result.map(lambda version: {"version": version}))

    async def _make_plan(self, http_req: web.Request) -> web.Response:
        intent = await _read_json(http_req)
        return self._result_response(await self._parts.plans.make(intent), 201)

    async def _show_plan(self, http_req: web.Request) -> web.Response:
        return self._result_response(
            await self._parts.plans.show(http_req.match_info["plan"])
        )

    async def _confirm_plan(self, http_req: web.Request) -> web.Response:
        return self._result_response(
            await self._parts.plans.confirm(http_req.match_info["plan"])
        )

    async def _ask_plan(self, http_req: web.Request) -> web.Response:
        data = await _read_json(http_req)
        question = data.get("question") if isinstance(data, dict) else None
        if not isinstance(question, str):
            detail = 'the body must be {"question": text}'
            return self._failure_response(not_run(Code.BAD_REQUEST, detail))
        plan = http_req.match_info["plan"]
        return self._result_response(await self._parts.plans.ask(plan, question))

    async def _show_workers(self, http_req: web.Request) -> web.Response:
        return self._json_response({"workers": self._parts.worker_views()})

    async def _show_instances(self, http_req: web.Request) -> web.Response:
        return self._json_response({"instances": self._parts.instance_views()})

    async def _show_events(self, http_req: web.Request) -> web.Response:
        return self._json_response(
            {"events": [record_to_dict(record) for record in self._log]}
        )

    async def _show_live(self, http_req: web.Request) -> web.Response:
        return self._json_response({"live": True})

    async def _show_ready(self, http_req: web.Request) -> web.Response:
        refusal = self._parts.readiness.check_ready()
        if refusal is not None:
            return self._failure_response(refusal, 503)
        return self._json_response({"ready": True})

    def _result_response(
        self, reply: Result[Any, Failure], status: int = 200
    ) -> web.Response:
        if isinstance(reply, Err):
            return self._failure_response(reply.err_value)
        return self._json_response(reply.ok_value, status)

    def _failure_response(
        self,
        failure: Failure,
        status: int | None = None,
        request_id: str | None = None,
    ) -> web.Response:
        if failure.code in (Code.BAD_REQUEST, Code.BODY_TOO_LARGE):
            self._log.emit(Event.BAD_INPUT, detail=failure.detail)
        data = failure_to_dict(failure)
        if request_id is not None:
            data["request_id"] = request_id
        return self._json_response(
            data,
            status or HTTP_STATUS.get(failure.code, DEFAULT_STATUS),
            {"X-Result-Code": str(int(failure.code))},
        )

    def _json_response(
        self,
        data: Any,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> web.Response:
        text = json.dumps(data, default=str)
        return web.json_response(text=text, status=status, headers=headers)


async def _read_json(http_req: web.Request) -> Any:
    try:
        return parse_bounded_json(await http_req.read(), MAX_ANSWER_DEPTH)
    except InputError as exc:
        raise web.HTTPBadRequest(reason="the body is not JSON") from exc


def _is_valid_name(value: str) -> bool:
    if not 0 < len(value) <= MAX_NAME_LENGTH or not value.isprintable():
        return False
    return "/" not in value and "#" not in value
