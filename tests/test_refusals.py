"""Reported outcomes of keyed requests whose record is unreadable or left open."""

from typing import Any

import pytest
from result import Err, Result

from hyssopweir.codes import Code, Outcome
from hyssopweir.contracts import KeyState
from hyssopweir.table import ABSENT
from tests.builders import build_request
from tests.fakes import SERVICE_DOWN
from tests.random_load import Load
from tests.scenario import configure, run_system
from tests.system import System


@pytest.mark.parametrize("failing_reads", [1, 100])
def test_attempt_that_was_dispatched_is_not_called_not_run(failing_reads: int) -> None:
    """Guards against ``attempt: not_run`` for a request whose run has started.

    The request timed out after its dispatch and its key record could not be read.
    """

    async def scenario(system: System) -> None:
        node = system.start_node("kista-1", "kista")
        await system.clock.sleep_ms(3_000)
        await configure(system)
        read, failed_reads = node.table.read, 0

        async def read_or_fail(key: str) -> Result[Any, Any]:
            nonlocal failed_reads
            if key.startswith("keys/") and system.ran and failed_reads < failing_reads:
                failed_reads += 1
                return Err(SERVICE_DOWN)
            return await read(key)

        node.table.read = read_or_fail  # type: ignore[method-assign]
        load = Load(system)
        result = await load.send(node, "slow-offer", "key-1", b"sill", 150)
        assert system.ran[result.request_id] == ["planner/key-1#1"]
        assert failed_reads > 0
        assert not result.is_not_run(), result
        assert isinstance(result.reply, Err)
        assert result.reply.err_value.outcome is Outcome.UNKNOWN
        assert result.reply.err_value.code is Code.STORE_UNAVAILABLE

    run_system(1, scenario)


def test_cancelled_request_leaves_no_open_record() -> None:
    """Guards against a key that stays in progress after its request is cancelled.

    The request was cancelled while it waited for a second worker. Its record stayed
    dispatched by a live session, so every later request with the key was answered as
    in progress.
    """

    async def scenario(system: System) -> None:
        for worker_id in [name for name in system.listings if name != "kista-w0"]:
            del system.listings[worker_id]
        node = system.start_node("kista-1", "kista")
        await system.clock.sleep_ms(3_000)
        await configure(system)
        # The worker refuses work before the list or its own report show it as leaving.
        system.fleet.freeze("kista-w0")
        system.fleet.workers["kista-w0"].leave(listed_in_ms=60_000)
        expires_ms = node.clock.now_ms() + 5_000
        req = build_request(service="slow-offer", key="key-1", idempotent=False)
        req = req._replace(expires_ms=expires_ms)
        task = node.process.spawn(
            node.parts.dispatcher.execute(req, "kista/r0", ABSENT)
        )
        await system.clock.sleep_ms(500)
        row = system.table.read("keys/planner/key-1")
        assert row is not None
        assert row.value["state"] == KeyState.DISPATCHED.value
        system.fleet.resume("kista-w0")
        await system.clock.sleep_ms(500)
        task.cancel()
        await system.clock.sleep_ms(10_000)
        row = system.table.read("keys/planner/key-1")
        assert row is not None
        assert row.value["state"] == KeyState.NOT_RUN.value
        assert system.ran == {}
        assert node.parts.dispatcher.in_progress == 0

    run_system(1, scenario)
