"""A new configuration moves discovery to an address whose list is late; the node takes the older list."""

from __future__ import annotations

import asyncio
import signal

from review.common.agent import Agent, row
from review.common.case import run_case
from review.common.client import Client
from review.common.http import Message, render_response
from review.common.load import send_load
from review.common.node import Node
from review.common.record import Record
from review.common.server import Server
from review.common.settings import settings

SERVERS = 6
REQUESTS_PER_S = 60
DRAIN_AT_S = 2.0  # the first agent tells that s-0 drains
MOVE_AFTER_S = 2.0  # the new configuration and SIGHUP come this long after that
LATE_BY_S = 6.0  # the second agent gets the change this long after the first one
OLD_CLOSES_S = 1.5  # the old address closes its connections this long after SIGHUP
END_S = 16.0
GRACE_S = 1.0  # guarantees.stopSendingWithinMs
SLACK_S = 0.2  # 50 ms on sockets, and 0.15 s for a node that is held up


class DrainingServer(Server):
    """A server that can drain: it then completes what it holds and turns new work away.

    Attributes:
        drains: whether the server drains.
        received: when each request arrived, in seconds since the start of the case.
    """

    def __init__(self, record: Record, name: str) -> None:
        super().__init__(record, name)
        self.drains = False
        self.received: list[float] = []

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Run one request, or turn it away."""
        self.received.append(self.record.now())
        if self.drains:
            self.record.add("turned_away", server=self.name, id=message.request_id)
            writer.write(render_response("503 Service Unavailable", extra_headers="X-Not-Run: 1\r\n"))
        else:
            await super().answer(message, writer)


async def move_discovery(old: Agent, new: Agent, node: Node) -> None:
    """Replace the configuration, send SIGHUP, and close the old address as the page says."""
    node.write_config(discovery=new.address)
    node.signal(signal.SIGHUP)
    old.stop_listening()
    await asyncio.sleep(OLD_CLOSES_S)
    old.close_watches()


async def play(record: Record, trouble: bool) -> bool:
    """Play the case, and return whether the rule held."""
    servers = [DrainingServer(record, f"s-{i}") for i in range(SERVERS)]
    for server in servers:
        await server.open()
    rows = [row(server.name, server.address) for server in servers]
    drain = [row("s-0", servers[0].address, "DRAINING")]
    old, new = Agent(record, "old"), Agent(record, "new")
    for agent in (old, new):
        agent.tell(rows)
        await agent.open()
    node = Node(record, settings(), discovery=old.address, known=old.whole_list())
    try:
        await node.start()
        client = Client(record, node.port)
        load = asyncio.create_task(send_load(client, REQUESTS_PER_S, END_S))
        await asyncio.sleep(DRAIN_AT_S)
        servers[0].drains = True
        old.tell(drain)
        told_at = record.now()
        if not trouble:
            new.tell(drain)
        await asyncio.sleep(MOVE_AFTER_S)
        await move_discovery(old, new, node)
        await asyncio.sleep(LATE_BY_S - MOVE_AFTER_S - OLD_CLOSES_S)
        if trouble:
            new.tell(drain)
        await load
    finally:
        await node.stop()
    breaks = [at - told_at for at in servers[0].received if at - told_at > GRACE_S + SLACK_S]
    lost = sum(answer.status == 0 for answer in client.answers)
    span = f"{min(breaks, default=0.0):.2f}-{max(breaks, default=0.0):.2f}"
    record.say("requests", answered=len(client.answers) - lost, not_answered=lost)
    record.say("result", sent_to_draining=len(breaks), seconds_after_it_was_told=span)
    return not breaks


if __name__ == "__main__":
    run_case(__file__, play)
