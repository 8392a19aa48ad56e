"""System calls of a node that fail, are interrupted or take long."""

from __future__ import annotations

import asyncio

from fault_soak.faults import Fault
from fault_soak.injection.environment import Environment
from fault_soak.injection.reloads import move_discovery
from fault_soak.shim import ERRORS, Failure

CLOCK_STEP_S = 3600

_THOUSANDTHS = {
    Failure.ACCEPT: 500,
    Failure.CONNECT: 500,
    Failure.SOCKET: 500,
    Failure.OPEN: 1000,
    Failure.READ: 60,
    Failure.SHORT: 300,
    Failure.INTERRUPT: 300,
    Failure.PAUSE: 30,
    Failure.CLOCK: CLOCK_STEP_S,
}
"""How many of a thousand calls fail; for the clock its step in seconds."""


async def fail(failure: Failure, environment: Environment, fault: Fault) -> int | None:
    """Have system calls of the node fail; returns how many did."""
    node = environment.node_of(fault)
    if node.shim is None:
        return None
    error = environment.rng.choice(ERRORS[failure])
    before = node.shim.fired(failure)
    node.shim.set(failure, _THOUSANDTHS[failure], error)
    if failure is Failure.OPEN:  # have the node open its file while that fails
        await move_discovery(node, environment.agent_of(fault))
    await asyncio.sleep(fault.length_s)
    node.shim.clear(failure)
    return node.shim.fired(failure) - before
