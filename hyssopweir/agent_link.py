"""Connection of an owner to one worker: lease renewal, ended runs and commands."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from result import Err

from hyssopweir.agents import (
    Acknowledgement,
    Agent,
    CommandResult,
    LeaseReply,
    StartCommand,
    WorkerEntry,
)
from hyssopweir.clock import Clock, Millis
from hyssopweir.end_numbers import EndNumbers
from hyssopweir.evacuations import Evacuations
from hyssopweir.events import Event, EventLog
from hyssopweir.fencing import FencingTokens
from hyssopweir.ownership_proof import PROVEN_LEASE_MS, OwnershipProof
from hyssopweir.process_delays import ProcessDelays
from hyssopweir.renewal_calls import Renewal, RenewalCalls
from hyssopweir.reply_delays import MIN_TIMEOUT_MS, ReplyDelays
from hyssopweir.start_calls import StartCalls
from hyssopweir.task_state import Run, RunRef
from hyssopweir.worker_clock import MIN_CLOCK_RATE, ClockReading, WorkerClock
from hyssopweir.worker_load import REPORT_TIMEOUT_MS, WorkerLoad

# Long enough for a new owner to adopt the runs. Runs survive a loss of contact for this
# time, less the age of the last renewal and the time until the next one. If a worker is
# lost without a sign, its tasks wait for this time.
LEASE_MS: Millis = 4_000
# The longest lease that workers grant unless the settings say otherwise.
LONGEST_LEASE_MS: Millis = 10_000
# By how much a lease of a previous owner may exceed the own estimate of its end.
PREVIOUS_MARGIN_MS: Millis = 500
# Added to the time after which a lease counts as expired: a worker ends what has lapsed
# with a timer of its own, which may fire late.
EXPIRY_MARGIN_MS: Millis = 200
RENEWAL_WAIT_MS: Millis = 700
# While no full lease can be granted: the next proof of ownership soon extends it.
SHORT_RENEWAL_WAIT_MS: Millis = 200
# Timeouts while the replies of the worker are quick.
RENEWAL_TIMEOUT_MS: Millis = MIN_TIMEOUT_MS
COMMAND_TIMEOUT_MS: Millis = MIN_TIMEOUT_MS
COMMIT_WAIT_MS: Millis = 300
RETRY_MS: Millis = 100
# Together with ``RENEWAL_TIMEOUT_MS``, the longest time until a worker that is back in
# reach is heard.
MAX_RETRY_MS: Millis = 200
# Pause before ended runs that are not stored yet are asked for again.
UNSTORED_PAUSE_MS: Millis = 500
# A worker may execute a command without a reply seconds later, after newer commands.
# The protocol states no bound; no execution is expected after this time.
MAX_COMMAND_DELAY_MS: Millis = 12_000
# Another process or none answers at the worker's address. A crash causes them, but so
# do a proxy, a firewall and a full backlog: they stop new work, and end no run.
ABSENCE_RESULTS = frozenset({CommandResult.NO_LISTENER, CommandResult.OTHER_LIFE})
# Timeout of a renewal shortly before the lease expires.
LAST_TIMEOUT_MS: Millis = 100


class LeaseTimes(NamedTuple):
    """Length of a lease, and times after which leases of others have expired.

    ``longest_ms`` is the longest lease that workers grant, whatever is asked for.
    ``previous_ms`` bounds a lease that a previous owner may have granted, unless calls
    for a former process of the worker may have extended it. A worker that never replied
    to this owner has no lease left after ``unknown_ms``; if it isn't listed any more,
    after ``unlisted_ms``. Both count from the last proof of ownership of a previous
    owner.
    """

    lease_ms: Millis
    longest_ms: Millis
    previous_ms: Millis
    unknown_ms: Millis
    unlisted_ms: Millis


def lease_times(longest_lease_ms: Millis) -> LeaseTimes:
    """Return the times for workers that grant at most ``longest_lease_ms``."""
    lease_ms = min(LEASE_MS, longest_lease_ms)
    previous_ms = lease_ms + PREVIOUS_MARGIN_MS
    # A slow clock stretches the part of the lease that the worker counts.
    slow_ms = int(lease_ms / MIN_CLOCK_RATE) - lease_ms
    unlisted_ms = PROVEN_LEASE_MS + slow_ms + EXPIRY_MARGIN_MS
    longest_ms = int(longest_lease_ms / MIN_CLOCK_RATE) + EXPIRY_MARGIN_MS
    return LeaseTimes(
        lease_ms,
        longest_lease_ms,
        previous_ms,
        max(unlisted_ms, longest_ms),
        unlisted_ms,
    )


LeaseReplyHandler = Callable[
    ["AgentLink", LeaseReply, Millis], "asyncio.Future[None] | None"
]


class AgentLink:
    """Connection to one worker that renews its lease and sends commands.

    ``on_lease_reply`` receives each reply with the local time at which its request was
    sent, and returns a future that completes when the ended runs in it are stored.
    ``may_be_extended`` tells from the worker's birth whether calls of a previous owner
    for a former process of the worker may have extended its leases.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        tokens: FencingTokens,
        agent: Agent,
        clock: Clock,
        log: EventLog,
        on_lease_reply: LeaseReplyHandler,
        on_fenced: Callable[[], None],
        proof: OwnershipProof,
        times: LeaseTimes,
        on_lapsed: Callable[["AgentLink"], None],
        may_be_extended: Callable[[Millis], bool],
        evacuations: Evacuations | None = None,
        delays: ProcessDelays | None = None,
    ) -> None:
        self._delays = delays or ProcessDelays(clock, log)
        self._evacuations = evacuations or Evacuations(clock, log)
        self.load = WorkerLoad(entry, self._evacuations.known_since_ms)
        self._tokens = tokens
        self._token = tokens.current
        self._agent = agent
        self._clock = clock
        self._log = log
        self._on_lease_reply = on_lease_reply
        self._on_fenced = on_fenced
        self._proof = proof
        self._times = times
        self._on_lapsed = on_lapsed
        self._may_be_extended = may_be_extended
        self._worker_clock = WorkerClock()
        self._renewal_delays = ReplyDelays()
        self._starts = StartCalls(agent, clock)
        self._calls = RenewalCalls(clock)
        # Bound of the leases that this owner granted to the process that it last heard,
        # on the clock of that process.
        self._lease_until_ms: Millis = 0
        # Local time until which other calls may have extended its leases.
        self._foreign_until_ms: Millis = 0
        # Local time at which a restart became known before the new process was heard.
        self._unheard_restart_ms: Millis | None = None
        # Birth of the last restart that an entry showed.
        self._listed_restart_ms: Millis = 0
        # Calls for a former process may still be carried out by the current one.
        self._is_exposed = False
        # For the next renewal only: the worker forgets the ends once.
        self._acknowledgement: Acknowledgement | None = None
        self._end_numbers = EndNumbers(entry.worker_id, log)
        self._is_silent = False
        # Renewals without a reply since the last one with a reply.
        self._unanswered = 0
        # Results of the calls since the worker became silent; each is logged once.
        self._silent_results: set[CommandResult] = set()
        self._opened_ms = clock.now_ms()
        # When a reply was last processed, of whatever process of the worker.
        self._heard_ms: Millis | None = None
        self._has_lapsed = False
        self.born_ms: Millis = 0
        # Births of incarnations that were heard or listed before the current one.
        self.former_births: set[Millis] = set()

    @property
    def entry(self) -> WorkerEntry:
        """Return the latest entry of the worker in the list of workers."""
        return self.load.entry

    def lease_until_ms(self, longest_ms: Millis = LONGEST_LEASE_MS) -> Millis:
        """Return the expiry of a new lease on the worker's clock, 0 for none.

        The bound of former leases isn't one: it may be later than any that was granted.
        """
        if self._worker_clock.reading is None or self._unheard_restart_ms is not None:
            return 0
        lease_ms = min(self._times.lease_ms, self._proof.lease_left_ms(), longest_ms)
        if lease_ms <= 0:
            return 0
        return self._worker_clock.estimate_ms(self._clock.now_ms()) + lease_ms

    def has_lapsed(self) -> bool:
        """Return whether all leases have certainly expired on the worker's clock."""
        return self._lapses_in_ms() <= 0

    def _lapses_in_ms(self) -> Millis:
        """Return the time until all leases have certainly expired, negative after."""
        reading = self._worker_clock.reading
        if reading is None:
            former_ms, duration_ms = self._proof.former_ms, self._times.unknown_ms
            if former_ms is None:
                return duration_ms
            since_ms = max(self._opened_ms, former_ms)
        else:
            lease_ms = self._lease_until_ms - reading.worker_ms
            duration_ms = int(lease_ms / MIN_CLOCK_RATE) + EXPIRY_MARGIN_MS
            since_ms = reading.local_ms
        until_ms = max(since_ms + duration_ms + 1, self._foreign_until_ms)
        return until_ms - self._clock.now_ms()

    def has_long_lease(self) -> bool:
        """Return whether a successor would take the leases for shorter ones."""
        left_ms = self._foreign_until_ms - self._clock.now_ms()
        return left_ms > self._times.previous_ms

    def contact_fields(self) -> dict[str, Any]:
        """Return the event fields that tell how sure it is that the worker is lost.

        ``heard_ms`` is the age of its last reply and ``clock_ms`` the worker's clock in
        it, both -1 without one; ``lease_left_ms`` is the time until its leases have
        certainly expired. Since that reply, ``unanswered`` renewals had none, and this
        process ran no timers for ``delayed_ms``.
        """
        reading = self._worker_clock.reading
        heard_ms = -1 if reading is None else self._clock.now_ms() - reading.local_ms
        since_ms = self._opened_ms if reading is None else reading.local_ms
        return {
            "born_ms": self.born_ms,
            "clock_ms": -1 if reading is None else reading.worker_ms,
            "heard_ms": heard_ms,
            "lease_left_ms": self._lapses_in_ms(),
            "unanswered": self._unanswered,
            "delayed_ms": self._delays.total_ms(since_ms),
        }

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        try:
            await self._renew_leases()
        finally:
            self._calls.cancel()
            self._starts.cancel()

    async def _renew_leases(self) -> None:
        wait_ms, pause_ms = 0, RETRY_MS
        while True:
            await self._proof.wait_valid()
            if self._calls.newest is None or self._has_lease_to_send():
                self._send_renewal(wait_ms)
            replied = await self._calls.next_reply()
            if replied is None:
                # A restart became known before the reply.
                wait_ms = 0
                continue
            renewal, result = replied
            if isinstance(result, Err):
                self._handle_renewal_error(result.err_value, renewal)
                wait_ms = 0
                await self._clock.sleep_ms(self._before_expiry(pause_ms))
                pause_ms = min(2 * pause_ms, MAX_RETRY_MS)
                continue
            pause_ms = RETRY_MS
            is_first = self._worker_clock.reading is None
            is_stored = await self._process_reply(result.ok_value, renewal)
            # The sooner the next call arrives, the fewer calls for a former process do.
            may_wait = is_stored and not is_first and not self._is_exposed
            wait_ms = self._renewal_wait_ms() if may_wait else 0
            if not is_stored:
                await self._clock.sleep_ms(UNSTORED_PAUSE_MS)

    def _has_lease_to_send(self) -> bool:
        """Return whether the newest call, sent to a silent worker, renews no lease."""
        newest = self._calls.newest
        is_renewed = newest is None or newest.has_lease
        return not is_renewed and not self._is_silent and self.lease_until_ms() > 0

    def _send_renewal(self, wait_ms: Millis) -> None:
        # A request without a reply may still renew the lease. A silent worker gets no
        # further renewal, or its lease would never be certain to expire.
        lease_until_ms = None if self._is_silent else self.lease_until_ms() or None
        self._lease_until_ms = max(self._lease_until_ms, lease_until_ms or 0)
        acknowledgement, self._acknowledgement = self._acknowledgement, None
        timeout_ms = wait_ms + self._timeout_ms()
        call = self._agent.renew_leases(
            self.entry,
            self._token,
            acknowledgement,
            lease_until_ms,
            wait_ms,
            timeout_ms,
        )
        now_ms = self._clock.now_ms()
        has_lease = lease_until_ms is not None
        renewal = Renewal(now_ms, self._token, wait_ms, has_lease, self.has_lapsed())
        self._calls.send(call, renewal, timeout_ms)

    def _renewal_wait_ms(self) -> Millis:
        if self._proof.lease_left_ms() < self._times.lease_ms:
            return SHORT_RENEWAL_WAIT_MS
        return RENEWAL_WAIT_MS

    def _timeout_ms(self) -> Millis:
        """Return the timeout of a renewal, without its wait for an ended run."""
        timeout_ms = self._renewal_delays.timeout_ms()
        if not self._is_silent:
            return timeout_ms
        return max(self._before_expiry(timeout_ms), LAST_TIMEOUT_MS)

    def _before_expiry(self, limit_ms: Millis) -> Millis:
        """Return a time that ends when the leases expire, if it would end later."""
        left_ms = self._lapses_in_ms()
        return min(limit_ms, left_ms) if left_ms > 0 else limit_ms

    async def _process_reply(self, lease_reply: LeaseReply, renewal: Renewal) -> bool:
        """Process a lease reply; return whether all ended runs in it are stored."""
        now_ms, sent_ms = self._clock.now_ms(), renewal.sent_ms
        is_first = self._worker_clock.reading is None
        is_new_process = lease_reply.born_ms != self.born_ms
        if is_new_process:
            if not is_first:
                self._end_numbers.restart()
            # The entry was read before this reply, so that it is of no later process.
            self.former_births.update({self.born_ms, self.entry.born_ms})
            self.former_births.discard(lease_reply.born_ms)
            self.born_ms = lease_reply.born_ms
            self._lease_until_ms = 0
            self._worker_clock.restart()
        noticed_ms = self._unheard_restart_ms
        if noticed_ms is not None and (is_new_process or sent_ms > noticed_ms):
            self._unheard_restart_ms = None
        if is_first:
            is_extended = self._may_be_extended(self.born_ms)
            times = self._times
            lease_ms = times.longest_ms if is_extended else times.previous_ms
            self._foreign_until_ms = now_ms + lease_ms
        elif is_new_process:
            self._expose()
        elif self._is_exposed and renewal.token == self._token:
            # The worker has seen the raised token, so that nothing is added any more.
            self._is_exposed = False
            self._foreign_until_ms = now_ms + self._times.longest_ms
        delay_ms = max(now_ms - sent_ms - renewal.wait_ms, 0)
        heard_ms, self._heard_ms = self._heard_ms, now_ms
        self._worker_clock.record(ClockReading(lease_reply.clock_ms, now_ms, delay_ms))
        self._record_delay(delay_ms)
        self._has_lapsed = False
        self._unanswered = 0
        if self._is_silent:
            self._is_silent = False
            self._silent_results.clear()
            self._log.emit(
                Event.WORKER_HEARD,
                worker=self.entry.worker_id,
                born_ms=self.born_ms,
                clock_ms=lease_reply.clock_ms,
                silent_ms=-1 if heard_ms is None else now_ms - heard_ms,
            )
        ends_stored = self._on_lease_reply(self, lease_reply, sent_ms)
        if ends_stored is None:
            return True
        self._end_numbers.check(lease_reply)
        await asyncio.wait([ends_stored], timeout=COMMIT_WAIT_MS / 1_000)
        if not ends_stored.done() or ends_stored.cancelled():
            return False
        last = max(end.number for end in lease_reply.ended)
        self._end_numbers.record_stored(last)
        self._acknowledgement = Acknowledgement(last, lease_reply.connection)
        return True

    def _record_delay(self, delay_ms: Millis) -> None:
        self._renewal_delays.record(delay_ms)
        # The next report may take so long without a renewal that fails.
        longest_ms = RENEWAL_WAIT_MS + self._renewal_delays.timeout_ms()
        self.load.report_timeout_ms = max(REPORT_TIMEOUT_MS, longest_ms)

    def record_listed_restart(self, born_ms: Millis) -> None:
        """Record a restart that the entry of the worker shows, once for each birth."""
        if born_ms != self._listed_restart_ms:
            self._listed_restart_ms = born_ms
            self._record_restart()

    def _record_restart(self) -> None:
        """Record that a new process has taken the place of the one last heard.

        It gets no lease until its clock is known. The renewal under way is for the
        former process, and the new one may carry it out late: it would forget ends that
        nobody has seen. The next renewal has the raised token, after which it doesn't.
        """
        self._unheard_restart_ms = self._clock.now_ms()
        self.load.discard_report(self._clock.now_ms())
        self._expose()
        self._calls.cancel()

    def _expose(self) -> None:
        """Raise the token, as calls for the former process may still be on their way.

        They ask for leases on the clock of that process, which may be far ahead of that
        of the new one.
        """
        self._foreign_until_ms = (
            self._clock.now_ms() + MAX_COMMAND_DELAY_MS + self._times.longest_ms
        )
        self._is_exposed = self._tokens.advance()
        self._token = self._tokens.current

    def _check_fenced(self, result: CommandResult, token: int) -> CommandResult:
        """Report the loss of ownership if a worker refused a call for its token.

        A call from before the token was raised was meant for a former process.
        """
        if result is not CommandResult.FENCED:
            return result
        if token != self._token:
            return CommandResult.OTHER_LIFE
        self._on_fenced()
        return result

    def _handle_renewal_error(self, result: CommandResult, renewal: Renewal) -> None:
        result = self._check_fenced(result, renewal.token)
        if result is CommandResult.FENCED:
            return
        if result is CommandResult.DISCONNECTED:
            self.load.discard_report(self._clock.now_ms())
            self._end_numbers.record_disconnection()
            return
        self._is_silent = True
        self._unanswered += 1
        if result not in self._silent_results:
            self._silent_results.add(result)
            self._log.emit(
                Event.WORKER_SILENT,
                worker=self.entry.worker_id,
                verdict=result.value,
                runs=len(self.load.runs),
                **self.contact_fields(),
            )
        if result in ABSENCE_RESULTS:
            self.load.discard_report(self._clock.now_ms())
        # Asked after the expiry, the worker would still have listed the ends.
        was_asked = renewal.is_after_expiry or self._worker_clock.reading is None
        if was_asked and self.has_lapsed() and not self._has_lapsed:
            self._has_lapsed = True
            self._on_lapsed(self)

    async def wait_owned(self) -> None:
        """Wait until the ownership is proven to have lasted beyond any pause."""
        await self._proof.wait_valid()

    async def start(self, run: Run, payload: str, saved: str) -> CommandResult:
        """Start a run; it may still start later only if the result is ``UNKNOWN``.

        Call it right after ``wait_owned``. The expiry of the lease is computed at once,
        so that a start that is delayed afterwards finds it expired. It ends before the
        limit of an evacuation that isn't known yet; a renewal extends it.
        """
        lease_until_ms = self.lease_until_ms(self._evacuations.start_left_ms())
        if not lease_until_ms:
            # Without a time in it, the worker would choose the lease.
            return CommandResult.NOT_SENT
        self._lease_until_ms = max(self._lease_until_ms, lease_until_ms)
        run.record_start_sent(self._clock.now_ms())
        token = self._token
        command = StartCommand(run.ref, payload, lease_until_ms, token, saved)
        timeout_ms = self._command_timeout_ms()
        reply = await self._starts.send(self.entry, command, timeout_ms)
        run.settled_ms = self._clock.now_ms()
        # Another worker at the address has a clock of its own.
        if reply.clock_ms is not None and reply.result is not CommandResult.OTHER_LIFE:
            self._check_clock(reply.clock_ms, run.since_ms)
        return self._check_fenced(reply.result, token)

    def _command_timeout_ms(self) -> Millis:
        delays = (self._starts.delays, self._renewal_delays)
        return max(delay.timeout_ms() for delay in delays)

    def _check_clock(self, clock_ms: Millis, sent_ms: Millis) -> None:
        """Notice a restart by the clock in the reply to a start of that time.

        The new process may be out of reach before it gets a renewal.
        """
        reading, now_ms = self._worker_clock.reading, self._clock.now_ms()
        if reading is None or reading.local_ms >= sent_ms:
            return
        is_expected = self._worker_clock.may_show(clock_ms, sent_ms, now_ms)
        if is_expected or self._unheard_restart_ms is not None:
            return
        self._log.emit(
            Event.WORKER_RESTARTED,
            worker=self.entry.worker_id,
            clock_ms=clock_ms,
            expected_ms=self._worker_clock.estimate_ms(now_ms),
            source="start",
        )
        self._record_restart()

    async def stop(self, ref: RunRef) -> CommandResult:
        """Stop a run, or prevent it from starting later."""
        await self._proof.wait_valid()
        token = self._token
        timeout_ms = self._command_timeout_ms()
        result = await self._agent.stop(self.entry, ref, token, timeout_ms)
        return self._check_fenced(result, token)

    async def pace(self, run: Run, percent: int) -> CommandResult:
        """Limit a run to a percentage of its full speed."""
        await self._proof.wait_valid()
        timeout_ms = self._command_timeout_ms()
        return await self._agent.pace(
            self.entry, run.ref, percent, self._token, timeout_ms
        )
