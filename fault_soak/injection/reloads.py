"""Injectors that change a node's configuration to move its discovery agent to another address."""

from __future__ import annotations

import asyncio
import signal

from fault_soak.discovery import Agent
from fault_soak.faults import Fault
from fault_soak.injection.environment import Environment
from fault_soak.nodes import NodeProcess

OLD_AGENT_CLOSES_S = 1.0
"""The time in seconds after a change of the configuration until the agent closes its old listener."""

REST_OF_FILE_DELAY_S = 0.05
"""The time in seconds between the writes of a truncated and of the complete configuration file."""


async def move_discovery(node: NodeProcess, agent: Agent) -> None:
    """Make the agent listen at a new address, and give the node a configuration with this address."""
    old = await agent.move()
    node.write_configuration()
    node.signal(signal.SIGHUP)
    await _close_later(old)


async def restart_and_reload(environment: Environment, fault: Fault) -> int | None:
    """Restart the node, and change its configuration while it starts."""
    node, agent = environment.node_of(fault), environment.agent_of(fault)
    if node.name in environment.busy_nodes or not node.alive:
        return 0
    environment.busy_nodes.add(node.name)
    await node.kill()
    await node.start()
    await asyncio.sleep(environment.rng.uniform(0.0, 0.5))
    await move_discovery(node, agent)
    environment.busy_nodes.discard(node.name)
    return 1


async def reload(environment: Environment, fault: Fault) -> int | None:
    """Change the configuration one to three times in quick succession; return the number of changes."""
    node, agent, rng = environment.node_of(fault), environment.agent_of(fault), environment.rng
    times = rng.choice((1, 1, 2, 3))
    moves = []
    for _ in range(times):
        moves.append(asyncio.ensure_future(move_discovery(node, agent)))
        await asyncio.sleep(rng.choice((0.0, 0.01, 0.2)))
    await asyncio.gather(*moves)
    return times


async def reload_partial(environment: Environment, fault: Fault) -> int | None:
    """Send SIGHUP while the configuration file is truncated, then complete it without another SIGHUP."""
    node, agent = environment.node_of(fault), environment.agent_of(fault)
    old = await agent.move()
    node.write_configuration(truncated=True)
    node.signal(signal.SIGHUP)
    await asyncio.sleep(REST_OF_FILE_DELAY_S)
    node.write_configuration()
    await _close_later(old)
    return 1


async def _close_later(old: asyncio.Server | None) -> None:
    await asyncio.sleep(OLD_AGENT_CLOSES_S)
    if old is not None:
        old.close()
