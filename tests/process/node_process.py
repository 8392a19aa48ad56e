"""Start nodes as separate processes with the run command of deploy/balancer.toml."""

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
        path: the path of the file.
        content: the initial content of the file.
    """

    path: Path
    content: dict[str, Any]

    @classmethod
    def write(cls, directory: Path, *, sockets: int, **members: Any) -> ConfigurationFile:
        """Write a configuration file, by default with the sample settings, to a directory.

        Args:
            directory: the directory of the new file.
            sockets: the limit on open descriptors that the file sets.
            members: top-level members that replace or extend the default content.
        """
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
        content = {"seed": "1", "limits": limits, "settings": settings(), **members}
        path = directory / "config.json"
        path.write_text(json.dumps(content))
        return cls(path, content)

    def set_discovery_address(self, discovery: StubDiscovery) -> None:
        """Rewrite the file with its initial content and the address of this discovery service."""
        self.path.write_text(json.dumps({**self.content, "discovery": discovery.address}))

    def environment(self, discovery: StubDiscovery) -> dict[str, str]:
        """Return the environment variables of a node that reads this file and listens on a free port."""
        return {
            "NODE_NAME": NODE_NAME,
            "NODE_LISTEN": f"{HOST}:0",
            "NODE_DISCOVERY": discovery.address,
            "NODE_CONFIG": str(self.path),
        }


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """A running node that accepts connections.

    Attributes:
        process: the process of the node.
        address: the host and port to which clients connect.
    """

    process: asyncio.subprocess.Process
    address: tuple[str, int]

    @classmethod
    async def start(
        cls, configuration: ConfigurationFile, discovery: StubDiscovery, descriptors: int = 0
    ) -> NodeProcess:
        """Start a node on a free port and wait until it listens.

        A value of ``descriptors`` other than 0 limits the process to that many open descriptors.
        """
        process = await start_process(configuration.environment(discovery), descriptors)
        assert process.stderr is not None
        line = (await asyncio.wait_for(process.stderr.readline(), TIMEOUT_S)).decode()
        return cls(process, listening_address(line))

    async def wait_until_ready(self) -> None:
        """Wait until the node's /ready path returns status 200."""
        client = await Client.connect(self.address)
        async with asyncio.timeout(TIMEOUT_S):
            while (await client.fetch(target="/ready")).status != 200:
                await asyncio.sleep(0.05)

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def open_descriptors(self) -> int:
        """Return the number of descriptors that the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


async def start_process(
    environment: dict[str, str], descriptors: int = 0, stderr: int = asyncio.subprocess.PIPE
) -> asyncio.subprocess.Process:
    """Start a node's process with these additional environment variables.

    A value of ``descriptors`` other than 0 limits the process to that many open descriptors.
    """

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
    """Return the host and port from the first line of a node's log."""
    match = re.search(rf"node_started name={NODE_NAME} address=([\d.]+):(\d+)", line)
    assert match, line
    return match[1], int(match[2])


async def terminate(process: asyncio.subprocess.Process) -> bytes:
    """Stop a node with SIGTERM, check that it exits with code 0, and return the rest of its log."""
    process.send_signal(signal.SIGTERM)
    _, log = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode == 0, log.decode()
    return log


def kill_started_processes() -> None:
    """Kill all node processes that tests have started and that are still running."""
    for process in _started:
        if process.returncode is None:
            os.kill(process.pid, signal.SIGKILL)
    _started.clear()
