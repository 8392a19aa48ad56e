"""Clients that send sixteen requests at once and go: does the node forward them after that?"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import stand_ins as s

TROUBLED = os.environ.get("TROUBLE", "1") != "0"  # whether the case is played with its disruption

SOCKETS = 1024
CLIENTS = 400
AT_ONCE = 16
ROUNDS = 3
SERVERS = 8
GONE_S = 0.1
SLACK_S = 0.05


async def answer(
    server: s.ServerStandIn, identity: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Answer after 50 ms."""
    await asyncio.sleep(0.05)
    writer.write(s.whole_answer(identity))
    return True


class Leavers:
    """Clients that send requests at once; with the disruption they close at once, else after their answers.

    Attributes:
        closed: when the client of each request closed its connection, by the id (monotonic, seconds).
    """

    def __init__(self, port: int, record: s.Record) -> None:
        self.closed: dict[str, float] = {}
        self._port = port
        self._record = record

    async def send(self, number: int) -> None:
        """Send requests at once on a new connection, and close it."""
        identities = [f"release-{number}-{i}" for i in range(AT_ONCE)]
        text = b"".join(s.request(identity, "release") for identity in identities)
        try:
            if TROUBLED:
                with socket.create_connection((s.HOST, self._port)) as connection:
                    connection.sendall(text)
            else:
                await self._stay(text)
        except OSError as error:
            self._record.write(f"client {number}: {error}")
            return
        closed_at = time.monotonic()
        self.closed.update((identity, closed_at) for identity in identities)
        self._record.write(f"client {number} has sent {AT_ONCE} requests and closed")

    async def _stay(self, text: bytes) -> None:
        reader, writer = await asyncio.open_connection(s.HOST, self._port)
        writer.write(text)
        await self._read_answers(reader)
        writer.close()

    async def _read_answers(self, reader: asyncio.StreamReader) -> None:
        try:
            async with asyncio.timeout(5.0):
                for _ in range(AT_ONCE):
                    await s.read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._record.write("not all answers came")


async def play(record: s.Record, folder: Path) -> bool:
    """Let hundreds of clients send and go, three times, and look for attempts that begin after that."""
    s.raise_descriptor_limit(3000)
    servers = [s.ServerStandIn(f"s{i}", record, answer) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = s.DiscoveryStandIn(record, {server.name: server.row() for server in servers})
    await discovery.start()
    node = s.NodeProcess(record, folder, s.settings(), sockets=SOCKETS)
    lag = s.Lag()
    try:
        await node.start(discovery.port, discovery.whole_list())
        await node.wait_ready()
        lag.start()
        leavers = Leavers(node.port, record)
        for i in range(ROUNDS):
            await asyncio.gather(*(leavers.send(CLIENTS * i + k) for k in range(CLIENTS)))
            await asyncio.sleep(3.0)
        s.require(node.alive())
    finally:
        await node.kill()
    record.write(f"the stand-ins were late by {lag.worst_s:.3f} s at most")
    s.require(len(leavers.closed) > CLIENTS)
    allowed_s = GONE_S + SLACK_S + lag.worst_s
    broken = 0
    for server in servers:
        for identity, at in server.received:
            after_s = at - leavers.closed.get(identity, at)
            if after_s > allowed_s:
                broken += 1
                record.write(
                    f"BROKEN: {identity} began at {server.name} {after_s:.3f} s after its client closed"
                )
    record.write(f"{broken} attempts began more than {allowed_s:.3f} s after the close")
    return not broken


s.main(play)
