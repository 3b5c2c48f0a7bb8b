"""Links between entry instances: calls multiplexed by id, and notes."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from result import Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Failure

Params = dict[str, Any]
Handler = Callable[[Params, Millis], Awaitable[Result[Params, Failure]]]
NoteHandler = Callable[[str, Params], None]


class PeerNetwork(Protocol):
    """Reach the other entry instances by session id."""

    def register(self, method: str, handler: Handler) -> None:
        """Answer calls of ``method``; the handler gets the local expiry in ms."""
        ...

    def on_note(self, topic: str, handler: NoteHandler) -> None:
        """Receive notes of ``topic``, called with the sender's session."""
        ...

    async def call(
        self,
        session: str,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Call a peer and return its answer.

        ``PEER_UNREACHABLE`` (outcome ``NOT_RUN``) means that nothing was sent,
        ``PEER_LOST`` or ``DEADLINE_EXCEEDED`` that the peer may have acted.
        """
        ...

    def notify(self, session: str, topic: str, params: Params) -> None:
        """Send a note if the peer is connected; it may be lost."""
        ...

    def broadcast(self, topic: str, params: Params) -> None:
        """Send a note to all connected peers."""
        ...

    def connected(self, session: str) -> bool:
        """Tell whether a link to the peer is open."""
        ...
