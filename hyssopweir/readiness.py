"""Readiness of an instance, as the load balancer and callers see it."""

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.events import Event, EventLog

TICK_MS: Millis = 250
LONGEST_PAUSE_MS: Millis = 4_000


class Readiness:
    """Say whether this instance may serve, and why not.

    An instance whose event loop has stood still for more than ``LONGEST_PAUSE_MS``
    may have been replaced as owner and may hold an old configuration, so it serves
    again only after it has read both.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._configured = False
        self._draining = False
        self._ticked_ms = clock.now_ms()
        self._announced: bool | None = None

    def not_ready(self) -> Failure | None:
        """Return why the load balancer should send nothing here, None if it may."""
        if self._draining:
            return not_run(Code.DRAINING, "this instance is stopping")
        return self.refusal()

    def refusal(self) -> Failure | None:
        """Return why a request is refused, None if it is served.

        A stopping instance still serves what the load balancer sends before it takes
        note.
        """
        if not self._configured:
            return not_run(
                Code.NOT_READY,
                "this instance has not read the configuration and the workers yet",
            )
        if self.paused_ms() > LONGEST_PAUSE_MS:
            return not_run(
                Code.NOT_READY,
                "this instance was paused and has not read the current state yet",
            )
        return None

    def paused_ms(self) -> Millis:
        """Return how long ago the last tick was."""
        return self._clock.now_ms() - self._ticked_ms

    def tick(self) -> None:
        """Note that the event loop runs and the state is current."""
        self._ticked_ms = self._clock.now_ms()
        self._announce()

    def configured(self) -> None:
        """Note that a current configuration is in force and the workers are known."""
        self._configured = True
        self._announce()

    def drain(self) -> None:
        """Answer not ready from now on."""
        self._draining = True
        self._announce()

    def is_draining(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._draining

    def _announce(self) -> None:
        refusal = self.not_ready()
        ready = refusal is None
        if ready == self._announced:
            return
        self._announced = ready
        if refusal is None:
            self._log.emit(Event.INSTANCE_READY)
        else:
            self._log.emit(Event.INSTANCE_NOT_READY, reason=refusal.detail)
