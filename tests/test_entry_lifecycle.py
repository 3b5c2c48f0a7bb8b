"""Tests of an entry instance's readiness and graceful shutdown."""

import pytest

from hyssopweir.entry_lifecycle import claim_delay_ms, is_ready, may_close_connections


@pytest.mark.parametrize(
    ("is_open", "is_stopping", "silent_ms", "expected"),
    [
        (True, False, 0, True),
        (False, False, 0, False),
        (True, True, 0, False),
        (True, False, 2_499, True),
        (True, False, 2_500, False),
    ],
)
def test_readiness_follows_state_and_store_silence(
    is_open: bool, is_stopping: bool, silent_ms: int, expected: bool
) -> None:
    """Guards against routing callers to an instance that cannot accept requests."""
    assert is_ready(is_open, is_stopping, silent_ms) is expected


@pytest.mark.parametrize(
    ("stopping_ms", "in_progress", "expected"),
    [(0, 0, False), (2_299, 0, False), (2_300, 0, True), (2_300, 1, False)]
    + [(4_499, 1, False), (4_500, 1, True)],
)
def test_end_of_a_planned_stop(
    stopping_ms: int, in_progress: int, expected: bool
) -> None:
    """Guards against a shutdown that cuts off requests or is killed at its limit."""
    assert may_close_connections(stopping_ms, 6_000, in_progress) is expected


@pytest.mark.parametrize(
    ("processors", "link_mbps", "expected_ms"),
    [(1.07, 1_000.0, 0), (2.15, 20.0, 0), (0.5, 100.0, 300), (2.0, 5.0, 450)],
)
def test_small_instances_delay_their_claims(
    processors: float, link_mbps: float, expected_ms: int
) -> None:
    """Guards against an undersized owner while larger instances are available."""
    assert claim_delay_ms(processors, link_mbps) == expected_ms
