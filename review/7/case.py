"""Servers whose Content-Length is now and then too small: is the client served the rest as a whole answer?"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import stand_ins as s

TROUBLED = os.environ.get("TROUBLE", "1") != "0"  # whether the case is played with its disruption

RATE = 40.0
SECONDS = 10.0
SPOILT_ONE_IN = 10


def is_spoilt(identity: str) -> bool:
    """Return whether the answer to this request is spoilt: one in ten, of each class."""
    return TROUBLED and int(identity.split("-")[1]) % SPOILT_ONE_IN == 0


async def answer(
    server: s.ServerStandIn, identity: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Answer with the whole body; a spoilt answer has a Content-Length of half the body."""
    await asyncio.sleep(0.005)
    body = s.body_of(identity)
    length = len(body) // 2 if is_spoilt(identity) else len(body)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (length, body))
    return True


async def play(record: s.Record, folder: Path) -> bool:
    """Send requests of each class, and compare each 200 answer with the one that the server made."""
    servers = [s.ServerStandIn(f"s{i}", record, answer) for i in range(4)]
    for server in servers:
        await server.start()
    discovery = s.DiscoveryStandIn(record, {server.name: server.row() for server in servers})
    await discovery.start()
    node = s.NodeProcess(record, folder, s.settings())
    try:
        await node.start(discovery.port, discovery.whole_list())
        await node.wait_ready()
        clients = s.Clients(record, node.port)
        classes = ("look", "reserve", "release")
        await asyncio.gather(*(clients.run(name, name, RATE / len(classes), SECONDS) for name in classes))
    finally:
        await node.kill()
    s.require(sum(answer.status == 200 for answer in clients.answers.values()) > len(clients.answers) / 2)
    wrong = [i for i, got in clients.answers.items() if got.status == 200 and got.body != s.body_of(i)]
    for identity in wrong:
        record.write(f"BROKEN: {identity} was served {clients.answers[identity].body!r}")
    return not wrong


s.main(play)
