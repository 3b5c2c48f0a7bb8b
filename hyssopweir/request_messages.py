"""Parameters of the calls ``execute`` and ``resolve`` between instances."""

from typing import Any, NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.contracts import Answer, Request
from hyssopweir.peers import Params
from hyssopweir.worker_client import RunReport, RunState

EXECUTE = "execute"
RESOLVE = "resolve"


class ResolveCall(NamedTuple):
    """Ask the owner of a shard for the end of a run.

    With ``caller`` and ``key`` the owner also records the end in the key record.
    """

    shard: str
    worker_id: str
    run_id: str
    incarnation: str
    caller: str = ""
    key: str = ""


def execute_params(req: Request, shard: str, key_version: int) -> Params:
    """Return the parameters of ``execute``; the deadline travels with the call."""
    fields = req._asdict()
    del fields["expires_ms"]
    return {"request": fields, "shard": shard, "key_version": key_version}


def read_execute(params: Params, expires_ms: Millis) -> tuple[Request, str, int]:
    """Return request, shard and version; raise ``ValueError`` on bad parameters."""
    fields = _field(params, "request", dict)
    key = fields.get("key")
    req = Request(
        _field(fields, "request_id", str),
        _field(fields, "caller", str),
        _field(fields, "service", str),
        _field(fields, "body", bytes),
        _field(fields, "idempotent", bool),
        None if key is None else _field(fields, "key", str),
        _field(fields, "urgent", bool),
        expires_ms,
    )
    return req, _field(params, "shard", str), _field(params, "key_version", int)


def answer_params(answer: Answer) -> Params:
    """Return the reply to ``execute``."""
    return {"answer": answer._asdict()}


def read_answer(params: Params) -> Answer:
    """Return the answer of a reply; raise ``ValueError`` on a bad reply."""
    fields = _field(params, "answer", dict)
    return Answer(
        _field(fields, "request_id", str),
        _field(fields, "run_id", str),
        _field(fields, "worker_id", str),
        _field(fields, "body", bytes),
        _field(fields, "digest", str),
    )


def read_resolve(params: Params) -> ResolveCall:
    """Return the call; raise ``ValueError`` on bad parameters."""
    return ResolveCall(*(_field(params, name, str) for name in ResolveCall._fields))


def report_params(report: RunReport) -> Params:
    """Return the reply to ``resolve``."""
    return {
        "run_id": report.run_id,
        "state": report.state.value,
        "answer": report.answer,
        "request_id": report.request_id,
        "error": report.error,
    }


def read_report(params: Params) -> RunReport:
    """Return the report of a reply; raise ``ValueError`` on a bad reply."""
    answer = params.get("answer")
    return RunReport(
        _field(params, "run_id", str),
        RunState(params.get("state")),
        answer=None if answer is None else _field(params, "answer", bytes),
        request_id=_field(params, "request_id", str),
        error=_field(params, "error", str),
    )


def _field(params: Params, name: str, kind: type) -> Any:
    value = params.get(name)
    if not isinstance(value, kind):
        raise ValueError(f"{name} must be {kind.__name__}")
    return value
