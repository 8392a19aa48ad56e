"""Functions that run the scenario of a plan with real nodes and record its history."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import signal
import socket
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from fault_soak.clients.population import ClientPopulation
from fault_soak.discovery import Agent, FleetState
from fault_soak.history import History
from fault_soak.injection.environment import Environment
from fault_soak.injection.injector import inject
from fault_soak.injection.nodes import kill_delay_s
from fault_soak.nodes import NodeProcess
from fault_soak.plan import SCENARIO_S, Plan
from fault_soak.proxy import HOST
from fault_soak.result import ScenarioResult
from fault_soak.servers import ServerLoad, StubServer
from fault_soak.settings import ListDelivery
from fault_soak.shim import ShimControl, build_shim

READY_WITHIN_S = 30.0
LAG_CHECK_S = 0.01
LISTEN_PORTS = (12_000, 30_000)
# The seed of the plan, changed by this mask, is the seed of the random choices during the run. These choices
# must differ from the choices with which the plan was drawn.
LOAD_SEED_MASK = 0x5EED


@dataclass(slots=True)
class LagMonitor:
    """A monitor of the largest lag of the fault test's own event loop.

    The times in the history are no more precise than ``worst_s``, the largest lag in seconds.
    """

    worst_s: float = 0.0

    async def run(self) -> None:
        """Measure the lag until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(LAG_CHECK_S)
            self.worst_s = max(self.worst_s, loop.time() - before - LAG_CHECK_S)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The factory of the servers, agents and nodes of one scenario.

    Attributes:
        plan: the plan of the scenario.
        tree: the checkout whose nodes are run.
        directory: a temporary directory.
        library: the path of the shim, which makes system calls fail; None if the machine has no C compiler.
        history: the history in which all events are recorded.
        fleet: the state of all servers as known to discovery.
    """

    plan: Plan
    tree: Path
    directory: Path
    library: Path | None
    history: History = field(default_factory=History)
    fleet: FleetState = field(default_factory=FleetState)

    async def start_servers(self) -> list[StubServer]:
        """Start all servers and announce them to discovery."""
        plan = self.plan
        idle_s = plan.settings.limits.idle_timeout_ms / 1000.0
        load = ServerLoad(plan.work_ms / 1000.0, plan.server_slots, idle_s)
        servers = []
        for i, location in enumerate(plan.server_locations()):
            server = StubServer(location, load, self.history, plan.seed * 100 + i)
            await server.start(started_unix_ms=1000.0 * time.time() if plan.cold_start else 0.0)
            self.fleet.announce(server.row)
            servers.append(server)
        return servers

    async def open_agents(self) -> list[Agent]:
        """Start an agent for each node; each agent knows all servers."""
        agents = [self._agent(f"n{i}") for i in range(self.plan.node_count)]
        for agent in agents:
            await agent.open()
            agent.receive(len(self.fleet.changes))
        return agents

    def _agent(self, name: str) -> Agent:
        pushed = self.plan.settings.list_delivery is ListDelivery.PUSHED
        return Agent(name, self.fleet, self.history, random.Random(f"{self.plan.seed}/{name}"), pushed)

    def build_node(self, index: int, agent: Agent) -> NodeProcess:
        """Create a node without starting it."""
        own_directory = self.directory / f"n{index}"
        own_directory.mkdir()
        return NodeProcess(
            name=f"n{index}",
            tree=self.tree,
            directory=own_directory,
            port=_free_port(),
            settings=self.plan.node_settings(index),
            descriptors=self.plan.descriptors,
            discovery_address=lambda: f"{HOST}:{agent.port}",
            cached_list=lambda: agent.fleet.complete_list(agent.generation),
            history=self.history,
            shim=None if self.library is None else ShimControl(own_directory / "shim"),
            library=self.library,
        )


def _free_port() -> int:
    """Return a free port below the range of ports that the system assigns to outgoing connections.

    No outgoing connection can then occupy the port while the node restarts.
    """
    while True:
        port = random.SystemRandom().randrange(*LISTEN_PORTS)
        with socket.socket() as test_socket, contextlib.suppress(OSError):
            test_socket.bind((HOST, port))
            return port


async def run_scenario(plan: Plan, tree: Path) -> ScenarioResult:
    """Run the scenario of a plan with the nodes of a checkout and return its result."""
    directory = Path(tempfile.mkdtemp(prefix="fault-soak-"))
    try:
        return await _run(Deployment(plan, tree, directory, build_shim(directory)))
    finally:
        shutil.rmtree(directory, ignore_errors=True)


async def _run(deployment: Deployment) -> ScenarioResult:
    plan, history = deployment.plan, deployment.history
    rng = random.Random(plan.seed ^ LOAD_SEED_MASK)
    servers = await deployment.start_servers()
    agents = await deployment.open_agents()
    nodes = [deployment.build_node(index, agent) for index, agent in enumerate(agents)]
    lag_monitor = LagMonitor()
    lag_task = asyncio.create_task(lag_monitor.run())
    try:
        await asyncio.gather(*(node.start() for node in nodes))
        await _wait_until_ready(nodes)
        clients = ClientPopulation(plan, nodes, history, rng)
        environment = Environment(plan, history, nodes, agents, servers, deployment.fleet, clients, rng)
        await _run_load_and_faults(environment)
        await _terminate_nodes(nodes, kill_delay_s(plan))
    finally:
        lag_task.cancel()
        await _stop_all(nodes, agents, servers)
    return ScenarioResult(plan, history, lag_monitor.worst_s, deployment.library is not None)


async def _wait_until_ready(nodes: list[NodeProcess]) -> None:
    async with asyncio.timeout(READY_WITHIN_S):
        while not all(node.admitted for node in nodes):
            await asyncio.sleep(0.02)


async def _run_load_and_faults(environment: Environment) -> None:
    began, faults = History.now(), environment.plan.faults

    async def run_at(index: int) -> None:
        fault = faults[index]
        await asyncio.sleep(began + fault.begin_s - History.now())
        await inject(environment, index, fault)

    await asyncio.gather(environment.clients.run(SCENARIO_S), *(run_at(i) for i in range(len(faults))))


async def _terminate_nodes(nodes: list[NodeProcess], timeout_s: float) -> None:
    """Send SIGTERM to every node, and wait at most ``timeout_s`` seconds until the processes have exited."""
    for node in nodes:
        node.admitted = False
        node.log_read_allowed.set()
        node.signal(signal.SIGTERM)
    await asyncio.gather(*(node.wait_for_exit(timeout_s) for node in nodes))


async def _stop_all(nodes: list[NodeProcess], agents: list[Agent], servers: list[StubServer]) -> None:
    """Stop the nodes, agents and servers that are still running."""
    for node in nodes:
        await node.kill()
    for agent in agents:
        agent.close()
    for server in servers:
        server.crash()
