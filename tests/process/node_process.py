"""Starts nodes as processes of their own, with the command of deploy/balancer.toml."""

from __future__ import annotations

import asyncio
import json
import os
import re
import resource
import signal
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.proxy.async_support import HOST, TIMEOUT_S
from tests.proxy.sample_settings import settings
from tests.proxy.stub_client import Client
from tests.proxy.stub_discovery import StubDiscovery

ROOT = Path(__file__).parent.parent.parent
NODE_NAME = "n0"

_started: list[asyncio.subprocess.Process] = []


@dataclass(frozen=True, slots=True)
class ConfigurationFile:
    """A node's configuration file.

    Attributes:
        path: where it is.
        content: what was written to it at first.
    """

    path: Path
    content: dict[str, Any]

    @classmethod
    def write(cls, directory: Path, *, sockets: int, **members: Any) -> ConfigurationFile:
        """Write a file with the sample settings; members replace or extend its content."""
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
        content = {"seed": "1", "limits": limits, "settings": settings(), **members}
        path = directory / "config.json"
        path.write_text(json.dumps(content))
        return cls(path, content)

    def name_discovery(self, discovery: StubDiscovery) -> None:
        """Write the file anew, with the address of this discovery."""
        self.path.write_text(json.dumps({**self.content, "discovery": discovery.address}))

    def environment(self, discovery: StubDiscovery) -> dict[str, str]:
        """The environment of a node that has this file and listens on a free port."""
        return {
            "NODE_NAME": NODE_NAME,
            "NODE_LISTEN": f"{HOST}:0",
            "NODE_DISCOVERY": discovery.address,
            "NODE_CONFIG": str(self.path),
        }


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """A node that listens.

    Attributes:
        process: its process.
        address: where clients connect.
    """

    process: asyncio.subprocess.Process
    address: tuple[str, int]

    @classmethod
    async def start(
        cls, configuration: ConfigurationFile, discovery: StubDiscovery, descriptors: int = 0
    ) -> NodeProcess:
        """Start a node on a free port and wait until it listens."""
        process = await start_process(configuration.environment(discovery), descriptors)
        assert process.stderr is not None
        line = (await asyncio.wait_for(process.stderr.readline(), TIMEOUT_S)).decode()
        return cls(process, listening_address(line))

    async def wait_until_ready(self) -> None:
        """Wait until the node says that it is ready."""
        client = await Client.connect(self.address)
        async with asyncio.timeout(TIMEOUT_S):
            while (await client.fetch(target="/ready")).status != 200:
                await asyncio.sleep(0.05)

    def used_seconds(self) -> float:
        """The processor time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def used_descriptors(self) -> int:
        """How many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


async def start_process(
    environment: dict[str, str], descriptors: int = 0, stderr: int = asyncio.subprocess.PIPE
) -> asyncio.subprocess.Process:
    """Start a node's process; where descriptors are given the system limits it to as many."""

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        command,
        cwd=ROOT,
        env={**os.environ, **environment},
        stderr=stderr,
        preexec_fn=limit_descriptors if descriptors else None,
    )
    _started.append(process)
    return process


def listening_address(line: str) -> tuple[str, int]:
    """The address that a node's first log line names."""
    found = re.search(rf"node_started name={NODE_NAME} address=([\d.]+):(\d+)", line)
    assert found, line
    return found[1], int(found[2])


async def terminate(process: asyncio.subprocess.Process) -> bytes:
    """End a node with SIGTERM; returns the rest of its log."""
    process.send_signal(signal.SIGTERM)
    _, log = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode == 0, log.decode()
    return log


def end_started_processes() -> None:
    """Kill what tests have started and not ended."""
    for process in _started:
        if process.returncode is None:
            os.kill(process.pid, signal.SIGKILL)
    _started.clear()
