"""Numbers of the ends that the current process of one worker has listed."""

from hyssopweir.agents import LeaseReply
from hyssopweir.events import Event, EventLog

# Disconnections in a row from which on they are logged.
FIRST_LOGGED_DISCONNECTIONS = 4


class EndNumbers:
    """Detects ends that a worker has forgotten before they were stored.

    The numbers of a process begin at 1 and rise by one. Those that a former owner has
    acknowledged aren't known, so that nothing is detected before the first list.
    """

    def __init__(self, worker_id: str, log: EventLog) -> None:
        self._worker_id = worker_id
        self._log = log
        self._expected: int | None = None
        self._disconnections = 0

    def restart(self) -> None:
        """Expect the numbers of a new process, of which none is acknowledged."""
        self._expected = 1

    def check(self, reply: LeaseReply) -> None:
        """Report ends that are missing before the first one in a list."""
        first = min(end.number for end in reply.ended)
        if first == self._expected:
            self._disconnections = 0
        if self._expected is None or first <= self._expected:
            return
        self._log.emit(
            Event.ENDS_MISSING,
            worker=self._worker_id,
            born_ms=reply.born_ms,
            expected=self._expected,
            first=first,
        )
        # Each gap is reported once.
        self._expected = first

    def record_disconnection(self) -> None:
        """Record that a connection was closed before its ends were acknowledged."""
        self._disconnections += 1
        count = self._disconnections
        # At each doubling, so that a worker that closes each connection is visible.
        if count >= FIRST_LOGGED_DISCONNECTIONS and count & (count - 1) == 0:
            self._log.emit(
                Event.ACKNOWLEDGEMENT_DROPPED, worker=self._worker_id, times=count
            )

    def record_stored(self, last: int) -> None:
        """Record that all ends up to a number are stored."""
        self._expected = last + 1
