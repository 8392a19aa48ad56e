"""Bad clients, a program of its own: each sends what a node must refuse, and then the same again.

The clients send at full speed and read what they are sent.  Arguments: the port of the node, the kind of
request (``body`` or ``head``), the number of clients, and for how many seconds they go on.
"""

from __future__ import annotations

import asyncio
import sys
import time
import uuid

from review.common.node import HOST
from review.common.settings import TENANT

BODY_BYTES = 60_000_000
BODY_PIECE = b"a" * 262144
HEAD_PIECE = b"a:b\r\n" * 52428  # header lines, about 256 KB
PATIENCE_S = 6.0  # the time within which a client with 60 MB to send is owed an error or a close


async def send(writer: asyncio.StreamWriter, kind: str, counter: list[int]) -> None:
    """Send one request, either with a body of 60 MB or with a head that does not end."""
    start = (
        f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: bad-{uuid.uuid4().hex[:12]}\r\n"
        f"X-Class: liberar\r\nX-Tenant: {TENANT}\r\nX-Deadline: 2.500\r\n"
    )
    piece = HEAD_PIECE
    if kind == "body":
        start += f"Content-Length: {BODY_BYTES}\r\n\r\n"
        piece = BODY_PIECE
    data = start.encode() + piece
    while kind == "head" or counter[0] < BODY_BYTES:
        writer.write(data)
        counter[0] += len(data)
        await writer.drain()
        data = piece


async def send_and_read(port: int, kind: str) -> tuple[int, str]:
    """Send one request until the node answers or closes; return the bytes that were sent, and the answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    counter = [0]
    sending = asyncio.create_task(send(writer, kind, counter))
    try:
        async with asyncio.timeout(PATIENCE_S):
            answer = await reader.read(12)
        return counter[0], answer.decode("latin-1") or "closed"
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.transport.abort()


async def be_bad(name: int, port: int, kind: str, until: float) -> None:
    """Send one request after the other until the time is over."""
    while time.monotonic() < until:
        began = time.monotonic()
        sent, answer = 0, ""
        try:
            sent, answer = await send_and_read(port, kind)
        except (OSError, TimeoutError) as error:
            answer = type(error).__name__
            await asyncio.sleep(0.01)
        print(
            f"client={name} sent_mb={sent / 1e6:.1f} answer={answer!r} after_s={time.monotonic() - began:.2f}"
        )


async def main() -> None:
    """Run the clients."""
    port, kind, count, length_s = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    until = time.monotonic() + length_s
    await asyncio.gather(*(be_bad(i, port, kind, until) for i in range(count)))


if __name__ == "__main__":
    asyncio.run(main())
