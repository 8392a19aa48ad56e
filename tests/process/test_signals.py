"""SIGHUP and SIGTERM, from the start of a process to its end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from pathlib import Path

from tests.process.node_process import ConfigurationFile, NodeProcess, start_process, terminate
from tests.proxy.async_support import async_test
from tests.proxy.sample_settings import settings
from tests.proxy.stub_client import Client
from tests.proxy.stub_discovery import StubDiscovery, listing, row
from tests.proxy.stub_server import StubServer, reply


@async_test
async def test_process_serves_follows_sighup_and_exits_0_on_sigterm(tmp_path: Path) -> None:
    async with StubServer([reply("200 OK", b"served")]) as endpoint, StubDiscovery() as discovery:
        cached_list = listing(1, row("a", endpoint.address))
        configuration = ConfigurationFile.write(tmp_path, sockets=1024, known=cached_list)
        node = await NodeProcess.start(configuration, discovery)
        client = await Client.connect(node.address)
        assert (await client.fetch(target="/ready")).status == 200
        assert (await client.fetch("look")).body == b"served"
        async with StubDiscovery() as moved:
            await discovery.watch()
            configuration.name_discovery(moved)
            node.process.send_signal(signal.SIGHUP)
            await moved.watch()
            assert (await client.fetch("look")).body == b"served"
        await terminate(node.process)


@async_test
async def test_signals_during_exit_do_not_change_exit_code(tmp_path: Path) -> None:
    """From the first SIGTERM on, SIGHUP and SIGTERM are sent without pause, also while the loop closes."""
    async with StubServer([reply("200 OK")]) as endpoint, StubDiscovery() as discovery:
        cached_list = listing(1, row("a", endpoint.address))
        configuration = ConfigurationFile.write(
            tmp_path, sockets=256, known=cached_list, discovery=discovery.address
        )
        node = await NodeProcess.start(configuration, discovery)
        node.process.send_signal(signal.SIGTERM)
        while node.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(node.process.pid, signal.SIGHUP)
                os.kill(node.process.pid, signal.SIGTERM)
            await asyncio.sleep(0)
        assert node.process.returncode == 0


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
        configuration = ConfigurationFile.write(tmp_path, sockets=256, discovery=old.address, **parts)
        gate_environment = {"NODE_START_GATE": str(gate), "PYTHONPATH": str(tmp_path)}
        process = await start_process({**configuration.environment(old), **gate_environment})
        opened = await asyncio.to_thread(os.open, gate, os.O_WRONLY)  # returns once the interpreter waits
        configuration.name_discovery(moved)
        process.send_signal(signal.SIGHUP)
        os.close(opened)
        await moved.watch()
        await terminate(process)
