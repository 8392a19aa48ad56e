"""Replacements of ``create_connection`` whose connects are delayed, or fail on the node's own machine."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import pytest

from tests.proxy.async_support import until


class DelayedConnects:
    """Delays each connect until the test sets its gate; the gates may be set in any order.

    Attributes:
        gates: for each connect that was started, in order, the event that lets it continue.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        loop = asyncio.get_running_loop()
        self.gates: list[asyncio.Event] = []
        self._create_connection = loop.create_connection
        monkeypatch.setattr(loop, "create_connection", self._connect)

    async def _connect(self, factory: Any, host: str, port: int, **options: Any) -> Any:
        gate = asyncio.Event()
        self.gates.append(gate)
        await gate.wait()
        return await self._create_connection(factory, host, port, **options)

    async def wait_until_started(self, count: int) -> None:
        """Wait until at least this many connects have been started."""
        await until(lambda: len(self.gates) >= count)


class FailingConnects:
    """Makes every connect fail with an error of the node's own machine, until the test sets ``recovered``.

    Attributes:
        failures: the number of connects that have failed.
        recovered: whether connects work again.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, error: int) -> None:
        loop = asyncio.get_running_loop()
        self.failures = 0
        self.recovered = False
        self._error = error
        self._create_connection = loop.create_connection
        monkeypatch.setattr(loop, "create_connection", self._connect)

    async def _connect(self, factory: Any, host: str, port: int, **options: Any) -> Any:
        if not self.recovered:
            self.failures += 1
            raise OSError(self._error, os.strerror(self._error))
        return await self._create_connection(factory, host, port, **options)
