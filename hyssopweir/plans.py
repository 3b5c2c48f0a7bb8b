"""Plans: an operator's intent, its readable account, questions and confirmation."""

import re
from collections.abc import Awaitable, Callable
from typing import Any
from uuid import uuid4

from result import Err, Ok, Result

from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.configuration import (
    CONFIGURATION_ROW_KEY,
    configuration_faults,
    fill_defaults,
)
from hyssopweir.events import Event, EventLog
from hyssopweir.intents import (
    NOUNS,
    Body,
    FleetLimits,
    changes_between,
    impossible_wishes,
    intent_faults,
    resulting_body,
)
from hyssopweir.plan_accounts import account_text, build_plan_account, section_text
from hyssopweir.schemas import Fault
from hyssopweir.table import ABSENT, Operation, Put, Row, TableStore

Plan = dict[str, Any]
ConfigurationChanged = Callable[[int, Any], Awaitable[None]]

MADE, CONFIRMED = "made", "confirmed"
CONFIRM_ATTEMPTS = 3
PLAN_ID = re.compile(r"[0-9a-f]{12}")

QUESTION_FORMS = (
    "what changes",
    "what is expected",
    "what is not promised",
    "why service NAME",
    "why batch NAME",
    "why team NAME",
    "why version NUMBER",
)
NAMED_QUESTION = re.compile(r"why (service|batch|team|version) (\S+)", re.IGNORECASE)
SECTION_OF = {"service": "services", "batch": "batch", "team": "teams"}
ACCOUNT_PART = {
    "what changes": "changes",
    "what is expected": "expected",
    "what is not promised": "not_promised",
}


class PlanApi:
    """Make plans, answer questions about them and confirm them.

    ``changed`` is called with version and body after a configuration has been written;
    it must not raise. ``facts`` returns what is known of the fleet.
    """

    def __init__(
        self,
        store: TableStore,
        log: EventLog,
        changed: ConfigurationChanged,
        facts: Callable[[], FleetLimits],
    ) -> None:
        self._store = store
        self._log = log
        self._changed = changed
        self._facts = facts

    async def make(self, intent: Any) -> Result[Plan, Failure]:
        """Check an intent and record a plan for it; nothing takes effect yet.

        ``PLAN_IMPOSSIBLE`` lists every fault with its JSON path in ``extra``.
        """
        faults = intent_faults(intent)
        if faults:
            return Err(self._impossible(faults))
        found = await self._current()
        if isinstance(found, Err):
            return found
        current = found.ok_value.value
        body = resulting_body(current["body"], intent)
        facts = self._facts()
        faults = impossible_wishes(intent, current["body"], body, facts)
        faults = faults or configuration_faults(body)
        if faults:
            return Err(self._impossible(faults))
        plan = self._describe(intent, current, body, facts)
        row = Put(_row_key(plan["id"]), plan, ABSENT)
        reply = await self._store.commit([row])
        if isinstance(reply, Err):
            return reply
        self._log.emit(Event.PLAN_MADE, plan=plan["id"], based_on=plan["based_on"])
        return Ok(_view(plan))

    async def show(self, plan_id: str) -> Result[Plan, Failure]:
        """Return a recorded plan."""
        return (await self._find(plan_id)).map(lambda row: _view(row.value))

    async def confirm(self, plan_id: str) -> Result[Plan, Failure]:
        """Put a plan into force, once; a repetition returns the recorded result.

        ``PLAN_STALE`` carries the difference between the configuration that the plan
        is based on and the one in force.
        """
        doubt: Failure | None = None
        for _ in range(CONFIRM_ATTEMPTS):
            read = await self._read_both(plan_id)
            if isinstance(read, Err):
                return Err(doubt or read.err_value)
            current, row = read.ok_value
            if row.value["state"] == CONFIRMED:
                if doubt is not None:
                    await self._confirmed(row.value)
                return Ok(_view(row.value))
            if current.value["version"] != row.value["based_on"]:
                return Err(self._stale(row.value, current.value))
            reply = await self._write(current, row)
            if isinstance(reply, Ok):
                return reply
            if reply.err_value.code is Code.STORE_OUTCOME_UNKNOWN:
                doubt = _in_doubt(plan_id, reply.err_value)
            elif reply.err_value.code is not Code.STORE_CONFLICT:
                return Err(doubt or reply.err_value)
        detail = "other writers kept changing the rows; confirm again"
        return Err(doubt or not_run(Code.CONFIGURATION_CONFLICT, detail))

    async def ask(self, plan_id: str, question: str) -> Result[Plan, Failure]:
        """Answer one of ``QUESTION_FORMS`` about a plan."""
        read = await self._read_both(plan_id)
        if isinstance(read, Err):
            return read
        current, row = read.ok_value
        text = _answer(row.value, current.value, question)
        if text is None:
            listed = "; ".join(QUESTION_FORMS)
            detail = f"{question!r} can't be answered; what can be asked: {listed}"
            forms = list(QUESTION_FORMS)
            return Err(not_run(Code.QUESTION_UNKNOWN, detail, questions=forms))
        return Ok({"plan": plan_id, "question": question, "text": text})

    def _describe(
        self,
        intent: Body,
        current: Body,
        body: Body,
        facts: FleetLimits,
    ) -> Plan:
        return {
            "id": uuid4().hex[:12],
            "state": MADE,
            "intent": intent,
            "based_on": current["version"],
            "base": current["body"],
            "configuration": body,
            "account": build_plan_account(intent, current["body"], body, facts),
            "result": None,
        }

    async def _write(self, current: Row, row: Row) -> Result[Plan, Failure]:
        version = current.value["version"] + 1
        body = row.value["configuration"]
        plan = {**row.value, "state": CONFIRMED, "result": {"version": version}}
        operations: list[Operation] = [
            Put(
                CONFIGURATION_ROW_KEY,
                {"version": version, "body": body},
                current.version,
            ),
            Put(row.key, plan, row.version),
        ]
        reply = await self._store.commit(operations)
        if isinstance(reply, Err):
            return reply
        await self._confirmed(plan)
        return Ok(_view(plan))

    async def _confirmed(self, plan: Plan) -> None:
        version = plan["result"]["version"]
        self._log.emit(Event.PLAN_CONFIRMED, plan=plan["id"], version=version)
        self._log.emit(Event.CONFIGURATION_ACCEPTED, version=version, plan=plan["id"])
        await self._changed(version, plan["configuration"])

    async def _read_both(self, plan_id: str) -> Result[tuple[Row, Row], Failure]:
        """Read the configuration first, so that a plan still shown as made is stale
        whenever that configuration is newer than its base.
        """
        current = await self._current()
        if isinstance(current, Err):
            return current
        found = await self._find(plan_id)
        return found.map(lambda row: (current.ok_value, row))

    async def _current(self) -> Result[Row, Failure]:
        reply = await self._store.read(CONFIGURATION_ROW_KEY)
        if isinstance(reply, Err):
            return reply
        row = reply.ok_value
        if row is None:
            detail = "no configuration has been written yet"
            return Err(not_run(Code.NOT_READY, detail))
        body = row.value.get("body")
        if type(row.value.get("version")) is not int or configuration_faults(body):
            detail = f"the row {CONFIGURATION_ROW_KEY} holds no valid configuration"
            return Err(not_run(Code.STORE_JUNK, detail))
        value = {"version": row.value["version"], "body": fill_defaults(body)}
        return Ok(row._replace(value=value))

    async def _find(self, plan_id: str) -> Result[Row, Failure]:
        missing = not_run(Code.NOT_FOUND, f"there is no plan {plan_id!r}")
        if PLAN_ID.fullmatch(plan_id) is None:
            return Err(missing)
        reply = await self._store.read(_row_key(plan_id))
        if isinstance(reply, Err):
            return reply
        return Err(missing) if reply.ok_value is None else Ok(reply.ok_value)

    def _impossible(self, faults: list[Fault]) -> Failure:
        listed = [{"path": fault.path, "detail": fault.detail} for fault in faults]
        text = "; ".join(f"{fault.path}: {fault.detail}" for fault in faults)
        self._log.emit(Event.PLAN_REFUSED, code=int(Code.PLAN_IMPOSSIBLE), detail=text)
        return not_run(Code.PLAN_IMPOSSIBLE, text, faults=listed)

    def _stale(self, plan: Plan, current: Body) -> Failure:
        changes = changes_between(plan["base"], current["body"])
        detail = (
            f"the plan is based on version {plan['based_on']}, but version "
            f"{current['version']} is in force; nothing was changed, make a new plan"
        )
        self._log.emit(
            Event.PLAN_REFUSED,
            code=int(Code.PLAN_STALE),
            plan=plan["id"],
            version=current["version"],
        )
        return not_run(
            Code.PLAN_STALE,
            detail,
            based_on=plan["based_on"],
            version=current["version"],
            difference=[change._asdict() for change in changes],
        )


def _answer(plan: Plan, current: Body, question: str) -> str | None:
    asked = " ".join(question.strip().rstrip("?").split())
    part = ACCOUNT_PART.get(asked.lower())
    if part is not None:
        return "\n".join(plan["account"][part]) or "Nothing."
    named = NAMED_QUESTION.fullmatch(asked)
    if named is None:
        return None
    kind, name = named[1].lower(), named[2]
    if kind == "version":
        return _version_text(plan, current, name)
    section = SECTION_OF[kind]
    if all(
        name not in plan[body].get(section, {}) for body in ("base", "configuration")
    ):
        known = sorted(
            {*plan["base"].get(section, {}), *plan["configuration"][section]}
        )
        listed = ", ".join(known) or "none"
        return f"The plan knows no {NOUNS[section]} {name}; it knows: {listed}."
    return section_text(plan, section, name)


def _version_text(plan: Plan, current: Body, name: str) -> str | None:
    if not name.isdecimal():
        return None
    asked, based_on, in_force = int(name), plan["based_on"], current["version"]
    lines = [f"The plan is based on version {based_on}; {in_force} is in force."]
    if plan["state"] == CONFIRMED:
        lines.append(f"Confirming it made version {plan['result']['version']}.")
    elif in_force != based_on:
        lines.append("It can't be confirmed any more. What has changed since:")
        lines += map(str, changes_between(plan["base"], current["body"]))
    else:
        lines.append(f"Confirming it makes version {based_on + 1}.")
    if asked > in_force:
        lines.append(f"Version {asked} does not exist yet.")
    elif asked < based_on:
        lines.append(f"The plan does not hold version {asked}.")
    return "\n".join(lines)


def _in_doubt(plan_id: str, failure: Failure) -> Failure:
    detail = (
        f"it is not known whether plan {plan_id} took effect ({failure.detail}); "
        "confirm it again: it takes effect once at most"
    )
    return unknown(Code.STORE_OUTCOME_UNKNOWN, detail)


def _row_key(plan_id: str) -> str:
    return f"plans/{plan_id}"


def _view(plan: Plan) -> Plan:
    return {**plan, "text": account_text(plan)}
