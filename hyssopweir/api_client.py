"""HTTP client for the API of an entry instance."""

import asyncio
import json
from http import HTTPStatus
from types import TracebackType
from typing import Any, NamedTuple, Self
from urllib.parse import quote

import aiohttp
from result import Err, Ok, Result

from hyssopweir.clock import SECOND_MS, Millis
from hyssopweir.codes import Code, Failure, failure_from_dict, not_run, unknown
from hyssopweir.contracts import digest_of
from hyssopweir.input_bounds import (
    MAX_ANSWER_DEPTH,
    InputError,
    input_errors,
    parse_bounded_json,
)

KEY_HEADER = "Idempotency-Key"
CALLER_HEADER = "X-Caller"
DEADLINE_HEADER = "X-Deadline-Ms"
URGENT_HEADER = "X-Urgent"
CONNECT_TIMEOUT_S = 3.0
CALL_TIMEOUT_MS: Millis = 30_000
# The instance responds by the deadline; the margin covers the network round trip.
DEADLINE_MARGIN_MS: Millis = 2_000


class HttpResponse(NamedTuple):
    """HTTP response with its complete body."""

    status: int
    headers: dict[str, str]
    body: bytes


class ApiClient:
    """Client of one entry instance that returns every failure as a ``Failure``.

    ``PEER_UNREACHABLE`` means that no connection could be opened and nothing was sent;
    ``PEER_LOST`` means that the connection broke and the outcome is unknown.
    """

    def __init__(self, address: str, caller: str | None = None) -> None:
        self.address = address
        self._caller = caller
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def request(
        self,
        service: str,
        body: bytes,
        key: str | None = None,
        deadline_ms: Millis | None = None,
        urgent: bool = False,
    ) -> Result[HttpResponse, Failure]:
        """Send a request to a service and verify the digest of the response body."""
        headers: dict[str, str] = {}
        if key is not None:
            headers[KEY_HEADER] = key
        if deadline_ms is not None:
            headers[DEADLINE_HEADER] = str(deadline_ms)
        if urgent:
            headers[URGENT_HEADER] = "1"
        timeout_ms = CALL_TIMEOUT_MS if deadline_ms is None else deadline_ms
        reply = await self._send(
            "POST",
            f"/v1/requests/{_quote_segment(service)}",
            body,
            headers,
            timeout_ms + DEADLINE_MARGIN_MS,
        )
        return reply.and_then(_verify_digest)

    async def get(self, path: str) -> Result[dict[str, Any], Failure]:
        """Send a GET request to ``path`` and return the JSON object received."""
        return (await self._send("GET", path)).and_then(_parse_object)

    async def post(
        self, path: str, data: Any = None
    ) -> Result[dict[str, Any], Failure]:
        """Post ``data`` as JSON to ``path`` and return the JSON object received."""
        body = json.dumps({} if data is None else data).encode()
        return (await self._send("POST", path, body)).and_then(_parse_object)

    async def delete(self, path: str) -> Result[dict[str, Any], Failure]:
        """Delete the resource at ``path`` and return the JSON object received."""
        return (await self._send("DELETE", path)).and_then(_parse_object)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_ms: Millis = CALL_TIMEOUT_MS,
    ) -> Result[HttpResponse, Failure]:
        if self._session is None:
            raise RuntimeError("use ApiClient as an async context manager")
        request_headers = dict(headers or {})
        if self._caller is not None:
            request_headers[CALLER_HEADER] = self._caller
        try:
            async with asyncio.timeout(timeout_ms / SECOND_MS):
                async with self._session.request(
                    method,
                    f"http://{self.address}{path}",
                    data=body,
                    headers=request_headers,
                ) as raw_response:
                    response = HttpResponse(
                        raw_response.status,
                        dict(raw_response.headers),
                        await raw_response.read(),
                    )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            return Err(self._connection_failure(exc))
        except (aiohttp.InvalidURL, ValueError) as exc:
            return Err(not_run(Code.USAGE, f"{self.address} is no address: {exc}"))
        except TimeoutError:
            detail = f"{self.address} gave no answer in {timeout_ms} ms"
            return Err(unknown(Code.DEADLINE_EXCEEDED, detail))
        except aiohttp.ClientError as exc:
            detail = f"the connection to {self.address} broke: {exc}"
            return Err(unknown(Code.PEER_LOST, detail))
        if response.status >= HTTPStatus.BAD_REQUEST:
            return Err(_parse_failure(response))
        return Ok(response)

    def _connection_failure(self, exc: Exception) -> Failure:
        reason = exc.strerror if isinstance(exc, OSError) and exc.strerror else exc
        detail = f"no connection to {self.address}: {reason}"
        return not_run(Code.PEER_UNREACHABLE, detail)


def api_path(*segments: str) -> str:
    """Return the path ``/v1/...`` with each segment percent-encoded."""
    return "/v1/" + "/".join(_quote_segment(segment) for segment in segments)


def _quote_segment(segment: str) -> str:
    return quote(segment, safe="")


def _verify_digest(response: HttpResponse) -> Result[HttpResponse, Failure]:
    received_digest = response.headers.get("X-Digest", "")
    if received_digest != f"sha-256={digest_of(response.body)}":
        detail = "the digest of the answer does not match its body"
        return Err(unknown(Code.ANSWER_MISMATCH, detail))
    return Ok(response)


def _parse_object(response: HttpResponse) -> Result[dict[str, Any], Failure]:
    try:
        data = parse_bounded_json(response.body, MAX_ANSWER_DEPTH)
    except InputError:
        data = None
    if not isinstance(data, dict):
        return Err(unknown(Code.PEER_JUNK, "the answer is not a JSON object"))
    return Ok(data)


def _parse_failure(response: HttpResponse) -> Failure:
    try:
        with input_errors("failure"):
            return failure_from_dict(
                parse_bounded_json(response.body, MAX_ANSWER_DEPTH)
            )
    except InputError:
        detail = f"HTTP status {response.status} without a result code"
        return unknown(Code.PEER_JUNK, detail)
