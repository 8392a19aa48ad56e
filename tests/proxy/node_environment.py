"""Starts a node in the test's own process, connected to stubs."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any

from load_balancer.proxy.address import Address, parse_address
from load_balancer.proxy.configuration import Limits, NodeConfiguration, flatten_settings
from load_balancer.proxy.discovery.endpoint_discovery import EndpointDiscovery
from load_balancer.proxy.discovery.endpoint_listing import ListingReader
from load_balancer.proxy.node import Node
from load_balancer.settings_format import read_settings
from tests.proxy.async_support import HOST, TIMEOUT_S
from tests.proxy.sample_settings import settings
from tests.proxy.stub_client import Client
from tests.proxy.stub_discovery import StubDiscovery, listing


@dataclass
class NodeEnvironment:
    """A running node and the stub of discovery that it watches.

    Attributes:
        node: the node.
        address: the host and port to which clients connect.
        discovery: the stub that the node watches.
        serving: the task that ends when the node has stopped.
    """

    node: Node
    address: tuple[str, int]
    discovery: StubDiscovery
    serving: asyncio.Task[None]

    @property
    def endpoint_discovery(self) -> EndpointDiscovery:
        """The part of the node that communicates with discovery."""
        return self.node.discovery

    async def connect_client(self) -> Client:
        """Open a connection of a client to the node."""
        return await Client.connect(self.address)


@contextlib.asynccontextmanager
async def running_node(
    *rows: Mapping[str, object],
    sockets: int = 256,
    memory_mb: int = 192,
    has_cached_list: bool = True,
    path: str = "",
    **changes: Any,
) -> AsyncIterator[NodeEnvironment]:
    """Run a node until the context ends.

    Args:
        rows: the endpoints in the node's cached list.
        sockets: the limit on descriptors.
        memory_mb: the limit on memory, in megabytes.
        has_cached_list: whether the node starts with a cached list.
        path: the path of the configuration file, for tests of a reload.
        changes: changes to the sample settings.
    """
    listing_reader = ListingReader(("hall",), ("std",))
    async with StubDiscovery() as discovery:
        config = NodeConfiguration(
            path=path,
            name="n0",
            listen=Address(HOST, 0),
            discovery=parse_address(discovery.address),
            seed=7,
            limits=Limits(memory_mb, sockets),
            settings=read_settings(dict(flatten_settings(settings(**changes)))),
            listing_reader=listing_reader,
            cached_listing=listing_reader.read(listing(1, *rows)) if has_cached_list else None,
            connection_idle_ms=30_000.0,
        )
        node = Node(config)
        address = await node.start()
        serving = asyncio.create_task(node.wait())
        try:
            yield NodeEnvironment(node, address, discovery, serving)
        finally:
            node.stop()
            await asyncio.wait_for(serving, TIMEOUT_S)
