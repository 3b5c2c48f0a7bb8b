"""Types of the API and of the stored rows: requests, answers, jobs and tasks."""

import hashlib
from enum import Enum
from typing import Any, NamedTuple, NotRequired, TypedDict

from hyssopweir.clock import Millis


class Request(NamedTuple):
    """Latency-critical request; ``expires_ms`` is on the local clock."""

    request_id: str
    caller: str
    service: str
    body: bytes
    idempotent: bool
    key: str | None
    urgent: bool
    expires_ms: Millis


class Answer(NamedTuple):
    """Complete answer to one request; ``digest`` is that of ``body``."""

    request_id: str
    run_id: str
    worker_id: str
    body: bytes
    digest: str


def digest_of(body: bytes) -> str:
    """Return the SHA-256 digest of ``body`` in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


class KeyState(str, Enum):
    """Recorded states of a request with an idempotency key."""

    DISPATCHED = "dispatched"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class KeyRow(TypedDict):
    """Row of a non-idempotent request, ``keys/<caller>/<key>``.

    ``answer`` is base64; ``object_key`` names the object that stores a large answer.
    ``incarnation`` distinguishes a worker that lost the run in a restart from one that
    never received it. ``error`` is that of a failed run. ``dispatch`` identifies the
    write, because an attempt whose write was not confirmed may be repeated under the
    same run id.
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
    """Specification of a batch job, as submitted by its caller."""

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
    """Row of an accepted job, ``jobs/<job>``."""

    spec: JobSpec
    digest: str
    cancelled: bool
    accepted_by: str


class TaskState(str, Enum):
    """States of a task's life cycle."""

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
    """Reason for a decision, as a sentence and the figures behind it."""

    at_ms: int
    event: str
    by: str
    text: str
    figures: NotRequired[dict[str, Any]]


class TaskRow(TypedDict):
    """Row of a task, ``tasks/<job>/<n>``.

    ``memory_gb`` overrides that of the job after a run that ran out of memory.
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
    """Row of a live entry instance, ``sessions/<session>``."""

    instance: str
    data_centre: str
    host: str
    peer_port: int
    caller_port: int
    heartbeat: int
    configuration: int
    ready: bool


class ShardRow(TypedDict):
    """Row of the owner of a shard, ``shards/<shard>``."""

    owner: str
    epoch: int


def run_id_of(name: str, run: int) -> str:
    """Return the id of a run; ``run`` counts the runs of the task or request."""
    return f"{name}#{run}"
