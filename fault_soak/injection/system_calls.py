"""The injector of faults of a node's system calls, which fail, are interrupted or take a long time."""

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
"""The number of calls in a thousand that fail; for CLOCK the step of the wall clock in seconds."""


async def fail(failure: Failure, environment: Environment, fault: Fault) -> int | None:
    """Cause a failure in system calls of the node, and return the number of calls in which it happened.

    Return None if the node runs without the shim because the machine has no C compiler.
    """
    node = environment.node_of(fault)
    if node.shim is None:
        return None
    error = environment.rng.choice(ERRORS[failure])
    before = node.shim.fired(failure)
    node.shim.set(failure, _THOUSANDTHS[failure], error)
    if failure is Failure.OPEN:  # make the node open its configuration file while the call fails
        await move_discovery(node, environment.agent_of(fault))
    await asyncio.sleep(fault.length_s)
    node.shim.clear(failure)
    return node.shim.fired(failure) - before
