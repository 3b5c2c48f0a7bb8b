"""The interface of the table service: operations as JSON, and codes of refusals."""

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
def test_operation_survives_its_json_form(operation: Operation) -> None:
    """Guards against conditions that change or vanish on the way to the platform."""
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
def test_malformed_operation_is_refused(data: dict[str, Any]) -> None:
    """Guards against half a transaction, which a wrong type would leave behind."""
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
def test_refused_commit_has_a_code_of_the_interface(
    operations: list[Operation], code: Code
) -> None:
    """Guards against codes that the callers of the table service do not expect."""
    failure = StandinTable().commit(operations, "test").unwrap_err()
    assert (failure.code, failure.outcome) == (code, Outcome.NOT_RUN)
