"""Injectors of faults of clients."""

from __future__ import annotations

import asyncio

from fault_soak.faults import Fault
from fault_soak.injection.environment import Environment

GARBAGE_CONNECTIONS = 5
MAX_IDLE_CONNECTIONS = 150
PIPELINED_REQUESTS = (3, 16, 17, 25)
EARLY_LEAVE_FRACTION = 0.5


async def leave_early(environment: Environment, fault: Fault) -> int | None:
    """Increase the fraction of requests whose client leaves before the response."""
    behaviour = environment.clients.behaviour
    behaviour.leave_fraction += EARLY_LEAVE_FRACTION
    await asyncio.sleep(fault.length_s)
    behaviour.leave_fraction -= EARLY_LEAVE_FRACTION
    return 1


async def stop_within_requests(environment: Environment, fault: Fault) -> int | None:
    """Make two clients stop writing in the middle of a request.

    One client stops in the first request of its connection, the other client in the second request.
    """
    for first in (True, False):
        node = environment.rng.choice(environment.nodes)
        if node.admitted:
            environment.clients.spawn(environment.clients.faulty.stop_within_request(node, first=first))
    return 1


async def pipeline(environment: Environment, fault: Fault) -> int | None:
    """Make a client send many requests at once on one connection."""
    node = environment.node_of(fault)
    if node.admitted:
        count = environment.rng.choice(PIPELINED_REQUESTS)
        environment.clients.spawn(environment.clients.faulty.pipeline(node, count))
    return 1


async def send_garbage(environment: Environment, fault: Fault) -> int | None:
    """Make clients send invalid input."""
    for _ in range(GARBAGE_CONNECTIONS):
        node = environment.rng.choice(environment.nodes)
        if node.admitted:
            environment.clients.spawn(environment.clients.faulty.send_garbage(node))
    return GARBAGE_CONNECTIONS


async def write_slowly(environment: Environment, fault: Fault) -> int | None:
    """Make all clients write their requests slowly, in several parts."""
    behaviour = environment.clients.behaviour
    behaviour.slow = True
    await asyncio.sleep(fault.length_s)
    behaviour.slow = False
    return 1


async def hold_idle_connections(environment: Environment, fault: Fault) -> int | None:
    """Open a burst of connections to one node and keep them idle."""
    node = environment.node_of(fault)
    count = min(environment.plan.descriptors, MAX_IDLE_CONNECTIONS)
    await environment.clients.faulty.hold_idle_connections(node, count, fault.length_s)
    return count


async def double_load(environment: Environment, fault: Fault) -> int | None:
    """Double the rate of requests for the length of the fault."""
    behaviour = environment.clients.behaviour
    behaviour.rate_factor *= 2.0
    await asyncio.sleep(fault.length_s)
    behaviour.rate_factor /= 2.0
    return 1
