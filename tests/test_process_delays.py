"""Log lines that tell the delays of this process from those of others."""

import asyncio
from typing import Any

from hyssopweir.events import Event, EventLog
from hyssopweir.process_delays import KEPT_MS, LOG_INTERVAL_MS, ProcessDelays
from tests.cell_simulation import InstanceClock
from tests.virtual_time import run_virtual


def build_delays(clock: InstanceClock) -> tuple[ProcessDelays, list[Any]]:
    log = EventLog("kista-1", "kista", clock)
    records: list[Any] = []
    log.subscribe(records.append)
    return ProcessDelays(clock, log), records


def test_process_that_stands_still_says_for_how_long() -> None:
    """Guards against timeouts whose cause, this process, is in no log."""

    async def main() -> None:
        clock = InstanceClock()
        delays, records = build_delays(clock)
        monitor = asyncio.ensure_future(delays.run())
        await clock.sleep_ms(2_000)
        assert not records
        assert not delays.total_ms(0)
        clock.is_frozen = True
        await asyncio.sleep(0.8)
        clock.is_frozen = False
        stood_until_ms = clock.now_ms()
        await clock.sleep_ms(LOG_INTERVAL_MS)
        monitor.cancel()
        assert [record.event for record in records] == [Event.PROCESS_DELAYED]
        assert 700 <= records[0].fields["longest_ms"] <= 800
        assert delays.total_ms(stood_until_ms - 1_000) >= 700
        assert not delays.total_ms(stood_until_ms + 100)

    run_virtual(main())


def test_repeated_delays_are_logged_once_a_second_and_forgotten() -> None:
    """Guards against a log and a memory that grow while processor time is short."""

    async def main() -> None:
        clock = InstanceClock()
        delays, records = build_delays(clock)
        seconds = 60
        for _ in range(10 * seconds):
            await clock.sleep_ms(100)
            delays.record(clock.now_ms(), 400)
        assert len(records) <= seconds
        assert delays.total_ms(0) <= (KEPT_MS // 100 + 1) * 400

    run_virtual(main())
