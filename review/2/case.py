"""Three hundred clients send bodies of 60 MB, and the same again as soon as they are turned away."""

from __future__ import annotations

import asyncio
import os

from review.common.agent import Agent, row
from review.common.bad_client_process import BadClients
from review.common.case import run_case
from review.common.client import Client
from review.common.load import play_under_memory_limit, send_load
from review.common.node import Node
from review.common.record import Record
from review.common.server import Server
from review.common.settings import settings

SERVERS = 8
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
REQUESTS_PER_S = 40
LENGTH_S = 26.0
BAD_FROM_S = 3.0
BAD_FOR_S = 15.0
BAD_CLIENTS = 300


async def play(record: Record, trouble: bool) -> bool:
    """Play the case, and return whether the rules held."""
    servers = [Server(record, f"s-{i}") for i in range(SERVERS)]
    for server in servers:
        await server.open()
    agent = Agent(record)
    agent.tell([row(server.name, server.address) for server in servers])
    await agent.open()
    node = Node(record, settings(), discovery=agent.address, limits=LIMITS, known=agent.whole_list())
    bad_clients = BadClients(record, "body", BAD_CLIENTS)
    try:
        await node.start()
        client = Client(record, node.port)
        load = asyncio.create_task(send_load(client, REQUESTS_PER_S, LENGTH_S))
        if trouble:
            bad = asyncio.create_task(bad_clients.run(node.port, after_s=BAD_FROM_S, length_s=BAD_FOR_S))
            bad.add_done_callback(lambda _: record.add("bad_clients_ended"))
        return await play_under_memory_limit(record, node, client, load, LIMITS["memory_mb"])
    finally:
        await bad_clients.stop()
        await node.stop()


if __name__ == "__main__":
    run_case(__file__, play, trouble=os.environ.get("TROUBLE") != "0")
