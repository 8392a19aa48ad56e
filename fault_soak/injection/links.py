"""Injectors of faults of the network in front of a server."""

from __future__ import annotations

import asyncio

from fault_soak.faults import Fault
from fault_soak.injection.environment import Environment
from fault_soak.proxy import LinkState


async def change_state(state: LinkState, environment: Environment, fault: Fault) -> int | None:
    """Change the state of the proxy in front of a server, and return the count of its effects.

    The count is the number of times that this proxy has dropped data or reset a connection since it was
    created. For LATE, whose effects cannot be counted, it is 1.
    """
    server = environment.server_of(fault)
    proxy = server.proxy
    if not server.up or proxy is None:
        return 0
    server.set_link_state(state)
    await asyncio.sleep(fault.length_s)
    if server.proxy is proxy:
        server.set_link_state(LinkState.PASS)
    return 1 if state is LinkState.LATE else proxy.fired
