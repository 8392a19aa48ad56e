"""The agent of discovery on the node's machine, which pushes the endpoint list."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from review.common.http import read_message
from review.common.node import HOST
from review.common.record import Record

HEARTBEAT_S = 2.0


def row(server: str, address: str, lifecycle: str = "SERVING", **changes: Any) -> dict[str, Any]:
    """Return a server's entry in the list."""
    return {
        "instanceId": server,
        "hostPort": address,
        "zone": "cali-norte",
        "machineType": "pedidos-rapido",
        "cell": 1,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
        **changes,
    }


class Agent:
    """Serves the list and watches on it, as the protocol page says.

    Attributes:
        name: the name of the agent in the record.
        changes: the changes that the agent has been sent; the list after ``changes[i]`` is version
            ``first_version + i``.
    """

    def __init__(self, record: Record, name: str = "agent", first_version: int = 41) -> None:
        self.name = name
        self.first_version = first_version
        self.changes: list[list[dict[str, Any]]] = []
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        """The version of the list that the agent has."""
        return self.first_version + len(self.changes) - 1

    @property
    def address(self) -> str:
        """The address at which the agent listens."""
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def open(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)

    def tell(self, rows: list[dict[str, Any]]) -> None:
        """Give the agent one change, which it writes at once to each open watch."""
        self.changes.append(rows)
        for entry in rows:
            self._record.add("told", agent=self.name, version=self.version, server=entry["instanceId"],
                             lifecycle=entry["lifecycle"])  # fmt: skip
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def stop_listening(self) -> None:
        """Take no new connection."""
        assert self._server is not None
        self._server.close()

    def close_watches(self) -> None:
        """Close the open connections."""
        for writer in list(self._writers):
            writer.close()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list of the present version."""
        rows: dict[str, dict[str, Any]] = {}
        for change in self.changes:
            rows.update({entry["instanceId"]: entry for entry in change})
        listed = [entry for entry in rows.values() if entry["lifecycle"] != "DELETED"]
        return {"generation": self.version, "reset": True, "instances": listed}

    def _since(self, known: int) -> dict[str, Any]:
        """Return what changed after a version, or else the whole list."""
        if not self.first_version <= known <= self.version:
            return self.whole_list()
        rows = {
            entry["instanceId"]: entry
            for change in self.changes[known - self.first_version + 1 :]
            for entry in change
        }
        return {"generation": self.version, "reset": False, "instances": list(rows.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
                message = await read_message(reader)
                known = int(message.target.rpartition("from=")[2]) if "from=" in message.target else -1
                self._record.add("watch_opened", agent=self.name, version=known)
                await self._watch(writer, known)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, known: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while not writer.transport.is_closing():
            changed = self._changed
            if first or known != self.version:
                listing = self._since(known)
                known, first = self.version, False
                self._record.add("list_written", agent=self.name, version=listing["generation"],
                                 whole=listing["reset"], servers=len(listing["instances"]))  # fmt: skip
                _write_chunk(writer, json.dumps(listing).encode() + b"\n")
                continue
            try:
                await asyncio.wait_for(changed.wait(), HEARTBEAT_S)
            except TimeoutError:
                _write_chunk(writer, b"\n")


def _write_chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
    writer.write(b"%x\r\n%s\r\n" % (len(text), text))
