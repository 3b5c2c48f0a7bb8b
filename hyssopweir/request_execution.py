"""State of the execution of one request at the owner of its shard."""

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, Outcome
from hyssopweir.contracts import Answer, KeyRow, Request, digest_of
from hyssopweir.fleet import Worker
from hyssopweir.worker_client import RunReport, RunState

# Refusals after which another worker may be tried, because nothing was run.
RETRYABLE_REFUSALS = frozenset(
    {
        Code.WORKER_FULL,
        Code.WORKER_LEAVING,
        Code.STALE_EPOCH,
        Code.STALE_INCARNATION,
        Code.WORKER_UNREACHABLE,
    }
)


class RequestExecution:
    """Execution state of one request; ``row`` is its last written key record."""

    def __init__(self, req: Request, shard: str, key_version: int) -> None:
        self.req = req
        self.shard = shard
        self.version = key_version
        self.attempt = 0
        self.row: KeyRow | None = None
        self.run_id = ""
        self.tries = 0
        self.granted = False
        self.granted_at_ms: Millis = 0
        self.sent_at_ms: Millis = 0
        self.own_latency_ms: float | None = None


def is_refusal(failure: Failure) -> bool:
    """Return whether nothing was run and another worker may be tried."""
    return failure.outcome is Outcome.NOT_RUN and failure.code in RETRYABLE_REFUSALS


def is_final_report(execution: RequestExecution, report: RunReport) -> bool:
    """Return whether a report is final; if not, the run must be looked up."""
    if report.run_id != execution.run_id or report.state is RunState.RUNNING:
        return False
    if report.state is not RunState.DONE:
        return report.state is RunState.FAILED
    return report.request_id == execution.req.request_id and report.answer is not None


def build_answer(execution: RequestExecution, worker: Worker, body: bytes) -> Answer:
    """Return the answer with the digest of its body."""
    return Answer(
        execution.req.request_id,
        execution.run_id,
        worker.worker_id,
        body,
        digest_of(body),
    )
