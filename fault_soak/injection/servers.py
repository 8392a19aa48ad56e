"""Injectors of faults of servers: drains, crashes and misbehaviour."""

from __future__ import annotations

import asyncio
import time

from fault_soak.faults import Fault
from fault_soak.history import Lifecycle
from fault_soak.injection.environment import Environment
from fault_soak.servers import Misbehaviour, StubServer

DRAIN_TO_DELETED_S = (0.5, 2.0)
DELETED_TO_CRASH_S = (0.3, 1.5)


async def drain(environment: Environment, fault: Fault) -> int | None:
    """Drain a server, delete it from the endpoint list, end its process and start a new process."""
    server, rng = environment.server_of(fault), environment.rng
    if server.name in environment.busy_servers or not server.up:
        return 0
    environment.busy_servers.add(server.name)
    server.draining = True
    environment.announce(server)
    await asyncio.sleep(rng.uniform(*DRAIN_TO_DELETED_S))
    environment.announce(server, Lifecycle.DELETED)
    await asyncio.sleep(rng.uniform(*DELETED_TO_CRASH_S))
    server.crash()
    await _restart(environment, server)
    return 1


async def crash(environment: Environment, fault: Fault) -> int | None:
    """Crash a server without announcing it, and start a new process after the length of the fault."""
    server = environment.server_of(fault)
    if server.name in environment.busy_servers or not server.up:
        return 0
    environment.busy_servers.add(server.name)
    server.crash()
    await asyncio.sleep(fault.length_s)
    await _restart(environment, server)
    return 1


async def _restart(environment: Environment, server: StubServer) -> None:
    await server.start(started_unix_ms=1000.0 * time.time())
    environment.announce(server)
    environment.busy_servers.discard(server.name)


async def misbehave(misbehaviour: Misbehaviour, environment: Environment, fault: Fault) -> int | None:
    """Make a server, and possibly others, misbehave; return the number of times that this took effect."""
    servers = environment.servers_affected_by(fault)
    before = sum(server.fired for server in servers)
    for server in servers:
        server.misbehaviour = misbehaviour
    await asyncio.sleep(fault.length_s)
    for server in servers:
        server.misbehaviour = Misbehaviour.NONE
    return sum(server.fired for server in servers) - before
