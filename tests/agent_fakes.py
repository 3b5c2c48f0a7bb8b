"""Fake workers with fencing, leases, lists of ended runs and delayed commands.

They check the invariants that only a worker can observe: its capacity is not exceeded,
and a task has one run at a time.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result

from hyssopweir.agent_link import LONGEST_LEASE_MS
from hyssopweir.agents import (
    Acknowledgement,
    CommandResult,
    EndedRun,
    LeaseReply,
    RunStatus,
    StartCommand,
    StartReply,
    WorkerEntry,
)
from hyssopweir.clock import Clock, Millis
from hyssopweir.platform.http_agent import LATE_REPLY_MS
from hyssopweir.resources import Resources
from hyssopweir.task_state import RunOutcome, RunRef, TaskRef
from hyssopweir.workflows import Step

LATENCY_MS: Millis = 2
POLL_MS: Millis = 5
# Ends that a reply lists at most.
REPLY_ENDS = 500
# Reported CPU use of runs without a tail latency target, in thousandths.
CPU_USE = 10.0
# Time after which an end that a reply lists counts as taken note of.
NOTE_MS: Millis = 100

T = TypeVar("T")


class LiveRun(NamedTuple):
    ref: RunRef
    saved: str
    since_ms: Millis
    duration_ms: Millis
    step: Step


class ProxyAnswer(NamedTuple):
    """Answer of a proxy to a command that the worker gets after ``delay_ms``, or never.

    Without a result the answer is lost.
    """

    result: CommandResult | None
    delay_ms: Millis | None


class Workload:
    """Steps and durations of all jobs, ended tasks and violations seen by workers."""

    def __init__(self, seed: int = 0) -> None:
        self.random = Random(seed)
        self.steps: dict[str, tuple[Step, ...]] = {}
        self.fail_share = 0.0
        self.done: dict[TaskRef, int] = {}
        # Tasks with an acknowledged successful end, and the latest start of each task.
        self.noted: set[TaskRef] = set()
        self.started_ms: dict[TaskRef, Millis] = {}
        self.live: dict[TaskRef, set[str]] = {}
        self.breaches: list[str] = []
        self.starts = 0
        # Also count an end as taken note of ``NOTE_MS`` after a reply has listed it.
        self.counts_listed_ends = False
        self.listed: set[TaskRef] = set()

    def duration_ms(self, ref: TaskRef) -> Millis:
        step = self.steps[ref.job][ref.step]
        return 10**9 if step.is_endless else step.estimated_ms

    def breach(self, text: str) -> None:
        self.breaches.append(text)


class FakeWorker:
    """Worker that runs tasks of a workload and can be restarted."""

    def __init__(self, entry: WorkerEntry, clock: Clock, work: Workload) -> None:
        self.entry = entry
        self._clock = clock
        self._work = work
        self.is_cut = False
        self.is_listed = True
        self.late_share = 0.0
        self.fails_all = False
        # Reported tail latency of tasks with a target.
        self.tail_ms = 10.0
        # By percentage, the time after which the next pace command with it is executed;
        # its reply is lost.
        self.late_paces: dict[int, Millis] = {}
        # A worker that is short of processor time: it stands still while its clock goes
        # on and keeps the calls until it goes on.
        self.is_standing = False
        # Whether it notices a lapsed lease before it carries out the kept calls.
        self.lapses_first = True
        # How late its replies to renewals, and to other calls, are. The calls are
        # carried out in time.
        self.reply_delay_ms: Millis = 0
        self.command_delay_ms: Millis = 0
        # Whether late replies list the runs as of the reply, or as of the call.
        self.lists_at_reply = True
        # How late it kills runs without a lease; it answers nothing meanwhile.
        self.kill_delay_ms: Millis = 0
        # Times at which runs have started, in all lives.
        self.start_times: list[Millis] = []
        self.lives = 0
        # Time at which the worker's own clock shows 0.
        self.clock_start_ms: Millis = 0
        self.restart()

    def restart(
        self, born_ms: Millis | None = None, clock_ms: Millis | None = None
    ) -> None:
        """Lose all runs, and start a new life under the same id."""
        for ref in getattr(self, "running", {}):
            self._work.live.get(ref.task, set()).discard(self.entry.worker_id)
        self.lives += 1
        self.born_ms = self.lives if born_ms is None else born_ms
        if clock_ms is not None:
            self.clock_start_ms = self._clock.now_ms() - clock_ms
        self.token = 0
        self.lease_ms = 0
        self.running: dict[RunRef, LiveRun] = {}
        # Percentage of full speed of each run that was paced.
        self.paces: dict[RunRef, int] = {}
        self.closed: dict[TaskRef, int] = {}
        self.ended: list[EndedRun] = []
        self.count = 0
        self.end_ms: dict[int, Millis] = {}
        self.lapsed_ms: Millis = 0
        self._kept: list[Callable[[], None]] = []
        self._is_catching_up = False

    @property
    def is_slow(self) -> bool:
        """Return whether replies may be late."""
        delay_ms = self.reply_delay_ms + self.command_delay_ms + self.kill_delay_ms
        return delay_ms > 0 or self.stands()

    def stands(self) -> bool:
        """Return whether the process does nothing but let its runs finish."""
        if self.is_standing or not self.kill_delay_ms or not self.running:
            return self.is_standing
        late_ms = self._clock.now_ms() - self.lease_ms
        return not self._is_catching_up and 0 <= late_ms < self.kill_delay_ms

    def deliver(self, call: Callable[[], T]) -> asyncio.Future[T]:
        """Carry out a call, once the worker goes on if it stands still."""
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()

        def carry_out() -> None:
            future.set_result(call())

        if self.stands():
            self._kept.append(carry_out)
        else:
            carry_out()
        return future

    async def answer(self, call: Callable[[], T]) -> T:
        """Carry out a call and return its result when the reply is sent."""
        result = await self.deliver(call)
        await self._clock.sleep_ms(self.command_delay_ms)
        while self.stands():
            await self._clock.sleep_ms(POLL_MS)
        return result

    async def hold(
        self,
        renew: Callable[[], LeaseReply | CommandResult],
        wait_ms: Millis,
        deadline_ms: Millis,
    ) -> LeaseReply | CommandResult:
        """Answer a renewal whose caller waits until ``deadline_ms``."""
        limit_ms = self._clock.now_ms() + wait_ms
        reply = await self.deliver(renew)
        while isinstance(reply, LeaseReply) and self._clock.now_ms() < limit_ms:
            if reply.ended:
                break
            await self._clock.sleep_ms(POLL_MS)
            reply = await self.deliver(self.list_runs)
        if isinstance(reply, LeaseReply) and not self.lists_at_reply:
            self.record_listed(reply)
        await self._clock.sleep_ms(self.reply_delay_ms)
        while self.stands():
            await self._clock.sleep_ms(POLL_MS)
        if isinstance(reply, LeaseReply) and self.lists_at_reply:
            if self.reply_delay_ms:
                reply = await self.deliver(self.list_runs)
            if self._clock.now_ms() < deadline_ms:
                self.record_listed(reply)
        return reply

    def record_listed(self, reply: LeaseReply) -> None:
        """Record the ends in a reply that is sent now."""
        if not self._work.counts_listed_ends:
            return
        loop = asyncio.get_running_loop()
        for end in reply.ended:
            if end.how is RunOutcome.DONE:
                end_ms = self.end_ms[end.number]
                args = (end.ref.task, end_ms, self.lives)
                loop.call_later(NOTE_MS / 1_000, self._note_listed, *args)

    def _note_listed(self, task: TaskRef, end_ms: Millis, life: int) -> None:
        is_lost = self.lives != life or end_ms < self.lapsed_ms
        is_once = not self._work.steps[task.job][task.step].may_run_twice
        if is_lost or not is_once or task in self._work.listed:
            return
        self._work.listed.add(task)
        if self._work.started_ms[task] > end_ms:
            self._work.breach(f"{task} started after a listed successful end")

    def advance(self) -> None:
        """End all runs that have finished or lost their lease by now."""
        if self._is_catching_up or self.stands():
            self._end_runs(False)
            return
        if not self.lapses_first:
            self._carry_out_kept()
        self._end_runs(True)
        self._carry_out_kept()

    def _carry_out_kept(self) -> None:
        kept, self._kept = self._kept, []
        self._is_catching_up = not self.lapses_first
        for carry_out in kept:
            carry_out()
        self._is_catching_up = False

    def _end_runs(self, notices_lapse: bool) -> None:
        now_ms = self._clock.now_ms()
        if notices_lapse and self.lease_ms <= now_ms:
            self.lapsed_ms = now_ms
        for run in list(self.running.values()):
            end_ms = run.since_ms + run.duration_ms
            if end_ms <= min(now_ms, self.lease_ms):
                failed = self.fails_all or (
                    self._work.random.random() < self._work.fail_share
                )
                self._end(run, RunOutcome.FAILED if failed else RunOutcome.DONE)
            elif notices_lapse and self.lease_ms <= now_ms:
                self._end(run, RunOutcome.LAPSED)

    def _end(self, run: LiveRun, how: RunOutcome) -> None:
        del self.running[run.ref]
        self.paces.pop(run.ref, None)
        self._work.live[run.ref.task].discard(self.entry.worker_id)
        self.closed[run.ref.task] = max(run.ref.run, self.closed.get(run.ref.task, 0))
        self.count += 1
        self.end_ms[self.count] = self._clock.now_ms()
        self.ended.append(EndedRun(self.count, run.ref, how, run.saved))
        if how is RunOutcome.DONE:
            self._work.done[run.ref.task] = self._work.done.get(run.ref.task, 0) + 1

    def fail(self, task: TaskRef) -> None:
        """End the run of a task as failed."""
        for run in [run for ref, run in self.running.items() if ref.task == task]:
            self._end(run, RunOutcome.FAILED)

    def start(self, command: StartCommand) -> CommandResult:
        self.advance()
        if command.token < self.token:
            return CommandResult.FENCED
        self.token = command.token
        ref, now_ms = command.ref, self._clock.now_ms()
        if ref in self.running:
            return CommandResult.ACCEPTED
        lease_until_ms = self._local_time(command.lease_until_ms)
        if lease_until_ms <= now_ms:
            return CommandResult.LATE
        if ref.run <= self.closed.get(ref.task, 0):
            return CommandResult.STALE
        self.lease_ms = max(self.lease_ms, lease_until_ms)
        self._check_start(ref)
        step = self._work.steps[ref.task.job][ref.task.step]
        duration_ms = self._work.duration_ms(ref.task)
        self.running[ref] = LiveRun(ref, command.saved, now_ms, duration_ms, step)
        self._work.starts += 1
        self.start_times.append(now_ms)
        self._work.live.setdefault(ref.task, set()).add(self.entry.worker_id)
        self._check_room()
        return CommandResult.ACCEPTED

    def answer_start(self, command: StartCommand) -> StartReply:
        """Carry out a start; the reply has the worker's clock of that moment."""
        result = self.start(command)
        return StartReply(result, self._clock.now_ms() - self.clock_start_ms)

    def _local_time(self, lease_until_ms: Millis) -> Millis:
        """Convert the expiry of a lease from the worker's clock, and shorten it."""
        longest_ms = self._clock.now_ms() + LONGEST_LEASE_MS
        return min(lease_until_ms + self.clock_start_ms, longest_ms)

    def _check_start(self, ref: RunRef) -> None:
        step = self._work.steps[ref.task.job][ref.task.step]
        if step.may_run_twice:
            return
        if self._work.live.get(ref.task):
            self._work.breach(f"{ref} starts while another run is live")
        if ref.task in self._work.noted:
            self._work.breach(f"{ref} starts after a successful end was acknowledged")
        if ref.task in self._work.listed:
            self._work.breach(f"{ref} starts after a successful end was listed")
        self._work.started_ms[ref.task] = self._clock.now_ms()
        for earlier in step.after:
            for number in range(self._work.steps[ref.task.job][earlier].tasks):
                required = TaskRef(ref.task.job, ref.task.occurrence, earlier, number)
                if not self._work.done.get(required):
                    self._work.breach(f"{ref} starts before {required} is done")

    def _check_room(self) -> None:
        taken = Resources()
        for run in self.running.values():
            taken = taken.plus(run.step.charge)
        if not self.entry.room.can_fit(taken):
            self._work.breach(f"{self.entry.worker_id} exceeds its capacity: {taken}")

    def stop(self, ref: RunRef, token: int) -> CommandResult:
        self.advance()
        if token < self.token:
            return CommandResult.FENCED
        self.token = token
        run = self.running.get(ref)
        if run is not None:
            self._end(run, RunOutcome.STOPPED)
        self.closed[ref.task] = max(ref.run, self.closed.get(ref.task, 0))
        return CommandResult.ACCEPTED

    def pace(self, ref: RunRef, percent: int, token: int) -> CommandResult:
        self.advance()
        if token < self.token:
            return CommandResult.FENCED
        self.token = token
        if ref in self.running:
            self.paces[ref] = percent
        return CommandResult.ACCEPTED

    def renew_leases(
        self, token: int, acknowledged: int, lease_until_ms: Millis | None
    ) -> LeaseReply | CommandResult:
        self.advance()
        if token < self.token:
            return CommandResult.FENCED
        self.token = token
        if lease_until_ms is not None:
            self.lease_ms = max(self.lease_ms, self._local_time(lease_until_ms))
        for end in self.ended:
            if end.number <= acknowledged and end.how is RunOutcome.DONE:
                self._check_acknowledged(end.ref.task, self.end_ms[end.number])
        self.ended = [end for end in self.ended if end.number > acknowledged]
        return self.list_runs()

    def list_runs(self) -> LeaseReply:
        """Return the runs in progress and the ends that were not acknowledged."""
        self.advance()
        now_ms = self._clock.now_ms()
        running = [
            RunStatus(
                run.ref,
                run.saved,
                self._percent(run, now_ms),
                self.figure(run),
            )
            for run in self.running.values()
        ]
        ended = self.ended[:REPLY_ENDS]
        is_partial = len(ended) == REPLY_ENDS
        clock_ms = now_ms - self.clock_start_ms
        return LeaseReply(clock_ms, self.born_ms, running, ended, is_partial)

    def figure(self, run: LiveRun) -> float:
        """Return the reported tail latency of a serving run, or the CPU use."""
        return self.tail_ms if run.step.tail_target_ms else CPU_USE

    def _check_acknowledged(self, task: TaskRef, end_ms: Millis) -> None:
        """Check an acknowledged end unless a lease has lapsed since."""
        if end_ms < self.lapsed_ms:
            return
        self._work.noted.add(task)
        is_once = not self._work.steps[task.job][task.step].may_run_twice
        if is_once and self._work.started_ms[task] > end_ms:
            self._work.breach(f"{task} started after an acknowledged successful end")

    def _percent(self, run: LiveRun, now_ms: Millis) -> int:
        if run.step.is_endless:
            return 100
        return min((now_ms - run.since_ms) * 100 // max(run.duration_ms, 1), 99)


class FakeAgent:
    """In-memory ``Agent`` of one instance."""

    def __init__(
        self, workers: dict[str, FakeWorker], clock: Clock, seed: int = 0
    ) -> None:
        self._workers = workers
        self._clock = clock
        self._random = Random(seed)
        self.is_cut = False
        self.poll_ms = POLL_MS
        # Workers answer while this instance stands still.
        self.is_answered_while_standing = False
        # Workers that this instance alone can't reach.
        self.cut_workers: set[str] = set()
        # Workers whose process has ended, and what their machine replies.
        self.gone_workers: set[str] = set()
        self.gone_result = CommandResult.NO_LISTENER
        # By worker, the result of new calls that do not reach it although it runs.
        self.refusals: dict[str, CommandResult] = {}
        self.refused_starts = 0
        # By worker, the answers to the next start and stop commands.
        self.start_answers: dict[str, list[ProxyAnswer]] = {}
        self.stop_answers: dict[str, list[ProxyAnswer]] = {}

    def _refusal(self, worker_id: str) -> CommandResult | None:
        if worker_id in self.gone_workers:
            return self.gone_result
        return self.refusals.get(worker_id)

    async def _reach(self, worker: WorkerEntry, timeout_ms: Millis) -> bool:
        await self._clock.sleep_ms(LATENCY_MS)
        if worker.worker_id in self.cut_workers:
            await self._clock.sleep_ms(timeout_ms)
            return False
        if self.is_cut or self._workers[worker.worker_id].is_cut:
            await self._clock.sleep_ms(timeout_ms)
            return False
        return True

    async def _answer_for(
        self,
        answers: dict[str, list[ProxyAnswer]],
        worker: WorkerEntry,
        carry_out: Callable[[], CommandResult],
        timeout_ms: Millis,
    ) -> CommandResult | None:
        """Answer a command in place of its worker, or return None."""
        if not answers.get(worker.worker_id):
            return None
        answer = answers[worker.worker_id].pop(0)
        if answer.delay_ms is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(answer.delay_ms / 1_000, carry_out)
        if answer.result is None:
            await self._clock.sleep_ms(timeout_ms)
            return CommandResult.UNKNOWN
        return answer.result

    async def _call(
        self, worker: FakeWorker, call: Callable[[], T], timeout_ms: Millis
    ) -> T | CommandResult:
        """Carry out a call; the reply is lost if it comes after ``timeout_ms``."""
        if not worker.is_slow and not self.is_answered_while_standing:
            return call()
        reply = asyncio.get_running_loop().create_task(worker.answer(call))
        return await self._await_reply(reply, timeout_ms)

    async def _await_reply(
        self, reply: asyncio.Task[T], timeout_ms: Millis
    ) -> T | CommandResult:
        await asyncio.wait([reply], timeout=timeout_ms / 1_000)
        # Until the instance runs again, if it stands still: it reads what has arrived.
        await self._clock.sleep_ms(0)
        return reply.result() if reply.done() else CommandResult.UNKNOWN

    def _is_late(self, worker: FakeWorker) -> bool:
        return self._random.random() < worker.late_share

    async def start(
        self, worker: WorkerEntry, command: StartCommand, timeout_ms: Millis
    ) -> StartReply:
        reply = await self._start(worker, command, timeout_ms)
        if isinstance(reply, StartReply):
            return reply
        fake = self._workers[worker.worker_id]
        if reply is CommandResult.UNKNOWN or self._refusal(worker.worker_id):
            return StartReply(reply)
        return StartReply(reply, self._clock.now_ms() - fake.clock_start_ms)

    async def _start(
        self, worker: WorkerEntry, command: StartCommand, timeout_ms: Millis
    ) -> StartReply | CommandResult:
        if not await self._reach(worker, timeout_ms):
            return CommandResult.UNKNOWN
        refusal = self._refusal(worker.worker_id)
        if refusal is not None:
            self.refused_starts += 1
            return refusal
        fake = self._workers[worker.worker_id]
        start = partial(fake.start, command)
        answer = await self._answer_for(self.start_answers, worker, start, timeout_ms)
        if answer is not None:
            return answer
        if self._is_late(fake):
            delay_s = 2 + 10 * self._random.random()
            asyncio.get_running_loop().call_later(delay_s, fake.start, command)
            await self._clock.sleep_ms(timeout_ms)
            return CommandResult.UNKNOWN
        start = partial(fake.answer_start, command)
        return await self._call(fake, start, timeout_ms + LATE_REPLY_MS)

    async def stop(
        self, worker: WorkerEntry, ref: RunRef, token: int, timeout_ms: Millis
    ) -> CommandResult:
        if not await self._reach(worker, timeout_ms):
            return CommandResult.UNKNOWN
        refusal = self._refusal(worker.worker_id)
        if refusal is not None:
            return refusal
        fake = self._workers[worker.worker_id]
        stop = partial(fake.stop, ref, token)
        answer = await self._answer_for(self.stop_answers, worker, stop, timeout_ms)
        if answer is not None:
            return answer
        if self._is_late(fake):
            delay_s = 2 + 10 * self._random.random()
            asyncio.get_running_loop().call_later(delay_s, fake.stop, ref, token)
            await self._clock.sleep_ms(timeout_ms)
            return CommandResult.UNKNOWN
        return await self._call(fake, partial(fake.stop, ref, token), timeout_ms)

    async def pace(
        self,
        worker: WorkerEntry,
        ref: RunRef,
        percent: int,
        token: int,
        timeout_ms: Millis,
    ) -> CommandResult:
        if not await self._reach(worker, timeout_ms):
            return CommandResult.UNKNOWN
        refusal = self._refusal(worker.worker_id)
        if refusal is not None:
            return refusal
        fake = self._workers[worker.worker_id]
        if percent in fake.late_paces:
            delay_s = fake.late_paces.pop(percent) / 1_000
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, fake.pace, ref, percent, token)
            await self._clock.sleep_ms(timeout_ms)
            return CommandResult.UNKNOWN
        call = partial(fake.pace, ref, percent, token)
        return await self._call(fake, call, timeout_ms)

    async def renew_leases(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledgement: Acknowledgement | None,
        lease_until_ms: Millis | None,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Result[LeaseReply, CommandResult]:
        # The connections to a worker end with its process.
        life = self._workers[worker.worker_id].lives
        if acknowledgement is not None and acknowledgement.connection != life:
            return Err(CommandResult.DISCONNECTED)
        acknowledged = acknowledgement.number if acknowledgement is not None else 0
        if not await self._reach(worker, timeout_ms):
            return Err(CommandResult.UNKNOWN)
        refusal = self._refusal(worker.worker_id)
        if refusal is not None:
            return Err(refusal)
        fake = self._workers[worker.worker_id]
        sent_ms = self._clock.now_ms()
        limit_ms = sent_ms + wait_ms
        if acknowledged and fake.lives != life:
            return Err(CommandResult.UNKNOWN)
        life = fake.lives
        renew = partial(fake.renew_leases, token, acknowledged, lease_until_ms)
        reply: LeaseReply | CommandResult | None = None
        while not fake.is_slow and not self.is_answered_while_standing:
            reply = renew()
            if isinstance(reply, CommandResult) or reply.ended:
                break
            if self._clock.now_ms() >= limit_ms:
                break
            await self._clock.sleep_ms(self.poll_ms)
            is_lost = worker.worker_id in self.cut_workers | self.gone_workers
            if fake.lives != life or is_lost:
                # A restart of the worker closes the connection; a cut loses the reply.
                return Err(CommandResult.UNKNOWN)
        else:
            passed_ms = self._clock.now_ms() - sent_ms
            left_ms = max(wait_ms - passed_ms, 0)
            timeout_ms -= passed_ms
            deadline_ms = self._clock.now_ms() + timeout_ms
            hold = fake.hold(renew, left_ms, deadline_ms)
            task = asyncio.get_running_loop().create_task(hold)
            reply = await self._await_reply(task, timeout_ms + LATE_REPLY_MS)
            if fake.lives != life or worker.worker_id in self.cut_workers:
                return Err(CommandResult.UNKNOWN)
            return self._lease_result(reply, life)
        if isinstance(reply, LeaseReply):
            fake.record_listed(reply)
        return self._lease_result(reply, life)

    def _lease_result(
        self, reply: LeaseReply | CommandResult, life: int
    ) -> Result[LeaseReply, CommandResult]:
        if isinstance(reply, CommandResult):
            return Err(reply)
        return Ok(reply._replace(connection=life))
