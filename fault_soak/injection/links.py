"""Faults of the network before one server."""

from __future__ import annotations

import asyncio

from fault_soak.faults import Fault
from fault_soak.injection.environment import Environment
from fault_soak.proxy import LinkState


async def change_state(state: LinkState, environment: Environment, fault: Fault) -> int | None:
    """Change what the proxy before a server does; returns how often that took effect."""
    server = environment.server_of(fault)
    proxy = server.proxy
    if not server.up or proxy is None:
        return 0
    server.set_link_state(state)
    await asyncio.sleep(fault.length_s)
    if server.proxy is proxy:
        server.set_link_state(LinkState.PASS)
    return 1 if state is LinkState.LATE else proxy.fired
