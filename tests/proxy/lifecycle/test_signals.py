"""Tests that signals are coalesced."""

from __future__ import annotations

from load_balancer.proxy.lifecycle.signals import OncePerIteration
from tests.proxy.async_support import async_test, until


@async_test
async def test_burst_of_signals_is_handled_once_per_iteration() -> None:
    """Check that the callback runs once in an event-loop iteration, however many signals have arrived.

    A burst of signals could otherwise block the event loop.
    """
    handled = 0

    def handle() -> None:
        nonlocal handled
        handled += 1

    once = OncePerIteration(handle)
    for _ in range(100):
        once.request()
    assert handled == 0
    await until(lambda: handled)
    assert handled == 1
    once.request()
    await until(lambda: handled == 2)
