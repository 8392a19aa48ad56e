"""Stand-ins for the platform, discovery, servers and clients, which the cases of this review share.

Every stand-in runs in the process of the case and on loopback.  The node is a process of its own, started
with the command ``run`` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
UNREAD = -1
"""The status of a request that the node closed its connection over without reading it."""
HELD = 0
BROKEN = 1
NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The lines of ``record.txt``: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def require(condition: bool) -> None:
    """Check a condition without which the case says nothing.

    Raises:
        CannotRunError: the condition does not hold.
    """
    if not condition:
        raise CannotRunError("the load of the case did not run as planned")


def raise_descriptor_limit(count: int) -> None:
    """Let this process open this many descriptors, within the limit that the machine sets for it.

    Raises:
        CannotRunError: the machine does not allow so many.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < count:
        raise CannotRunError("too few descriptors")
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, with the figures of the pages' example, and with changes."""
    return {
        "azs": ["north"],
        "balancers": 1,
        "clientHabits": {"marksRetry": False},
        "family": "chain",
        "familyInfo": {"passesDeadline": True},
        "guarantees": {
            "answerSlackMs": 20.0,
            "coldMs": 21000.0,
            "fallMultiple": 4.0,
            "mustAskInMs": 10000.0,
            "overloadForMs": 1000.0,
            "startCapacity": 0.13,
            "stopSendingWithinMs": 1000.0,
        },
        "layers": ["front"],
        "locality": 0,
        "models": ["std"],
        "ordinal": 0,
        "policyLimits": {
            "cancel": True,
            "connIdleMs": 5000.0,
            "connectTimeoutMs": 150.0,
            "maxOpen": 20000,
            "maxRetryAfterMs": 1200.0,
            "mayDuplicate": True,
            "peers": False,
            "probes": False,
            "retryAfter": False,
            "streamsPerConn": 1,
            "tryLimit": 5,
        },
        "profiles": [
            {"name": "look", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 2500.0, "worth": 1.0},
            {
                "name": "reserve",
                "effect": "keyed",
                "group": "cell",
                "windowMs": 4000.0,
                "aimMs": 1000.0,
                "deadlineMs": 2500.0,
                "worth": 10.0,
            },
            {"name": "release", "effect": "unsafe", "aimMs": 1000.0, "deadlineMs": 2500.0, "worth": 30.0},
        ],
        "registryMode": "pushed",
        "stage": 0,
        "tenants": [{"name": "acme", "fraction": 1.0, "quotaPerS": 1000.0}],
        "tickMs": 5.0,
        "weights": "nominal",
        "worthBy": "work",
        **changes,
    }


class NodeProcess:
    """One node, started with the command of the deploy file.

    Attributes:
        port: the port at which the node listens.
        started: when the latest process was started (monotonic, seconds).
    """

    def __init__(
        self,
        record: Record,
        folder: Path,
        node_settings: dict[str, Any],
        *,
        memory_mb: int = 192,
        sockets: int = 256,
    ) -> None:
        self.port = free_port()
        self.started = 0.0
        self._record = record
        self._folder = folder
        self._settings = node_settings
        self._limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self._process: asyncio.subprocess.Process | None = None

    @property
    def config(self) -> Path:
        """The node's configuration file."""
        return self._folder / "config.json"

    def write_config(self, discovery_port: int, known: dict[str, Any]) -> None:
        """Replace the configuration file as a whole."""
        content = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": "1f",
            "limits": self._limits,
            "known": known,
            "settings": self._settings,
        }
        temporary = self.config.with_suffix(".new")
        temporary.write_text(json.dumps(content))
        temporary.replace(self.config)

    async def start(self, discovery_port: int, known: dict[str, Any]) -> None:
        """Write the configuration and start a process."""
        self.write_config(discovery_port, known)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "NODE_NAME": "n1",
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_DISCOVERY": f"{HOST}:{discovery_port}",
            "NODE_CONFIG": str(self.config),
            "TMPDIR": str(self._folder),
        }
        with (self._folder / "node.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stderr=log
            )
        self.started = time.monotonic()
        self._record.write("the node was started")

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until ``GET /ready`` returns 200.

        Raises:
            CannotRunError: the node did not become ready in time.
        """
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                answer = await exchange(self.port, b"GET /ready HTTP/1.1\r\nHost: front\r\n\r\n", 1.0)
                if answer.status == 200:
                    self._record.write("the node is ready")
                    return
            await asyncio.sleep(0.01)
        raise CannotRunError("the node did not become ready")

    @property
    def process_id(self) -> int:
        """The id of the latest process, which the shell of the deploy file's command has become."""
        assert self._process is not None
        return self._process.pid

    def alive(self) -> bool:
        """Return whether the latest process runs."""
        return self._process is not None and self._process.returncode is None

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()


@dataclass
class Answer:
    """An answer of the node.

    Attributes:
        status: the status code, or 0 if the connection ended without an answer.
        body: the body.
    """

    status: int
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the head of a message.

    Raises:
        asyncio.IncompleteReadError: the connection ended before.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, value in pairs}


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer with a Content-Length.

    Raises:
        asyncio.IncompleteReadError: the connection ended before.
    """
    line, headers = await read_head(reader)
    return Answer(int(line.split()[1]), await reader.readexactly(int(headers["content-length"])))


async def exchange(port: int, request: bytes, timeout_s: float) -> Answer:
    """Send a request on a connection of its own and return the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(request)
            return await read_answer(reader)
        finally:
            writer.close()


def request(identity: str, class_name: str = "look", deadline_s: float = 2.5, body: bytes = b"") -> bytes:
    """Return a client's request in the form of the protocol page."""
    method = "GET" if class_name == "look" else "POST"
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {identity}",
        f"X-Class: {class_name}",
        "X-Tenant: acme",
        f"X-Deadline: {deadline_s:.3f}",
    ]
    if class_name == "reserve":
        lines.append(f"Idempotency-Key: key-{identity}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def body_of(identity: str) -> bytes:
    """Return the body of a server's answer to the request with this id."""
    return (f"done {identity} " * 8).encode()


def whole_answer(identity: str) -> bytes:
    """Return a sound answer to the request with this id."""
    body = body_of(identity)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


Responder = Callable[["ServerStandIn", str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request, and returns whether the server keeps the connection."""


class ServerStandIn:
    """A server that keeps connections open and answers one request at a time on each.

    Attributes:
        name: the server's id in the list.
        port: the port at which it listens.
        received: the id of each request, with the time of its first byte (monotonic, seconds).
        respond: answers each request.
    """

    def __init__(self, name: str, record: Record, respond: Responder | None = None) -> None:
        self.name = name
        self.port = 0
        self.received: list[tuple[str, float]] = []
        self.respond = respond or answer_soundly
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def row(self, lifecycle: str = "SERVING", cell: int = 0) -> dict[str, Any]:
        """Return the server's entry in a list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "north",
            "machineType": "std",
            "cell": cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            keep = True
            while keep:
                first = await reader.readexactly(1)
                at = time.monotonic()
                line, headers = await read_head_after(first, reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
                identity = headers.get("x-request-id")
                if identity is None:
                    status = "200 OK" if line.startswith("GET /health ") else "404 Not Found"
                    writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.received.append((identity, at))
                self._record.write(f"{self.name} got {identity}, X-Deadline {headers.get('x-deadline')}")
                keep = await self.respond(self, identity, reader, writer)
        writer.close()


async def read_head_after(first: bytes, reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the rest of a head whose first byte has been read."""
    line, headers = await read_head(reader)
    return first.decode("latin-1") + line, headers


async def answer_soundly(
    server: ServerStandIn, identity: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Answer after a few milliseconds of work."""
    await asyncio.sleep(0.005)
    writer.write(whole_answer(identity))
    return True


@dataclass
class DiscoveryStandIn:
    """Discovery at one address, which keeps each watch open and sends it each change at once.

    Attributes:
        record: the record of the case.
        rows: the whole list, by server.
        generation: the version of the list.
        port: the port at which it listens.
    """

    record: Record
    rows: dict[str, dict[str, Any]]
    generation: int = 1
    port: int = 0
    _changes: list[dict[str, Any]] = field(default_factory=list)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    def change(self, row: dict[str, Any]) -> None:
        """Change a server's entry, which a DELETED one loses."""
        self.generation += 1
        self._changes.append(row)
        if row["lifecycle"] == "DELETED":
            self.rows.pop(row["instanceId"], None)
        else:
            self.rows[row["instanceId"]] = row
        self.record.write(f"discovery has {row['instanceId']} {row['lifecycle']}")
        wake, self._wake = self._wake, asyncio.Event()
        wake.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                line, _ = await read_head(reader)
                self.record.write(f"discovery was asked: {line}")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await self._watch(writer, int(line.split()[1].rpartition("from=")[2] or 0))
        finally:
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, known: int) -> None:
        first = True
        while not writer.transport.is_closing():
            wake = self._wake
            if first:
                await self._send(writer, self.whole_list())
            elif self.generation > known:
                rows = self._changes[known - self.generation :]
                await self._send(writer, {"generation": self.generation, "reset": False, "instances": rows})
            else:
                try:
                    await asyncio.wait_for(wake.wait(), 2.0)
                except TimeoutError:
                    write_chunk(writer, b"\n")
                continue
            first, known = False, self.generation

    async def _send(self, writer: asyncio.StreamWriter, content: dict[str, Any]) -> None:
        write_chunk(writer, json.dumps(content).encode() + b"\n")
        self.record.write(f"discovery has sent generation {content['generation']}")


def write_chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
    """Write one chunk of a chunked body."""
    writer.write(b"%x\r\n%s\r\n" % (len(text), text))


class Clients:
    """Clients that send requests of one class at a steady rate, each on a connection of its own.

    Attributes:
        answers: the answer to each request, by its id; status 0 if the connection ended without one.
        sent: when each request was sent (monotonic, seconds).
    """

    def __init__(self, record: Record, port: int, *, late_s: float = 0.6) -> None:
        self.answers: dict[str, Answer] = {}
        self.sent: dict[str, float] = {}
        self._record = record
        self._port = port
        self._late_s = late_s  # how long after its time a client still waits
        self._tasks: set[asyncio.Task[None]] = set()

    async def send(self, identity: str, class_name: str, deadline_s: float = 2.5, body: bytes = b"") -> None:
        """Send one request and note its answer."""
        self.sent[identity] = time.monotonic()
        try:
            answer = await exchange(
                self._port, request(identity, class_name, deadline_s, body), deadline_s + self._late_s
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = Answer(0)
        self.answers[identity] = answer
        self._record.write(
            f"{identity} ({class_name}) was answered {answer.status}, {len(answer.body)} bytes"
        )

    async def run(self, prefix: str, class_name: str, rate: float, seconds: float) -> None:
        """Send requests at this rate for this long, and wait for all answers."""
        for i in range(int(rate * seconds)):
            task = asyncio.create_task(self.send(f"{prefix}-{i}", class_name))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / rate)
        while self._tasks:
            await asyncio.wait(list(self._tasks))


MAX_LAG_S = 0.2
"""The lag of the stand-ins from which on a late answer may be their own fault."""


class Lag:
    """Measures by how much this process is late, because the stand-ins or the machine are busy.

    Attributes:
        worst_s: the longest delay so far, in seconds.
    """

    def __init__(self) -> None:
        self.worst_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to measure."""
        self._task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            due = time.monotonic() + 0.01
            await asyncio.sleep(0.01)
            self.worst_s = max(self.worst_s, time.monotonic() - due)


Case = Callable[[Record, Path], Awaitable[bool]]
"""Plays a case and returns whether the rule held."""


def main(case: Case, limit_s: float = 110.0) -> None:
    """Play a case and exit with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    folder = Path(tempfile.mkdtemp())

    async def play() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record, folder)

    try:
        held = asyncio.run(play())
        code = HELD if held else BROKEN
    except Exception as error:  # noqa: BLE001 - whatever happens, the case says that it could not run
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.write(("the rule held", "the rule was broken", "the case could not run")[code])
    print(("held", "broken", "could not run")[code])
    sys.exit(code)
