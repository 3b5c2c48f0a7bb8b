"""Events that workers, clients and faults record, with times since the run began."""

import time
from typing import Any, NamedTuple

Millis = float
# States of jobs that don't change any more.
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})


class RunKey(NamedTuple):
    """Run of a task; ``task`` is its name on the wire."""

    task: str
    number: int


class Life(NamedTuple):
    """One life of a worker, from its start to its crash or exit."""

    worker: str
    born_ms: int


class RunStarted(NamedTuple):
    """A worker began a run; ``is_late`` if the order was held up on its way."""

    at_ms: Millis
    life: Life
    run: RunKey
    sender: str
    is_late: bool
    payload: str
    saved: str


class RunStopping(NamedTuple):
    """A worker accepted an order to stop a run."""

    at_ms: Millis
    life: Life
    run: RunKey
    sender: str


class RunEnded(NamedTuple):
    """A run ended; ``how`` is the word of the worker's list, or ``crashed``."""

    at_ms: Millis
    life: Life
    run: RunKey
    how: str


class EndAcknowledged(NamedTuple):
    """An end was taken note of while the lease had not expired since."""

    at_ms: Millis
    life: Life
    run: RunKey
    sender: str


class EndListed(NamedTuple):
    """A reply listed an end 100 ms ago, and the lease has not expired since the end."""

    at_ms: Millis
    life: Life
    run: RunKey


class WorkerBegan(NamedTuple):
    """A life of a worker began."""

    at_ms: Millis
    life: Life
    cpu: int
    memory_mb: int
    zone: str = ""


class ClientCall(NamedTuple):
    """Response to a call of a client; status 0 means that none arrived."""

    sent_ms: Millis
    at_ms: Millis
    instance: str
    method: str
    queue: str
    job: str
    status: int
    state: str


class JobSent(NamedTuple):
    """A client began to submit a job."""

    at_ms: Millis
    job: str
    queue: str
    max_attempts: int
    body: dict[str, Any]


class Disturbance(NamedTuple):
    """A fault; an empty ``instance`` or ``worker`` stands for all of them."""

    at_ms: Millis
    until_ms: Millis
    kind: str
    instance: str
    worker: str


class ConfigurationWritten(NamedTuple):
    """The store acknowledged a configuration with these queues."""

    at_ms: Millis
    version: int
    queues: tuple[str, ...]


class EvacuationWritten(NamedTuple):
    """A data centre was evacuated from the acknowledgement to the removal of a row."""

    at_ms: Millis
    until_ms: Millis
    zone: str


class CalmEnded(NamedTuple):
    """The time without faults and new jobs, at the end of a run, is over."""

    began_ms: Millis
    at_ms: Millis


Event = (
    RunStarted
    | RunStopping
    | RunEnded
    | EndAcknowledged
    | EndListed
    | WorkerBegan
    | ClientCall
    | JobSent
    | Disturbance
    | ConfigurationWritten
    | EvacuationWritten
    | CalmEnded
)


class EventRecord:
    """Events of a run in the order of their arrival."""

    def __init__(self) -> None:
        self._began = time.monotonic()
        self.events: list[Event] = []

    def now_ms(self) -> Millis:
        """Return the time since the run began."""
        return (time.monotonic() - self._began) * 1_000

    def add(self, event: Event) -> None:
        """Append an event."""
        self.events.append(event)
