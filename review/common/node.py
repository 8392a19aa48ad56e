"""A node as a separate process, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from review.common.http import read_message
from review.common.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as listening:
        listening.bind((HOST, 0))
        port: int = listening.getsockname()[1]
        return port


class Node:
    """A node and its configuration file in a temporary folder.

    Attributes:
        name: the name of the node.
        port: the port at which clients connect.
        config: the content of the configuration file.
        process: the process; None before the start.
        peak_mb: the highest resident memory that was seen, in MB.
    """

    def __init__(self, record: Record, settings: dict[str, Any], **members: Any) -> None:
        self.name = members.pop("name", "n1")
        self.port = free_port()
        self.config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
            **members,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.peak_mb = 0.0
        self._record = record
        self._folder = tempfile.TemporaryDirectory()
        self._path = Path(self._folder.name) / "config.json"
        self._tasks: list[asyncio.Task[None]] = []

    def write_config(self, **changes: Any) -> None:
        """Replace the configuration file by one with these changes."""
        self.config.update(changes)
        new = self._path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self._path)

    async def start(self) -> None:
        """Start the process and wait until ``GET /ready`` returns 200."""
        self.write_config()
        environment = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_DISCOVERY": str(self.config["discovery"]),
            "NODE_CONFIG": str(self._path),
            "TMPDIR": self._folder.name,
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        self._record.add("node_process_started", pid=self.process.pid)
        self._tasks = [asyncio.create_task(self._follow_log()), asyncio.create_task(self._measure())]
        await asyncio.wait_for(self._wait_until_ready(), 30.0)
        self._record.add("node_ready")

    async def _wait_until_ready(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message.status == 200:
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.05)

    async def _follow_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self._record.add("node_log", line=line.decode(errors="replace").rstrip()[:300])

    async def _measure(self) -> None:
        """Follow the resident memory, as the platform that enforces the limit does."""
        assert self.process is not None
        shown = 0.0
        while self.process.returncode is None:
            try:
                status = Path(f"/proc/{self.process.pid}/status").read_text()
            except OSError:
                return
            memory = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
            resident_mb = int(memory[0]) / 1000.0 if memory else 0.0
            self.peak_mb = max(self.peak_mb, resident_mb)
            if self.peak_mb > shown + 10.0:
                shown = self.peak_mb
                self._record.add("node_memory", resident_mb=f"{resident_mb:.0f}")
            await asyncio.sleep(0.02)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self._record.add("signal", number=signal.Signals(number).name)
            os.kill(self.process.pid, number)

    async def stop(self) -> None:
        """Kill the process if it is running, and remove the temporary folder."""
        if self.process is not None:
            if self.process.returncode is None:
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        for task in self._tasks:
            task.cancel()
        self._folder.cleanup()
