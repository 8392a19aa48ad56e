"""Real node processes, which are started with the command in the deploy file and observed."""

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
"""The memory limit of a node in its configuration file, in megabytes."""

MEASURE_INTERVAL_S = 0.25
READY_INTERVAL_S = 0.02
MAX_LOG_LINE_CHARACTERS = 400
LOG_PIPE_BYTES = 4096


@dataclass(slots=True)
class NodeProcess:
    """One node, which runs as one process after another.

    Attributes:
        name: the name of the node.
        tree: the checkout from which the node runs.
        directory: the directory of the node's configuration file.
        port: the port at which the node listens.
        settings: the settings of the node.
        descriptors: the limit of open descriptors.
        discovery_address: a function that returns the address of the node's agent.
        cached_list: a function that returns the cached endpoint list for the node's configuration.
        history: the history in which starts, exits, log lines and the use of resources are recorded.
        shim: the control of the shim in the node; None if the machine has no C compiler. The shim is a
            library that makes system calls of the node fail.
        library: the path of the shim, which the node preloads; None if the machine has no C compiler.
        incarnation: the number of the latest process; the first process has the number 1.
        admitted: whether clients send new requests to the node.
        process: the latest process, which may have exited; None before the first start.
        log_read_allowed: an event that is set while the fault test reads the node's log.
    """

    name: str
    tree: Path
    directory: Path
    port: int
    settings: Settings
    descriptors: int
    discovery_address: Callable[[], str]
    cached_list: Callable[[], EndpointList]
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
        """The listening address of the node."""
        return f"{HOST}:{self.port}"

    @property
    def alive(self) -> bool:
        """Whether a process of the node is running."""
        return self.process is not None and self.process.returncode is None

    def write_configuration(self, *, truncated: bool = False) -> None:
        """Write the configuration file of the node; if ``truncated``, write only its first half."""
        content = {
            "name": self.name,
            "listen": self.address,
            "discovery": self.discovery_address(),
            "seed": f"{crc32(f'{self.name}/{self.incarnation}'.encode()):x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": self.descriptors},
            "known": endpoint_list_to_json(self.cached_list()),
            "settings": settings_to_json(self.settings),
        }
        text = json.dumps(content)
        path = self.directory / "config.json"
        if truncated:
            path.write_text(text[: len(text) // 2])
            return
        temporary = path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(path)

    async def start(self) -> None:
        """Start a process of the node and the tasks that observe the process."""
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
        """Make the pipe of the log small, so that a few lines fill the pipe."""
        assert self.process is not None and self.process.stderr is not None
        pipe = self.process.stderr._transport.get_extra_info("pipe")  # type: ignore[attr-defined]
        fcntl.fcntl(pipe.fileno(), fcntl.F_SETPIPE_SZ, LOG_PIPE_BYTES)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.alive and self.process is not None:
            self.history.add(NodeSignalled(History.now(), self.name, self.incarnation, number))
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def close_log(self) -> None:
        """Close the read end of the node's log."""
        if self.process is not None and self.process.stderr is not None:
            transport = self.process.stderr._transport  # type: ignore[attr-defined]
            transport.close()

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Wait until the process has exited, and return whether it did so within ``timeout_s`` seconds."""
        if self.process is None:
            return True
        try:
            await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Kill the process if it is running, and wait for its exit."""
        if self.alive:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.wait_for_exit(5.0)

    async def _follow_log(self) -> None:
        process, incarnation = self.process, self.incarnation
        assert process is not None and process.stderr is not None
        while True:
            await self.log_read_allowed.wait()
            try:
                line = await process.stderr.readline()
            except ValueError:
                continue  # skip a line that is longer than the limit of the reader
            if not line:
                return
            text = line.decode(errors="replace").rstrip()[:MAX_LOG_LINE_CHARACTERS]
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
