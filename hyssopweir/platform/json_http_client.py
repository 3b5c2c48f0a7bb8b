"""Calls with JSON bodies over one session."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp
from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.platform_client import (
    Breakdown,
    ExchangeError,
    exchange,
    from_json,
    new_session,
)

JSON_HEADERS = {"Content-Type": "application/json"}


class Response(NamedTuple):
    """Hold the status and the decoded body of a reply, None without a body."""

    status: int
    data: Any


class HttpCalls:
    """Send calls of the platform and decode their replies."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        address: tuple[str, int],
        path: str,
        timeout_ms: Millis,
        data: Any = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[Response, ExchangeError]:
        """Send a call and return its reply, whatever its status."""
        # A session can only be made while the event loop runs.
        if self._session is None:
            self._session = new_session(connections=0)
        body = None if data is None else json.dumps(data).encode()
        sent = await exchange(
            self._session,
            method,
            address,
            path,
            timeout_ms,
            body,
            query,
            headers=dict(JSON_HEADERS, **(headers or {})),
        )
        if isinstance(sent, Err):
            return sent
        reply = sent.ok_value
        try:
            return Ok(Response(reply.status, from_json(reply.body or b"null")))
        except ValueError as exc:
            return Err(ExchangeError(Breakdown.MALFORMED, str(exc), reply.status))
