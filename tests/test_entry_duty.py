"""When an entry instance takes connections, and when its planned stop is over."""

import pytest

from hyssopweir.entry_duty import is_ready, may_end


@pytest.mark.parametrize(
    ("version", "is_stopping", "silent_ms", "expected"),
    [
        (3, False, 0, True),
        (0, False, 0, False),
        (3, True, 0, False),
        (3, False, 2_499, True),
        (3, False, 2_500, False),
    ],
)
def test_readiness(
    version: int, is_stopping: bool, silent_ms: int, expected: bool
) -> None:
    """Guards against callers who are sent where nothing can be accepted."""
    assert is_ready(version, is_stopping, silent_ms) is expected


@pytest.mark.parametrize(
    ("stopping_ms", "in_progress", "expected"),
    [(0, 0, False), (2_299, 0, False), (2_300, 0, True), (2_300, 1, False)]
    + [(4_499, 1, False), (4_500, 1, True)],
)
def test_end_of_a_planned_stop(
    stopping_ms: int, in_progress: int, expected: bool
) -> None:
    """Guards against requests that are cut off, and a stop that is killed."""
    assert may_end(stopping_ms, 6_000, in_progress) is expected
