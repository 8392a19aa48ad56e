"""Injectors of faults of node processes and of their logs."""

from __future__ import annotations

import asyncio
import signal

from fault_soak.faults import Fault
from fault_soak.history import History
from fault_soak.injection.environment import Environment
from fault_soak.plan import Plan
from fault_soak.servers import Misbehaviour, StubServer

KILL_GRACE_S = 0.7
"""The time in seconds that ``kill_delay_s`` adds to the longest deadline of a request.

A node that receives SIGTERM has this additional time to exit before it is sent SIGKILL.
"""

MAX_KILL_DEADLINE_S = 3.0
"""The limit in seconds to which ``kill_delay_s`` reduces a longer deadline of a request."""

REQUESTS_AFTER_TERM_S = (0.2, 0.4)
"""The minimum and maximum time in seconds after SIGTERM during which clients still send new requests."""

PAUSE_S = (0.03, 0.15)
BETWEEN_PAUSES_S = (0.2, 0.6)

HANG_AT_TERM_PROBABILITY = 0.5
"""The probability that some of the servers hang during the graceful shutdown of a node."""

RESTART_DELAY_S = 0.3
"""The time in seconds between the kill of a node and its restart."""


def kill_delay_s(plan: Plan) -> float:
    """Return the time in seconds after SIGTERM at which a node that is still running is sent SIGKILL.

    The time is the longest deadline of a request, at most ``MAX_KILL_DEADLINE_S``, plus ``KILL_GRACE_S``.
    """
    longest_s = max(request_class.deadline_ms for request_class in plan.settings.classes) / 1000.0
    return min(longest_s, MAX_KILL_DEADLINE_S) + KILL_GRACE_S


async def terminate(environment: Environment, fault: Fault) -> int | None:
    """Send SIGTERM, wait for the graceful shutdown of the node, and start the node again.

    If the shutdown takes longer than ``kill_delay_s``, kill the node.
    """
    node, rng = environment.node_of(fault), environment.rng
    if node.name in environment.busy_nodes or not node.alive or not node.admitted:
        return 0
    environment.busy_nodes.add(node.name)
    hanging = _hang_servers(environment) if rng.random() < HANG_AT_TERM_PROBABILITY else []
    node.signal(signal.SIGTERM)
    stop_s = rng.uniform(*REQUESTS_AFTER_TERM_S)
    asyncio.get_running_loop().call_later(stop_s, setattr, node, "admitted", False)
    await node.wait_for_exit(kill_delay_s(environment.plan))
    await node.kill()
    await node.start()
    for server in hanging:
        server.misbehaviour = Misbehaviour.NONE
    environment.busy_nodes.discard(node.name)
    return 1


def _hang_servers(environment: Environment) -> list[StubServer]:
    """Make each server hang with probability 0.5, and return the servers that hang."""
    hanging = [server for server in environment.servers if environment.rng.random() < 0.5]
    for server in hanging:
        server.misbehaviour = Misbehaviour.HANG
    return hanging


async def kill(environment: Environment, fault: Fault) -> int | None:
    """Kill the node and start it again after a short delay."""
    node = environment.node_of(fault)
    if node.name in environment.busy_nodes or not node.alive:
        return 0
    environment.busy_nodes.add(node.name)
    await node.kill()
    await asyncio.sleep(RESTART_DELAY_S)
    await node.start()
    environment.busy_nodes.discard(node.name)
    return 1


async def pause(environment: Environment, fault: Fault) -> int | None:
    """Pause and continue the node process repeatedly; return the number of pauses."""
    node, rng = environment.node_of(fault), environment.rng
    times = 0
    until = History.now() + fault.length_s
    while History.now() < until and node.alive:
        times += 1
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(*PAUSE_S))
        node.signal(signal.SIGCONT)
        await asyncio.sleep(rng.uniform(*BETWEEN_PAUSES_S))
    return times


async def stall_log(environment: Environment, fault: Fault) -> int | None:
    """Stop reading the node's log for the length of the fault, so that the pipe of the log fills up."""
    node = environment.node_of(fault)
    node.log_read_allowed.clear()
    await asyncio.sleep(fault.length_s)
    node.log_read_allowed.set()
    return 1


async def close_log(environment: Environment, fault: Fault) -> int | None:
    """Close the read end of the node's log, so that the node's writes to the log fail."""
    environment.node_of(fault).close_log()
    await asyncio.sleep(fault.length_s)
    return 1
