"""Connects that are late, or fail on the node's own machine."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import pytest

from tests.proxy.async_support import until


class LateConnections:
    """Delays each connection until its gate is opened, in any order.

    Attributes:
        gates: for each connection that was begun, in order, the event that lets it come up.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        loop = asyncio.get_running_loop()
        self.gates: list[asyncio.Event] = []
        self._create_connection = loop.create_connection
        monkeypatch.setattr(loop, "create_connection", self._connect_late)

    async def _connect_late(self, factory: Any, host: str, port: int, **options: Any) -> Any:
        gate = asyncio.Event()
        self.gates.append(gate)
        await gate.wait()
        return await self._create_connection(factory, host, port, **options)

    async def begun(self, count: int) -> None:
        """Wait until this many connections were begun."""
        await until(lambda: len(self.gates) >= count)


class FailingConnects:
    """Every connect fails on the node's own machine until the fault is over.

    Attributes:
        failed: how many connects have failed.
        over: connects work from now on.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, error: int) -> None:
        loop = asyncio.get_running_loop()
        self.failed = 0
        self.over = False
        self._error = error
        self._create_connection = loop.create_connection
        monkeypatch.setattr(loop, "create_connection", self._connect)

    async def _connect(self, factory: Any, host: str, port: int, **options: Any) -> Any:
        if not self.over:
            self.failed += 1
            raise OSError(self._error, os.strerror(self._error))
        return await self._create_connection(factory, host, port, **options)
