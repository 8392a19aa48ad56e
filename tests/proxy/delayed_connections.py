"""Delays connections to endpoints until a test releases them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

import pytest

from tests.proxy.stub_server import StubServer


class DelayedConnections:
    """Delays connections to chosen endpoints until they are released; other connections are not delayed.

    Attributes:
        begun: set when the first connection is delayed.
        release: set by a test to let the delayed connections and all later connections be established.
        opening: the number of delayed connections that are neither established nor failed yet.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, endpoints: Iterable[StubServer]) -> None:
        loop = asyncio.get_running_loop()
        self.begun = asyncio.Event()
        self.release = asyncio.Event()
        self.opening = 0
        self._delayed: set[str] = set()
        self._create_connection = loop.create_connection
        self.delay(endpoints)
        monkeypatch.setattr(loop, "create_connection", self._delay_connection)

    def delay(self, endpoints: Iterable[StubServer]) -> None:
        """Delay connections to these endpoints as well."""
        self._delayed.update(endpoint.address for endpoint in endpoints)

    async def _delay_connection(self, factory: Any, host: str, port: int, **options: Any) -> Any:
        if f"{host}:{port}" not in self._delayed:
            return await self._create_connection(factory, host, port, **options)
        self.begun.set()
        self.opening += 1
        try:
            await self.release.wait()
            return await self._create_connection(factory, host, port, **options)
        finally:
            self.opening -= 1
