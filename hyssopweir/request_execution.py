"""Progress of one request at the owner of its shard."""

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, Outcome
from hyssopweir.contracts import Answer, KeyRow, Request, digest_of
from hyssopweir.fleet import Worker
from hyssopweir.worker_client import RunReport, RunState

# Refusals after which another worker is tried: nothing was run.
TRY_ANOTHER_WORKER = frozenset(
    {
        Code.WORKER_FULL,
        Code.WORKER_LEAVING,
        Code.STALE_EPOCH,
        Code.STALE_INCARNATION,
        Code.WORKER_UNREACHABLE,
    }
)


class RequestWork:
    """Hold the progress of one request; ``row`` is its record as last written."""

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
    """Tell whether nothing was run and another worker may be tried."""
    return failure.outcome is Outcome.NOT_RUN and failure.code in TRY_ANOTHER_WORKER


def is_end_of(work: RequestWork, report: RunReport) -> bool:
    """Tell whether a report is the end of this run; otherwise it is looked up."""
    if report.run_id != work.run_id or report.state is RunState.RUNNING:
        return False
    if report.state is not RunState.DONE:
        return report.state is RunState.FAILED
    return report.request_id == work.req.request_id and report.answer is not None


def answer_of(work: RequestWork, worker: Worker, body: bytes) -> Answer:
    """Return the whole answer to a request."""
    return Answer(
        work.req.request_id,
        work.run_id,
        worker.worker_id,
        body,
        digest_of(body),
    )
