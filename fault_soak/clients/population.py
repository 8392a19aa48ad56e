"""All clients of a scenario: ordinary clients, which send the planned load, and clients that misbehave."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine

from fault_soak.clients.connections import IdleConnections, connect
from fault_soak.clients.exchange import ClientBehaviour, ClientRecorder, RequestExchange
from fault_soak.clients.faulty import FaultyClients
from fault_soak.clients.requests import RequestFactory
from fault_soak.history import History
from fault_soak.nodes import NodeProcess
from fault_soak.plan import Plan


class ClientPopulation:
    """All clients of a scenario.

    Attributes:
        behaviour: the current behaviour of the ordinary clients.
        faulty: the clients that misbehave.
    """

    def __init__(self, plan: Plan, nodes: list[NodeProcess], history: History, rng: random.Random) -> None:
        self.behaviour = ClientBehaviour(leave_fraction=plan.client_leave_fraction)
        self._plan = plan
        self._nodes = nodes
        self._rng = rng
        self._idle = IdleConnections(nodes)
        self._requests = RequestFactory(plan.settings.classes, rng)
        self._exchange = RequestExchange(self.behaviour, self._idle, ClientRecorder(history))
        self._tasks: set[asyncio.Task[None]] = set()
        self.faulty = FaultyClients(self._requests, self._exchange, rng)

    async def run(self, seconds: float) -> None:
        """Send the planned load for the given time, then wait until all clients have ended."""
        until = History.now() + seconds
        while History.now() < until:
            rate = self._plan.requests_per_s * len(self._nodes) * self.behaviour.rate_factor
            await asyncio.sleep(self._rng.expovariate(rate))
            admitted = [node for node in self._nodes if node.admitted]
            if admitted:
                self.spawn(self._send(self._rng.choice(admitted)))
        while self._tasks:
            await asyncio.sleep(0.05)

    def spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run the coroutine of a client concurrently; ``run`` waits until the coroutine has ended."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, node: NodeProcess) -> None:
        request = self._requests.draw()
        connection = self._idle.take(node) or await connect(node)
        if connection is None:
            return
        leaves = self._rng.random() < self.behaviour.leave_fraction
        leave_s = self._rng.uniform(0.0, request.deadline_s) if leaves else None
        may_resend = await self._exchange.run(connection, request, leave_s)
        if may_resend:
            new_connection = await connect(node)
            if new_connection is not None:
                await self._exchange.run(new_connection, request, leave_s, resent=True)
