"""Builders of event records for the tests of the checks."""

import zlib

from soak.events import (
    CalmEnded,
    ClientCall,
    ConfigurationWritten,
    Disturbance,
    EndAcknowledged,
    EndListed,
    EvacuationWritten,
    Event,
    JobSent,
    Life,
    Millis,
    RunEnded,
    RunKey,
    RunStarted,
    RunStopping,
    WorkerBegan,
)
from soak.worker import checkpoint

JOB = "00000000000000aa"
QUEUE = "quick"
INSTANCE = "edge-1"
CPU = 4_000
ZONE = "north"
MAX_ATTEMPTS = 2


def task_name(number: int = 0, job: str = JOB, step: int = 0) -> str:
    """Return the name of a task."""
    return f"{job}.0.{step}.{number}"


class EventBuilder:
    """Builder of the events of a run with one job on workers of the same size."""

    def __init__(
        self, tasks: int = 4, cpu: int = 1_000, is_endless: bool = False
    ) -> None:
        phase = {"count": tasks, "cpu": cpu, "longRunning": is_endless}
        body = {"spec": "payload", "phases": [phase]}
        self.events: list[Event] = [JobSent(0, JOB, QUEUE, MAX_ATTEMPTS, body)]

    def run(
        self,
        start_ms: Millis,
        end_ms: Millis | None = None,
        how: str = "done",
        noted_ms: Millis | None = None,
        *,
        number: int = 1,
        worker: str = "w1",
        task: str = task_name(),
        is_late: bool = False,
        payload: str = "payload",
        saved: str = "",
        stopping_ms: Millis | None = None,
        listed_ms: Millis | None = None,
    ) -> "EventBuilder":
        """Add a run of a task."""
        life, key = Life(worker, 1), RunKey(task, number)
        self.events.append(WorkerBegan(0, life, CPU, 0, ZONE))
        self.events.append(
            RunStarted(start_ms, life, key, INSTANCE, is_late, payload, saved)
        )
        if stopping_ms is not None:
            self.events.append(RunStopping(stopping_ms, life, key, INSTANCE))
        if end_ms is not None:
            self.events.append(RunEnded(end_ms, life, key, how))
        if noted_ms is not None:
            self.events.append(EndAcknowledged(noted_ms, life, key, INSTANCE))
        if listed_ms is not None:
            self.events.append(EndListed(listed_ms, life, key))
        return self

    def call(
        self,
        method: str,
        sent_ms: Millis,
        status: int = 200,
        state: str = "",
        *,
        queue: str = QUEUE,
    ) -> "EventBuilder":
        """Add a call of a client that takes 10 ms."""
        self.events.append(
            ClientCall(
                sent_ms, sent_ms + 10, INSTANCE, method, queue, JOB, status, state
            )
        )
        return self

    def disturb(
        self,
        start_ms: Millis,
        end_ms: Millis,
        *,
        instance: str = "",
        worker: str = "",
        kind: str = "cut",
    ) -> "EventBuilder":
        """Add a fault."""
        self.events.append(Disturbance(start_ms, end_ms, kind, instance, worker))
        return self

    def configure(self, at_ms: Millis, version: int, *queues: str) -> "EventBuilder":
        """Add a configuration with these queues."""
        self.events.append(ConfigurationWritten(at_ms, version, queues))
        return self

    def evacuate(
        self, at_ms: Millis, until_ms: Millis, zone: str = ZONE
    ) -> "EventBuilder":
        """Add an evacuation."""
        self.events.append(EvacuationWritten(at_ms, until_ms, zone))
        return self

    def end_calm(self, at_ms: Millis, began_ms: Millis = 0) -> "EventBuilder":
        """Add the end of the time without faults."""
        self.events.append(CalmEnded(began_ms, at_ms))
        return self


def foreign_checkpoint() -> str:
    """Return a checkpoint of a task that no test runs."""
    assert zlib.crc32(b"foreign") != zlib.crc32(task_name().encode())
    return checkpoint("foreign", 500)
