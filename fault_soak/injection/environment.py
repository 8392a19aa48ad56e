"""The environment of one scenario, on which faults act."""

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

ADDITIONAL_SERVER_PROBABILITY = 0.3
"""The probability with which the misbehaviour of the target also affects each of the other servers."""


@dataclass(slots=True)
class Environment:
    """The parts of a running scenario on which faults act.

    Attributes:
        plan: the plan of the scenario.
        history: the history in which faults are recorded.
        nodes: the nodes.
        agents: the discovery agent of each node.
        servers: the stub servers.
        fleet: the state of all servers as known to discovery.
        clients: the stub clients.
        rng: the source of the random choices of faults.
        busy_nodes: the names of the nodes that a fault is stopping or starting.
        busy_servers: the names of the servers that a fault is stopping or starting.
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
        """Return the node that is the target of a fault."""
        return self.nodes[fault.target % len(self.nodes)]

    def agent_of(self, fault: Fault) -> Agent:
        """Return the agent of the node that is the target of a fault."""
        return self.agents[fault.target % len(self.agents)]

    def server_of(self, fault: Fault) -> StubServer:
        """Return the server that is the target of a fault."""
        return self.servers[fault.target % len(self.servers)]

    def servers_affected_by(self, fault: Fault) -> list[StubServer]:
        """Return the server that is the target of a fault, and a random selection of other servers."""
        target = self.server_of(fault)
        return [s for s in self.servers if s is target or self.rng.random() < ADDITIONAL_SERVER_PROBABILITY]

    def announce(self, server: StubServer, lifecycle: Lifecycle | None = None) -> None:
        """Notify every agent of a server's current state, each agent after its own random delay.

        ``lifecycle``, if given, replaces the server's own lifecycle.
        """
        change = self.fleet.announce(server.row, lifecycle)
        loop = asyncio.get_running_loop()
        for agent in self.agents:
            loop.call_later(self.rng.choice((0.0, 0.05, 0.3)), agent.receive, change.generation)
