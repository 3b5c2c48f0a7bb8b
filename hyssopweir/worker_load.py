"""What an owner has placed on a worker, and what it knows of the worker's health."""

from hyssopweir.agents import WorkerEntry, WorkerState
from hyssopweir.clock import Millis
from hyssopweir.resources import Resources
from hyssopweir.workflow_progress import Run, RunRef
from hyssopweir.workflows import Step

# Failures of runs of that many jobs in a row eject a worker.
EJECTION_JOBS = 2
BASE_EJECTION_MS: Millis = 3_000
LONGEST_EJECTION_MS: Millis = 12_000
# A worker that has just failed a run is used only if there is no other.
SUSPICION_MS: Millis = 2_500


class WorkerLoad:
    """Count the room that is taken on one worker.

    Room stays taken until a run is known to be over, however it was ordered.
    """

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.runs: dict[RunRef, tuple[Run, Step]] = {}
        self.taken = Resources()
        self.servers = 0
        self.fillers = 0
        # Processors of tasks that last, and those that fillers ask for.
        self.serving_cpu = 0
        self.filler_cpu = 0
        self.filler_ended_ms: Millis = 0
        self._tails: dict[str, float] | None = None
        self.is_confirmed = False
        self.is_listed = True
        self.last_report_ms: Millis = 0
        self._failed_jobs: set[str] = set()
        self._ejected_until_ms: Millis = 0
        self._ejections = 0
        self._failed_ms: Millis | None = None
        self.slowdown = 1.0

    @property
    def free(self) -> Resources:
        """Return the room that is left."""
        return self.entry.room.minus(self.taken)

    def take(self, run: Run, step: Step) -> None:
        """Charge a run."""
        if run.ref in self.runs:
            return
        self.runs[run.ref] = (run, step)
        self.taken = self.taken.plus(step.charge)
        self._count(step, 1)

    def release(self, ref: RunRef, now_ms: Millis) -> Run | None:
        """Give back the room of a run that is over."""
        held = self.runs.pop(ref, None)
        if held is None:
            return None
        run, step = held
        self.taken = self.taken.minus(step.charge)
        self._count(step, -1)
        if step.is_filler:
            self.filler_ended_ms = now_ms
        return run

    def _count(self, step: Step, sign: int) -> None:
        self._tails = None
        if step.is_endless:
            self.servers += sign
            self.serving_cpu += sign * step.room.cpu
        if step.is_filler:
            self.fillers += sign
            self.filler_cpu += sign * step.room.cpu

    def record_report(self, now_ms: Millis) -> None:
        """Note that the figures of the runs are new."""
        self.last_report_ms = now_ms
        self._tails = None

    def accepts_tasks(self, now_ms: Millis, silence_ms: Millis) -> bool:
        """Tell whether new tasks may be placed here."""
        return (
            self.is_confirmed
            and self.is_listed
            and self.entry.state is WorkerState.READY
            and now_ms - self.last_report_ms <= silence_ms
            and now_ms >= self._ejected_until_ms
        )

    def serving_images(self) -> set[str]:
        """Return the images of the tasks with a tail target."""
        return set(self._image_tails())

    def worst_tail(self) -> float:
        """Return the highest tail of tasks at work here, as a share of its target."""
        return max(self._image_tails().values(), default=0.0)

    def _image_tails(self) -> dict[str, float]:
        """Return the highest tail of each image, as a share of its target.

        The tail of a task that is not at work yet counts as none.
        """
        if self._tails is None:
            self._tails = {}
            for run, step in self.runs.values():
                if not step.tail_target_ms:
                    continue
                tail = run.figure / step.tail_target_ms if run.percent >= 100 else 0.0
                self._tails[step.image] = max(tail, self._tails.get(step.image, 0.0))
        return self._tails

    def count_step(self, job: str, occurrence: int, step: int) -> int:
        """Return how many runs of a step of one occurrence are here."""
        return sum(
            ref.task.job == job
            and ref.task.occurrence == occurrence
            and ref.task.step == step
            for ref in self.runs
        )

    def is_suspect(self, now_ms: Millis) -> bool:
        """Tell whether the last run that ended here failed lately."""
        return self._failed_ms is not None and now_ms - self._failed_ms < SUSPICION_MS

    def note_done(self) -> None:
        """Trust the worker again."""
        self._failed_jobs.clear()
        self._failed_ms = None
        self._ejections = 0
        self._ejected_until_ms = 0

    def note_failed(self, job: str, now_ms: Millis) -> bool:
        """Count a failed run; tell whether the worker is ejected by it."""
        self._failed_jobs.add(job)
        self._failed_ms = now_ms
        if len(self._failed_jobs) < EJECTION_JOBS or now_ms < self._ejected_until_ms:
            return False
        duration_ms = BASE_EJECTION_MS * 2**self._ejections
        self._ejected_until_ms = now_ms + min(duration_ms, LONGEST_EJECTION_MS)
        self._ejections += 1
        return True

    def eject(self, now_ms: Millis, duration_ms: Millis) -> None:
        """Place nothing here for a time."""
        self._ejected_until_ms = max(self._ejected_until_ms, now_ms + duration_ms)
