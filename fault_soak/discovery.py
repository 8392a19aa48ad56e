"""Stub discovery: the state of all servers, and an agent for each node that forwards this state to the node.

Faults can delay an agent, or stop it from forwarding changes.
"""

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
"""The time in seconds after which the oracle treats a node as notified of a change, even if it was not sent.

This time allows for the interval between two polls of a node, and for the time in which a node detects that
a watch is silent. For a node that polls, the time starts when the agent receives the change. For a node
whose watches were silenced, the time starts when they were silenced.
"""

MOVED_NOTIFIED_S = 4.0
"""The time in seconds from the move of an agent until the oracle treats the node as notified of a change.

The time starts when the agent moves to a new address. If the agent sends the change to the node before this
time has passed, the oracle treats the node as notified as soon as the change is sent.
"""


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one server's row in the endpoint list.

    From the list version ``generation`` on, the list contains ``row`` for this server, until the next change.
    """

    generation: int
    row: EndpointRow


@dataclass(slots=True)
class FleetState:
    """The state of all servers as known to discovery: all changes so far, in the order of the generations."""

    changes: list[Change] = field(default_factory=list)

    def announce(self, row: EndpointRow, lifecycle: Lifecycle | None = None) -> Change:
        """Record and return a change of one server; ``lifecycle``, if given, replaces the row's lifecycle."""
        state = row if lifecycle is None else replace(row, lifecycle=lifecycle)
        change = Change(len(self.changes) + 1, state)
        self.changes.append(change)
        return change

    def complete_list(self, generation: int) -> EndpointList:
        """Return the complete endpoint list of a generation."""
        rows: dict[str, EndpointRow] = {}
        for change in self.changes[:generation]:
            rows[change.row.server] = change.row
        listed = tuple(row for row in rows.values() if row.lifecycle is not Lifecycle.DELETED)
        return EndpointList(generation, complete=True, rows=listed)

    def changes_since(self, known: int, generation: int) -> EndpointList:
        """Return the rows that changed after the generation ``known``, up to ``generation``."""
        rows = tuple(change.row for change in self.changes[known:generation])
        return EndpointList(generation, complete=False, rows=rows)


@dataclass(slots=True)
class Agent:
    """The discovery agent of one node, which serves watches at its current address.

    Attributes:
        node: the name of the node.
        fleet: the state of all servers as known to discovery.
        history: the history in which notifications are recorded.
        rng: the source of the agent's random choices.
        pushed: whether changes are pushed to the node; otherwise the node polls.
        generation: the latest generation that the agent has received.
        down: whether discovery is down, so that the agent receives nothing and serves no watch.
        split_lists: whether the agent sends lists indented and split into two chunks.
        port: the current port of the agent.
        fired: the number of times that faults of the agent took effect.
        notified_from: the time, in monotonic seconds, before which the oracle does not treat the node as
            notified of a change that the agent has received but not yet sent to the node.
    """

    node: str
    fleet: FleetState
    history: History
    rng: random.Random
    pushed: bool
    generation: int = 0
    down: bool = False
    split_lists: bool = False
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
        """Listen at a new address and return the old listener, which the caller must close later."""
        old = self._server
        self._silenced |= self._watches  # watches at the old address receive no further changes
        await self.open()
        self.notified_from = History.now() + MOVED_NOTIFIED_S
        return old

    def close(self) -> None:
        """Stop listening and close all watches."""
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
        delay_s = 0.0 if self.pushed else SILENT_WATCH_NOTIFIED_S
        notified_at = max(now + delay_s, self.notified_from)
        for change in changes:
            self._record(notified_at, change)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def set_down(self, down: bool) -> None:
        """Set whether discovery is down; when it is up again, receive all changes that were missed."""
        self.down = down
        if not down:
            self.receive(len(self.fleet.changes))

    def silence_watches(self) -> None:
        """Send nothing more on the watches that are open now, and leave them open."""
        self.fired += len(self._watches)
        self._silenced |= self._watches
        # The node needs time to detect that a watch is silent. Until then it cannot know of changes that are
        # not sent, so the oracle must not yet treat the node as notified of them.
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
                await self._wait_until_up()
                await self._watch(writer, known)
        finally:
            self._watches.discard(writer)
            self._silenced.discard(writer)
            writer.close()

    async def _wait_until_up(self) -> None:
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
        """Record that the node was notified of the changes that have been written to its watch."""
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
        text = json.dumps(content, indent=2 if self.split_lists else None).encode() + b"\n"
        if not self.split_lists:
            _write_chunk(writer, text)
            return
        self.fired += 1
        split_at = self.rng.randrange(1, len(text))
        _write_chunk(writer, text[:split_at])
        await asyncio.sleep(0.03)
        _write_chunk(writer, text[split_at:])


def _write_chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
