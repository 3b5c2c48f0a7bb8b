"""The configuration in force: read, followed and changed by compare-and-set."""

import math
from collections import OrderedDict
from copy import deepcopy
from typing import Any, NamedTuple, NotRequired, TypedDict, cast

from mode import Service
from result import Err, Ok, Result

from hyssopweir.clock import Clock
from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.events import Event, EventLog
from hyssopweir.intents import changes_between
from hyssopweir.invariants import Invariants
from hyssopweir.loops import run_forever
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.schemas import Fault, load_schema, schema_faults
from hyssopweir.settings import Settings
from hyssopweir.table import ABSENT, Put, Row, TableStore

CONFIGURATION_ROW_KEY = "config/current"
TOPIC = "config_changed"
FIRST_VERSION = 1
CHANGE_ATTEMPTS = 3
# Enough for an operator's base in a burst of changes; an older one is only reported
# against the proposal.
REMEMBERED_VERSIONS = 50


class ServicePolicy(TypedDict):
    """Describe a service that callers may request."""

    idempotent: bool
    latency_target_ms: NotRequired[int]
    urgent: NotRequired[bool]


class BatchPolicy(TypedDict):
    """Describe how batch work of one kind is treated."""

    finish_by: NotRequired[str]
    paused: NotRequired[bool]


class TeamPolicy(TypedDict):
    """Describe the share of one team."""

    quota_slots: NotRequired[int]


class Weights(TypedDict):
    """Weigh the three measures against each other."""

    tail_latency: float
    batch_throughput: float
    evictions: float


class ConfigurationBody(TypedDict):
    """Hold the policies of one version, defaults filled in."""

    services: dict[str, ServicePolicy]
    batch: dict[str, BatchPolicy]
    teams: dict[str, TeamPolicy]
    weights: Weights
    retired_workers: list[str]


class _Versioned(NamedTuple):
    version: int
    body: ConfigurationBody


def configuration_schema() -> dict[str, Any]:
    """Return the JSON schema of a configuration body."""
    return load_schema("configuration")


def configuration_faults(body: Any) -> list[Fault]:
    """Return every fault of a configuration body, with its JSON path."""
    code = Code.CONFIGURATION_INVALID
    faults = schema_faults(configuration_schema(), body, code)
    if faults:
        return faults
    weights = body.get("weights", {})
    return [
        Fault(code, f"$.weights.{name}", "must be a finite number")
        for name, weight in weights.items()
        if not math.isfinite(weight)
    ]


def fill_defaults(body: Any) -> ConfigurationBody:
    """Return a body without faults with its defaults filled in."""
    parts = configuration_schema()["properties"]
    full = {name: deepcopy(part["default"]) for name, part in parts.items()}
    full.update(deepcopy(body))
    weights = parts["weights"]["properties"].items()
    defaults = {name: part["default"] for name, part in weights}
    full["weights"] = {**defaults, **full["weights"]}
    return cast(ConfigurationBody, full)


class ConfigurationKeeper(Service):
    """Follow the configuration row and the peers' notes, and change the row.

    ``version`` is 0 until the row or a note has been read.
    """

    def __init__(
        self,
        cfg: Settings,
        store: TableStore,
        peers: PeerNetwork,
        invariants: Invariants,
        clock: Clock,
        log: EventLog,
    ) -> None:
        super().__init__()
        self.version = 0
        self.body: ConfigurationBody = fill_defaults({})
        self._scan_ms = cfg["timing"]["scan_ms"]
        self._store = store
        self._peers = peers
        self._invariants = invariants
        self._clock = clock
        self._log = log
        self._row_version = ABSENT
        self._known: OrderedDict[int, ConfigurationBody] = OrderedDict()
        peers.on_notification(TOPIC, self._on_note)

    async def on_start(self) -> None:
        """Read the row every ``scan_ms``."""
        self.add_future(
            run_forever(self, self._scan_ms, self.refresh, self._clock, self._log)
        )

    async def refresh(self) -> None:
        """Read the row once; write the first version if there is none."""
        reply = await self._store.read(CONFIGURATION_ROW_KEY)
        if isinstance(reply, Err):
            return
        if reply.ok_value is None:
            await self._write_first()
            return
        self._adopt_row(reply.ok_value)

    async def change(self, body: Any, based_on: int) -> Result[int, Failure]:
        """Put a body into force if ``based_on`` is the current version.

        ``CONFIGURATION_INVALID`` lists every fault, ``CONFIGURATION_CONFLICT`` carries
        the differences; both changed nothing. ``STORE_OUTCOME_UNKNOWN`` is possible.
        """
        faults = configuration_faults(body)
        if faults:
            return Err(self._refused(_invalid(faults)))
        full = fill_defaults(body)
        for _ in range(CHANGE_ATTEMPTS):
            read = await self._store.read(CONFIGURATION_ROW_KEY)
            if isinstance(read, Err):
                return read
            current = self._newest(read.ok_value)
            if current.version != based_on:
                return Err(self._refused(self._conflict(current, full, based_on)))
            row_version = read.ok_value.version if read.ok_value else ABSENT
            reply = await self._write(full, based_on + 1, row_version)
            if isinstance(reply, Ok) or reply.err_value.code != Code.STORE_CONFLICT:
                return reply
        detail = "other writers kept changing the configuration; nothing was changed"
        return Err(self._refused(not_run(Code.CONFIGURATION_CONFLICT, detail)))

    async def announce(self, version: int, body: Any) -> None:
        """Adopt a version that was just written and send it to the peers."""
        if configuration_faults(body):
            self._junk(f"version {version} is invalid")
            return
        full = fill_defaults(body)
        self._adopt(version, full)
        self._peers.broadcast(TOPIC, {"version": version, "body": full})

    async def _write(
        self,
        body: ConfigurationBody,
        version: int,
        row_version: int,
    ) -> Result[int, Failure]:
        value = {"version": version, "body": body}
        reply = await self._store.commit(
            [Put(CONFIGURATION_ROW_KEY, value, row_version)]
        )
        if isinstance(reply, Err):
            return reply
        self._log.emit(Event.CONFIGURATION_ACCEPTED, version=version)
        await self.announce(version, body)
        return Ok(version)

    async def _write_first(self) -> None:
        """Write version 1, or the version in force if the row has been lost."""
        version = max(self.version, FIRST_VERSION)
        value = {"version": version, "body": self.body}
        reply = await self._store.commit([Put(CONFIGURATION_ROW_KEY, value, ABSENT)])
        if isinstance(reply, Ok):
            self._adopt(version, self.body)

    def _newest(self, row: Row | None) -> _Versioned:
        if row is not None:
            self._adopt_row(row)
        return _Versioned(self.version, self.body)

    def _adopt_row(self, row: Row) -> None:
        # Checking a body against the schema takes far longer than reading the row.
        if row.version == self._row_version:
            return
        self._row_version = row.version
        found = _versioned(row.value)
        if found is None:
            self._junk("the row has the wrong shape")
        elif found.version < self.version:
            self._junk(f"the row has version {found.version}, below {self.version}")
        else:
            self._adopt(found.version, found.body)

    def _on_note(self, session: str, params: Params) -> None:
        found = _versioned(params)
        if found is None:
            self._junk(f"a note of {session} has the wrong shape")
            return
        self._adopt(found.version, found.body)

    def _adopt(self, version: int, body: ConfigurationBody) -> None:
        if version <= self.version:
            return
        self._invariants.check_version("configuration", version)
        self.version = version
        self.body = body
        self._known[version] = body
        if len(self._known) > REMEMBERED_VERSIONS:
            self._known.popitem(last=False)
        self._log.emit(Event.CONFIGURATION_IN_FORCE, version=version)

    def _conflict(
        self,
        current: _Versioned,
        proposed: ConfigurationBody,
        based_on: int,
    ) -> Failure:
        extra: dict[str, Any] = {
            "version": current.version,
            "based_on": based_on,
            "against_proposal": _difference(current.body, proposed),
        }
        base = self._known.get(based_on)
        if base is not None:
            extra["difference"] = _difference(base, current.body)
        detail = (
            f"the change is based on version {based_on}, but version "
            f"{current.version} is in force; nothing was changed"
        )
        return not_run(Code.CONFIGURATION_CONFLICT, detail, **extra)

    def _refused(self, failure: Failure) -> Failure:
        self._log.emit(
            Event.CONFIGURATION_REFUSED,
            code=int(failure.code),
            detail=failure.detail,
        )
        return failure

    def _junk(self, detail: str) -> None:
        self._log.emit(Event.BAD_INPUT, source=CONFIGURATION_ROW_KEY, detail=detail)


def _versioned(value: Any) -> _Versioned | None:
    if not isinstance(value, dict) or value.keys() != {"version", "body"}:
        return None
    version, body = value["version"], value["body"]
    if type(version) is not int or version < FIRST_VERSION:
        return None
    return (
        None if configuration_faults(body) else _Versioned(version, fill_defaults(body))
    )


def _invalid(faults: list[Fault]) -> Failure:
    listed = [{"path": fault.path, "detail": fault.detail} for fault in faults]
    text = "; ".join(f"{fault.path}: {fault.detail}" for fault in faults)
    return not_run(Code.CONFIGURATION_INVALID, text, faults=listed)


def _difference(
    before: ConfigurationBody,
    after: ConfigurationBody,
) -> list[dict[str, Any]]:
    old, new = cast(dict[str, Any], before), cast(dict[str, Any], after)
    return [change._asdict() for change in changes_between(old, new)]
