"""Log lines about a repeated call that fails, at a bounded rate."""

from typing import Any

from result import Err, Result

from hyssopweir.clock import SECOND_MS, Clock, Millis
from hyssopweir.codes import Failure
from hyssopweir.events import Event, EventLog

# Minimum time between two lines about the same call.
LINE_INTERVAL_MS: Millis = SECOND_MS


class CallFailures:
    """Log of the consecutive failures of one kind of call.

    The first failure is logged, further ones at most once per ``LINE_INTERVAL_MS``, and
    the next success if a failure was logged before it.
    """

    def __init__(self, call: str, clock: Clock, log: EventLog, **context: Any) -> None:
        self._call = call
        self._clock = clock
        self._log = log
        self._context = context
        self._count = 0
        self._failing_since_ms: Millis = 0
        self._logged_ms: Millis | None = None
        self._has_logged_failure = False

    def record(
        self,
        reply: Result[object, Failure],
        sent_ms: Millis,
        timeout_ms: Millis | None = None,
    ) -> None:
        """Record the reply to a call that was sent at ``sent_ms``."""
        if isinstance(reply, Err):
            self._record_failure(reply.err_value, sent_ms, timeout_ms)
        else:
            self._record_success()

    def _record_failure(
        self, failure: Failure, sent_ms: Millis, timeout_ms: Millis | None
    ) -> None:
        now_ms = self._clock.now_ms()
        if not self._count:
            self._failing_since_ms = sent_ms
        self._count += 1
        if self._logged_ms is not None and now_ms - self._logged_ms < LINE_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        self._has_logged_failure = True
        self._log.emit(
            Event.STORE_CALL_FAILED,
            call=self._call,
            **self._context,
            code=int(failure.code),
            detail=failure.detail,
            **failure.extra,
            took_ms=now_ms - sent_ms,
            timeout_ms=timeout_ms,
            failures=self._count,
        )

    def _record_success(self) -> None:
        if self._has_logged_failure:
            self._log.emit(
                Event.STORE_CALL_RECOVERED,
                call=self._call,
                **self._context,
                failures=self._count,
                failing_ms=self._clock.now_ms() - self._failing_since_ms,
            )
        self._count = 0
        self._has_logged_failure = False
