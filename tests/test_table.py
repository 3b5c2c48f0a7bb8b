"""Tests of the table interface: JSON encoding of operations, and failure codes."""

import json
from typing import Any

import pytest

from hyssopweir.codes import Code, Outcome
from hyssopweir.standin_table import MAX_OPERATIONS, StandinTable
from hyssopweir.table import (
    ABSENT,
    Check,
    Delete,
    Operation,
    Put,
    Require,
    operation_from_dict,
    operation_to_dict,
)


@pytest.mark.parametrize(
    "operation",
    [
        Put("a", {"n": [1, None]}, ABSENT),
        Delete("a", 7),
        Check("a", 7),
        Require("a", "epoch", 3),
    ],
)
def test_operation_json_round_trip(operation: Operation) -> None:
    """Guards against conditions that the JSON encoding changes or loses."""
    text = json.dumps(operation_to_dict(operation))
    assert operation_from_dict(json.loads(text)) == operation


@pytest.mark.parametrize(
    "data",
    [
        {},
        {"op": "drop", "key": "a"},
        {"op": "put", "key": "a", "value": {}},
        {"op": "put", "key": "a", "value": [], "expected": 0},
        {"op": "put", "key": "a", "value": {}, "expected": True},
        {"op": "delete", "key": 5, "expected": 0},
        {"op": "check", "key": "a", "expected": "1"},
    ],
)
def test_malformed_operation_is_rejected(data: dict[str, Any]) -> None:
    """Guards against a wrong type that leaves a transaction partly applied."""
    with pytest.raises((KeyError, TypeError)):
        operation_from_dict(data)


@pytest.mark.parametrize(
    ("operations", "code"),
    [
        ([Put("a", {}, 9)], Code.STORE_CONFLICT),
        ([Require("a", "epoch", 1)], Code.STORE_CONFLICT),
        ([Check("a", ABSENT)] * (MAX_OPERATIONS + 1), Code.STORE_JUNK),
    ],
)
def test_rejected_commit_returns_an_expected_code(
    operations: list[Operation], code: Code
) -> None:
    """Guards against failure codes that clients of the table service do not handle."""
    failure = StandinTable().commit(operations, "test").unwrap_err()
    assert (failure.code, failure.outcome) == (code, Outcome.NOT_RUN)
