"""Numbered result codes, and failures that carry one.

A command that fails exits with the code as its status, so all codes are below 126.
The table in ``docs/result_codes.md`` is checked against this module by a test.
"""

from enum import Enum, IntEnum
from typing import Any, NamedTuple


class Code(IntEnum):
    """Result code that a caller, an operator or a peer can receive."""

    OK = 0
    INTERNAL = 1
    USAGE = 2

    SETTINGS_UNREADABLE = 10
    SETTINGS_INVALID = 11
    CONFIGURATION_INVALID = 12

    BAD_REQUEST = 20
    BODY_TOO_LARGE = 21
    UNKNOWN_SERVICE = 22
    KEY_REQUIRED = 23
    KEY_REUSED = 24
    NOT_FOUND = 25
    HEAD_TOO_LARGE = 26
    REQUEST_TIMEOUT = 27
    TOO_MANY_CLIENTS = 28
    CLIENT_DROPPED = 29

    OVERLOADED = 30
    DEADLINE_UNREACHABLE = 31
    NO_CAPACITY = 32
    NOT_READY = 33
    DRAINING = 34
    NOT_OWNER = 35
    CANCELLED = 36

    DEADLINE_EXCEEDED = 40
    IN_PROGRESS = 41
    OUTCOME_UNKNOWN = 42
    ANSWER_MISMATCH = 43
    TASK_FAILED = 44

    WORKER_UNREACHABLE = 50
    WORKER_REFUSED = 51
    WORKER_FULL = 52
    WORKER_LEAVING = 53
    STALE_EPOCH = 54
    STALE_INCARNATION = 55
    WORKER_JUNK = 56

    STORE_UNAVAILABLE = 60
    STORE_CONFLICT = 61
    STORE_OUTCOME_UNKNOWN = 62
    STORE_JUNK = 63
    LIST_UNAVAILABLE = 64
    STORE_HISTORY_LOST = 65

    PEER_UNREACHABLE = 70
    PEER_VERSION = 71
    PEER_JUNK = 72
    PEER_LOST = 73

    PLAN_STALE = 80
    PLAN_IMPOSSIBLE = 81
    CONFIGURATION_CONFLICT = 82
    QUESTION_UNKNOWN = 83

    INVARIANT_BREACH = 90

    DEMO_FAILED = 100


class Outcome(Enum):
    """What is known about the execution of a failed request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Failure(NamedTuple):
    """A failure: its code, a description, and what is known about the execution.

    ``outcome`` is ``NOT_RUN`` only if it is certain that nothing ran and nothing will.
    """

    code: Code
    detail: str
    outcome: Outcome = Outcome.UNKNOWN
    extra: dict[str, Any] = {}

    def __str__(self) -> str:
        return f"{self.code.name} ({int(self.code)}): {self.detail}"


def not_run(code: Code, detail: str, **extra: Any) -> Failure:
    """Return a failure where it is certain that nothing ran."""
    return Failure(code, detail, Outcome.NOT_RUN, extra)


def unknown(code: Code, detail: str, **extra: Any) -> Failure:
    """Return a failure where it is unknown whether something ran."""
    return Failure(code, detail, Outcome.UNKNOWN, extra)


def failure_to_dict(failure: Failure) -> dict[str, Any]:
    """Convert a failure to the form that is sent as JSON and CBOR."""
    return {
        "code": int(failure.code),
        "name": failure.code.name,
        "detail": failure.detail,
        "outcome": failure.outcome.value,
        "extra": failure.extra,
    }


def failure_from_dict(data: dict[str, Any]) -> Failure:
    """Convert a dictionary of ``failure_to_dict`` back to a failure.

    Raise ``ValueError``, ``KeyError`` or ``TypeError`` if ``data`` is malformed.
    """
    return Failure(
        Code(data["code"]),
        str(data["detail"]),
        Outcome(data["outcome"]),
        dict(data.get("extra", {})),
    )
