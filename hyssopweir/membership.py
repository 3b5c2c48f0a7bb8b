"""Membership: the session of this instance, and the liveness of all others."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, cast
from uuid import uuid4

from mode import Service
from result import Err, Ok

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code
from hyssopweir.contracts import SessionRow
from hyssopweir.events import Event, EventLog
from hyssopweir.loops import run_forever
from hyssopweir.settings import Settings
from hyssopweir.table import ABSENT, Delete, Put, Row, TableStore

PREFIX = "sessions/"
# A longer gap in the own scans or heartbeats restarts the observation of all sessions,
# because a table outage may then be the cause of the others' missing heartbeats.
MIN_OBSERVATION_GAP_MS: Millis = 2_000
# A failed heartbeat is retried well before the gap ends the observation.
POLLS_PER_HEARTBEAT = 4
LEAVE_ATTEMPTS = 3
FIELD_TYPES: dict[str, type] = {
    "instance": str,
    "data_centre": str,
    "host": str,
    "peer_port": int,
    "caller_port": int,
    "heartbeat": int,
    "configuration": int,
    "ready": bool,
}


class _ObservedSession(NamedTuple):
    """Row of a session, and since when (local clock) it is unchanged and ready."""

    version: int
    row: SessionRow
    unchanged_since_ms: Millis
    ready_since_ms: Millis | None


def session_key(session: str) -> str:
    """Return the key of a session's row."""
    return PREFIX + session


class Membership(Service):
    """Write heartbeats for the own session and detect failures of the others.

    ``ports`` returns the peer port and the caller port, ``configuration_version`` the
    version in force; both are published in the session row.
    """

    def __init__(
        self,
        cfg: Settings,
        store: TableStore,
        clock: Clock,
        log: EventLog,
        ports: Callable[[], tuple[int, int]],
        configuration_version: Callable[[], int],
    ) -> None:
        super().__init__()
        timing = cfg["timing"]
        self.session = uuid4().hex
        self._cfg = cfg
        self._store = store
        self._clock = clock
        self._log = log
        self._ports = ports
        self._configuration_version = configuration_version
        self._heartbeat_ms = timing["heartbeat_ms"]
        self._timeout_ms = timing["session_timeout_ms"]
        self._scan_ms = timing["scan_ms"]
        self._max_gap_ms = max(
            MIN_OBSERVATION_GAP_MS,
            2 * self._heartbeat_ms,
            2 * self._scan_ms,
        )
        self._write_lock = asyncio.Lock()
        self._scan_lock = asyncio.Lock()
        self._own_version = ABSENT
        self._own_row: SessionRow | None = None
        self._heartbeat = 0
        self._ready = False
        self._is_row_stale = True
        self._has_left = False
        self._last_heartbeat_ms: Millis | None = None
        self._last_scan_ms: Millis | None = None
        self._observed: dict[str, _ObservedSession] = {}
        self._expired: set[str] = set()
        self._malformed_versions: dict[str, int] = {}
        self._previously_live: set[str] = set()
        self._gone_handlers: list[Callable[[str], None]] = []

    async def on_start(self) -> None:
        """Start to write heartbeats and to scan the sessions periodically."""
        poll_ms = max(self._heartbeat_ms // POLLS_PER_HEARTBEAT, 1)
        for interval_ms, action in (
            (poll_ms, self._beat_if_due),
            (self._scan_ms, self._scan),
        ):
            self.add_future(
                run_forever(self, interval_ms, action, self._clock, self._log)
            )

    def live(self) -> dict[str, SessionRow]:
        """Return the rows of all sessions that have not expired, with the own one."""
        live = {
            session: observed.row
            for session, observed in self._observed.items()
            if session not in self._expired and session != self.session
        }
        if self._own_row is not None and not self._has_left:
            ready = self._ready and self._own_row["ready"]
            live[self.session] = {**self._own_row, "ready": ready}
        return live

    def row(self, session: str) -> SessionRow | None:
        """Return the newest known row of a session."""
        if session == self.session:
            return self._own_row
        observed = self._observed.get(session)
        return observed.row if observed is not None else None

    def version_of(self, session: str) -> int:
        """Return the observed version of the session's row, or ``ABSENT``."""
        observed = self._observed.get(session)
        return observed.version if observed is not None else ABSENT

    def ready_duration_ms(self, session: str) -> Millis:
        """Return for how long the session has been observed live and ready."""
        observed = self._observed.get(session)
        if (
            observed is None
            or observed.ready_since_ms is None
            or session in self._expired
        ):
            return 0
        return self._clock.now_ms() - observed.ready_since_ms

    def is_gone(self, session: str) -> bool:
        """Check that a session has expired or been deleted; False if unknown."""
        if not self.is_observing() or session == self.session:
            return False
        return session in self._expired or session not in self._observed

    def on_gone(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with each session that has expired or been deleted."""
        self._gone_handlers.append(handler)

    def is_observing(self) -> bool:
        """Check that the own scans and heartbeats have succeeded recently."""
        now_ms = self._clock.now_ms()
        return all(
            since_ms is not None and now_ms - since_ms <= self._max_gap_ms
            for since_ms in (self._last_heartbeat_ms, self._last_scan_ms)
        )

    async def refresh(self) -> None:
        """Write one heartbeat and scan the sessions once."""
        await self._write_heartbeat()
        await self._scan()

    async def leave(self) -> None:
        """Delete the own row; if that fails, the session expires later."""
        async with self._write_lock:
            self._has_left = True
            for _ in range(LEAVE_ATTEMPTS):
                key = session_key(self.session)
                reply = await self._store.commit([Delete(key, self._own_version)])
                if isinstance(reply, Ok) or not await self._read_own_row():
                    return

    def set_ready(self, ready: bool) -> None:
        """Set whether this instance may own shards; the next heartbeat publishes it."""
        if ready != self._ready:
            self._ready = ready
            self._is_row_stale = True

    async def publish(self) -> bool:
        """Write the own row at once; return whether it has the current readiness."""
        await self._write_heartbeat()
        return not self._is_row_stale

    async def remove_expired(self, owners: Iterable[str]) -> None:
        """Delete the rows of expired sessions that own no shard."""
        for session in self._expired.difference(owners):
            # The session may be live again since the previous row was deleted.
            if not self.is_gone(session):
                continue
            key = session_key(session)
            await self._store.commit([Delete(key, self.version_of(session))])

    async def _beat_if_due(self) -> None:
        now_ms = self._clock.now_ms()
        tolerance_ms = self._heartbeat_ms // POLLS_PER_HEARTBEAT // 2
        is_due = self._last_heartbeat_ms is None or (
            now_ms - self._last_heartbeat_ms >= self._heartbeat_ms - tolerance_ms
        )
        if is_due or self._is_row_stale:
            await self._write_heartbeat()

    async def _write_heartbeat(self) -> None:
        async with self._write_lock:
            if self._has_left:
                return
            started_ms = self._clock.now_ms()
            row = self._build_row()
            put = Put(session_key(self.session), _as_value(row), self._own_version)
            reply = await self._store.commit([put])
            if isinstance(reply, Ok):
                self._process_write(row, reply.ok_value[put.key], started_ms)
            elif reply.err_value.code is not Code.STORE_UNAVAILABLE:
                await self._read_own_row()

    def _process_write(self, row: SessionRow, version: int, started_ms: Millis) -> None:
        if self._own_row is None:
            self._log.emit(Event.SESSION_OPENED, session=self.session)
        self._own_version = version
        self._own_row = row
        self._is_row_stale = row["ready"] != self._ready
        if _is_gap(self._last_heartbeat_ms, self._clock.now_ms(), self._max_gap_ms):
            self._restart_observation()
        self._last_heartbeat_ms = started_ms

    async def _read_own_row(self) -> bool:
        """Reload the version of the own row; open a new session if it was deleted."""
        reply = await self._store.read(session_key(self.session))
        if isinstance(reply, Err):
            return False
        row = reply.ok_value
        if row is not None:
            self._own_version = row.version
            return True
        if self._own_version != ABSENT and not self._has_left:
            self._open_new_session()
        return False

    def _open_new_session(self) -> None:
        lost_session, self.session = self.session, uuid4().hex
        self._log.emit(
            Event.SESSION_LOST, session=lost_session, new_session=self.session
        )
        self._own_version = ABSENT
        self._own_row = None
        self._is_row_stale = True

    def _build_row(self) -> SessionRow:
        self._heartbeat += 1
        peer_port, caller_port = self._ports()
        return {
            "instance": self._cfg["instance"],
            "data_centre": self._cfg["data_centre"],
            "host": self._cfg["peers"]["host"],
            "peer_port": peer_port,
            "caller_port": caller_port,
            "heartbeat": self._heartbeat,
            "configuration": self._configuration_version(),
            "ready": self._ready,
        }

    async def _scan(self) -> None:
        async with self._scan_lock:
            reply = await self._store.scan(PREFIX)
            if isinstance(reply, Ok):
                self._process_rows(reply.ok_value)

    def _process_rows(self, rows: list[Row]) -> None:
        now_ms = self._clock.now_ms()
        is_gap = _is_gap(self._last_scan_ms, now_ms, self._max_gap_ms)
        self._last_scan_ms = now_ms
        if is_gap or _is_gap(self._last_heartbeat_ms, now_ms, self._max_gap_ms):
            self._restart_observation()
        self._observe(rows, now_ms)
        self._expire(now_ms)
        self._call_gone_handlers()

    def _observe(self, rows: list[Row], now_ms: Millis) -> None:
        observed: dict[str, _ObservedSession] = {}
        for row in rows:
            session = row.key.removeprefix(PREFIX)
            previous = self._observed.get(session)
            if previous is not None and previous.version == row.version:
                observed[session] = previous
                continue
            if not is_session_row(row.value):
                self._log_malformed_row(row)
                if previous is not None:
                    observed[session] = previous._replace(version=row.version)
                continue
            self._expired.discard(session)
            observed[session] = _update_observation(row, previous, now_ms)
        self._observed = observed
        self._expired &= observed.keys()

    def _log_malformed_row(self, row: Row) -> None:
        if self._malformed_versions.get(row.key) != row.version:
            self._malformed_versions[row.key] = row.version
            self._log.emit(Event.BAD_INPUT, source=row.key, detail="malformed row")

    def _expire(self, now_ms: Millis) -> None:
        if not self.is_observing():
            return
        for session, observed in self._observed.items():
            silent_ms = now_ms - observed.unchanged_since_ms
            is_known = session in self._expired or session == self.session
            if is_known or silent_ms < self._timeout_ms:
                continue
            self._expired.add(session)
            self._log.emit(
                Event.SESSION_EXPIRED,
                session=session,
                instance=observed.row["instance"],
                silent_ms=silent_ms,
            )

    def _call_gone_handlers(self) -> None:
        if not self.is_observing():
            return
        live = self._observed.keys() - self._expired
        for session in self._previously_live - live - {self.session}:
            for handler in self._gone_handlers:
                handler(session)
        self._previously_live = live

    def _restart_observation(self) -> None:
        now_ms = self._clock.now_ms()
        self._expired.clear()
        self._observed = {
            session: observed._replace(unchanged_since_ms=now_ms)
            for session, observed in self._observed.items()
        }


def _is_gap(since_ms: Millis | None, now_ms: Millis, max_gap_ms: Millis) -> bool:
    return since_ms is None or now_ms - since_ms > max_gap_ms


def _as_value(row: SessionRow) -> dict[str, Any]:
    return cast(dict[str, Any], row)


def _update_observation(
    row: Row, previous: _ObservedSession | None, now_ms: Millis
) -> _ObservedSession:
    value = cast(SessionRow, row.value)
    ready_since_ms = previous.ready_since_ms if previous is not None else None
    if not value["ready"]:
        ready_since_ms = None
    elif ready_since_ms is None:
        ready_since_ms = now_ms
    return _ObservedSession(row.version, value, now_ms, ready_since_ms)


def is_session_row(value: Any) -> bool:
    """Check that a value has all fields of a session row with their types."""
    return isinstance(value, dict) and all(
        type(value.get(name)) is expected_type
        for name, expected_type in FIELD_TYPES.items()
    )
