"""Incoming WebSocket connections that share the client budget until their hello."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

from websockets.asyncio.server import ServerConnection

from hyssopweir.client_limits import ClientBudget
from hyssopweir.codes import Failure

READ_BYTES = 32 * 1_024


class PeerConnection(ServerConnection):
    """Connection that may send little, and may be dropped, until it is a peer's."""

    def __init__(self, budget: ClientBudget, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.held_bytes = 0
        self._budget = budget
        self._received_bytes = 0
        self._is_peer = False
        self._full_read_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the budget, or close it."""
        super().connection_made(transport)
        self._full_read_bytes = self.transport.max_size  # type: ignore[attr-defined]
        self.transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        if not self._budget.open(self):
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the budget."""
        self._budget.close(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; end a connection that sends many before its hello."""
        if self._is_peer:
            super().data_received(data)
            return
        self._received_bytes += len(data)
        if self._received_bytes > self._budget.limits.head_bytes:
            self._budget.dropped["head too large"] += 1
            self.transport.abort()
            return
        super().data_received(data)
        self._budget.hold(self, self._received_bytes)

    def accept_peer(self) -> None:
        """Lift the limits: the connection is that of an instance."""
        self._is_peer = True
        self.transport.max_size = self._full_read_bytes  # type: ignore[attr-defined]
        self._budget.hold(self, 0)
        self._budget.serve(self)

    def drop(self, failure: Failure) -> None:
        """Close the connection without an answer."""
        self.transport.abort()


def limit_connections(budget: ClientBudget) -> Callable[..., ServerConnection]:
    """Return a factory of connections that share ``budget``."""
    return partial(PeerConnection, budget)
