"""The environment of one scenario, which faults act on."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from fault_soak.clients.population import ClientPopulation
from fault_soak.discovery import Agent, FleetState
from fault_soak.faults import Fault
from fault_soak.history import History, Lifecycle
from fault_soak.nodes import NodeProcess
from fault_soak.plan import Plan
from fault_soak.servers import StubServer

ALSO_HIT_PROBABILITY = 0.3  # of every other server, to be hit by the fault of a server as well


@dataclass(slots=True)
class Environment:
    """Everything that faults act on.

    Attributes:
        plan: the plan of the scenario.
        history: where faults are recorded.
        nodes: the nodes.
        agents: the discovery agent of each node.
        servers: the stub servers.
        fleet: what discovery knows of the servers.
        clients: the stub clients.
        rng: the source of every random choice of a fault.
        busy_nodes: nodes that a fault is stopping or starting.
        busy_servers: servers that a fault is stopping or starting.
    """

    plan: Plan
    history: History
    nodes: list[NodeProcess]
    agents: list[Agent]
    servers: list[StubServer]
    fleet: FleetState
    clients: ClientPopulation
    rng: random.Random
    busy_nodes: set[str] = field(default_factory=set)
    busy_servers: set[str] = field(default_factory=set)

    def node_of(self, fault: Fault) -> NodeProcess:
        """The node that a fault is aimed at."""
        return self.nodes[fault.target % len(self.nodes)]

    def agent_of(self, fault: Fault) -> Agent:
        """The agent that a fault is aimed at."""
        return self.agents[fault.target % len(self.agents)]

    def server_of(self, fault: Fault) -> StubServer:
        """The server that a fault is aimed at."""
        return self.servers[fault.target % len(self.servers)]

    def servers_hit_by(self, fault: Fault) -> list[StubServer]:
        """The server that a fault is aimed at, and others that are hit as well."""
        target = self.server_of(fault)
        return [s for s in self.servers if s is target or self.rng.random() < ALSO_HIT_PROBABILITY]

    def announce(self, server: StubServer, lifecycle: Lifecycle | None = None) -> None:
        """Notify every agent of a server's present state, each after a delay of its own."""
        change = self.fleet.announce(server.row, lifecycle)
        loop = asyncio.get_running_loop()
        for agent in self.agents:
            loop.call_later(self.rng.choice((0.0, 0.05, 0.3)), agent.receive, change.generation)
