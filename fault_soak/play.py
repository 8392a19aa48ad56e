"""Plays one plan with real nodes and gives its history."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import signal
import socket
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from fault_soak.clients import ClientPopulation
from fault_soak.discovery import Agent, FleetState
from fault_soak.history import History
from fault_soak.injection.environment import Environment
from fault_soak.injection.injector import inject
from fault_soak.injection.nodes import kill_delay_s
from fault_soak.nodes import NodeProcess
from fault_soak.plan import PLAY_S, Plan
from fault_soak.proxy import HOST
from fault_soak.servers import ServerLoad, StubServer
from fault_soak.settings import ListDelivery
from fault_soak.shim import ShimControl, build_shim

READY_WITHIN_S = 30.0
LAG_CHECK_S = 0.01
LISTEN_PORTS = (12_000, 30_000)


@dataclass(slots=True)
class LagMonitor:
    """How late the soak's own event loop runs: the oracle's times are no better than that."""

    worst_s: float = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(LAG_CHECK_S)
            self.worst_s = max(self.worst_s, loop.time() - before - LAG_CHECK_S)


@dataclass(frozen=True, slots=True)
class PlayResult:
    """A history and what bounds its exactness."""

    plan: Plan
    history: History
    worst_lag_s: float
    shim_loaded: bool


async def play(plan: Plan, tree: Path) -> PlayResult:
    """Play a plan with the nodes of a checkout."""
    directory = Path(tempfile.mkdtemp(prefix="fault-soak-"))
    try:
        return await _play(plan, tree, directory)
    finally:
        shutil.rmtree(directory, ignore_errors=True)


async def _play(plan: Plan, tree: Path, directory: Path) -> PlayResult:
    history, rng = History(), random.Random(plan.seed ^ 0x5EED)
    library = build_shim(directory)
    fleet = FleetState()
    servers = await _start_servers(plan, history, fleet)
    agents = [_agent(f"n{i}", plan, fleet, history) for i in range(plan.node_count)]
    for agent in agents:
        await agent.open()
        agent.receive(len(fleet.changes))
    nodes = [_node(i, plan, tree, directory, agents[i], history, library) for i in range(plan.node_count)]
    lag = LagMonitor()
    lag_task = asyncio.create_task(lag.run())
    try:
        await asyncio.gather(*(node.start() for node in nodes))
        await _until_ready(nodes)
        clients = ClientPopulation(plan, nodes, history, rng)
        environment = Environment(plan, history, nodes, agents, servers, fleet, clients, rng)
        await _run_load_and_faults(environment)
        await _end_nodes(nodes, kill_delay_s(plan))
    finally:
        lag_task.cancel()
        for node in nodes:
            await node.kill()
        for agent in agents:
            agent.close()
        for server in servers:
            server.crash()
    return PlayResult(plan, history, lag.worst_s, library is not None)


async def _start_servers(plan: Plan, history: History, fleet: FleetState) -> list[StubServer]:
    idle_s = plan.settings.limits.idle_timeout_ms / 1000.0
    load = ServerLoad(plan.work_ms / 1000.0, plan.server_slots, idle_s)
    servers = []
    for i, location in enumerate(plan.server_locations()):
        server = StubServer(location, load, history, plan.seed * 100 + i)
        await server.start(started_unix_ms=1000.0 * time.time() if plan.cold_start else 0.0)
        fleet.announce(server.row)
        servers.append(server)
    return servers


def _agent(name: str, plan: Plan, fleet: FleetState, history: History) -> Agent:
    pushed = plan.settings.list_delivery is ListDelivery.PUSHED
    return Agent(name, fleet, history, random.Random(f"{plan.seed}/{name}"), pushed)


def _node(
    index: int,
    plan: Plan,
    tree: Path,
    directory: Path,
    agent: Agent,
    history: History,
    library: Path | None,
) -> NodeProcess:
    own = directory / f"n{index}"
    own.mkdir()
    return NodeProcess(
        name=f"n{index}",
        tree=tree,
        directory=own,
        port=_free_port(),
        settings=plan.node_settings(index),
        descriptors=plan.descriptors,
        discovery_address=lambda: f"{HOST}:{agent.port}",
        known_list=lambda: agent.fleet.complete_list(agent.generation),
        history=history,
        shim=None if library is None else ShimControl(own / "shim"),
        library=library,
    )


def _free_port() -> int:
    """A port below those that the system gives to outgoing connections, so that a restart finds it free."""
    while True:
        port = random.SystemRandom().randrange(*LISTEN_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


async def _until_ready(nodes: list[NodeProcess]) -> None:
    async with asyncio.timeout(READY_WITHIN_S):
        while not all(node.admitted for node in nodes):
            await asyncio.sleep(0.02)


async def _run_load_and_faults(environment: Environment) -> None:
    began, faults = History.now(), environment.plan.faults

    async def run_at(index: int) -> None:
        fault = faults[index]
        await asyncio.sleep(began + fault.begin_s - History.now())
        await inject(environment, index, fault)

    await asyncio.gather(environment.clients.run(PLAY_S), *(run_at(i) for i in range(len(faults))))


async def _end_nodes(nodes: list[NodeProcess], kill_delay_s: float) -> None:
    """Every node is asked to end, and does so by itself."""
    for node in nodes:
        node.admitted = False
        node.log_may_flow.set()
        node.signal(signal.SIGTERM)
    await asyncio.gather(*(node.exited(kill_delay_s) for node in nodes))
