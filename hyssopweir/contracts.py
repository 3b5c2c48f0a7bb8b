"""What is promised to callers: requests, answers, jobs, tasks and their records."""

import hashlib
from enum import Enum
from typing import Any, NamedTuple, NotRequired, TypedDict

from hyssopweir.clock import Millis


class Request(NamedTuple):
    """Describe a latency-critical request; ``expires_ms`` is on the local clock."""

    request_id: str
    caller: str
    service: str
    body: bytes
    idempotent: bool
    key: str | None
    urgent: bool
    expires_ms: Millis


class Answer(NamedTuple):
    """Hold the whole answer to one request."""

    request_id: str
    run_id: str
    worker_id: str
    body: bytes
    digest: str


def digest_of(body: bytes) -> str:
    """Return the SHA-256 digest of ``body`` in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


class KeyState(str, Enum):
    """Say how far the request with an idempotency key has come."""

    DISPATCHED = "dispatched"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class KeyRow(TypedDict):
    """Record a non-idempotent request, row ``keys/<caller>/<key>``.

    ``answer`` is in base64; ``object_key`` names the object of a large answer. Without
    ``incarnation``, a restarted worker that has never seen the run could not be told
    from one that never received it. ``error`` is that of a run that failed.
    ``dispatch`` identifies the write: an attempt whose write was not confirmed may be
    made again under the same run id.
    """

    digest: str
    state: str
    attempt: int
    run_id: str
    shard: str
    worker: str
    epoch: int
    session: str
    answer: NotRequired[str]
    answer_digest: NotRequired[str]
    object_key: NotRequired[str]
    incarnation: NotRequired[str]
    error: NotRequired[str]
    dispatch: NotRequired[str]


class JobSpec(TypedDict):
    """Describe a batch job as its caller submits it."""

    job: str
    team: str
    kind: str
    tasks: int
    run_ms: int
    cores: float
    memory_gb: float
    accelerators: NotRequired[int]
    urgent: NotRequired[bool]
    data_centre: NotRequired[str]
    payload: NotRequired[dict[str, Any]]


class JobRow(TypedDict):
    """Record a job, row ``jobs/<job>``."""

    spec: JobSpec
    digest: str
    cancelled: bool
    accepted_by: str


class TaskState(str, Enum):
    """Name the states of a task's life cycle."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    EVICTING = "evicting"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    HELD = "held"


FINAL_TASK_STATES = frozenset(
    {TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED},
)


class Reason(TypedDict):
    """Record why a decision was made, in plain words with its figures."""

    at_ms: int
    event: str
    by: str
    text: str
    figures: NotRequired[dict[str, Any]]


class TaskRow(TypedDict):
    """Record a task, row ``tasks/<job>/<n>``.

    ``memory_gb`` replaces the job's after a run that had too little memory.
    """

    job: str
    n: int
    state: str
    shard: str
    run: int
    worker: str
    incarnation: str
    epoch: int
    checkpoint: str | None
    evictions: int
    failed_on: list[str]
    reasons: list[Reason]
    memory_gb: NotRequired[float]


class SessionRow(TypedDict):
    """Record a live entry instance, row ``sessions/<session>``."""

    instance: str
    data_centre: str
    host: str
    peer_port: int
    caller_port: int
    heartbeat: int
    configuration: int
    ready: bool


class ShardRow(TypedDict):
    """Record the owner of a shard, row ``shards/<shard>``."""

    owner: str
    epoch: int


def run_id_of(name: str, run: int) -> str:
    """Return the id of the ``run``-th run of a task or request."""
    return f"{name}#{run}"
