"""Faults of discovery and of the watches on it."""

from __future__ import annotations

import asyncio

from fault_soak.faults import Fault
from fault_soak.history import History
from fault_soak.injection.environment import Environment

ANNOUNCEMENT_INTERVAL_S = 0.25


async def take_down(environment: Environment, fault: Fault) -> int | None:
    """Have every agent lose discovery for a while."""
    for agent in environment.agents:
        agent.set_down(True)
    await asyncio.sleep(fault.length_s)
    for agent in environment.agents:
        agent.set_down(False)
    return len(environment.agents)


async def silence_watches(environment: Environment, fault: Fault) -> int | None:
    """Have nothing arrive any more on the watches that are open; returns their number."""
    agent = environment.agent_of(fault)
    before = agent.fired
    agent.silence_watches()
    return agent.fired - before


async def reset_watches(environment: Environment, fault: Fault) -> int | None:
    """Reset the watches that are open; returns their number."""
    agent = environment.agent_of(fault)
    before = agent.fired
    agent.reset_watches()
    return agent.fired - before


async def send_lists_in_pieces(environment: Environment, fault: Fault) -> int | None:
    """Send lists cut in two and often, most of them without a change; returns how many were cut."""
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
