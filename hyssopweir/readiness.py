"""Readiness of an instance for the load balancer and for requests."""

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.events import Event, EventLog

TICK_MS: Millis = 250
MAX_PAUSE_MS: Millis = 4_000


class Readiness:
    """Track whether this instance may serve requests, and why not.

    An instance whose event loop was blocked for more than ``MAX_PAUSE_MS`` may
    have lost its shards and may have an outdated configuration, so it serves again
    only after it has read the current owners and the current configuration.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._configured = False
        self._draining = False
        self._last_tick_ms = clock.now_ms()
        self._logged_ready: bool | None = None

    def check_ready(self) -> Failure | None:
        """Return the reason for a failed readiness probe, None if it passes."""
        if self._draining:
            return not_run(Code.DRAINING, "this instance is stopping")
        return self.refusal()

    def refusal(self) -> Failure | None:
        """Return the reason to reject a request, None if it is served.

        A draining instance still serves the requests that the load balancer sends
        until it notices the failed readiness probe.
        """
        if not self._configured:
            return not_run(
                Code.NOT_READY,
                "this instance has not read the configuration and the workers yet",
            )
        if self.paused_ms() > MAX_PAUSE_MS:
            return not_run(
                Code.NOT_READY,
                "this instance was paused and has not read the current state yet",
            )
        return None

    def paused_ms(self) -> Millis:
        """Return the time since the last tick."""
        return self._clock.now_ms() - self._last_tick_ms

    def tick(self) -> None:
        """Record that the event loop runs and the state is current."""
        self._last_tick_ms = self._clock.now_ms()
        self._log_change()

    def mark_configured(self) -> None:
        """Record that a configuration is in force and the workers are known."""
        self._configured = True
        self._log_change()

    def start_draining(self) -> None:
        """Report the instance as not ready from now on."""
        self._draining = True
        self._log_change()

    def is_draining(self) -> bool:
        """Check whether a graceful shutdown has begun."""
        return self._draining

    def _log_change(self) -> None:
        failure = self.check_ready()
        ready = failure is None
        if ready == self._logged_ready:
            return
        self._logged_ready = ready
        if failure is None:
            self._log.emit(Event.INSTANCE_READY)
        else:
            self._log.emit(Event.INSTANCE_NOT_READY, reason=failure.detail)
