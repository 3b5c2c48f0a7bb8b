"""Tests of planned stops of instances under load."""

import pytest
from result import Ok

from hyssopweir.clock import Millis
from tests.random_faults import Faults
from tests.random_load import SERVICES, Load
from tests.scenario import configure, run_system
from tests.system import DATA_CENTRES, System

# The longest run takes 2.5 s, and both the call and the reply may be delayed by 3 s.
DEADLINE_MS: Millis = 12_000


@pytest.mark.parametrize("service", sorted(SERVICES))
def test_rolling_restart_fails_no_request(service: str) -> None:
    """Guards against a planned stop that does not wait for requests in progress."""

    async def main(system: System) -> None:
        for data_centre in DATA_CENTRES:
            system.start_node(f"{data_centre}-1", data_centre)
        await system.clock.sleep_ms(8_000)
        await configure(system)
        load, faults = Load(system), Faults(system)
        for _ in range(3):
            faults.inject(faults.stop_node)
            for number in range(60):
                node = load.choose_node()
                assert node is not None
                key = f"{node.session}-{number}"
                load.start(load.send(node, service, key, b"sill", DEADLINE_MS))
                await system.clock.sleep_ms(100)
        await faults.heal()
        await load.finish()
        assert load.problems == []
        assert faults.problems == []
        assert len(load.told) == 180
        assert [sent for sent in load.told if not isinstance(sent.reply, Ok)] == []

    run_system(1, main)
