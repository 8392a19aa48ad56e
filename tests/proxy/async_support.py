"""Runs tests on the event loop that a node uses, and waits for conditions."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec, TypeVar

import uvloop

T = TypeVar("T")
P = ParamSpec("P")

HOST = "127.0.0.1"
TIMEOUT_S = 20.0  # the longest wait for an expected event; only a failing test reaches it


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a test on the event loop that a node uses; fail if it takes more than three times TIMEOUT_S."""

    async def bounded() -> None:
        await asyncio.wait_for(main, 3 * TIMEOUT_S)

    uvloop.run(bounded())


def async_test(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Turn a coroutine function into a test that runs on the event loop that a node uses."""

    @functools.wraps(test)
    def run_test(*args: P.args, **kwargs: P.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_test


async def until(condition: Callable[[], T]) -> T:
    """Wait until the condition is truthy, and return its value."""
    while not (value := condition()):
        await asyncio.sleep(0)
    return value
