"""Order in which the waiting jobs of a cell get capacity when it is short.

The decisions run without a network and answer this load: short urgent jobs with steps
wider than the free capacity, beside batch jobs of a lower priority and lasting jobs
that reserve most processors. Estimates are off by half, so that the order only
compares jobs and never excludes one.
"""

from collections.abc import Mapping, Sequence, Set
from operator import itemgetter
from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.resources import Resources
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import WorkflowProgress
from hyssopweir.workflows import Step

# Groups of jobs with the same priority.
TURN = 0
ON_TIME = 1
LATE = 2
OVERDUE = 3
# A job in ``LATE`` can still be done within this many times its objective.
LATE_FACTOR = 3
# Ranks jobs with only endless tasks behind all others on time.
UNBOUNDED_WORK = 1 << 60
# Priority before all of the queues.
FIRST_PRIORITY = -1
# How long jobs wait before they get turns: without a run, or, if they have endless
# tasks, with one of these missing. That costs a lasting job of 70 s a twentieth of its
# value.
OVERDUE_WAIT_MS: Millis = 5_000
LASTING_WAIT_MS: Millis = 3_500
# From then on a turn also precedes jobs of higher priorities.
PRIORITY_WAIT_MS: Millis = 30_000
# Longer than most rounds of short tasks, so that some capacity becomes free meanwhile.
TURN_MS: Millis = 1_000
# How long the number of places for a step counts as known. Lasting tasks, which decide
# it, run for about 70 s.
PLACES_AGE_MS: Millis = 500


class UrgencyKey(NamedTuple):
    """Sort key of a job; jobs with lower keys are placed first.

    ``work`` is the estimated work that still needs capacity, in thousandths of a
    processor times ms.
    """

    priority: int
    group: int
    work: int
    deadline_ms: Millis
    job: str


class Turn(NamedTuple):
    """Turn of a job that has waited the longest of those with its priority."""

    job: str
    priority: int
    is_first: bool
    waited_ms: Millis


class StepPlaces:
    """Number of tasks of a step that the workers can run at once, beside lasting tasks.

    ``loads`` are the workers that accept tasks, by service.
    """

    def __init__(self, loads: Mapping[str, Sequence[WorkerLoad]], now_ms: Millis):
        self.counted_ms = now_ms
        self._loads = loads
        self._counts: dict[tuple[str, Resources, str, int], int] = {}
        self._tails: dict[str, list[Millis]] = {}
        # By service, the free processors of the workers in descending order.
        self._free_cpu: dict[str, list[int]] = {}

    def update_free(self, loads: Mapping[str, Sequence[WorkerLoad]]) -> None:
        """Replace the free capacity of the workers, which changes with each run."""
        self._free_cpu = {
            service: sorted((load.free.cpu for load in workers), reverse=True)
            for service, workers in loads.items()
        }

    def count(self, service: str, step: Step) -> int:
        """Return the number of places, 0 if there is none or it isn't known.

        Fillers reserve no processors: what limits them changes too fast to count.
        """
        if step.is_filler:
            return 0
        key = (service, step.charge, step.label, step.most_per_worker)
        if key not in self._counts:
            self._counts[key] = sum(
                _places_on(load, step)
                for load in self._loads.get(service, ())
                if not step.label or step.label in load.entry.labels
            )
        return self._counts[key]

    def count_free(self, service: str, step: Step) -> int:
        """Return how many tasks of a step find free processors now."""
        cpu, count = step.charge.cpu, 0
        for free_cpu in self._free_cpu.get(service, ()):
            if free_cpu < cpu:
                break
            places = free_cpu // max(cpu, 1)
            count += min(places, step.most_per_worker or places)
        return count

    def open_rounds(self, service: str, step: Step, waiting: int) -> int:
        """Return after how many task times the waiting tasks of a step can be done.

        Those without free capacity now start in later rounds.
        """
        if waiting <= 1 or not self.count(service, step):
            return 1
        later = max(waiting - self.count_free(service, step), 0)
        return 1 + (self.rounds(service, step, later) if later else 0)

    def rounds(self, service: str, step: Step, tasks: int) -> int:
        """Return after how many task times the given number of tasks can be done."""
        places = self.count(service, step)
        return -(-tasks // places) if places and tasks else 1

    def tails_ms(self, progress: WorkflowProgress) -> list[Millis]:
        """Return by step the estimated time from its end to the end of the job."""
        tails = self._tails.get(progress.key)
        if tails is None:
            tails = self._tails[progress.key] = self._compute_tails(progress)
        return tails

    def _compute_tails(self, progress: WorkflowProgress) -> list[Millis]:
        steps, service = progress.workflow.steps, progress.workflow.service
        tails = [0] * len(steps)
        for number in range(len(steps) - 1, -1, -1):
            step = steps[number]
            if not step.after:
                continue
            rounds = self.rounds(service, step, step.tasks)
            path_ms = tails[number] + rounds * step.estimated_ms
            for predecessor in step.after:
                tails[predecessor] = max(tails[predecessor], path_ms)
        return tails


def _places_on(load: WorkerLoad, step: Step) -> int:
    room, charge = load.reclaimable, step.charge
    amounts = [left // need for left, need in zip(room, charge, strict=True) if need]
    places = max(min(amounts, default=step.tasks), 0)
    return min(places, step.most_per_worker) if step.most_per_worker else places


def urgency_key(
    progress: WorkflowProgress, wall_ms: Millis, places: StepPlaces
) -> UrgencyKey:
    """Return the sort key of a job.

    In each group the job that needs the least more capacity goes first, so that as
    many as possible meet their objective. The runs of a started job need none, so its
    step is finished before another job of that size is opened. Endless tasks never
    release their capacity and go after the jobs that are still on time.
    """
    workflow = progress.workflow
    objective_ms = progress.objective_ms
    deadline_ms = workflow.accepted_ms + objective_ms
    group = ON_TIME
    if not progress.has_endless_step:
        end_ms = wall_ms + remaining_time_ms(progress, places)
        if end_ms > deadline_ms + (LATE_FACTOR - 1) * objective_ms:
            group = OVERDUE
        elif end_ms > deadline_ms:
            group = LATE
    work = progress.remaining_work() or UNBOUNDED_WORK
    return UrgencyKey(workflow.priority, group, work, deadline_ms, progress.key)


def remaining_time_ms(progress: WorkflowProgress, places: StepPlaces) -> Millis:
    """Return the estimated time until all open steps and their successors are done.

    A step with more waiting tasks than places takes several rounds of its task time.
    """
    workflow = progress.workflow
    tails_ms = places.tails_ms(progress)
    longest_ms = 0
    for key in progress.open_steps():
        step = workflow.steps[key[1]]
        count = progress.unfinished_tasks(key)
        if count > 1 and progress.has_started:
            count = progress.count_waiting(key)
        rounds = places.open_rounds(workflow.service, step, count)
        longest_ms = max(longest_ms, rounds * step.estimated_ms + tails_ms[key[1]])
    return longest_ms


class JobOrder:
    """Order of the waiting jobs of a cell, with the turns of those that wait long."""

    def __init__(self) -> None:
        self.places = StepPlaces({}, -PLACES_AGE_MS)
        self.turns: dict[str, Turn] = {}
        self._turns_ms: Millis | None = None
        self._are_turns_due = False
        # By priority, the job with the longest wait that this pass has found.
        self._longest: dict[int, tuple[Millis, Turn]] = {}
        # When each waiting job has had its last turn.
        self._last_turn_ms: dict[str, Millis] = {}

    def begin_pass(
        self, loads: Mapping[str, Sequence[WorkerLoad]], now_ms: Millis
    ) -> None:
        """Renew the number of places and the turns if they are due."""
        if now_ms - self.places.counted_ms >= PLACES_AGE_MS:
            self.places = StepPlaces(loads, now_ms)
        self.places.update_free(loads)
        self._are_turns_due = (
            self._turns_ms is None or now_ms - self._turns_ms >= TURN_MS
        )

    def consider(
        self,
        key: UrgencyKey,
        progress: WorkflowProgress,
        now_ms: Millis,
        wall_ms: Millis,
    ) -> None:
        """Consider a job for a turn.

        A job that had its turn counts as waiting since then, so that one that fits
        nowhere leaves the next turn to another.
        """
        if not self._are_turns_due:
            return
        waited_ms = waiting_ms(key, progress, now_ms, wall_ms)
        if waited_ms is None:
            return
        last_ms = self._last_turn_ms.get(key.job)
        rank_ms = waited_ms if last_ms is None else min(waited_ms, now_ms - last_ms)
        longest = self._longest.get(key.priority)
        if longest is None or rank_ms > longest[0]:
            is_first = waited_ms >= PRIORITY_WAIT_MS
            turn = Turn(key.job, key.priority, is_first, waited_ms)
            self._longest[key.priority] = (rank_ms, turn)

    def sort(
        self, jobs: list[tuple[UrgencyKey, WorkflowProgress]], now_ms: Millis
    ) -> tuple[list[WorkflowProgress], list[Turn]]:
        """Return the jobs by urgency, and the turns that begin now."""
        begun: list[Turn] = []
        if self._are_turns_due:
            begun = self._begin_turns({key.job for key, _ in jobs}, now_ms)
        if self.turns:
            jobs = [(self._with_turn(key), progress) for key, progress in jobs]
        return [progress for _, progress in sorted(jobs, key=itemgetter(0))], begun

    def _with_turn(self, key: UrgencyKey) -> UrgencyKey:
        turn = self.turns.get(key.job)
        if turn is None:
            return key
        priority = FIRST_PRIORITY if turn.is_first else key.priority
        return key._replace(priority=priority, group=TURN)

    def _begin_turns(self, waiting: Set[str], now_ms: Millis) -> list[Turn]:
        begun = [turn for _, turn in self._longest.values()]
        self._longest.clear()
        self._turns_ms = now_ms
        self.turns = {turn.job: turn for turn in begun}
        last_turns = self._last_turn_ms.items()
        self._last_turn_ms = {job: at for job, at in last_turns if job in waiting}
        self._last_turn_ms.update(dict.fromkeys(self.turns, now_ms))
        return begun


def waiting_ms(
    key: UrgencyKey, progress: WorkflowProgress, now_ms: Millis, wall_ms: Millis
) -> Millis | None:
    """Return how long a job has waited if it needs turns, None if it doesn't."""
    if all(step.is_filler for step in progress.workflow.steps):
        # Going first gives a filler no headroom; slow starts bound its wait.
        return None
    accepted_ms = progress.workflow.accepted_ms
    if progress.workflow.occurrences:
        accepted_ms = wall_ms - (now_ms - progress.added_ms)
    waited_ms = wall_ms - accepted_ms
    if progress.has_endless_step:
        return waited_ms if waited_ms >= LASTING_WAIT_MS else None
    if key.group != OVERDUE or waited_ms < OVERDUE_WAIT_MS or any(progress.runs()):
        return None
    if progress.has_started:
        waited_ms = min(waited_ms, now_ms - progress.last_run_ms())
    return waited_ms if waited_ms >= OVERDUE_WAIT_MS else None
