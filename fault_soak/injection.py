"""Carries out the faults of a schedule, each from its beginning to its end."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fault_soak.clients import ClientPopulation
from fault_soak.discovery import Agent, FleetState
from fault_soak.history import FaultBegan, FaultEnded, History, Lifecycle
from fault_soak.nodes import NodeProcess
from fault_soak.plan import NODE_KINDS, SERVER_KINDS, Fault, FaultKind, Plan
from fault_soak.proxy import LinkState
from fault_soak.servers import Misbehaviour, StubServer
from fault_soak.shim import ERRORS, Failure

KILL_GRACE_S = 0.7
MAX_KILL_DEADLINE_S = 3.0
NEW_CONNECTIONS_AFTER_TERM_S = (0.2, 0.4)
PAUSE_S = (0.03, 0.15)
DRAIN_TO_GONE_S = 2.0
OLD_AGENT_CLOSES_S = 1.0
CLOCK_STEP_S = 3600
NEWS_INTERVAL_S = 0.25
HANG_AT_TERM = 0.5
ALSO_HIT = 0.3  # the chance of every other server to be hit by a server's fault, too
DEAD_UNNOTICED_S = 0.3

AIMED_CLIENT_KINDS = frozenset({FaultKind.CLIENTS_CONNECTION_BURST, FaultKind.CLIENTS_PIPELINE})
"""Faults of clients that are aimed at one node."""

_SYSTEM_CALLS = {
    FaultKind.SYSCALL_ACCEPT: Failure.ACCEPT,
    FaultKind.SYSCALL_CONNECT: Failure.CONNECT,
    FaultKind.SYSCALL_SOCKET: Failure.SOCKET,
    FaultKind.SYSCALL_OPEN: Failure.OPEN,
    FaultKind.SYSCALL_READ: Failure.READ,
    FaultKind.SYSCALL_SHORT: Failure.SHORT,
    FaultKind.SYSCALL_INTERRUPT: Failure.INTERRUPT,
    FaultKind.WRITE_PAUSE: Failure.PAUSE,
    FaultKind.CLOCK_STEP: Failure.CLOCK,
}
_THOUSANDTHS = {
    Failure.ACCEPT: 500,
    Failure.CONNECT: 500,
    Failure.SOCKET: 500,
    Failure.OPEN: 1000,
    Failure.READ: 60,
    Failure.SHORT: 300,
    Failure.INTERRUPT: 300,
    Failure.PAUSE: 30,
    Failure.CLOCK: CLOCK_STEP_S,
}
_LINK_STATES = {
    FaultKind.LINK_SILENT: LinkState.SILENT,
    FaultKind.LINK_LATE: LinkState.LATE,
    FaultKind.LINK_RESET_REQUEST: LinkState.RESET_REQUEST,
    FaultKind.LINK_RESET_RESPONSE: LinkState.RESET_RESPONSE,
}
_MISBEHAVIOURS = {
    FaultKind.SERVER_HANG: Misbehaviour.HANG,
    FaultKind.SERVER_ERRORS: Misbehaviour.ERRORS,
    FaultKind.SERVER_GARBLE: Misbehaviour.GARBLE,
    FaultKind.SERVER_IDLE_CLOSE: Misbehaviour.IDLE_CLOSE,
}


@dataclass(slots=True)
class World:
    """Everything that faults act on."""

    plan: Plan
    history: History
    nodes: list[NodeProcess]
    agents: list[Agent]
    servers: list[StubServer]
    fleet: FleetState
    clients: ClientPopulation
    rng: random.Random
    busy_nodes: set[str]
    busy_servers: set[str]

    def announce(self, server: StubServer, lifecycle: Lifecycle | None = None) -> None:
        """Tell every agent of a server's present state, each with a delay of its own."""
        change = self.fleet.announce(server.row, lifecycle)
        loop = asyncio.get_running_loop()
        for agent in self.agents:
            loop.call_later(self.rng.choice((0.0, 0.05, 0.3)), agent.receive, change.generation)


class FaultInjector:
    """Runs one fault at a time of each that is asked for; several run beside each other."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._handlers: dict[FaultKind, Callable[[Fault], Awaitable[int | None]]] = {
            FaultKind.NODE_TERM: self._terminate_node,
            FaultKind.NODE_KILL: self._kill_node,
            FaultKind.NODE_PAUSE: self._pause_node,
            FaultKind.NODE_RESTART_RELOAD: self._restart_and_reload,
            FaultKind.RELOAD_MOVE: self._reload,
            FaultKind.RELOAD_PARTIAL: self._reload_partial,
            FaultKind.LOG_STALL: self._stall_log,
            FaultKind.LOG_CLOSED: self._close_log,
            FaultKind.DISCOVERY_DOWN: self._discovery_down,
            FaultKind.WATCH_SILENT: self._silence_watch,
            FaultKind.WATCH_RESET: self._reset_watch,
            FaultKind.LIST_PIECES: self._list_in_pieces,
            FaultKind.SERVER_DRAIN: self._drain_server,
            FaultKind.SERVER_CRASH: self._crash_server,
            FaultKind.CLIENTS_LEAVE: self._clients_leave,
            FaultKind.CLIENTS_STOP: self._clients_stop,
            FaultKind.CLIENTS_PIPELINE: self._clients_pipeline,
            FaultKind.CLIENTS_GARBAGE: self._clients_garbage,
            FaultKind.CLIENTS_SLOW: self._clients_slow,
            FaultKind.CLIENTS_CONNECTION_BURST: self._clients_crowd,
            FaultKind.LOAD_BURST: self._load_burst,
        }
        self._handlers |= {kind: self._link for kind in _LINK_STATES}
        self._handlers |= {kind: self._misbehave for kind in _MISBEHAVIOURS}
        self._handlers |= {kind: self._system_call for kind in _SYSTEM_CALLS}

    async def run(self, index: int, fault: Fault) -> None:
        """Carry out one fault."""
        world, kind = self._world, fault.kind.value
        target = self._target_name(fault)
        world.history.add(FaultBegan(History.now(), index, kind, target))
        fired = await self._handlers[fault.kind](fault)
        world.history.add(FaultEnded(History.now(), index, kind, target, fired))

    def _target_name(self, fault: Fault) -> str:
        if fault.kind in NODE_KINDS or fault.kind in AIMED_CLIENT_KINDS:
            return self._node(fault).name
        if fault.kind in SERVER_KINDS:
            return self._server(fault).name
        return "all"

    def _node(self, fault: Fault) -> NodeProcess:
        return self._world.nodes[fault.target % len(self._world.nodes)]

    def _agent(self, fault: Fault) -> Agent:
        return self._world.agents[fault.target % len(self._world.agents)]

    def _servers(self, fault: Fault) -> list[StubServer]:
        """The target, and others that are hit with it."""
        target, rng = self._server(fault), self._world.rng
        return [s for s in self._world.servers if s is target or rng.random() < ALSO_HIT]

    def _server(self, fault: Fault) -> StubServer:
        return self._world.servers[fault.target % len(self._world.servers)]

    # Nodes.

    def kill_delay_s(self) -> float:
        """How long after SIGTERM a SIGKILL comes."""
        longest_s = max(c.deadline_ms for c in self._world.plan.settings.classes) / 1000.0
        return min(longest_s, MAX_KILL_DEADLINE_S) + KILL_GRACE_S

    async def _terminate_node(self, fault: Fault) -> int | None:
        node = self._node(fault)
        if node.name in self._world.busy_nodes or not node.alive or not node.admitted:
            return 0
        self._world.busy_nodes.add(node.name)
        hanging = self._hang_servers() if self._world.rng.random() < HANG_AT_TERM else []
        node.signal(signal.SIGTERM)
        stop_s = self._world.rng.uniform(*NEW_CONNECTIONS_AFTER_TERM_S)
        asyncio.get_running_loop().call_later(stop_s, setattr, node, "admitted", False)
        await node.exited(self.kill_delay_s())
        await node.kill()
        await node.start()
        for server in hanging:
            server.misbehaviour = Misbehaviour.NONE
        self._world.busy_nodes.discard(node.name)
        return 1

    def _hang_servers(self) -> list[StubServer]:
        """Half of the servers hang, through the whole of a shutdown."""
        hanging = [s for s in self._world.servers if self._world.rng.random() < 0.5]
        for server in hanging:
            server.misbehaviour = Misbehaviour.HANG
        return hanging

    async def _kill_node(self, fault: Fault) -> int | None:
        node = self._node(fault)
        if node.name in self._world.busy_nodes or not node.alive:
            return 0
        self._world.busy_nodes.add(node.name)
        await node.kill()
        await asyncio.sleep(DEAD_UNNOTICED_S)
        await node.start()
        self._world.busy_nodes.discard(node.name)
        return 1

    async def _pause_node(self, fault: Fault) -> int | None:
        node = self._node(fault)
        times = 0
        until = History.now() + fault.length_s
        while History.now() < until and node.alive:
            times += 1
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(self._world.rng.uniform(*PAUSE_S))
            node.signal(signal.SIGCONT)
            await asyncio.sleep(self._world.rng.uniform(0.2, 0.6))
        return times

    async def _restart_and_reload(self, fault: Fault) -> int | None:
        """A new configuration arrives while the node starts."""
        node, agent = self._node(fault), self._agent(fault)
        if node.name in self._world.busy_nodes or not node.alive:
            return 0
        self._world.busy_nodes.add(node.name)
        await node.kill()
        await node.start()
        await asyncio.sleep(self._world.rng.uniform(0.0, 0.5))
        await self._move_discovery(node, agent)
        self._world.busy_nodes.discard(node.name)
        return 1

    async def _move_discovery(self, node: NodeProcess, agent: Agent) -> None:
        old = await agent.move()
        node.write_configuration()
        node.signal(signal.SIGHUP)
        await asyncio.sleep(OLD_AGENT_CLOSES_S)
        if old is not None:
            old.close()

    async def _reload(self, fault: Fault) -> int | None:
        node, agent = self._node(fault), self._agent(fault)
        times = self._world.rng.choice((1, 1, 2, 3))
        moves = []
        for _ in range(times):
            moves.append(asyncio.ensure_future(self._move_discovery(node, agent)))
            await asyncio.sleep(self._world.rng.choice((0.0, 0.01, 0.2)))
        await asyncio.gather(*moves)
        return times

    async def _reload_partial(self, fault: Fault) -> int | None:
        """The signal comes while the file is half written; the rest follows at once, with no signal."""
        node, agent = self._node(fault), self._agent(fault)
        old = await agent.move()
        node.write_configuration(cut=True)
        node.signal(signal.SIGHUP)
        await asyncio.sleep(0.05)
        node.write_configuration()
        await asyncio.sleep(OLD_AGENT_CLOSES_S)
        if old is not None:
            old.close()
        return 1

    async def _stall_log(self, fault: Fault) -> int | None:
        node = self._node(fault)
        node.log_may_flow.clear()
        await asyncio.sleep(fault.length_s)
        node.log_may_flow.set()
        return 1

    async def _close_log(self, fault: Fault) -> int | None:
        node = self._node(fault)
        node.close_log()
        await asyncio.sleep(fault.length_s)
        return 1

    async def _system_call(self, fault: Fault) -> int | None:
        node, failure = self._node(fault), _SYSTEM_CALLS[fault.kind]
        if node.shim is None:
            return None
        error = self._world.rng.choice(ERRORS[failure])
        before = node.shim.fired(failure)
        node.shim.set(failure, _THOUSANDTHS[failure], error)
        if failure is Failure.OPEN:  # a new configuration arrives that cannot be opened for a while
            await self._move_discovery(node, self._agent(fault))
        await asyncio.sleep(fault.length_s)
        node.shim.clear(failure)
        return node.shim.fired(failure) - before

    # Discovery.

    async def _discovery_down(self, fault: Fault) -> int | None:
        for agent in self._world.agents:
            agent.set_down(True)
        await asyncio.sleep(fault.length_s)
        for agent in self._world.agents:
            agent.set_down(False)
        return len(self._world.agents)

    async def _silence_watch(self, fault: Fault) -> int | None:
        agent = self._agent(fault)
        before = agent.fired
        agent.silence_watches()
        return agent.fired - before

    async def _reset_watch(self, fault: Fault) -> int | None:
        agent = self._agent(fault)
        before = agent.fired
        agent.reset_watches()
        return agent.fired - before

    async def _list_in_pieces(self, fault: Fault) -> int | None:
        agent = self._agent(fault)
        before = agent.fired
        agent.pieces = True
        until = History.now() + fault.length_s
        while History.now() < until:
            serving = [s for s in self._world.servers if s.up and not s.draining]
            if serving:
                self._world.announce(self._world.rng.choice(serving))  # nothing new, as lists may tell
            await asyncio.sleep(NEWS_INTERVAL_S)
        agent.pieces = False
        return agent.fired - before

    # Servers.

    async def _drain_server(self, fault: Fault) -> int | None:
        server, world = self._server(fault), self._world
        if server.name in world.busy_servers or not server.up:
            return 0
        world.busy_servers.add(server.name)
        server.draining = True
        world.announce(server)
        await asyncio.sleep(world.rng.uniform(0.5, DRAIN_TO_GONE_S))
        world.announce(server, Lifecycle.DELETED)
        await asyncio.sleep(world.rng.uniform(0.3, 1.5))
        server.crash()
        await server.start(started_unix_ms=1000.0 * time.time())
        world.announce(server)
        world.busy_servers.discard(server.name)
        return 1

    async def _crash_server(self, fault: Fault) -> int | None:
        server, world = self._server(fault), self._world
        if server.name in world.busy_servers or not server.up:
            return 0
        world.busy_servers.add(server.name)
        server.crash()
        await asyncio.sleep(fault.length_s)
        await server.start(started_unix_ms=1000.0 * time.time())
        world.announce(server)
        world.busy_servers.discard(server.name)
        return 1

    async def _misbehave(self, fault: Fault) -> int | None:
        servers = self._servers(fault)
        before = sum(server.fired for server in servers)
        for server in servers:
            server.misbehaviour = _MISBEHAVIOURS[fault.kind]
        await asyncio.sleep(fault.length_s)
        for server in servers:
            server.misbehaviour = Misbehaviour.NONE
        return sum(server.fired for server in servers) - before

    async def _link(self, fault: Fault) -> int | None:
        server, state = self._server(fault), _LINK_STATES[fault.kind]
        proxy = server.proxy
        if not server.up or proxy is None:
            return 0
        server.set_link(state)
        await asyncio.sleep(fault.length_s)
        if server.proxy is proxy:
            server.set_link(LinkState.PASS)
        return 1 if state is LinkState.LATE else proxy.fired

    # Clients.

    async def _clients_leave(self, fault: Fault) -> int | None:
        habits = self._world.clients.habits
        habits.leave_fraction += 0.5
        await asyncio.sleep(fault.length_s)
        habits.leave_fraction -= 0.5
        return 1

    async def _clients_stop(self, fault: Fault) -> int | None:
        for first in (True, False):
            node = self._world.rng.choice(self._world.nodes)
            if node.admitted:
                self._world.clients.spawn(self._world.clients.stop_within_request(node, first=first))
        return 1

    async def _clients_pipeline(self, fault: Fault) -> int | None:
        node = self._node(fault)
        if node.admitted:
            count = self._world.rng.choice((3, 16, 17, 25))
            self._world.clients.spawn(self._world.clients.pipeline(node, count))
        return 1

    async def _clients_garbage(self, fault: Fault) -> int | None:
        for _ in range(5):
            node = self._world.rng.choice(self._world.nodes)
            if node.admitted:
                self._world.clients.spawn(self._world.clients.send_garbage(node))
        return 5

    async def _clients_slow(self, fault: Fault) -> int | None:
        habits = self._world.clients.habits
        habits.slow = True
        await asyncio.sleep(fault.length_s)
        habits.slow = False
        return 1

    async def _clients_crowd(self, fault: Fault) -> int | None:
        node = self._node(fault)
        count = min(self._world.plan.descriptors, 150)
        await self._world.clients.crowd(node, count, fault.length_s)
        return count

    async def _load_burst(self, fault: Fault) -> int | None:
        habits = self._world.clients.habits
        habits.rate_factor *= 2.0
        await asyncio.sleep(fault.length_s)
        habits.rate_factor /= 2.0
        return 1
