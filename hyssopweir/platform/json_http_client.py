"""HTTP requests with JSON bodies over one client session."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp
from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.platform_client import (
    ExchangeError,
    ExchangeErrorKind,
    exchange,
    new_session,
    parse_json,
)
from hyssopweir.silent_connections import SilentAddresses

JSON_HEADERS = {"Content-Type": "application/json"}


class Response(NamedTuple):
    """Status and decoded JSON body of a response; ``data`` is None without a body.

    ``connection`` is the number of the connection that it arrived on.
    """

    status: int
    data: Any
    connection: int = 0


class JsonHttpClient:
    """HTTP client that sends requests to the platform and decodes JSON responses."""

    def __init__(self, silent: SilentAddresses | None = None) -> None:
        self._silent = silent
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the session and its connections."""
        if self._session is not None:
            await self._session.close()

    async def request(
        self,
        method: str,
        address: tuple[str, int],
        path: str,
        timeout_ms: Millis,
        data: Any = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        idle_timeout_ms: Millis | None = None,
        connection: int | None = None,
        late_ms: Millis = 0,
    ) -> Result[Response, ExchangeError]:
        """Send a request and return the response, whatever its status.

        ``idle_timeout_ms``, ``connection`` and ``late_ms`` have the meanings that they
        have in ``exchange``.
        """
        # aiohttp can create a session only while the event loop runs.
        if self._session is None:
            self._session = new_session(connections=0, silent=self._silent)
        body = None if data is None else json.dumps(data).encode()
        result = await exchange(
            self._session,
            method,
            address,
            path,
            timeout_ms,
            body,
            query,
            headers=dict(JSON_HEADERS, **(headers or {})),
            idle_timeout_ms=idle_timeout_ms,
            connection=connection,
            late_ms=late_ms,
        )
        if isinstance(result, Err):
            return result
        reply = result.ok_value
        try:
            data = parse_json(reply.body or b"null")
            return Ok(Response(reply.status, data, reply.connection))
        except ValueError as exc:
            return Err(
                ExchangeError(ExchangeErrorKind.MALFORMED, str(exc), reply.status)
            )
