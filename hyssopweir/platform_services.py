"""Interfaces of the platform's object store and instance list."""

from typing import Protocol

from result import Result

from hyssopweir.codes import Failure
from hyssopweir.fleet import ListedWorker


class ObjectStore(Protocol):
    """Keep large values; failures have the codes ``STORE_*``."""

    async def put(self, key: str, body: bytes) -> Result[None, Failure]:
        """Write an object; the same key and body may be written again."""
        ...

    async def get(self, key: str) -> Result[bytes | None, Failure]:
        """Return an object, None if it does not exist."""
        ...


class InstanceList(Protocol):
    """Tell which workers are live or leaving; it lags behind reality."""

    async def read(self) -> Result[list[ListedWorker], Failure]:
        """Return all listed workers, or ``LIST_UNAVAILABLE``."""
        ...
