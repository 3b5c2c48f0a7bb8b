"""Capacity in use on a worker, and its health as seen by the owner of a cell."""

from collections.abc import Container

from hyssopweir.agents import WorkerEntry, WorkerState
from hyssopweir.clock import Millis
from hyssopweir.resources import Resources
from hyssopweir.task_state import Run, RunRef
from hyssopweir.workflows import Step

# A worker is ejected when runs of this many jobs have failed with no success between.
JOBS_BEFORE_EJECTION = 2
BASE_EJECTION_MS: Millis = 3_000
MAX_EJECTION_MS: Millis = 12_000
# The failure of an endless task that was at work for this time doesn't count against
# its worker, and failures from before its start no longer count.
ESTABLISHED_MS: Millis = 2_000
EJECTED = "ejected"
# A worker on which a run has failed within this time is used only as a last resort.
SUSPECT_MS: Millis = 2_500
# A worker that has not replied for this time gets no new tasks.
REPORT_TIMEOUT_MS: Millis = 1_500


class WorkerLoad:
    """Runs and reserved capacity of one worker.

    The capacity of a run stays reserved until the run is known to be over, whatever the
    outcome of its start command was. ``evacuated`` are the data centres in which no run
    may start now.
    """

    def __init__(self, entry: WorkerEntry, evacuated: Container[str] = ()) -> None:
        self.entry = entry
        self._evacuated = evacuated
        self.runs: dict[RunRef, tuple[Run, Step]] = {}
        self.taken = Resources()
        self.servers = 0
        self.fillers = 0
        # Processors reserved by endless tasks, and those requested by fillers.
        self.serving_cpu = 0
        self.filler_cpu = 0
        # Reserved by endless tasks, which don't release it.
        self.lasting = Resources()
        self.filler_ended_ms: Millis = 0
        # Changes with everything that decisions about the runs depend on, but for time.
        self.revision = 0
        self._tails_by_image: dict[str, float] | None = None
        self.is_confirmed = False
        self.is_listed = True
        # Until then at least a leaving worker keeps running, as far as known; 0 before
        # its entry is known.
        self.leaves_at_ms: Millis = 0
        self.cold_until_ms: Millis = 0
        # Number of runs from which on a cold worker gets a task only if no other can.
        self.most_cold_runs = 0
        self.last_report_ms: Millis = 0
        # Longer while the replies of the worker are late.
        self.report_timeout_ms = REPORT_TIMEOUT_MS
        self._failed_jobs: set[str] = set()
        self._ejected_until_ms: Millis = 0
        self._paused_until_ms: Millis = 0
        self._ejections = 0
        self._last_failure_ms: Millis | None = None
        self.slowdown = 1.0

    def update_entry(self, entry: WorkerEntry, now_ms: Millis) -> None:
        """Replace the entry; a worker that announces its leaving keeps its time."""
        leaves_at_ms = now_ms + entry.leaves_in_ms
        if self.leaves_at_ms and self.entry.state is WorkerState.LEAVING:
            leaves_at_ms = min(leaves_at_ms, self.leaves_at_ms)
        self.leaves_at_ms = leaves_at_ms
        self.cold_until_ms = now_ms + entry.cold_ms
        self.entry = entry

    @property
    def free(self) -> Resources:
        """Return the capacity that is not reserved."""
        return self.entry.room.minus(self.taken)

    @property
    def reclaimable(self) -> Resources:
        """Return the capacity that is free once all tasks that end have ended."""
        return self.entry.room.minus(self.lasting)

    def reserve(self, run: Run, step: Step) -> None:
        """Reserve the capacity of a run."""
        if run.ref in self.runs:
            return
        self.runs[run.ref] = (run, step)
        self.taken = self.taken.plus(step.charge)
        self._add_counts(step, 1)

    def release(self, ref: RunRef, now_ms: Millis) -> Run | None:
        """Release the capacity of a run that is over, and return the run."""
        charged = self.runs.pop(ref, None)
        if charged is None:
            return None
        run, step = charged
        self.taken = self.taken.minus(step.charge)
        self._add_counts(step, -1)
        if step.is_filler:
            self.filler_ended_ms = now_ms
        return run

    def _add_counts(self, step: Step, sign: int) -> None:
        self.mark_changed()
        if step.is_endless:
            self.servers += sign
            self.serving_cpu += sign * step.room.cpu
            change = self.lasting.plus if sign > 0 else self.lasting.minus
            self.lasting = change(step.charge)
        if step.is_filler:
            self.fillers += sign
            self.filler_cpu += sign * step.room.cpu

    def record_report(self, now_ms: Millis) -> None:
        """Record the arrival of a report with new figures of the runs."""
        self.last_report_ms = now_ms
        self.mark_changed()

    def discard_report(self, now_ms: Millis) -> None:
        """Place no tasks until the next report: its process may have ended."""
        self.last_report_ms = min(
            self.last_report_ms, now_ms - self.report_timeout_ms - 1
        )
        self.mark_changed()

    def mark_changed(self) -> None:
        """Invalidate what was computed from the runs, their figures and speeds."""
        self.revision += 1
        self._tails_by_image = None

    def has_room_for(self, charge: Resources) -> bool:
        """Return whether an amount fits into the capacity that is not reserved."""
        room, taken = self.entry.room, self.taken
        return (
            charge.cpu <= room.cpu - taken.cpu
            and charge.memory_mb <= room.memory_mb - taken.memory_mb
            and charge.accelerators <= room.accelerators - taken.accelerators
        )

    def accepts_tasks(self, now_ms: Millis) -> bool:
        """Return whether new tasks may be placed on the worker."""
        return not self.exclusion(now_ms)

    def exclusion(self, now_ms: Millis) -> str:
        """Return why no new task may be placed on the worker, empty if one may."""
        if not self.is_confirmed:
            return "no report yet"
        if not self.is_listed:
            return "not listed"
        if self.entry.state is not WorkerState.READY:
            return "leaving"
        if self.is_evacuated:
            return "evacuated"
        if now_ms - self.last_report_ms > self.report_timeout_ms:
            return "silent"
        if now_ms < self._paused_until_ms:
            return "paused"
        return EJECTED if now_ms < self._ejected_until_ms else ""

    @property
    def is_evacuated(self) -> bool:
        """Return whether the worker's data centre is evacuated."""
        return self.entry.data_centre in self._evacuated

    def is_cold(self, now_ms: Millis) -> bool:
        """Return whether the worker is still slow after its start."""
        return now_ms < self.cold_until_ms

    def is_last_resort(self, now_ms: Millis) -> bool:
        """Return whether a task may be placed here that no other worker can take.

        The failures of an ejected worker may stem from the tasks, which would then stay
        away for as long as the longest ejection.
        """
        return (
            self.exclusion(now_ms) == EJECTED
            and self._last_failure_ms is not None
            and now_ms - self._last_failure_ms >= BASE_EJECTION_MS
        )

    def serving_images(self) -> set[str]:
        """Return the images of all tasks with a tail latency target."""
        return set(self._image_tails())

    def worst_tail(self) -> float:
        """Return the highest ratio of tail latency to target among the tasks."""
        return max(self._image_tails().values(), default=0.0)

    def tail_of(self, image: str) -> float:
        """Return the highest ratio of tail latency to target of one image's tasks."""
        return self._image_tails().get(image, 0.0)

    def _image_tails(self) -> dict[str, float]:
        """Return the highest ratio of tail latency to target for each image.

        A task that has not finished starting counts as 0.
        """
        if self._tails_by_image is None:
            self._tails_by_image = {}
            for run, step in self.runs.values():
                if not step.tail_target_ms:
                    continue
                tail = run.figure / step.tail_target_ms if run.percent >= 100 else 0.0
                self._tails_by_image[step.image] = max(
                    tail, self._tails_by_image.get(step.image, 0.0)
                )
        return self._tails_by_image

    def count_step(self, job: str, occurrence: int, step: int) -> int:
        """Return the number of runs of one step in one occurrence of a job."""
        return sum(
            ref.task.job == job
            and ref.task.occurrence == occurrence
            and ref.task.step == step
            for ref in self.runs
        )

    def is_suspect(self, now_ms: Millis) -> bool:
        """Return whether the last run to end on the worker was a recent failure."""
        return (
            self._last_failure_ms is not None
            and now_ms - self._last_failure_ms < SUSPECT_MS
        )

    def record_success(self) -> None:
        """Reset the failure history after a successful run."""
        self._failed_jobs.clear()
        self._last_failure_ms = None
        self._ejections = 0
        self._ejected_until_ms = 0
        self._paused_until_ms = 0

    def record_running(self, run: Run, step: Step, now_ms: Millis) -> None:
        """Reset the failure history if an endless task has been at work since.

        Such tasks don't end as done, which resets it otherwise.
        """
        if not self._failed_jobs or self._last_failure_ms is None:
            return
        if run.since_ms > self._last_failure_ms and is_established(run, step, now_ms):
            self._failed_jobs.clear()
            self._ejections = 0

    def record_failure(self, job: str, now_ms: Millis) -> Millis:
        """Record a failed run; return the length of the ejection it caused, or 0."""
        self._failed_jobs.add(job)
        self._last_failure_ms = now_ms
        if (
            len(self._failed_jobs) < JOBS_BEFORE_EJECTION
            or now_ms < self._ejected_until_ms
        ):
            return 0
        duration_ms = min(BASE_EJECTION_MS << self._ejections, MAX_EJECTION_MS)
        self._ejected_until_ms = now_ms + duration_ms
        self._ejections += 1
        return duration_ms

    def pause(self, now_ms: Millis, duration_ms: Millis) -> None:
        """Exclude the worker from placement for at least ``duration_ms``."""
        self._paused_until_ms = max(self._paused_until_ms, now_ms + duration_ms)


def is_established(run: Run, step: Step, now_ms: Millis) -> bool:
    """Return whether a run of an endless task has been at work for a while."""
    is_old = run.is_adopted or now_ms - run.since_ms >= ESTABLISHED_MS
    return step.is_endless and run.percent >= 100 and is_old
