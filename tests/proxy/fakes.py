"""Fakes on loopback sockets for what surrounds a node: endpoints, discovery and clients.

They use real connections, so that a node under test runs as it does in production.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import json
import os
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, ParamSpec, TypeVar

import uvloop

from load_balancer.proxy.address import Address, parse_address
from load_balancer.proxy.configuration import Limits, NodeConfiguration, flatten_settings
from load_balancer.proxy.discovery.endpoint_discovery import EndpointDiscovery
from load_balancer.proxy.discovery.endpoint_listing import ListingReader
from load_balancer.proxy.node import Node
from load_balancer.settings_format import read_settings

T = TypeVar("T")
P = ParamSpec("P")

HOST = "127.0.0.1"
TIMEOUT_S = 20.0  # how long a test waits for what must come; reached only by a failing test


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a test on the loop that the node runs on."""

    async def bounded() -> None:
        await asyncio.wait_for(main, 3 * TIMEOUT_S)

    uvloop.run(bounded())


def async_test(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Make a coroutine function a test that runs on the loop that the node runs on."""

    @functools.wraps(test)
    def run_test(*args: P.args, **kwargs: P.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_test


async def until(condition: Callable[[], T]) -> T:
    """Wait until the condition is truthy, and give its value."""
    while not (value := condition()):
        await asyncio.sleep(0)
    return value


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, nested as in a node's configuration file."""
    return {
        "azs": ["hall"],
        "balancers": 1,
        "guarantees": {
            "answerSlackMs": 20.0,
            "coldMs": 8000.0,
            "mustAskInMs": 200.0,
            "stopSendingWithinMs": 250.0,
        },
        "layers": ["front"],
        "models": ["std"],
        "policyLimits": {
            "cancel": True,
            "connIdleMs": 30000.0,
            "connectTimeoutMs": 150.0,
            "maxRetryAfterMs": 2000.0,
            "mayDuplicate": True,
            "probes": True,
            "retryAfter": True,
            "tryLimit": 3,
        },
        "profiles": [
            {"name": "look", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 4000.0},
            {"name": "move", "effect": "keyed", "aimMs": 1000.0, "deadlineMs": 4000.0, "windowMs": 5000.0},
            {"name": "book", "effect": "unsafe", "aimMs": 1000.0, "deadlineMs": 4000.0},
        ],
        "registryMode": "on_request",
        "tenants": [{"name": "acme", "fraction": 1.0, "quotaPerS": 1000.0}],
        "tickMs": 5.0,
        "weights": "nominal",
        **changes,
    }


# ---------------------------------------------------------------- endpoints


@dataclass
class ReceivedRequest:
    """A request as an endpoint received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and its headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.lower(): value.strip() for name, value in pairs}


Behaviour = Callable[["StubServer", ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]
"""What an endpoint does with one request."""


def reply(status: str, body: bytes = b"", extra: str = "") -> Behaviour:
    """Respond with this status line, body and header lines."""

    async def behave(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        writer.write(head.encode() + body)

    return behave


def raw(text: bytes, *, close: bool = False, times: int = 1) -> Behaviour:
    """Write these bytes as they are, the given number of times."""

    async def behave(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(text * times)
        if close:
            writer.close()

    return behave


def when_released(behaviour: Behaviour) -> Behaviour:
    """Wait until the endpoint's release is set, then behave as given."""

    async def behave(server: StubServer, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await server.release.wait()
        await behaviour(server, received, writer)

    return behave


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close with a reset in place of an orderly end."""
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def reset(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    reset_connection(writer)


def then_reset(text: bytes) -> Behaviour:
    """Write these bytes, then reset the connection."""

    async def behave(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(text)
        await asyncio.sleep(0)  # the bytes are sent before the connection ends
        reset_connection(writer)

    return behave


def in_pieces(*pieces: bytes) -> Behaviour:
    """Write each piece when the endpoint's release is set for it, then close in order."""

    async def behave(server: StubServer, _: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            await server.release.wait()
            server.release.clear()
            writer.write(piece)
            server.request_received.set()
        writer.close()

    return behave


async def silent(server: StubServer, _: ReceivedRequest, __: asyncio.StreamWriter) -> None:
    """Send no response until the endpoint's release is set, and none after that."""
    await server.release.wait()


@dataclass
class StubServer:
    """An endpoint that goes through its behaviours, one for each request; the last one stays."""

    behaviours: list[Behaviour]
    address: str = ""
    received: list[ReceivedRequest] = field(default_factory=list)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    request_received: asyncio.Event = field(default_factory=asyncio.Event)  # a request has been received
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)  # a connection has been closed
    accepted_connections: int = 0  # how many connections were accepted
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def __aenter__(self) -> StubServer:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    def vanish(self) -> None:
        """Leave open connections without a response, and refuse new ones."""
        self.behaviours[:] = [silent]
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = ReceivedRequest(method, target, headers, body)
                self.received.append(request)
                self.request_received.set()
                behave = self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
                await behave(self, request, writer)
        self.disconnected.set()
        writer.close()


def row(name: str, address: str, lifecycle: str = "SERVING", started: float = 0) -> dict[str, Any]:
    """An endpoint as discovery lists it."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "hall",
        "machineType": "std",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started,
    }


def listing(generation: int, *rows: dict[str, Any], reset: bool = True) -> dict[str, Any]:
    """An endpoint list of discovery's, or with reset False a change to one."""
    return {"generation": generation, "reset": reset, "instances": list(rows)}


# ---------------------------------------------------------------- discovery


@dataclass
class StubDiscovery:
    """Accepts watches and hands them out in the order in which they are opened."""

    address: str = ""
    targets: list[str] = field(default_factory=list)
    watches: asyncio.Queue[asyncio.StreamWriter] = field(default_factory=asyncio.Queue)
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)  # a watch has been closed
    mute: bool = False  # watches are accepted and get no response

    async def __aenter__(self) -> StubDiscovery:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, _ = await read_head(reader)
        self.targets.append(first.split(" ")[1])
        if not self.mute:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.put_nowait(writer)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.disconnected.set()

    async def watch(self) -> asyncio.StreamWriter:
        """The next watch that is opened here."""
        return await asyncio.wait_for(self.watches.get(), TIMEOUT_S)


def send_line(watch: asyncio.StreamWriter, line: dict[str, Any] | bytes) -> None:
    """Send one line on a watch."""
    text = (line if isinstance(line, bytes) else json.dumps(line).encode()) + b"\n"
    watch.write(b"%x\r\n%s\r\n" % (len(text), text))


# ---------------------------------------------------------------- clients


@dataclass
class Response:
    """A response as a client received it."""

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """One connection of a client to a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Client:
        """Open a connection."""
        return cls(*await asyncio.open_connection(*address))

    async def read_response(self) -> Response:
        """Read the next response."""
        return await asyncio.wait_for(self._read_response(), TIMEOUT_S)

    async def _read_response(self) -> Response:
        first, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers["content-length"]))
        return Response(int(first.split(" ")[1]), headers, body)

    async def fetch(self, *args: Any, **kwargs: Any) -> Response:
        """Send a request, built as by request(), and read the response."""
        self.writer.write(request(*args, **kwargs))
        return await self.read_response()

    async def ends_without_output(self) -> bool:
        """Whether the node closes the connection with no further byte; waits for the close."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(), TIMEOUT_S) == b""
        return True

    def close(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


_names = itertools.count(1)
_METHODS = {"look": "GET", "move": "POST", "book": "POST"}


def request(
    kind: str = "look",
    *,
    target: str = "/api/7f3a9c21e0b4d655",
    method: str | None = None,
    body: bytes = b"",
    deadline: str = "3.0",
    name: str = "",
    drop: tuple[str, ...] = (),
    extra: str = "",
) -> bytes:
    """The bytes of a client's request; drop leaves headers out, extra adds header lines."""
    headers = {
        "X-Request-Id": name or f"{next(_names):016x}",
        "X-Class": kind,
        "X-Tenant": "acme",
        "X-Deadline": deadline,
    }
    if kind == "move":
        headers["Idempotency-Key"] = "5c0f6e1a2b3d4c59"
    method = method or _METHODS.get(kind, "GET")
    if body or method == "POST":
        headers["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if name not in drop)
    return f"{method} {target} HTTP/1.1\r\nHost: api.internal\r\n{lines}{extra}\r\n".encode() + body


# ---------------------------------------------------------------- the node


@dataclass
class NodeEnvironment:
    """A node, its discovery and the task that serves it."""

    node: Node
    address: tuple[str, int]
    discovery: StubDiscovery
    serving: asyncio.Task[None]

    @property
    def endpoint_discovery(self) -> EndpointDiscovery:
        """The node's own side of discovery."""
        return self.node.discovery

    async def connect_client(self) -> Client:
        """Open a client's connection to the node."""
        return await Client.connect(self.address)


@contextlib.asynccontextmanager
async def running_node(
    *rows: dict[str, Any], sockets: int = 256, has_cached_list: bool = True, path: str = "", **changes: Any
) -> AsyncIterator[NodeEnvironment]:
    """A node with these endpoints in its cached list; changes go into its settings."""
    listing_reader = ListingReader(("hall",), ("std",))
    async with StubDiscovery() as discovery:
        config = NodeConfiguration(
            path=path,
            name="n0",
            listen=Address(HOST, 0),
            discovery=parse_address(discovery.address),
            seed=7,
            limits=Limits(192, sockets),
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
