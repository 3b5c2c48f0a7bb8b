"""Counters, timers and gauges for a statsd daemon."""

import re

from statsd import StatsClient

from hyssopweir.settings import Address

PREFIX = "hyssopweir"
RESERVED_CHARACTERS = re.compile(r"[^A-Za-z0-9_.-]")


class Metrics:
    """Client for a statsd daemon over UDP; does nothing without an address.

    A metric that can't be sent immediately is dropped, so that monitoring neither
    blocks the scheduler nor makes it fail.
    """

    def __init__(self, address: Address | None, instance: str) -> None:
        self.dropped = 0
        self._client: StatsClient | None = None
        if address is None:
            return
        try:
            self._client = StatsClient(
                address["host"],
                address["port"],
                prefix=f"{PREFIX}.{_sanitize(instance)}",
                ipv6=":" in address["host"],
            )
            # A full send buffer would block the event loop; statsd ignores the error.
            self._client._sock.setblocking(False)
        except OSError:
            self._client = None
            self.dropped += 1

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self._send("incr", name, amount)

    def time(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        self._send("timing", name, duration_ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        self._send("gauge", name, value)

    def close(self) -> None:
        """Close the socket; later metrics are ignored."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def _send(self, method: str, name: str, value: float) -> None:
        if self._client is None:
            return
        try:
            getattr(self._client, method)(_sanitize(name), value)
        except (OSError, ValueError, TypeError):
            self.dropped += 1


def _sanitize(name: str) -> str:
    """Replace the characters that are reserved in the statsd line format."""
    return RESERVED_CHARACTERS.sub("_", name)
