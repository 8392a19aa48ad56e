"""A release in a fleet of 3,200 servers, told change by change: do the clients still get their answers?"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import stand_ins as s

TROUBLED = os.environ.get("TROUBLE", "1") != "0"  # whether the case is played with its disruption

SERVERS = 3200
REPLACED = 1920
RELEASE_S = 7.0
RATE = 30.0
SECONDS = 20.0
RELEASE_AT_S = 4.0
LATE_S = 0.5 + 0.05
CELL = 6


async def replace_servers(discovery: s.DiscoveryStandIn, servers: list[s.ServerStandIn]) -> None:
    """Tell of each new server, and then that the one which it replaces drains, evenly over the release."""
    began = time.monotonic()
    for i in range(2 * REPLACED):
        await asyncio.sleep(max(0.0, began + RELEASE_S * i / (2 * REPLACED) - time.monotonic()))
        cell = i // 2 // CELL
        if i % 2:
            discovery.change(servers[i // 2].row("DRAINING", cell=cell))
        else:
            started_ms = int(1000.0 * time.time())
            discovery.change({**servers[SERVERS + i // 2].row(cell=cell), "startedAtMs": started_ms})


async def play(record: s.Record, folder: Path) -> bool:
    """Send a few requests a second all the time, and look for those without an answer in time."""
    s.raise_descriptor_limit(SERVERS + REPLACED + 1000)
    servers = [s.ServerStandIn(f"s-{i:06x}", record) for i in range(SERVERS + REPLACED)]
    for server in servers:
        await server.start()
    rows = {server.name: server.row(cell=i // CELL) for i, server in enumerate(servers[:SERVERS])}
    discovery = s.DiscoveryStandIn(record, rows)
    await discovery.start()
    node = s.NodeProcess(record, folder, s.settings(balancers=20), sockets=1024)
    lag = s.Lag()
    try:
        await node.start(discovery.port, discovery.whole_list())
        await node.wait_ready()
        lag.start()
        clients = s.Clients(record, node.port, late_s=LATE_S)
        load = asyncio.create_task(clients.run("look", "look", RATE, SECONDS))
        await asyncio.sleep(RELEASE_AT_S)
        s.require(bool(clients.answers) and all(got.status for got in clients.answers.values()))
        if TROUBLED:
            await replace_servers(discovery, servers)
            record.write("the release is over")
        await load
        s.require(node.alive())
    finally:
        await node.kill()
    record.write(f"the stand-ins were late by {lag.worst_s:.3f} s at most")
    s.require(lag.worst_s < s.MAX_LAG_S)
    unanswered = [i for i, got in clients.answers.items() if got.status == 0]
    for identity in unanswered:
        record.write(f"BROKEN: {identity} got no answer within its time and {LATE_S} s")
    record.write(f"{len(unanswered)} of {len(clients.answers)} requests got no answer in time")
    return not unanswered


s.main(play)
