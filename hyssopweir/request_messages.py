"""Wire format of the calls ``execute`` and ``resolve`` between instances."""

from typing import Any, NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.contracts import Answer, Request
from hyssopweir.peers import Params
from hyssopweir.worker_client import RunReport, RunState

EXECUTE = "execute"
RESOLVE = "resolve"


class ResolveCall(NamedTuple):
    """Query to the owner of a shard for the final state of a run.

    If ``caller`` and ``key`` are set, the owner also updates the key record.
    """

    shard: str
    worker_id: str
    run_id: str
    incarnation: str
    caller: str = ""
    key: str = ""


def execute_params(req: Request, shard: str, key_version: int) -> Params:
    """Return the parameters of ``execute``; the call itself carries the deadline."""
    fields = req._asdict()
    del fields["expires_ms"]
    return {"request": fields, "shard": shard, "key_version": key_version}


def parse_execute(params: Params, expires_ms: Millis) -> tuple[Request, str, int]:
    """Return request, shard and key version; raise ``ValueError`` if malformed."""
    fields = _checked_field(params, "request", dict)
    key = fields.get("key")
    req = Request(
        _checked_field(fields, "request_id", str),
        _checked_field(fields, "caller", str),
        _checked_field(fields, "service", str),
        _checked_field(fields, "body", bytes),
        _checked_field(fields, "idempotent", bool),
        None if key is None else _checked_field(fields, "key", str),
        _checked_field(fields, "urgent", bool),
        expires_ms,
    )
    return (
        req,
        _checked_field(params, "shard", str),
        _checked_field(params, "key_version", int),
    )


def answer_params(answer: Answer) -> Params:
    """Return the parameters of a successful reply to ``execute``."""
    return {"answer": answer._asdict()}


def parse_answer(params: Params) -> Answer:
    """Return the answer in an ``execute`` reply; raise ``ValueError`` if malformed."""
    fields = _checked_field(params, "answer", dict)
    return Answer(
        _checked_field(fields, "request_id", str),
        _checked_field(fields, "run_id", str),
        _checked_field(fields, "worker_id", str),
        _checked_field(fields, "body", bytes),
        _checked_field(fields, "digest", str),
    )


def parse_resolve(params: Params) -> ResolveCall:
    """Return the parameters of ``resolve``; raise ``ValueError`` if malformed."""
    return ResolveCall(
        *(_checked_field(params, name, str) for name in ResolveCall._fields)
    )


def report_params(report: RunReport) -> Params:
    """Return the parameters of a successful reply to ``resolve``."""
    return {
        "run_id": report.run_id,
        "state": report.state.value,
        "answer": report.answer,
        "request_id": report.request_id,
        "error": report.error,
    }


def parse_report(params: Params) -> RunReport:
    """Return the report in a ``resolve`` reply; raise ``ValueError`` if malformed."""
    answer = params.get("answer")
    return RunReport(
        _checked_field(params, "run_id", str),
        RunState(params.get("state")),
        answer=None if answer is None else _checked_field(params, "answer", bytes),
        request_id=_checked_field(params, "request_id", str),
        error=_checked_field(params, "error", str),
    )


def _checked_field(params: Params, name: str, expected_type: type) -> Any:
    value = params.get(name)
    if not isinstance(value, expected_type):
        raise ValueError(f"{name} must be {expected_type.__name__}")
    return value
