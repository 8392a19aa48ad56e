"""One server of eight sends answers that never end: the trailer section of a chunked answer keeps coming."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import threading

from review.common.agent import Agent, row
from review.common.case import run_case
from review.common.client import Client
from review.common.load import play_under_memory_limit, send_load
from review.common.node import HOST, Node
from review.common.record import Record
from review.common.server import Server, body_of
from review.common.settings import settings

SERVERS = 8
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
REQUESTS_PER_S = 100
LENGTH_S = 60.0
FILLER = b"a" * 262144


class EndlessServer:
    """A bad server: its answers are right up to the end of their bodies, and then never end."""

    def __init__(self, record: Record, name: str) -> None:
        self.name = name
        self._record = record
        self._listening = socket.create_server((HOST, 0), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address at which the server listens."""
        return f"{HOST}:{self._listening.getsockname()[1]}"

    def _accept(self) -> None:
        while True:
            connection, _ = self._listening.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            data = b""
            while part := connection.recv(65536):
                data += part
                if b"\r\n\r\n" not in data:
                    continue
                head, data = data.decode("latin-1").lower(), b""
                if head.startswith(("get /health", "get /status")):
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                else:
                    self._spoil(connection, head.partition("x-request-id: ")[2].partition("\r\n")[0])

    def _spoil(self, connection: socket.socket, request_id: str) -> None:
        self._record.add("run", server=self.name, id=request_id, answer="spoilt")
        body = body_of(self.name, request_id)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
            b"%x\r\n%s\r\n0\r\nX-Sum: " % (len(body), body)
        )
        sent = 0
        try:
            while True:
                sent += connection.send(FILLER)
        finally:
            self._record.add("spoilt_answer_ended", id=request_id, sent_mb=f"{sent / 1e6:.1f}")


async def play(record: Record, trouble: bool) -> bool:
    """Play the case, and return whether the rules held."""
    sound = [Server(record, f"s-{i}") for i in range(SERVERS)]
    for server in sound:
        await server.open()
    servers: list[Server | EndlessServer] = list(sound)
    if trouble:
        servers[0] = EndlessServer(record, "s-0")
    agent = Agent(record)
    agent.tell([row(server.name, server.address) for server in servers])
    await agent.open()
    node = Node(record, settings(), discovery=agent.address, limits=LIMITS, known=agent.whole_list())
    try:
        await node.start()
        client = Client(record, node.port)
        load = asyncio.create_task(send_load(client, REQUESTS_PER_S, LENGTH_S))
        return await play_under_memory_limit(record, node, client, load, LIMITS["memory_mb"])
    finally:
        await node.stop()


if __name__ == "__main__":
    run_case(__file__, play, trouble=os.environ.get("TROUBLE") != "0")
