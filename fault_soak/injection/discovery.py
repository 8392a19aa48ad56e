"""Injectors of faults of discovery and of the nodes' watches on discovery."""

from __future__ import annotations

import asyncio

from fault_soak.faults import Fault
from fault_soak.history import History
from fault_soak.injection.environment import Environment

ANNOUNCEMENT_INTERVAL_S = 0.25


async def take_down(environment: Environment, fault: Fault) -> int | None:
    """Disconnect every agent from discovery for the length of the fault."""
    for agent in environment.agents:
        agent.set_down(True)
    await asyncio.sleep(fault.length_s)
    for agent in environment.agents:
        agent.set_down(False)
    return len(environment.agents)


async def silence_watches(environment: Environment, fault: Fault) -> int | None:
    """Make the agent send nothing more on the watches that are open; return the number of these watches."""
    agent = environment.agent_of(fault)
    before = agent.fired
    agent.silence_watches()
    return agent.fired - before


async def reset_watches(environment: Environment, fault: Fault) -> int | None:
    """Make the agent reset the watches that are open; return the number of these watches."""
    agent = environment.agent_of(fault)
    before = agent.fired
    agent.reset_watches()
    return agent.fired - before


async def split_lists(environment: Environment, fault: Fault) -> int | None:
    """Make the agent send each list split into two chunks, and return the number of lists that were split.

    Announce random servers often, so that there are lists to send. Most of the announcements contain no
    change of the server's state.
    """
    agent = environment.agent_of(fault)
    before = agent.fired
    agent.split_lists = True
    until = History.now() + fault.length_s
    while History.now() < until:
        serving = [server for server in environment.servers if server.up and not server.draining]
        if serving:
            environment.announce(environment.rng.choice(serving))
        await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)
    agent.split_lists = False
    return agent.fired - before
