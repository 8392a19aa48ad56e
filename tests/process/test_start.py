"""Tests of the start of a node's process."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from load_balancer.proxy.lifecycle.readiness import FIRST_LIST_WAIT_S
from tests.process.node_process import ConfigurationFile, NodeProcess, start_process
from tests.proxy.async_support import HOST, TIMEOUT_S, async_test
from tests.proxy.sample_settings import settings
from tests.proxy.stub_discovery import StubDiscovery, listing, row


@async_test
async def test_new_process_is_ready_with_little_cpu_time(tmp_path: Path) -> None:
    """A node must be ready within 10 s of its start on a fifth of a processor core.

    The time is computed: the processor time of the start divided by 0.2, plus the node's longest wait for a
    first endpoint list.
    """
    async with StubDiscovery(sends_no_response=True) as discovery:
        cached_list = listing(1, *(row(f"s{i}", f"{HOST}:{1 + i}") for i in range(1024)))
        pushed = settings(registryMode="pushed")
        configuration = ConfigurationFile.write(tmp_path, sockets=256, known=cached_list, settings=pushed)
        node = await NodeProcess.start(configuration, discovery)
        await node.wait_until_ready()
        used_s = node.cpu_seconds()
        node.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == 0
        assert used_s / 0.2 + FIRST_LIST_WAIT_S < 10.0


@async_test
async def test_invalid_configuration_causes_one_error_line_and_exit_code_2(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text("{}")
    process = await start_process({"NODE_NAME": "n0", "NODE_CONFIG": str(config)})
    _, error = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode == 2
    assert error.decode() == "load_balancer: settings is missing or not of type dict: None\n"
