"""The commands of deploy/balancer.toml, as the platform starts them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import re
import resource
import signal
import tomllib
from pathlib import Path

import pytest

from load_balancer.logging_setup import LogRateLimit
from load_balancer.proxy.lifecycle import FIRST_LIST_WAIT_S
from tests.stubs import (
    HOST,
    PATIENCE_S,
    Caller,
    StubDiscovery,
    StubServer,
    held,
    listing,
    reply,
    request,
    row,
    run,
    settings,
    tell,
    until,
)

ROOT = Path(__file__).parent.parent


async def _start(environment: dict[str, str], sockets: int = 0) -> asyncio.subprocess.Process:
    """Start a node; where sockets are given the system holds it to as many descriptors."""

    def hold() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        command,
        cwd=ROOT,
        env={**os.environ, **environment},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=hold if sockets else None,
    )


async def _listening(process: asyncio.subprocess.Process) -> tuple[str, int]:
    """The address of a node that has just been started."""
    assert process.stderr is not None
    line = (await asyncio.wait_for(process.stderr.readline(), PATIENCE_S)).decode()
    found = re.search(r"node_listening name=n0 address=([\d.]+):(\d+)", line)
    assert found, line
    return found[1], int(found[2])


def test_run_serves_a_request_follows_sighup_and_ends_with_0_on_sigterm(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            raw = {
                "seed": "1",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": listing(1, row("a", server.address)),
                "settings": settings(),
            }
            config.write_text(json.dumps(raw))
            process = await _start(
                {
                    "NODE_NAME": "n0",
                    "NODE_LISTEN": f"{HOST}:0",
                    "NODE_DISCOVERY": discovery.address,
                    "NODE_CONFIG": str(config),
                }
            )
            caller = await Caller.connect(await _listening(process))
            assert (await caller.ask(target="/ready")).status == 200
            assert (await caller.ask("look")).body == b"served"
            async with StubDiscovery() as moved:
                await discovery.watch()
                config.write_text(json.dumps({**raw, "discovery": moved.address}))
                process.send_signal(signal.SIGHUP)
                await moved.watch()
                assert (await caller.ask("look")).body == b"served"
            process.send_signal(signal.SIGTERM)
            _, log = await asyncio.wait_for(process.communicate(), PATIENCE_S)
            assert process.returncode == 0, log.decode()

    run(main())


def test_a_new_process_is_ready_with_little_work_though_the_agent_is_silent(tmp_path: Path) -> None:
    """Within 10 s with a fifth of a core: by what its start takes of a processor, and what it waits for."""

    async def main() -> None:
        async with StubDiscovery(mute=True) as discovery:
            config = tmp_path / "config.json"
            rows = [row(f"s{i}", f"{HOST}:{1 + i}") for i in range(1024)]
            raw = {
                "seed": "1",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                "known": listing(1, *rows),
                "settings": settings(registryMode="pushed"),
            }
            config.write_text(json.dumps(raw))
            environment = {"NODE_NAME": "n0", "NODE_LISTEN": f"{HOST}:0", "NODE_CONFIG": str(config)}
            process = await _start({**environment, "NODE_DISCOVERY": discovery.address})
            await _ready(await _listening(process))
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            used_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
            assert used_s / 0.2 + FIRST_LIST_WAIT_S < 10.0

    run(main())


@pytest.mark.parametrize("sockets", [64, 96, 256])
def test_idle_clients_leave_descriptors_for_discovery_servers_and_requests(
    sockets: int, tmp_path: Path
) -> None:
    """Clients connect and say nothing while discovery is down, and again while requests are out and
    connections to servers rest.  The system holds the process to its limit, so that passing it would show."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            servers = [
                await stack.enter_async_context(StubServer([held(reply("200 OK", b"x"))])) for _ in range(12)
            ]
            discovery = await stack.enter_async_context(StubDiscovery(mute=True))
            config = tmp_path / "config.json"
            limits = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
            config.write_text(
                json.dumps({"seed": "1", "limits": limits, "settings": settings(registryMode="pushed")})
            )
            process = await _start(
                {
                    "NODE_NAME": "n0",
                    "NODE_LISTEN": f"{HOST}:0",
                    "NODE_DISCOVERY": discovery.address,
                    "NODE_CONFIG": str(config),
                },
                sockets,
            )
            address = await _listening(process)
            idle = [await Caller.connect(address) for _ in range(2 * sockets)]
            discovery.mute = False
            rows = [row(f"s{i}", one.address) for i, one in enumerate(servers)]
            watches: list[asyncio.StreamWriter] = []

            async def keep_telling() -> None:
                while True:
                    watches.append(await discovery.watches.get())
                    tell(watches[-1], listing(2, *rows))

            telling = asyncio.create_task(keep_telling())
            await _ready(address)
            used = 0
            for _ in range(4):  # whatever rests after one round is still there in the next
                for one in servers:
                    one.release.clear()
                callers = []
                for _ in range(sockets // 3):
                    callers.append(await Caller.connect(address))
                    callers[-1].writer.write(request("look"))
                idle += [await Caller.connect(address) for _ in range(sockets // 2)]
                used = max(used, len(os.listdir(f"/proc/{process.pid}/fd")))
                for one in servers:
                    one.release.set()
                statuses = [(await caller.answer()).status for caller in callers]
                assert statuses.count(200) >= len(statuses) // 2 and set(statuses) <= {200, 503}
            opened = len(watches)
            watches[-1].transport.abort()
            await until(lambda: len(watches) > opened)
            telling.cancel()
            assert used < sockets
            process.send_signal(signal.SIGTERM)
            _, log = await asyncio.wait_for(process.communicate(), PATIENCE_S)
            assert process.returncode == 0, log.decode()
            assert b"Too many open files" not in log and b"Traceback" not in log, log.decode()
            for caller in idle:
                caller.close()

    run(main())


async def _ready(address: tuple[str, int]) -> None:
    caller = await Caller.connect(address)
    async with asyncio.timeout(PATIENCE_S):
        while (await caller.ask(target="/ready")).status != 200:
            await asyncio.sleep(0.05)


def test_a_flood_of_signals_while_the_process_ends_does_not_change_how_it_ends(tmp_path: Path) -> None:
    """SIGHUP and SIGTERM come without pause from SIGTERM on, also while the loop closes."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            raw = {
                "seed": "1",
                "discovery": discovery.address,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                "known": listing(1, row("a", server.address)),
                "settings": settings(),
            }
            config.write_text(json.dumps(raw))
            environment = {"NODE_NAME": "n0", "NODE_LISTEN": f"{HOST}:0", "NODE_CONFIG": str(config)}
            process = await _start({**environment, "NODE_DISCOVERY": discovery.address})
            await _listening(process)
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGHUP)
                    os.kill(process.pid, signal.SIGTERM)
                await asyncio.sleep(0)
            assert process.returncode == 0

    run(main())


def test_a_bad_configuration_is_one_line_and_exit_code_2(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        config.write_text("{}")
        process = await _start({"NODE_NAME": "n0", "NODE_CONFIG": str(config)})
        _, error = await asyncio.wait_for(process.communicate(), PATIENCE_S)
        assert process.returncode == 2
        assert error.decode() == "load_balancer: settings is missing or not of type dict: None\n"

    run(main())


def test_a_flood_of_log_lines_is_cut_and_counted() -> None:
    limit = LogRateLimit(lines_per_s=0.0, burst=3.0)

    def record() -> logging.LogRecord:
        return logging.LogRecord("x", logging.WARNING, "", 0, "server %s", ("a",), None)

    assert [limit.filter(record()) for _ in range(5)] == [True, True, True, False, False]
    limit._tokens = 1.0
    last = record()
    assert limit.filter(last) and last.getMessage() == "server a suppressed_lines=2"
