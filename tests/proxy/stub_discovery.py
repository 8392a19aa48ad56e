"""Discovery on a loopback socket, and the endpoint lists that it sends."""

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
    """An endpoint as discovery lists it, by the documented names."""

    instanceId: str
    hostPort: str
    zone: str
    machineType: str
    cell: int
    lifecycle: str
    weight: float
    startedAtMs: float


class EndpointList(TypedDict):
    """An endpoint list of discovery, by the documented names; its rows may also be invalid ones."""

    generation: int
    reset: bool
    instances: list[Mapping[str, object]]


def row(name: str, address: str, lifecycle: str = "SERVING", started: float = 0) -> EndpointRow:
    """A valid endpoint of the test's only zone and machine type."""
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
    """A complete endpoint list, or with reset False a change to one."""
    return {"generation": generation, "reset": reset, "instances": list(rows)}


@dataclass
class StubDiscovery:
    """Accepts watches and hands them out in the order in which they are opened.

    Attributes:
        address: where it listens.
        targets: the request targets of all watches.
        watches: the watches that no test has taken yet.
        disconnected: a watch has been closed.
        mute: whether watches are accepted without a response.
    """

    address: str = ""
    targets: list[str] = field(default_factory=list)
    watches: asyncio.Queue[asyncio.StreamWriter] = field(default_factory=asyncio.Queue)
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    mute: bool = False

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


def send_line(watch: asyncio.StreamWriter, line: Mapping[str, object] | bytes) -> None:
    """Send one line on a watch, in a chunk of its own: a JSON object, or bytes as they are."""
    text = (line if isinstance(line, bytes) else json.dumps(line).encode()) + b"\n"
    watch.write(b"%x\r\n%s\r\n" % (len(text), text))
