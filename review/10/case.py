"""A client that sends 24 requests at once on one connection: does each get an answer?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import stand_ins as s

ROUNDS = 10
AT_ONCE = 24 if s.troubled() else 1


async def send_at_once(port: int, identities: list[str], record: s.Record) -> list[s.Answer]:
    """Send requests at once on a connection, and return their answers in order, as far as they come."""
    reader, writer = await asyncio.open_connection(s.HOST, port)
    answers: list[s.Answer] = []
    try:
        writer.write(b"".join(s.request(identity) for identity in identities))
        async with asyncio.timeout(4.0):
            for identity in identities:
                answers.append(await s.read_answer(reader))
                record.write(f"{identity} was answered {answers[-1].status}")
    except ConnectionError:
        # The node has closed over bytes that it had not read: those requests do not count as read.
        record.write("the connection was reset")
        answers += [s.Answer(s.UNREAD)] * (len(identities) - len(answers))
    except (asyncio.IncompleteReadError, TimeoutError) as error:
        record.write(f"the connection ended: {type(error).__name__}")
    finally:
        writer.close()
    return answers


async def play(record: s.Record, folder: Path) -> bool:
    """Send requests at once, some times, and count the ones that were read and got no answer."""
    servers = [s.ServerStandIn(f"s{i}", record) for i in range(4)]
    for server in servers:
        await server.start()
    discovery = s.DiscoveryStandIn(record, {server.name: server.row() for server in servers})
    await discovery.start()
    node = s.NodeProcess(record, folder, s.settings())
    unanswered = 0
    try:
        await node.start(discovery.port, discovery.whole_list())
        await node.wait_ready()
        for i in range(ROUNDS):
            identities = [f"look-{i}-{k}" for k in range(AT_ONCE)]
            answers = await send_at_once(node.port, identities, record)
            for identity in identities[len(answers) :]:
                record.write(f"BROKEN: {identity} was read, and its connection was closed with no answer")
            unanswered += len(identities) - len(answers)
            await asyncio.sleep(0.2)
    finally:
        await node.kill()
    return not unanswered


s.main(play)
