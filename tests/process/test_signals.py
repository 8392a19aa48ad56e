"""Tests of SIGHUP and SIGTERM while a node starts, serves and exits."""

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
async def test_process_serves_reloads_on_sighup_and_exits_0_on_sigterm(tmp_path: Path) -> None:
    async with StubServer([reply("200 OK", b"served")]) as endpoint, StubDiscovery() as discovery:
        cached_list = listing(1, row("a", endpoint.address))
        configuration = ConfigurationFile.write(tmp_path, sockets=1024, known=cached_list)
        node = await NodeProcess.start(configuration, discovery)
        client = await Client.connect(node.address)
        assert (await client.fetch(target="/ready")).status == 200
        assert (await client.fetch("look")).body == b"served"
        async with StubDiscovery() as new_discovery:
            await discovery.watch()
            configuration.set_discovery_address(new_discovery)
            node.process.send_signal(signal.SIGHUP)
            await new_discovery.watch()
            assert (await client.fetch("look")).body == b"served"
        await terminate(node.process)


@async_test
async def test_signals_during_exit_do_not_change_exit_code(tmp_path: Path) -> None:
    """SIGHUP and SIGTERM are sent repeatedly from the first SIGTERM until the process exits.

    Signals can therefore also arrive while the node's event loop closes.
    """
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


_WAIT_FOR_GATE_MODULE = """
import os
if os.environ.get("NODE_START_GATE"):
    open(os.environ["NODE_START_GATE"]).close()
"""
"""The source of a sitecustomize module, which makes the interpreter wait during its startup.

The interpreter waits until the test opens a named pipe, the gate, for writing.
"""


@async_test
async def test_sighup_during_process_start_is_handled(tmp_path: Path) -> None:
    """A node must use a new configuration even if SIGHUP is sent while the node's process is starting.

    The gate holds the interpreter before the node's own code until the test opens the gate.  Only then does
    the test change the configuration and send SIGHUP.  The interpreter continues meanwhile, so the test does
    not determine how much of the node's code has run when the signal arrives.
    """
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    (tmp_path / "sitecustomize.py").write_text(_WAIT_FOR_GATE_MODULE)
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        StubDiscovery() as old_discovery,
        StubDiscovery() as new_discovery,
    ):
        cached_list = listing(1, row("a", endpoint.address))
        members = {"known": cached_list, "settings": settings(registryMode="pushed")}
        configuration = ConfigurationFile.write(
            tmp_path, sockets=256, discovery=old_discovery.address, **members
        )
        gate_environment = {"NODE_START_GATE": str(gate), "PYTHONPATH": str(tmp_path)}
        process = await start_process({**configuration.environment(old_discovery), **gate_environment})
        # This open returns once the interpreter waits at the gate, and lets the interpreter continue.
        write_end = await asyncio.to_thread(os.open, gate, os.O_WRONLY)
        configuration.set_discovery_address(new_discovery)
        process.send_signal(signal.SIGHUP)
        os.close(write_end)
        await new_discovery.watch()
        await terminate(process)
