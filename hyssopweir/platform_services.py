"""Interfaces of the platform's object store and instance list."""

from typing import Protocol

from result import Result

from hyssopweir.codes import Failure
from hyssopweir.fleet import ListedWorker


class ObjectStore(Protocol):
    """Interface of the platform's store for large values; failures are ``STORE_*``."""

    async def put(self, key: str, body: bytes) -> Result[None, Failure]:
        """Write an object; repeating a write with the same key and body is allowed."""
        ...

    async def get(self, key: str) -> Result[bytes | None, Failure]:
        """Return an object, or None if it does not exist."""
        ...


class InstanceList(Protocol):
    """Interface of the list of live and leaving workers, which may be out of date."""

    async def read(self) -> Result[list[ListedWorker], Failure]:
        """Return all listed workers, or ``LIST_UNAVAILABLE``."""
        ...
