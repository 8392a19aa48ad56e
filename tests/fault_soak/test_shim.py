"""Tests that the shim causes and counts each failure in a real process, and no other failure."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from fault_soak.shim import ERRORS, Failure, ShimControl, build_shim

_CALLS = """
import contextlib, os, select, socket, sys, time
with contextlib.suppress(OSError):
    listener = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listener.getsockname())
    client.setblocking(True)
    server, _ = listener.accept()
    os.write(server.fileno(), b"answer")
    os.read(client.fileno(), 10)
with contextlib.suppress(OSError):
    open(sys.argv[1]).close()
epoll = select.epoll()
with contextlib.suppress(OSError):
    epoll.poll(0)
time.time()
"""


@pytest.mark.parametrize("failure", list(Failure), ids=lambda failure: failure.name)
def test_failure_is_caused_and_counted(failure: Failure, tmp_path: Path) -> None:
    library = build_shim(tmp_path)
    if library is None:
        pytest.skip("no C compiler")
    control = ShimControl(tmp_path / "table")
    control.set(failure, 1000, ERRORS[failure][0])
    configuration = tmp_path / "config.json"
    configuration.write_text("{}")
    environment = {"LD_PRELOAD": str(library), "SOAK_SHIM": str(control.path)}
    command = [sys.executable, "-c", _CALLS, str(configuration)]
    subprocess.run(command, env=environment, check=True, timeout=30)
    assert control.fired(failure) > 0
    assert all(control.fired(other) == 0 for other in Failure if other is not failure)
