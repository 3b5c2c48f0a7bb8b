"""Client of an entry instance's HTTP interface."""

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

KEY_HEADER = "Idempotency-Key"
CALLER_HEADER = "X-Caller"
DEADLINE_HEADER = "X-Deadline-Ms"
URGENT_HEADER = "X-Urgent"
CONNECT_TIMEOUT_S = 3.0
CALL_TIMEOUT_MS: Millis = 30_000
# The instance answers by the deadline; the rest covers the way there and back.
DEADLINE_MARGIN_MS: Millis = 2_000


class HttpAnswer(NamedTuple):
    """Hold an HTTP response in full."""

    status: int
    headers: dict[str, str]
    body: bytes


class ApiClient:
    """Call one entry instance; every failure is returned as a ``Failure``.

    ``PEER_UNREACHABLE`` means that no connection could be opened and nothing was sent,
    ``PEER_LOST`` that the connection broke and the outcome is unknown.
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
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
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
    ) -> Result[HttpAnswer, Failure]:
        """Send a request to a service and check that its answer is whole."""
        headers: dict[str, str] = {}
        if key is not None:
            headers[KEY_HEADER] = key
        if deadline_ms is not None:
            headers[DEADLINE_HEADER] = str(deadline_ms)
        if urgent:
            headers[URGENT_HEADER] = "1"
        limit_ms = CALL_TIMEOUT_MS if deadline_ms is None else deadline_ms
        reply = await self._send(
            "POST",
            f"/v1/requests/{_part(service)}",
            body,
            headers,
            limit_ms + DEADLINE_MARGIN_MS,
        )
        return reply.and_then(_check_digest)

    async def get(self, path: str) -> Result[dict[str, Any], Failure]:
        """Read ``path`` and return its JSON object."""
        return (await self._send("GET", path)).and_then(_read_object)

    async def post(
        self, path: str, data: Any = None
    ) -> Result[dict[str, Any], Failure]:
        """Send ``data`` as JSON to ``path`` and return the JSON object it answers."""
        body = json.dumps({} if data is None else data).encode()
        return (await self._send("POST", path, body)).and_then(_read_object)

    async def delete(self, path: str) -> Result[dict[str, Any], Failure]:
        """Delete what ``path`` names and return the JSON object it answers."""
        return (await self._send("DELETE", path)).and_then(_read_object)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        limit_ms: Millis = CALL_TIMEOUT_MS,
    ) -> Result[HttpAnswer, Failure]:
        if self._session is None:
            raise RuntimeError("use ApiClient as an async context manager")
        sent = dict(headers or {})
        if self._caller is not None:
            sent[CALLER_HEADER] = self._caller
        try:
            async with asyncio.timeout(limit_ms / SECOND_MS):
                async with self._session.request(
                    method, f"http://{self.address}{path}", data=body, headers=sent
                ) as response:
                    answer = HttpAnswer(
                        response.status,
                        dict(response.headers),
                        await response.read(),
                    )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            return Err(self._unreachable(exc))
        except (aiohttp.InvalidURL, ValueError) as exc:
            return Err(not_run(Code.USAGE, f"{self.address} is no address: {exc}"))
        except TimeoutError:
            detail = f"{self.address} gave no answer in {limit_ms} ms"
            return Err(unknown(Code.DEADLINE_EXCEEDED, detail))
        except aiohttp.ClientError as exc:
            detail = f"the connection to {self.address} broke: {exc}"
            return Err(unknown(Code.PEER_LOST, detail))
        if answer.status >= HTTPStatus.BAD_REQUEST:
            return Err(_read_failure(answer))
        return Ok(answer)

    def _unreachable(self, exc: Exception) -> Failure:
        reason = exc.strerror if isinstance(exc, OSError) and exc.strerror else exc
        detail = f"no connection to {self.address}: {reason}"
        return not_run(Code.PEER_UNREACHABLE, detail)


def path_of(*parts: str) -> str:
    """Return the path ``/v1/...`` with each part quoted."""
    return "/v1/" + "/".join(_part(part) for part in parts)


def _part(name: str) -> str:
    return quote(name, safe="")


def _check_digest(answer: HttpAnswer) -> Result[HttpAnswer, Failure]:
    claimed = answer.headers.get("X-Digest", "")
    if claimed != f"sha-256={digest_of(answer.body)}":
        detail = "the digest of the answer does not match its body"
        return Err(unknown(Code.ANSWER_MISMATCH, detail))
    return Ok(answer)


def _read_object(answer: HttpAnswer) -> Result[dict[str, Any], Failure]:
    try:
        data = json.loads(answer.body)
    except (ValueError, RecursionError):
        data = None
    if not isinstance(data, dict):
        return Err(unknown(Code.PEER_JUNK, "the answer is not a JSON object"))
    return Ok(data)


def _read_failure(answer: HttpAnswer) -> Failure:
    try:
        return failure_from_dict(json.loads(answer.body))
    except (ValueError, KeyError, TypeError, RecursionError):
        detail = f"HTTP status {answer.status} without a result code"
        return unknown(Code.PEER_JUNK, detail)
