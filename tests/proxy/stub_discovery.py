"""A stub of discovery on a loopback socket, and the endpoint lists that it sends."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypedDict

from tests.proxy.async_support import HOST, TIMEOUT_S
from tests.proxy.http_text import read_head


class EndpointRow(TypedDict):
    """An endpoint in the form in which discovery lists it, with the documented names."""

    instanceId: str
    hostPort: str
    zone: str
    machineType: str
    cell: int
    lifecycle: str
    weight: float
    startedAtMs: float


class EndpointList(TypedDict):
    """An endpoint list of discovery, with the documented names; a test may also include invalid rows."""

    generation: int
    reset: bool
    instances: list[Mapping[str, object]]


def row(name: str, address: str, lifecycle: str = "SERVING", started: float = 0) -> EndpointRow:
    """Return a valid endpoint with the only zone and the only machine type of the sample settings."""
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


def listing(generation: int, *rows: Mapping[str, object], reset: bool = True) -> EndpointList:
    """Return a complete endpoint list or, if reset is False, a list of changes."""
    return {"generation": generation, "reset": reset, "instances": list(rows)}


@dataclass
class StubDiscovery:
    """Accepts watches and passes them to the test in the order in which they are opened.

    Attributes:
        address: the address at which the stub listens, as host:port.
        targets: the request targets of all watches.
        watches: the watches that no test has taken yet.
        disconnected: set when a watch has been closed.
        sends_no_response: whether the stub sends no response to a watch request.
    """

    address: str = ""
    targets: list[str] = field(default_factory=list)
    watches: asyncio.Queue[asyncio.StreamWriter] = field(default_factory=asyncio.Queue)
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    sends_no_response: bool = False

    async def __aenter__(self) -> StubDiscovery:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        start_line, _ = await read_head(reader)
        self.targets.append(start_line.split(" ")[1])
        if not self.sends_no_response:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.put_nowait(writer)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.disconnected.set()

    async def watch(self) -> asyncio.StreamWriter:
        """Wait for the next watch that the node opens, and return it."""
        return await asyncio.wait_for(self.watches.get(), TIMEOUT_S)


def send_line(watch: asyncio.StreamWriter, line: Mapping[str, object] | bytes) -> None:
    """Send a line on a watch, in its own chunk; an object is sent as JSON, and bytes are sent unchanged."""
    text = (line if isinstance(line, bytes) else json.dumps(line).encode()) + b"\n"
    watch.write(b"%x\r\n%s\r\n" % (len(text), text))
