"""Recorded events of a run, arranged for the checks."""

import math
from collections import defaultdict
from collections.abc import Collection, Sequence
from typing import Any, NamedTuple

from soak.events import (
    CalmEnded,
    ClientCall,
    Disturbance,
    EndAcknowledged,
    EndListed,
    Event,
    JobSent,
    Life,
    Millis,
    RunEnded,
    RunKey,
    RunStarted,
    RunStopping,
)

# An instance is in touch if nothing has disturbed it or the store for this time.
CONTACT_MS = 3_000


class RunHistory(NamedTuple):
    """All that is known of one run on one life of a worker."""

    started: RunStarted
    stopping_ms: Millis | None
    ended_ms: Millis | None
    how: str
    noted_ms: Millis | None
    # When the end counted as taken note of, as a reply had listed it.
    listed_ms: Millis | None = None

    @property
    def task(self) -> str:
        """Return the name of the task."""
        return self.started.run.task

    def is_at_work(self, at_ms: Millis) -> bool:
        """Return whether the run goes on at a time."""
        is_over = self.ended_ms is not None and self.ended_ms <= at_ms
        return self.started.at_ms <= at_ms and not is_over

    def is_noted_before(self, at_ms: Millis) -> bool:
        """Return whether the end was taken note of before a time."""
        return self.noted_ms is not None and self.noted_ms < at_ms

    def __str__(self) -> str:
        """Return the run in the form of the record of breaches."""
        started = self.started
        return (
            f"[{self.task} run {started.run.number} on {started.life.worker}"
            f" (born {started.life.born_ms}) from {started.sender or 'unknown'},"
            f" order late {started.is_late}, start {started.at_ms:.0f}"
            f" stop {_text(self.stopping_ms)} end {_text(self.ended_ms)}"
            f" {self.how or '-'} noted {_text(self.noted_ms)}"
            f" listed {_text(self.listed_ms)}]"
        )


def _text(at_ms: Millis | None) -> str:
    return "-" if at_ms is None else f"{at_ms:.0f}"


class History:
    """Events of a run by what the checks ask for."""

    def __init__(self, events: Sequence[Event]) -> None:
        self.events = events
        self.runs = _run_histories(events)
        self.calls = [event for event in events if isinstance(event, ClientCall)]
        self.sent = {event.job: event for event in events if isinstance(event, JobSent)}
        calms = [event for event in events if isinstance(event, CalmEnded)]
        # What happens later isn't recorded.
        self.end_ms: Millis = calms[-1].at_ms if calms else math.inf
        self.calm_ms: Millis = calms[-1].at_ms - calms[-1].began_ms if calms else 0
        self.disturbances = [e for e in events if isinstance(e, Disturbance)]
        self.by_task: dict[str, list[RunHistory]] = defaultdict(list)
        self.by_job: dict[str, list[RunHistory]] = defaultdict(list)
        for run in self.runs:
            self.by_task[run.task].append(run)
            self.by_job[job_of(run.task)].append(run)

    def is_in_touch(self, instance: str, at_ms: Millis) -> bool:
        """Return whether nothing disturbed an instance and the store before a time."""
        return not any(
            disturbance.at_ms <= at_ms
            and disturbance.until_ms >= at_ms - CONTACT_MS
            and not disturbance.worker
            and disturbance.instance in ("", instance)
            for disturbance in self.disturbances
        )

    def is_calm(
        self, start_ms: Millis, end_ms: Millis, beside: Collection[str] = ()
    ) -> bool:
        """Return whether no fault acts between two times or shortly before.

        Faults of the kinds ``beside`` don't count.
        """
        return not any(
            disturbance.at_ms <= end_ms
            and disturbance.until_ms >= start_ms - CONTACT_MS
            and disturbance.kind not in beside
            for disturbance in self.disturbances
        )

    def accepted_ms(self) -> dict[str, Millis]:
        """Return the time of the first acceptance of each accepted job."""
        accepted: dict[str, Millis] = {}
        for call in self.calls:
            if call.method == "POST" and call.status == 200:
                accepted.setdefault(call.job, call.at_ms)
        return accepted

    def cancels(self) -> dict[str, ClientCall]:
        """Return the first acknowledged cancel of each job."""
        cancels: dict[str, ClientCall] = {}
        for call in self.calls:
            if call.method == "DELETE" and call.status == 200:
                cancels.setdefault(call.job, call)
        return cancels

    def cancel_sent(self) -> set[str]:
        """Return the jobs whose cancel was sent, with or without a response."""
        return {call.job for call in self.calls if call.method == "DELETE"}

    def phase_of(self, task: str) -> dict[str, Any] | None:
        """Return the step of a task in the body of its job, None if there is none."""
        job, _, step, number = task.rsplit(".", 3)
        sent = self.sent.get(job)
        phases = sent.body["phases"] if sent else []
        if not int(step) < len(phases) or not int(number) < phases[int(step)]["count"]:
            return None
        phase: dict[str, Any] = phases[int(step)]
        return phase


def job_of(task: str) -> str:
    """Return the job of a task."""
    return task.split(".", 1)[0]


def _run_histories(events: Sequence[Event]) -> list[RunHistory]:
    stopping: dict[tuple[Life, RunKey], Millis] = {}
    ends: dict[tuple[Life, RunKey], RunEnded] = {}
    noted: dict[tuple[Life, RunKey], Millis] = {}
    listed: dict[tuple[Life, RunKey], Millis] = {}
    for event in events:
        if isinstance(event, RunStopping):
            stopping.setdefault((event.life, event.run), event.at_ms)
        elif isinstance(event, RunEnded):
            ends[event.life, event.run] = event
        elif isinstance(event, EndAcknowledged):
            noted.setdefault((event.life, event.run), event.at_ms)
        elif isinstance(event, EndListed):
            listed.setdefault((event.life, event.run), event.at_ms)
    histories = []
    for event in events:
        if isinstance(event, RunStarted):
            key = (event.life, event.run)
            end = ends.get(key)
            ended_ms, how = (end.at_ms, end.how) if end else (None, "")
            histories.append(
                RunHistory(
                    event,
                    stopping.get(key),
                    ended_ms,
                    how,
                    noted.get(key),
                    listed.get(key),
                )
            )
    return sorted(histories, key=lambda run: run.started.at_ms)
