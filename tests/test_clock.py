"""The clock and the order of events over processes."""

import pytest

from hyssopweir.clock import HybridClock, HybridTimestamp
from tests.virtual_time import VirtualClock, run_virtual


@pytest.mark.parametrize("skew_ms", [-60_000, 0, 60_000])
def test_effect_sorts_after_cause_despite_skew(skew_ms: int) -> None:
    """Guards against a time line that trusts the wall clocks of two machines."""

    async def exchange() -> tuple[HybridTimestamp, HybridTimestamp]:
        sender = HybridClock(VirtualClock())
        receiver = HybridClock(VirtualClock(skew_ms))
        cause = sender.tick()
        return cause, receiver.observe(cause)

    cause, effect = run_virtual(exchange())
    assert cause < effect
