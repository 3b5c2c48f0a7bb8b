"""Replies that arrive in time while the event loop of the instance is busy."""

import asyncio
import socket
import threading
import time

import pytest
from result import Ok

from hyssopweir.clock import Clock
from hyssopweir.events import EventLog
from hyssopweir.platform.http_agent import HttpAgent
from hyssopweir.platform.json_http_client import JsonHttpClient
from tests.cell_simulation import build_entry

HOST = "127.0.0.1"
BODY = b'{"clockMs":7,"born":1,"running":[],"finished":[]}'
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
)
REPLY_S = 0.2
BUSY_FROM_S = 0.1
TIMEOUT_MS = 600


def reply_once(listener: socket.socket, sent_at: list[float]) -> None:
    """Reply from a thread of its own, which the event loop doesn't hold up."""
    conn, _ = listener.accept()
    with conn:
        conn.recv(65_536)
        time.sleep(REPLY_S)
        conn.sendall(HEAD % len(BODY) + BODY)
        sent_at.append(time.monotonic())
        conn.recv(1)


@pytest.mark.parametrize("busy_s", [0.3, 0.8, 1.2])
def test_reply_that_arrived_in_time_outlasts_a_busy_event_loop(busy_s: float) -> None:
    """Guards against a list of ends that is thrown away as a timer fires late."""

    async def main() -> None:
        sent_at: list[float] = []
        with socket.create_server((HOST, 0)) as listener:
            args = (listener, sent_at)
            thread = threading.Thread(target=reply_once, args=args, daemon=True)
            thread.start()
            client = JsonHttpClient()
            agent = HttpAgent(client, client, EventLog("a", "kista", Clock()))
            entry = build_entry(host=HOST, port=listener.getsockname()[1])
            asyncio.get_running_loop().call_later(BUSY_FROM_S, time.sleep, busy_s)
            called_at = time.monotonic()
            reply = await agent.renew_leases(entry, 7, None, None, 0, TIMEOUT_MS)
            await client.close()
            thread.join(5)
        assert (sent_at[0] - called_at) * 1_000 < TIMEOUT_MS
        assert isinstance(reply, Ok)

    asyncio.run(main())
