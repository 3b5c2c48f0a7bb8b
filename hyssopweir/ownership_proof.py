"""Proof that an owner still owned its cell after the last pause of its process.

A process that was suspended, or whose event loop was busy, may have been replaced
meanwhile. A successor that can't reach a worker assumes that the leases of the former
owner there have expired after ``LeaseTimes.unlisted_ms``; an owner that renews them
after a long pause would break that assumption, as would one that is cut off from the
store alone. An owner can't tell that cut from a store that is down for all, in which
nobody can claim the cell: it goes on, but extends leases only for a limited time.
"""

from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog

# With a lease that is granted after a pause of this length, the runs end before a
# successor counts them as over: takeover and ``LeaseTimes.unlisted_ms`` take longer.
MAX_PAUSE_MS: Millis = 1_400
# No lease outlasts the last proof by more than this time, for which work also outlasts
# an outage of the store. A successor waits for it before it gives up work that it
# doesn't reach.
PROVEN_LEASE_MS: Millis = 6_000
TICK_MS: Millis = 200
WAIT_MS: Millis = 20


class OwnershipProof:
    """Time of the last proof of ownership and of the last pause of this process.

    Times are on the clock that also counts while the machine is suspended, but for
    ``former_ms``.
    """

    def __init__(self, cell: str, clock: Clock, log: EventLog) -> None:
        self._cell = cell
        self._clock = clock
        self._log = log
        self._running_ms = clock.boot_ms()
        self._proven_ms = self._running_ms
        self._paused_ms: Millis | None = None
        # Since when no former owner can prove its ownership, on the monotonic clock;
        # None until the first heartbeat has replaced the former owner's.
        self.former_ms: Millis | None = None

    async def run(self) -> None:
        """Notice pauses until cancelled."""
        while True:
            self._notice_pause()
            await self._clock.sleep_ms(TICK_MS)

    def record_proof(self, sent_ms: Millis) -> None:
        """Record that the store confirmed the ownership in a call of that time."""
        self._proven_ms = max(self._proven_ms, sent_ms)

    def is_valid(self) -> bool:
        """Return whether the ownership was proven after the last pause."""
        self._notice_pause()
        return self._paused_ms is None or self._proven_ms >= self._paused_ms

    def lease_left_ms(self) -> Millis:
        """Return for how long a lease may be granted now, not positive if for none."""
        return self._proven_ms + PROVEN_LEASE_MS - self._clock.boot_ms()

    def record_takeover(self, proven_ms: Millis) -> None:
        """Record until when a former owner may have proven its ownership."""
        if self.former_ms is None:
            self.former_ms = proven_ms

    async def wait_valid(self) -> None:
        """Wait until the ownership is proven again, or for ever if it is lost."""
        while not self.is_valid():
            await self._clock.sleep_ms(WAIT_MS)

    def _notice_pause(self) -> None:
        now_ms = self._clock.boot_ms()
        pause_ms = now_ms - self._running_ms
        self._running_ms = now_ms
        if pause_ms <= MAX_PAUSE_MS:
            return
        self._paused_ms = now_ms
        self._log.emit(Event.OWNER_PAUSED, cell=self._cell, pause_ms=pause_ms)
