"""The own session of this instance, and its view of the other sessions."""

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
# because silence of the others may then be the table service's.
OBSERVATION_GAP_MS: Millis = 2_000
# A heartbeat that failed is tried again well within the gap.
HEARTBEATS_POLLS = 4
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


class _Seen(NamedTuple):
    """Hold a session's row and since when it is unchanged and ready (local ms)."""

    version: int
    row: SessionRow
    unchanged_since_ms: Millis
    ready_since_ms: Millis | None


def session_key(session: str) -> str:
    """Return the key of a session's row."""
    return PREFIX + session


class Membership(Service):
    """Keep the own session alive and tell which other sessions are live.

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
        self._gap_ms = max(
            OBSERVATION_GAP_MS,
            2 * self._heartbeat_ms,
            2 * self._scan_ms,
        )
        self._write_lock = asyncio.Lock()
        self._scan_lock = asyncio.Lock()
        self._own_version = ABSENT
        self._own_row: SessionRow | None = None
        self._heartbeat = 0
        self._ready = False
        self._is_stale = True
        self._has_left = False
        self._beat_ms: Millis | None = None
        self._scanned_ms: Millis | None = None
        self._seen: dict[str, _Seen] = {}
        self._expired: set[str] = set()
        self._junk_versions: dict[str, int] = {}
        self._live_before: set[str] = set()
        self._gone_handlers: list[Callable[[str], None]] = []

    async def on_start(self) -> None:
        """Write heartbeats and scan the sessions periodically."""
        poll_ms = max(self._heartbeat_ms // HEARTBEATS_POLLS, 1)
        for interval_ms, action in (
            (poll_ms, self._beat_if_due),
            (self._scan_ms, self._scan),
        ):
            self.add_future(
                run_forever(self, interval_ms, action, self._clock, self._log)
            )

    def live(self) -> dict[str, SessionRow]:
        """Return the sessions that are not expired, the own one included."""
        live = {
            session: seen.row
            for session, seen in self._seen.items()
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
        seen = self._seen.get(session)
        return seen.row if seen is not None else None

    def version_of(self, session: str) -> int:
        """Return the version of the session's row as observed, else ``ABSENT``."""
        seen = self._seen.get(session)
        return seen.version if seen is not None else ABSENT

    def ready_for_ms(self, session: str) -> Millis:
        """Return for how long the session has been seen live and ready."""
        seen = self._seen.get(session)
        if seen is None or seen.ready_since_ms is None or session in self._expired:
            return 0
        return self._clock.now_ms() - seen.ready_since_ms

    def is_gone(self, session: str) -> bool:
        """Tell whether a session has expired or been deleted; False if unsure."""
        if not self.is_observing() or session == self.session:
            return False
        return session in self._expired or session not in self._seen

    def on_gone(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with each session that has expired or been deleted."""
        self._gone_handlers.append(handler)

    def is_observing(self) -> bool:
        """Tell whether the own scans and the own heartbeats succeed."""
        now_ms = self._clock.now_ms()
        return all(
            since_ms is not None and now_ms - since_ms <= self._gap_ms
            for since_ms in (self._beat_ms, self._scanned_ms)
        )

    async def refresh(self) -> None:
        """Write one heartbeat and scan the sessions."""
        await self._beat()
        await self._scan()

    async def leave(self) -> None:
        """Delete the own row; if that fails, the session expires."""
        async with self._write_lock:
            self._has_left = True
            for _ in range(LEAVE_ATTEMPTS):
                key = session_key(self.session)
                reply = await self._store.commit([Delete(key, self._own_version)])
                if isinstance(reply, Ok) or not await self._read_own():
                    return

    def set_ready(self, ready: bool) -> None:
        """Publish with the next heartbeat whether this instance may own shards."""
        if ready != self._ready:
            self._ready = ready
            self._is_stale = True

    async def publish(self) -> bool:
        """Write the own row at once; return whether it shows the own readiness."""
        await self._beat()
        return not self._is_stale

    async def remove_expired(self, named: Iterable[str]) -> None:
        """Delete the rows of expired sessions that no shard names as its owner."""
        for session in self._expired.difference(named):
            # The session may have come back while the previous row was deleted.
            if not self.is_gone(session):
                continue
            key = session_key(session)
            await self._store.commit([Delete(key, self.version_of(session))])

    async def _beat_if_due(self) -> None:
        now_ms = self._clock.now_ms()
        early_ms = self._heartbeat_ms // HEARTBEATS_POLLS // 2
        is_due = self._beat_ms is None or (
            now_ms - self._beat_ms >= self._heartbeat_ms - early_ms
        )
        if is_due or self._is_stale:
            await self._beat()

    async def _beat(self) -> None:
        async with self._write_lock:
            if self._has_left:
                return
            started_ms = self._clock.now_ms()
            row = self._next_row()
            put = Put(session_key(self.session), _as_value(row), self._own_version)
            reply = await self._store.commit([put])
            if isinstance(reply, Ok):
                self._wrote(row, reply.ok_value[put.key], started_ms)
            elif reply.err_value.code is not Code.STORE_UNAVAILABLE:
                await self._read_own()

    def _wrote(self, row: SessionRow, version: int, started_ms: Millis) -> None:
        if self._own_row is None:
            self._log.emit(Event.SESSION_OPENED, session=self.session)
        self._own_version = version
        self._own_row = row
        self._is_stale = row["ready"] != self._ready
        if _is_gap(self._beat_ms, self._clock.now_ms(), self._gap_ms):
            self._restart_observation()
        self._beat_ms = started_ms

    async def _read_own(self) -> bool:
        """Adopt the version of the own row; open a new session if it is deleted."""
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
        lost, self.session = self.session, uuid4().hex
        self._log.emit(Event.SESSION_LOST, session=lost, new_session=self.session)
        self._own_version = ABSENT
        self._own_row = None
        self._is_stale = True

    def _next_row(self) -> SessionRow:
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
                self._scanned(reply.ok_value)

    def _scanned(self, rows: list[Row]) -> None:
        now_ms = self._clock.now_ms()
        is_gap = _is_gap(self._scanned_ms, now_ms, self._gap_ms)
        self._scanned_ms = now_ms
        if is_gap or _is_gap(self._beat_ms, now_ms, self._gap_ms):
            self._restart_observation()
        self._observe(rows, now_ms)
        self._expire(now_ms)
        self._report_gone()

    def _observe(self, rows: list[Row], now_ms: Millis) -> None:
        seen: dict[str, _Seen] = {}
        for row in rows:
            session = row.key.removeprefix(PREFIX)
            before = self._seen.get(session)
            if before is not None and before.version == row.version:
                seen[session] = before
                continue
            if not is_session_row(row.value):
                self._note_junk(row)
                if before is not None:
                    seen[session] = before._replace(version=row.version)
                continue
            self._expired.discard(session)
            seen[session] = _changed(row, before, now_ms)
        self._seen = seen
        self._expired &= seen.keys()

    def _note_junk(self, row: Row) -> None:
        if self._junk_versions.get(row.key) != row.version:
            self._junk_versions[row.key] = row.version
            self._log.emit(Event.BAD_INPUT, source=row.key, detail="wrong shape")

    def _expire(self, now_ms: Millis) -> None:
        if not self.is_observing():
            return
        for session, seen in self._seen.items():
            silent_ms = now_ms - seen.unchanged_since_ms
            is_known = session in self._expired or session == self.session
            if is_known or silent_ms < self._timeout_ms:
                continue
            self._expired.add(session)
            self._log.emit(
                Event.SESSION_EXPIRED,
                session=session,
                instance=seen.row["instance"],
                silent_ms=silent_ms,
            )

    def _report_gone(self) -> None:
        if not self.is_observing():
            return
        live = self._seen.keys() - self._expired
        for session in self._live_before - live - {self.session}:
            for handler in self._gone_handlers:
                handler(session)
        self._live_before = live

    def _restart_observation(self) -> None:
        now_ms = self._clock.now_ms()
        self._expired.clear()
        self._seen = {
            session: seen._replace(unchanged_since_ms=now_ms)
            for session, seen in self._seen.items()
        }


def _is_gap(since_ms: Millis | None, now_ms: Millis, gap_ms: Millis) -> bool:
    return since_ms is None or now_ms - since_ms > gap_ms


def _as_value(row: SessionRow) -> dict[str, Any]:
    return cast(dict[str, Any], row)


def _changed(row: Row, before: _Seen | None, now_ms: Millis) -> _Seen:
    value = cast(SessionRow, row.value)
    ready_since_ms = before.ready_since_ms if before is not None else None
    if not value["ready"]:
        ready_since_ms = None
    elif ready_since_ms is None:
        ready_since_ms = now_ms
    return _Seen(row.version, value, now_ms, ready_since_ms)


def is_session_row(value: Any) -> bool:
    """Tell whether a value has the shape of a session row."""
    return isinstance(value, dict) and all(
        type(value.get(name)) is expected for name, expected in FIELD_TYPES.items()
    )
