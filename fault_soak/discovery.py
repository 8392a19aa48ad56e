"""Stub discovery: the state of the fleet, and an agent for each node that forwards it, late or never."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from dataclasses import dataclass, field, replace

from fault_soak.endpoints import EndpointList, EndpointRow
from fault_soak.history import EndpointNotified, History, Lifecycle
from fault_soak.http import read_message
from fault_soak.proxy import HOST, reset
from fault_soak.serialization import endpoint_list_to_json

HEARTBEAT_S = 2.0
SILENT_WATCH_NOTIFIED_S = 6.0
MOVED_NOTIFIED_S = 4.0


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the endpoint list: the row of one server from this generation on."""

    generation: int
    row: EndpointRow


@dataclass(slots=True)
class FleetState:
    """What discovery knows: all changes so far, in order."""

    changes: list[Change] = field(default_factory=list)

    def announce(self, row: EndpointRow, lifecycle: Lifecycle | None = None) -> Change:
        """Record a change of one server."""
        state = row if lifecycle is None else replace(row, lifecycle=lifecycle)
        change = Change(len(self.changes) + 1, state)
        self.changes.append(change)
        return change

    def complete_list(self, generation: int) -> EndpointList:
        """The complete list as of a generation."""
        rows: dict[str, EndpointRow] = {}
        for change in self.changes[:generation]:
            rows[change.row.server] = change.row
        listed = tuple(row for row in rows.values() if row.lifecycle is not Lifecycle.DELETED)
        return EndpointList(generation, complete=True, rows=listed)

    def changes_since(self, known: int, generation: int) -> EndpointList:
        """The rows that changed after one generation, up to another."""
        rows = tuple(change.row for change in self.changes[known:generation])
        return EndpointList(generation, complete=False, rows=rows)


@dataclass(slots=True)
class Agent:
    """The agent of one node, which serves watches at its present address.

    Attributes:
        node: the node's name.
        fleet: what discovery knows.
        history: where notifications are recorded.
        rng: the source of its random choices.
        pushed: the node is sent changes as they come; otherwise it polls.
        generation: the last generation that the agent has received.
        down: it receives nothing, and serves no watch.
        pieces: it sends lists indented and cut in two.
        port: its present port.
        fired: how often a fault of it took effect.
        notified_from: no change counts as notified before this time.
    """

    node: str
    fleet: FleetState
    history: History
    rng: random.Random
    pushed: bool
    generation: int = 0
    down: bool = False
    pieces: bool = False
    port: int = 0
    fired: int = 0
    notified_from: float = 0.0
    _server: asyncio.Server | None = None
    _watches: set[asyncio.StreamWriter] = field(default_factory=set)
    _silenced: set[asyncio.StreamWriter] = field(default_factory=set)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def open(self) -> None:
        """Listen at a new address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def move(self) -> asyncio.Server | None:
        """Listen at a new address; returns the old listener, for the caller to close later."""
        old = self._server
        self._silenced |= self._watches  # watches at the old address receive nothing any more
        await self.open()
        self.notified_from = History.now() + MOVED_NOTIFIED_S
        return old

    def close(self) -> None:
        """Stop listening, and close all watches."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._watches):
            writer.close()

    def receive(self, generation: int) -> None:
        """Receive all changes up to a generation; has no effect while discovery is down."""
        if self.down or generation <= self.generation:
            return
        changes = self.fleet.changes[self.generation : generation]
        self.generation = generation
        now = History.now()
        late = 0.0 if self.pushed else SILENT_WATCH_NOTIFIED_S
        notified_at = max(now + late, self.notified_from)
        for change in changes:
            self._record(notified_at, change)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def set_down(self, down: bool) -> None:
        """Lose discovery, or get it back with all changes since."""
        self.down = down
        if not down:
            self.receive(len(self.fleet.changes))

    def silence_watches(self) -> None:
        """Send nothing any more on the watches that are open now."""
        self.fired += len(self._watches)
        self._silenced |= self._watches
        # A node notices a silent watch late, so changes count as notified later.
        self.notified_from = max(self.notified_from, History.now() + SILENT_WATCH_NOTIFIED_S)

    def reset_watches(self) -> None:
        """Reset the watches that are open now."""
        self.fired += len(self._watches)
        for writer in list(self._watches):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._watches.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                message = await read_message(reader)
                target = message.target
                known = int(target.rpartition("from=")[2]) if "from=" in target else 0
                await self._until_up()
                await self._watch(writer, known)
        finally:
            self._watches.discard(writer)
            self._silenced.discard(writer)
            writer.close()

    async def _until_up(self) -> None:
        while self.down:
            await asyncio.sleep(0.02)

    async def _watch(self, writer: asyncio.StreamWriter, known: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while not writer.transport.is_closing():
            changed, generation = self._changed, self.generation
            if self.down or writer in self._silenced:
                await asyncio.sleep(0.02)
                continue
            if first or generation > known:
                await self._send(writer, self._next_list(known, generation, first=first))
                self._record_written(known, generation)
                known, first = generation, False
            elif not changed.is_set():
                try:
                    await asyncio.wait_for(changed.wait(), HEARTBEAT_S)
                except TimeoutError:
                    _write_chunk(writer, b"\n")

    def _record_written(self, known: int, generation: int) -> None:
        """Record that a node was notified of all that has been written to it."""
        for change in self.fleet.changes[known:generation]:
            self._record(History.now(), change)

    def _record(self, at: float, change: Change) -> None:
        row = change.row
        self.history.add(EndpointNotified(at, self.node, row.server, row.lifecycle, change.generation))

    def _next_list(self, known: int, generation: int, *, first: bool) -> EndpointList:
        if first and (known == 0 or self.rng.random() < 0.5):
            return self.fleet.complete_list(generation)
        return self.fleet.changes_since(known, generation)

    async def _send(self, writer: asyncio.StreamWriter, endpoints: EndpointList) -> None:
        content = endpoint_list_to_json(endpoints)
        text = json.dumps(content, indent=2 if self.pieces else None).encode() + b"\n"
        if not self.pieces:
            _write_chunk(writer, text)
            return
        self.fired += 1
        cut = self.rng.randrange(1, len(text))
        _write_chunk(writer, text[:cut])
        await asyncio.sleep(0.03)
        _write_chunk(writer, text[cut:])


def _write_chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
