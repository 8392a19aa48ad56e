"""Tests that a node stays within its limit on open descriptors."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from tests.process.node_process import ConfigurationFile, NodeProcess, terminate
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.sample_settings import policy_limits, settings
from tests.proxy.stub_client import Client, Response, request
from tests.proxy.stub_discovery import StubDiscovery, listing, row, send_line
from tests.proxy.stub_server import StubServer, reply, when_released


class _PushingDiscovery:
    """Pushes the same endpoint list once on each watch that the node opens at a stub discovery service.

    Attributes:
        watches: all watches that the node has opened so far, in order.
    """

    def __init__(self, discovery: StubDiscovery, endpoints: list[StubServer]) -> None:
        self.watches: list[asyncio.StreamWriter] = []
        self._discovery = discovery
        self._list = listing(2, *(row(f"s{i}", endpoint.address) for i, endpoint in enumerate(endpoints)))
        self._task = asyncio.create_task(self._push())

    async def _push(self) -> None:
        while True:
            self.watches.append(await self._discovery.watches.get())
            send_line(self.watches[-1], self._list)

    async def break_watch(self) -> None:
        """Reset the watch, wait until the node has opened a new watch, and push no list on later watches."""
        opened = len(self.watches)
        self.watches[-1].transport.abort()
        await until(lambda: len(self.watches) > opened)
        self._task.cancel()


def _settings(hedging: bool) -> dict[str, Any]:
    """Return settings with which the node opens a connection to an endpoint only for an attempt.

    The node does not open a second connection while a connect is slow, and it sends no health checks to an
    ejected endpoint.  If ``hedging`` is False, the policy neither hedges nor cancels a slow attempt.  How
    often each of these would happen depends on how busy the machine is, and each would take a connection that
    a request of a burst needs.
    """
    limits = policy_limits(
        cancel=hedging, connectTimeoutMs=1000.0 * TIMEOUT_S, mayDuplicate=hedging, probes=False
    )
    return settings(registryMode="pushed", **limits)


@dataclass(frozen=True, slots=True)
class _Burst:
    """Clients that each send one request and read the response when it arrives."""

    clients: list[Client]
    responses: list[asyncio.Task[Response]]

    @classmethod
    async def send(cls, address: tuple[str, int], count: int) -> _Burst:
        """Open ``count`` connections and send one request on each."""
        clients = []
        for _ in range(count):
            clients.append(await Client.connect(address))
            clients[-1].writer.write(request("look"))
        return cls(clients, [asyncio.create_task(client.read_response()) for client in clients])

    def completed(self) -> int:
        """Return the number of requests whose response has arrived."""
        return sum(response.done() for response in self.responses)

    async def statuses(self) -> list[int]:
        """Wait for all responses and return their statuses."""
        return [(await response).status for response in self.responses]

    def disconnect(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.close()


@dataclass(frozen=True, slots=True)
class _Load:
    """The load on one node: idle clients and bursts of requests.

    Attributes:
        node: the node under load.
        endpoints: the endpoints in the node's list; each holds its requests until its ``release`` is set.
        sockets: the node's limit on open descriptors.
        idle: the clients that have connected and send nothing.
    """

    node: NodeProcess
    endpoints: list[StubServer]
    sockets: int
    idle: list[Client] = field(default_factory=list)

    async def connect_idle(self, count: int) -> None:
        """Open ``count`` connections and send nothing on them."""
        self.idle.extend([await Client.connect(self.node.address) for _ in range(count)])

    async def learn_latency(self) -> None:
        """Let the node measure low latencies, so that it soon hedges requests that the endpoints hold."""
        for endpoint in self.endpoints:
            endpoint.release.set()
        client = await Client.connect(self.node.address)
        assert [(await client.fetch()).status for _ in self.endpoints] == [200] * len(self.endpoints)
        client.close()

    async def max_open_descriptors(self) -> int:
        """Send bursts of requests, and return the highest number of open descriptors in a burst.

        During each burst, idle clients connect before the descriptors are counted.
        """
        # Connections that are idle after one burst are still open during the next.
        return max([await self._descriptors_in_burst() for _ in range(4)])

    async def _descriptors_in_burst(self) -> int:
        for endpoint in self.endpoints:
            endpoint.release.clear()
            endpoint.received.clear()
        burst = await _Burst.send(self.node.address, self.sockets // 3)
        await self.connect_idle(self.sockets // 2)
        # Wait until the node has rejected every request of the burst or sent it to an endpoint, and only then
        # release the endpoints.  The second wait ensures that the endpoints hold at least half as many
        # attempts as the burst has requests.  It counts attempts rather than requests, because a hedged
        # request takes two connections; without hedging, each request has one attempt.
        await until(lambda: len(set(self._received_ids())) + burst.completed() == len(burst.clients))
        await until(lambda: len(self._received_ids()) >= len(burst.clients) // 2)
        received_ids = self._received_ids()
        used = self.node.open_descriptors()
        for endpoint in self.endpoints:
            endpoint.release.set()
        statuses = await burst.statuses()
        served = len(set(received_ids))
        assert (statuses.count(200), statuses.count(503)) == (served, len(statuses) - served)
        burst.disconnect()
        return used

    def _received_ids(self) -> list[str]:
        """Return the request ids of all attempts that the endpoints have received.

        The id of a hedged request occurs more than once.
        """
        return [
            attempt.headers["x-request-id"] for endpoint in self.endpoints for attempt in endpoint.received
        ]


@pytest.mark.parametrize(
    ("sockets", "hedging"), [(64, False), (96, False), (256, False), (64, True), (96, True), (256, True)]
)
@async_test
async def test_idle_clients_leave_descriptors_for_discovery_and_requests(
    sockets: int, hedging: bool, tmp_path: Path
) -> None:
    """Clients that connect and send nothing must not use up the descriptors that the node needs.

    The idle clients connect while discovery does not respond, and again while requests are in flight and
    connections to endpoints are idle.  The operating system limits the descriptors of the process, so that
    exceeding the limit causes an error in the node's log.
    """
    async with contextlib.AsyncExitStack() as stack:
        behaviours = [[when_released(reply("200 OK", b"x"))] for _ in range(12)]
        endpoints = [await stack.enter_async_context(StubServer(behaviour)) for behaviour in behaviours]
        discovery = await stack.enter_async_context(StubDiscovery(sends_no_response=True))
        configuration = ConfigurationFile.write(tmp_path, sockets=sockets, settings=_settings(hedging))
        node = await NodeProcess.start(configuration, discovery, descriptors=sockets)
        load = _Load(node, endpoints, sockets)
        await load.connect_idle(2 * sockets)
        discovery.sends_no_response = False
        pushing = _PushingDiscovery(discovery, endpoints)
        await node.wait_until_ready()
        await load.learn_latency()
        used = await load.max_open_descriptors()
        await pushing.break_watch()
        assert used < sockets
        log = await terminate(node.process)
        assert b"Too many open files" not in log and b"Traceback" not in log, log.decode()
        for client in load.idle:
            client.close()
