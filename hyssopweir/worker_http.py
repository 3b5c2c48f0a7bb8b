"""HTTP client of the workers, and the JSON encoding of their messages.

The bodies of requests and answers are base64-encoded, so that ``execute``, ``lookup``,
``claim`` and ``watch`` share one JSON form of a run.
"""

import asyncio
import base64
import math
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import aiohttp
from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, Outcome, not_run, unknown
from hyssopweir.fleet import Worker
from hyssopweir.platform_client import (
    BAD_REQUEST,
    CONFLICT,
    OK_STATUS,
    UNSENT_KINDS,
    ExchangeError,
    ExchangeErrorKind,
    HttpReply,
    encode_json,
    exchange,
    new_session,
    parse_json,
    require_field,
)
from hyssopweir.silent_connections import SilentAddresses
from hyssopweir.worker_client import (
    Fence,
    Inventory,
    RequestRun,
    RunReport,
    RunState,
    TaskRun,
    Usage,
)

T = TypeVar("T")

CALL_TIMEOUT_MS: Millis = 1_000
MAX_ANSWER_BYTES = 4 * 1_048_576
# Base64 encodes 3 bytes as 4; the rest of a report takes less than 64 KiB.
MAX_REPORT_BYTES = MAX_ANSWER_BYTES * 4 // 3 + 65_536

REFUSALS = frozenset(
    {
        Code.STALE_EPOCH,
        Code.STALE_INCARNATION,
        Code.WORKER_FULL,
        Code.WORKER_LEAVING,
        Code.WORKER_REFUSED,
    }
)


class AnswerTooLargeError(Exception):
    """Raised for an answer that exceeds ``MAX_ANSWER_BYTES``."""


class ConnectionPool:
    """Connections to one worker, each in a separate client session.

    aiohttp can't close the idle connections of a session without the busy ones.
    """

    def __init__(self, connections: int) -> None:
        self.permits = asyncio.Semaphore(connections)
        self.idle: list[aiohttp.ClientSession] = []
        self.busy_count = 0
        self.keeps_idle = True


class HttpWorkerClient:
    """``WorkerClient`` over HTTP and JSON, with one connection pool per worker.

    It is not a ``mode`` service because ``stop`` is a call to a worker here.
    """

    def __init__(
        self,
        connections_per_worker: int,
        call_timeout_ms: Millis = CALL_TIMEOUT_MS,
    ) -> None:
        self._connections = connections_per_worker
        self._call_timeout_ms = call_timeout_ms
        self._pools: dict[tuple[str, int], ConnectionPool] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._silent = SilentAddresses()

    async def close(self) -> None:
        """Close all connections; busy ones are closed when their call ends."""
        for address in list(self._pools):
            self._release(address)
        await asyncio.gather(*self._closing)

    def release(self, worker: Worker) -> None:
        """Close the idle connections to a worker now and the busy ones after use."""
        self._release((worker.host, worker.port))

    async def claim(self, worker: Worker, epoch: int) -> Result[Inventory, Failure]:
        """Make the worker refuse lower epochs from now on; return its inventory."""
        return await self._call(worker, "claim", {"epoch": epoch}, inventory_from_dict)

    async def execute(
        self,
        worker: Worker,
        fence: Fence,
        run: RequestRun,
    ) -> Result[RunReport, Failure]:
        """Run a request and return its report, ``DONE`` or ``FAILED``."""
        return await self._call(
            worker,
            "execute",
            {"fence": fence._asdict(), "run": request_run_to_dict(run)},
            lambda data: _parse_ended_request(data, run),
            timeout_ms=max(run.deadline_ms, 1),
            limit=MAX_REPORT_BYTES,
        )

    async def start(
        self,
        worker: Worker,
        fence: Fence,
        run: TaskRun,
        lease_until_ms: Millis,
    ) -> Result[None, Failure]:
        """Start a task under a lease whose end is on the worker's clock."""
        params = {
            "fence": fence._asdict(),
            "run": run._asdict(),
            "lease_until_ms": lease_until_ms,
        }
        return await self._call(worker, "start", params, _parse_empty)

    async def watch(
        self,
        worker: Worker,
        fence: Fence,
        revision: int,
        wait_ms: Millis,
        lease_until_ms: Millis,
    ) -> Result[Inventory, Failure]:
        """Renew all task leases and long-poll until the revision changes."""
        return await self._call(
            worker,
            "watch",
            {
                "fence": fence._asdict(),
                "revision": revision,
                "wait_ms": wait_ms,
                "lease_until_ms": lease_until_ms,
            },
            inventory_from_dict,
            timeout_ms=wait_ms + self._call_timeout_ms,
        )

    async def checkpoint(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        """Write a checkpoint of a running task."""
        return await self._call_for_run(worker, "checkpoint", fence, run_id)

    async def throttle(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
        share: float,
    ) -> Result[RunReport, Failure]:
        """Limit a running task to a share (0 to 1) of its processors."""
        return await self._call_for_run(worker, "throttle", fence, run_id, share=share)

    async def stop(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        """Stop a run and return its final report, also if it ended before the call."""
        return await self._call_for_run(worker, "stop", fence, run_id)

    async def lookup(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        """Return the state of a run; a run it has never seen can't start later."""
        return await self._call_for_run(worker, "lookup", fence, run_id)

    async def acknowledge(
        self,
        worker: Worker,
        fence: Fence,
        run_ids: Sequence[str],
    ) -> Result[None, Failure]:
        """Allow the worker to discard ended runs whose end is recorded."""
        params = {"fence": fence._asdict(), "run_ids": list(run_ids)}
        return await self._call(worker, "acknowledge", params, _parse_empty)

    async def _call_for_run(
        self,
        worker: Worker,
        method: str,
        fence: Fence,
        run_id: str,
        **params: Any,
    ) -> Result[RunReport, Failure]:
        return await self._call(
            worker,
            method,
            {"fence": fence._asdict(), "run_id": run_id, **params},
            lambda data: _parse_report(data, run_id),
            limit=MAX_REPORT_BYTES,
        )

    async def _call(
        self,
        worker: Worker,
        method: str,
        params: dict[str, Any],
        parse: Callable[[Any], T],
        timeout_ms: Millis | None = None,
        limit: int = 0,
    ) -> Result[T, Failure]:
        """Call a worker; ``limit`` is set if the reply carries an answer.

        The instance list lags, so the address may already belong to another worker.
        Each call names the worker it is meant for, and any other worker refuses it.
        """
        body = encode_json({"worker": worker.worker_id, **params})
        if isinstance(body, Err):
            return Err(not_run(Code.BAD_REQUEST, body.err_value))
        exchanged = await self._exchange(
            worker,
            f"/v1/{method}",
            body.ok_value,
            timeout_ms if timeout_ms is not None else self._call_timeout_ms,
            limit or MAX_REPORT_BYTES,
        )
        if isinstance(exchanged, Err):
            return Err(
                _failure_from_error(exchanged.err_value, carries_answer=limit > 0)
            )
        try:
            return _parse_reply(exchanged.ok_value, parse)
        except AnswerTooLargeError:
            return Err(_answer_too_large())
        except ValueError as exc:
            return Err(unknown(Code.WORKER_JUNK, f"unreadable reply: {exc}"))

    async def _exchange(
        self,
        worker: Worker,
        path: str,
        body: bytes,
        timeout_ms: Millis,
        limit: int,
    ) -> Result[HttpReply, ExchangeError]:
        address = (worker.host, worker.port)
        pool = self._pools.setdefault(address, ConnectionPool(self._connections))
        pool.keeps_idle = True
        pool.busy_count += 1
        try:
            loop = asyncio.get_running_loop()
            deadline_s = loop.time() + timeout_ms / 1_000
            async with asyncio.timeout_at(deadline_s):
                await pool.permits.acquire()
        except TimeoutError:
            detail = "all connections to the worker are in use"
            return Err(ExchangeError(ExchangeErrorKind.NOT_CONNECTED, detail))
        else:
            session = (
                pool.idle.pop()
                if pool.idle
                else new_session(connections=1, silent=self._silent)
            )
            left_ms = max(int((deadline_s - loop.time()) * 1_000), 1)
            try:
                return await exchange(
                    session, "POST", address, path, left_ms, body, limit=limit
                )
            finally:
                pool.idle.append(session)
                pool.permits.release()
        finally:
            pool.busy_count -= 1
            if not pool.keeps_idle:
                self._release(address)

    def _release(self, address: tuple[str, int]) -> None:
        pool = self._pools.get(address)
        if pool is None:
            return
        pool.keeps_idle = False
        for session in pool.idle:
            close_task = asyncio.create_task(session.close())
            self._closing.add(close_task)
            close_task.add_done_callback(self._closing.discard)
        pool.idle.clear()
        if not pool.busy_count:
            del self._pools[address]


def request_run_to_dict(run: RequestRun) -> dict[str, Any]:
    """Encode the run of a request for JSON, its body in base64."""
    return {**run._asdict(), "body": _encode_base64(run.body)}


def request_run_from_dict(data: Any) -> RequestRun:
    """Parse the run of a request; raise ``ValueError`` if it is malformed."""
    return RequestRun(
        require_field(data, "run_id", str),
        require_field(data, "request_id", str),
        require_field(data, "service", str),
        _decode_base64(require_field(data, "body", str)),
        require_field(data, "deadline_ms", int),
    )


def task_run_from_dict(data: Any) -> TaskRun:
    """Parse the run of a task; raise ``ValueError`` if it is malformed."""
    return TaskRun(
        require_field(data, "run_id", str),
        require_field(data, "kind", str),
        require_field(data, "run_ms", int),
        float(require_field(data, "cores", int, float)),
        float(require_field(data, "memory_gb", int, float)),
        require_field(data, "accelerators", int),
        require_field(data, "payload", dict),
        require_field(data, "checkpoint", str, type(None)),
    )


def fence_from_dict(data: Any) -> Fence:
    """Parse a fence; raise ``ValueError`` if it is malformed."""
    return Fence(
        require_field(data, "epoch", int), require_field(data, "incarnation", str)
    )


def report_to_dict(report: RunReport) -> dict[str, Any]:
    """Encode a report for JSON, its answer in base64."""
    answer = None if report.answer is None else _encode_base64(report.answer)
    usage = None if report.usage is None else report.usage._asdict()
    state = report.state.value
    return {**report._asdict(), "state": state, "answer": answer, "usage": usage}


def report_from_dict(data: Any) -> RunReport:
    """Parse a report; raise ``ValueError`` if it is malformed or out of range."""
    answer = require_field(data, "answer", str, type(None))
    progress = float(require_field(data, "progress", int, float))
    if not 0.0 <= progress <= 1.0:
        raise ValueError("progress is out of range")
    return RunReport(
        require_field(data, "run_id", str),
        RunState(require_field(data, "state", str)),
        require_field(data, "is_task", bool),
        None if answer is None else _decode_base64(answer),
        require_field(data, "request_id", str),
        require_field(data, "checkpoint", str, type(None)),
        progress,
        require_field(data, "error", str),
        _usage_from_dict(require_field(data, "usage", dict, type(None))),
        require_field(data, "out_of_memory", bool),
    )


def _usage_from_dict(data: dict[str, Any] | None) -> Usage | None:
    if data is None:
        return None
    usage = Usage(
        require_field(data, "at_ms", int),
        float(require_field(data, "cores", int, float)),
        float(require_field(data, "memory_gb", int, float)),
    )
    if not (0.0 <= usage.cores < math.inf and 0.0 <= usage.memory_gb < math.inf):
        raise ValueError("usage is out of range")
    return usage


def inventory_to_dict(inventory: Inventory) -> dict[str, Any]:
    """Encode an inventory and its reports for JSON."""
    runs = [report_to_dict(report) for report in inventory.runs]
    return {**inventory._asdict(), "runs": runs}


def inventory_from_dict(data: Any) -> Inventory:
    """Parse an inventory; raise ``ValueError`` if malformed or a run is repeated."""
    runs = tuple(report_from_dict(run) for run in require_field(data, "runs", list))
    if len({run.run_id for run in runs}) < len(runs):
        raise ValueError("a run is listed twice")
    incarnation = require_field(data, "incarnation", str)
    if not incarnation:
        raise ValueError("incarnation is empty")
    return Inventory(
        incarnation,
        require_field(data, "revision", int),
        require_field(data, "clock_ms", int),
        require_field(data, "leaving", bool),
        runs,
    )


def _encode_base64(body: bytes) -> str:
    return base64.b64encode(body).decode("ascii")


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _parse_empty(data: Any) -> None:
    if data != {}:
        raise ValueError("expected an empty object")


def _parse_report(data: Any, run_id: str) -> RunReport:
    report = report_from_dict(data)
    if report.run_id != run_id:
        raise ValueError("the report is for another run")
    if len(report.answer or b"") > MAX_ANSWER_BYTES:
        raise AnswerTooLargeError
    return report


def _parse_ended_request(data: Any, run: RequestRun) -> RunReport:
    report = _parse_report(data, run.run_id)
    if report.request_id != run.request_id or report.is_task:
        raise ValueError("the report is for another request")
    if report.state not in (RunState.DONE, RunState.FAILED):
        raise ValueError(f"the run is {report.state.value}")
    if report.state is RunState.DONE and report.answer is None:
        raise ValueError("the answer is missing")
    return report


def _parse_reply(reply: HttpReply, parse: Callable[[Any], T]) -> Result[T, Failure]:
    if reply.status not in (OK_STATUS, BAD_REQUEST, CONFLICT):
        raise ValueError(f"the worker answered {reply.status}")
    data = parse_json(reply.body)
    if reply.status == OK_STATUS:
        return Ok(parse(data))
    refusal = Code.__members__.get(require_field(data, "refusal", str))
    if refusal not in REFUSALS:
        raise ValueError("the refusal has an unknown reason")
    return Err(not_run(refusal, require_field(data, "detail", str)))


def _failure_from_error(error: ExchangeError, carries_answer: bool) -> Failure:
    if error.kind in UNSENT_KINDS:
        return not_run(Code.WORKER_UNREACHABLE, str(error))
    if error.kind is ExchangeErrorKind.NO_ANSWER:
        return unknown(Code.WORKER_UNREACHABLE, str(error))
    too_large = error.kind is ExchangeErrorKind.TOO_LARGE
    if too_large and carries_answer and error.status == OK_STATUS:
        return _answer_too_large()
    return unknown(Code.WORKER_JUNK, str(error))


def _answer_too_large() -> Failure:
    detail = f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
    return Failure(Code.BODY_TOO_LARGE, detail, Outcome.RAN)
