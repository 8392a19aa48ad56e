"""Real node processes, which are started with the deploy file's command and observed."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import signal
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from zlib import crc32

from fault_soak.endpoints import EndpointList
from fault_soak.history import (
    History,
    NodeExited,
    NodeLogged,
    NodeMeasured,
    NodeReady,
    NodeSignalled,
    NodeStarted,
)
from fault_soak.http import read_message
from fault_soak.proxy import HOST
from fault_soak.serialization import endpoint_list_to_json, settings_to_json
from fault_soak.settings import Settings
from fault_soak.shim import ShimControl

MEMORY_MB = 192
MEASURE_INTERVAL_S = 0.25
READY_INTERVAL_S = 0.02
LOG_LINE_MAX = 400
LOG_PIPE_BYTES = 4096


@dataclass(slots=True)
class NodeProcess:
    """One node over its incarnations.

    Attributes:
        name: the node's name.
        tree: the checkout that it runs from.
        directory: where its configuration file lies.
        port: where it listens.
        settings: its settings.
        descriptors: its descriptor limit.
        discovery_address: returns the address of its agent.
        known_list: returns the cached endpoint list for a start.
        history: where its starts, ends, log and use of resources are recorded.
        shim: its failing system calls, None without a compiler.
        library: the library to load, None without a compiler.
        incarnation: counts its processes.
        admitted: clients open new connections to it.
        process: its present process, or its last.
        log_read_allowed: is set while the fault test reads its log.
    """

    name: str
    tree: Path
    directory: Path
    port: int
    settings: Settings
    descriptors: int
    discovery_address: Callable[[], str]
    known_list: Callable[[], EndpointList]
    history: History
    shim: ShimControl | None = None
    library: Path | None = None
    incarnation: int = 0
    admitted: bool = False
    process: asyncio.subprocess.Process | None = None
    log_read_allowed: asyncio.Event = field(default_factory=asyncio.Event)
    _watchers: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Its listening address."""
        return f"{HOST}:{self.port}"

    @property
    def alive(self) -> bool:
        """Whether a process of it runs."""
        return self.process is not None and self.process.returncode is None

    def write_configuration(self, *, cut: bool = False) -> None:
        """Write the present configuration to its file; with cut, only the first half of it."""
        content = {
            "name": self.name,
            "listen": self.address,
            "discovery": self.discovery_address(),
            "seed": f"{crc32(f'{self.name}/{self.incarnation}'.encode()):x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": self.descriptors},
            "known": endpoint_list_to_json(self.known_list()),
            "settings": settings_to_json(self.settings),
        }
        text = json.dumps(content)
        path = self.directory / "config.json"
        if cut:
            path.write_text(text[: len(text) // 2])
            return
        temporary = path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(path)

    async def start(self) -> None:
        """Start a process and observe it."""
        self.incarnation += 1
        self.write_configuration()
        environment = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.address,
            "NODE_DISCOVERY": self.discovery_address(),
            "NODE_CONFIG": str(self.directory / "config.json"),
        }
        if self.shim is not None and self.library is not None:
            environment |= {"SOAK_SHIM": str(self.shim.path), "LD_PRELOAD": str(self.library)}
        run = tomllib.loads((self.tree / "deploy" / "balancer.toml").read_text())["run"]
        self.log_read_allowed.set()
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            f"ulimit -n {self.descriptors}; {run}",
            cwd=self.tree,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            limit=4096,
        )
        self._shrink_log_pipe()
        self.history.add(NodeStarted(History.now(), self.name, self.incarnation, self.address))
        for coroutine in (self._follow_log(), self._follow_exit(), self._follow_ready(), self._measure()):
            task = asyncio.create_task(coroutine)
            self._watchers.add(task)
            task.add_done_callback(self._watchers.discard)

    def _shrink_log_pipe(self) -> None:
        """Make the pipe of the log small, so that few lines fill it."""
        assert self.process is not None and self.process.stderr is not None
        pipe = self.process.stderr._transport.get_extra_info("pipe")  # type: ignore[attr-defined]
        fcntl.fcntl(pipe.fileno(), fcntl.F_SETPIPE_SZ, LOG_PIPE_BYTES)

    def signal(self, number: int) -> None:
        """Send a signal, if a process runs."""
        if self.alive and self.process is not None:
            self.history.add(NodeSignalled(History.now(), self.name, self.incarnation, number))
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def close_log(self) -> None:
        """Close the read end of its log."""
        if self.process is not None and self.process.stderr is not None:
            transport = self.process.stderr._transport  # type: ignore[attr-defined]
            transport.close()

    async def exited(self, within_s: float) -> bool:
        """Wait for the end of the process; returns whether it came in time."""
        if self.process is None:
            return True
        try:
            await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """End the process at once."""
        if self.alive:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.exited(5.0)

    async def _follow_log(self) -> None:
        process, incarnation = self.process, self.incarnation
        assert process is not None and process.stderr is not None
        while True:
            await self.log_read_allowed.wait()
            try:
                line = await process.stderr.readline()
            except ValueError:
                continue  # the line exceeds the limit
            if not line:
                return
            text = line.decode(errors="replace").rstrip()[:LOG_LINE_MAX]
            self.history.add(NodeLogged(History.now(), self.name, incarnation, text))

    async def _follow_exit(self) -> None:
        process, incarnation = self.process, self.incarnation
        assert process is not None
        code = await process.wait()
        self.admitted = False
        self.history.add(NodeExited(History.now(), self.name, incarnation, code))

    async def _follow_ready(self) -> None:
        process, incarnation = self.process, self.incarnation
        assert process is not None
        while process.returncode is None and self.incarnation == incarnation:
            if await self._is_ready():
                self.history.add(NodeReady(History.now(), self.name, incarnation))
                self.admitted = True
                return
            await asyncio.sleep(READY_INTERVAL_S)

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                return message.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def _measure(self) -> None:
        process, incarnation = self.process, self.incarnation
        assert process is not None
        while process.returncode is None:
            with contextlib.suppress(OSError, ValueError, IndexError):
                descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                self.history.add(NodeMeasured(History.now(), self.name, incarnation, descriptors, 4 * pages))
            await asyncio.sleep(MEASURE_INTERVAL_S)
