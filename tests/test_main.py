"""The commands of deploy/balancer.toml, as the platform starts them."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import re
import resource
import signal
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from load_balancer.proxy.lifecycle.readiness import FIRST_LIST_WAIT_S
from tests.proxy.async_support import HOST, TIMEOUT_S, async_test, until
from tests.proxy.sample_settings import settings
from tests.proxy.stub_client import Client, request
from tests.proxy.stub_discovery import StubDiscovery, listing, row, send_line
from tests.proxy.stub_server import StubServer, reply, when_released

ROOT = Path(__file__).parent.parent


def _write_configuration(directory: Path, *, sockets: int, **parts: Any) -> tuple[Path, dict[str, Any]]:
    """Write a node's configuration file; gives its path and its content."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
    content = {"seed": "1", "limits": limits, "settings": settings(), **parts}
    path = directory / "config.json"
    path.write_text(json.dumps(content))
    return path, content


_started: list[asyncio.subprocess.Process] = []


@pytest.fixture(autouse=True)
def _end_started_processes() -> Iterator[None]:
    """A test that fails leaves no process behind."""
    yield
    for process in _started:
        if process.returncode is None:
            os.kill(process.pid, signal.SIGKILL)
    _started.clear()


async def _start(
    environment: dict[str, str], descriptors: int = 0, stderr: int = asyncio.subprocess.PIPE
) -> asyncio.subprocess.Process:
    """Start a node; where descriptors are given the system limits it to as many."""

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


async def _start_node(
    config: Path, discovery: StubDiscovery, descriptors: int = 0
) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """Start a node on a free port; gives it and its address once it listens."""
    process = await _start(_environment(config, discovery), descriptors)
    assert process.stderr is not None
    line = (await asyncio.wait_for(process.stderr.readline(), TIMEOUT_S)).decode()
    return process, _listening_address(line)


def _environment(config: Path, discovery: StubDiscovery) -> dict[str, str]:
    return {
        "NODE_NAME": "n0",
        "NODE_LISTEN": f"{HOST}:0",
        "NODE_DISCOVERY": discovery.address,
        "NODE_CONFIG": str(config),
    }


def _listening_address(line: str) -> tuple[str, int]:
    """The address that a node's first log line names."""
    found = re.search(r"node_listening name=n0 address=([\d.]+):(\d+)", line)
    assert found, line
    return found[1], int(found[2])


async def _until_ready(address: tuple[str, int]) -> None:
    client = await Client.connect(address)
    async with asyncio.timeout(TIMEOUT_S):
        while (await client.fetch(target="/ready")).status != 200:
            await asyncio.sleep(0.05)


async def _terminate(process: asyncio.subprocess.Process) -> bytes:
    """End a node with SIGTERM; gives the rest of its log."""
    process.send_signal(signal.SIGTERM)
    _, log = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode == 0, log.decode()
    return log


@async_test
async def test_process_serves_follows_sighup_and_exits_0_on_sigterm(tmp_path: Path) -> None:
    async with StubServer([reply("200 OK", b"served")]) as endpoint, StubDiscovery() as discovery:
        cached_list = listing(1, row("a", endpoint.address))
        config, content = _write_configuration(tmp_path, sockets=1024, known=cached_list)
        process, address = await _start_node(config, discovery)
        client = await Client.connect(address)
        assert (await client.fetch(target="/ready")).status == 200
        assert (await client.fetch("look")).body == b"served"
        async with StubDiscovery() as moved:
            await discovery.watch()
            config.write_text(json.dumps({**content, "discovery": moved.address}))
            process.send_signal(signal.SIGHUP)
            await moved.watch()
            assert (await client.fetch("look")).body == b"served"
        await _terminate(process)


@async_test
async def test_new_process_is_ready_with_little_cpu_time(tmp_path: Path) -> None:
    """Within 10 s with a fifth of a core: by the processor time that its start takes, and by its waits."""
    async with StubDiscovery(mute=True) as discovery:
        cached_list = listing(1, *(row(f"s{i}", f"{HOST}:{1 + i}") for i in range(1024)))
        pushed = settings(registryMode="pushed")
        config, _ = _write_configuration(tmp_path, sockets=256, known=cached_list, settings=pushed)
        process, address = await _start_node(config, discovery)
        await _until_ready(address)
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        used_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0
        assert used_s / 0.2 + FIRST_LIST_WAIT_S < 10.0


class _PushingDiscovery:
    """Has discovery push one list on every watch, from the first one on.

    Attributes:
        watches: the watches that were opened.
    """

    def __init__(self, discovery: StubDiscovery, endpoints: list[StubServer]) -> None:
        self.watches: list[asyncio.StreamWriter] = []
        self._discovery = discovery
        self._list = listing(2, *(row(f"s{i}", one.address) for i, one in enumerate(endpoints)))
        self._task = asyncio.create_task(self._push())

    async def _push(self) -> None:
        while True:
            self.watches.append(await self._discovery.watches.get())
            send_line(self.watches[-1], self._list)

    async def break_watch(self) -> None:
        """Reset the watch and wait until the node has opened another; that one is the last."""
        opened = len(self.watches)
        self.watches[-1].transport.abort()
        await until(lambda: len(self.watches) > opened)
        self._task.cancel()


async def _send_burst(address: tuple[str, int], count: int) -> list[Client]:
    """Open so many connections with a request on each."""
    clients = []
    for _ in range(count):
        clients.append(await Client.connect(address))
        clients[-1].writer.write(request("look"))
    return clients


async def _most_descriptors_used(
    process: asyncio.subprocess.Process,
    address: tuple[str, int],
    endpoints: list[StubServer],
    sockets: int,
    idle: list[Client],
) -> int:
    """Send bursts of requests while idle clients connect; gives the most descriptors that were in use."""
    used = 0
    clients: list[Client] = []
    for _ in range(4):  # what is idle after one burst is still there in the next
        for endpoint in endpoints:
            endpoint.release.clear()
        clients = []  # those of the burst before leave first
        clients = await _send_burst(address, sockets // 3)
        idle += [await Client.connect(address) for _ in range(sockets // 2)]
        used = max(used, len(os.listdir(f"/proc/{process.pid}/fd")))
        for endpoint in endpoints:
            endpoint.release.set()
        statuses = [(await client.read_response()).status for client in clients]
        assert statuses.count(200) >= len(statuses) // 2 and set(statuses) <= {200, 503}
    return used


@pytest.mark.parametrize("sockets", [64, 96, 256])
@async_test
async def test_idle_clients_leave_descriptors_for_discovery_and_requests(
    sockets: int, tmp_path: Path
) -> None:
    """The system limits the process, so that passing the limit would show.

    Clients connect and send nothing while discovery is down, and again while requests are in flight and
    connections to endpoints are idle.
    """
    async with contextlib.AsyncExitStack() as stack:
        behaviours = [[when_released(reply("200 OK", b"x"))] for _ in range(12)]
        endpoints = [await stack.enter_async_context(StubServer(behaviour)) for behaviour in behaviours]
        discovery = await stack.enter_async_context(StubDiscovery(mute=True))
        pushed = settings(registryMode="pushed")
        config, _ = _write_configuration(tmp_path, sockets=sockets, settings=pushed)
        process, address = await _start_node(config, discovery, descriptors=sockets)
        idle = [await Client.connect(address) for _ in range(2 * sockets)]
        discovery.mute = False
        pushing = _PushingDiscovery(discovery, endpoints)
        await _until_ready(address)
        used = await _most_descriptors_used(process, address, endpoints, sockets, idle)
        await pushing.break_watch()
        assert used < sockets
        log = await _terminate(process)
        assert b"Too many open files" not in log and b"Traceback" not in log, log.decode()
        for client in idle:
            client.close()


@async_test
async def test_signals_during_exit_do_not_change_exit_code(tmp_path: Path) -> None:
    """SIGHUP and SIGTERM come without pause from SIGTERM on, also while the loop closes."""
    async with StubServer([reply("200 OK")]) as endpoint, StubDiscovery() as discovery:
        cached_list = listing(1, row("a", endpoint.address))
        config, _ = _write_configuration(
            tmp_path, sockets=256, known=cached_list, discovery=discovery.address
        )
        process, _ = await _start_node(config, discovery)
        process.send_signal(signal.SIGTERM)
        while process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGHUP)
                os.kill(process.pid, signal.SIGTERM)
            await asyncio.sleep(0)
        assert process.returncode == 0


_WAIT_IN_INTERPRETER_START = """
import os
if os.environ.get("NODE_START_GATE"):
    open(os.environ["NODE_START_GATE"]).close()
"""
"""A sitecustomize module: the interpreter waits in its own start until the gate, a named pipe, is opened."""


@async_test
async def test_sighup_while_process_starts_is_followed(tmp_path: Path) -> None:
    """A new configuration arrives before the first line of the node's own code has run."""
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    (tmp_path / "sitecustomize.py").write_text(_WAIT_IN_INTERPRETER_START)
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        StubDiscovery() as old,
        StubDiscovery() as moved,
    ):
        cached_list = listing(1, row("a", endpoint.address))
        parts = {"known": cached_list, "settings": settings(registryMode="pushed")}
        config, content = _write_configuration(tmp_path, sockets=256, discovery=old.address, **parts)
        gate_environment = {"NODE_START_GATE": str(gate), "PYTHONPATH": str(tmp_path)}
        process = await _start({**_environment(config, old), **gate_environment})
        opened = await asyncio.to_thread(os.open, gate, os.O_WRONLY)  # returns once the interpreter waits
        config.write_text(json.dumps({**content, "discovery": moved.address}))
        process.send_signal(signal.SIGHUP)
        os.close(opened)
        await moved.watch()
        await _terminate(process)


def _fill_pipe(writing_end: int) -> None:
    """Write to a pipe until it takes no further byte, through an open file of our own."""
    own_end = os.open(f"/proc/self/fd/{writing_end}", os.O_WRONLY | os.O_NONBLOCK)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(own_end, b"x")
    os.close(own_end)


@async_test
async def test_log_that_nobody_reads_does_not_stop_the_node(tmp_path: Path) -> None:
    """What collects the log has stopped, and the pipe to it is full."""
    reading_end, writing_end = os.pipe()
    fcntl.fcntl(writing_end, fcntl.F_SETPIPE_SZ, 4096)
    async with StubServer([reply("200 OK", b"served")]) as endpoint, StubDiscovery() as discovery:
        cached_list = listing(1, row("a", endpoint.address))
        config, content = _write_configuration(tmp_path, sockets=256, known=cached_list)
        process = await _start(_environment(config, discovery), stderr=writing_end)
        line = (await asyncio.to_thread(os.read, reading_end, 4096)).decode()
        client = await Client.connect(_listening_address(line))
        assert (await client.fetch("look")).body == b"served"
        _fill_pipe(writing_end)
        async with StubDiscovery() as moved:
            config.write_text(json.dumps({**content, "discovery": moved.address}))
            process.send_signal(signal.SIGHUP)  # which is logged
            await moved.watch()
            assert (await client.fetch("look")).body == b"served"
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0
    os.close(reading_end)
    os.close(writing_end)


@async_test
async def test_bad_configuration_is_one_line_and_exit_code_2(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text("{}")
    process = await _start({"NODE_NAME": "n0", "NODE_CONFIG": str(config)})
    _, error = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode == 2
    assert error.decode() == "load_balancer: settings is missing or not of type dict: None\n"
