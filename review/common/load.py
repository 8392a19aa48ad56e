"""The usual load of a case, the platform's memory limit, and the delays of the case's own process."""

from __future__ import annotations

import asyncio
import signal

from review.common.client import Client
from review.common.node import Node
from review.common.record import Record

LATE_S = 0.5
"""An answer that comes later than this after its time is lost, in seconds."""

CLASSES = (("reserva", "keyed"), ("liberar", "unsafe"))


TRY_S = 1.4
"""The time of one try of a client, in seconds: 50 to 60% of the 2.5 s of its class."""


async def send_load(client: Client, requests_per_s: float, length_s: float) -> None:
    """Send requests at a steady rate, and wait for all answers."""
    loop = asyncio.get_running_loop()
    tasks = []
    began = loop.time()
    while loop.time() < began + length_s:
        class_name, effect = CLASSES[len(tasks) % len(CLASSES)]
        tasks.append(asyncio.create_task(client.ask(class_name, effect, TRY_S)))
        await asyncio.sleep(max(0.0, began + len(tasks) / requests_per_s - loop.time()))
    await asyncio.gather(*tasks)


async def enforce_memory_limit(record: Record, node: Node, limit_mb: float) -> None:
    """Kill the node when it is over its memory limit, as the platform does."""
    while node.peak_mb <= limit_mb:
        await asyncio.sleep(0.005)
    record.say("over_memory_limit", resident_mb=f"{node.peak_mb:.0f}", limit_mb=limit_mb)
    node.signal(signal.SIGKILL)


class LagMeter:
    """Measures how late this process itself runs, so that its own delays are not held against the node.

    Attributes:
        worst_s: the longest delay so far, in seconds.
    """

    def __init__(self) -> None:
        self.worst_s = 0.0

    async def run(self) -> None:
        """Measure until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + 0.02
            await asyncio.sleep(0.02)
            self.worst_s = max(self.worst_s, loop.time() - due)


async def play_under_memory_limit(
    record: Record, node: Node, client: Client, load: asyncio.Task[None], limit_mb: float
) -> bool:
    """Wait for the end of the load or the kill of the node, and return whether the rules held.

    The rules are broken if the node was killed for memory, or if a request of the load was not answered, or
    later than LATE_S after its time.
    """
    lag = LagMeter()
    meter = asyncio.create_task(lag.run())
    platform = asyncio.create_task(enforce_memory_limit(record, node, limit_mb))
    await asyncio.wait((platform, load), return_when=asyncio.FIRST_COMPLETED)
    killed = platform.done()
    if killed:
        await asyncio.sleep(0.3)  # the open requests find their connections reset
    lost = sum(a.status == 0 for a in client.answers)
    late = sum(a.status != 0 and a.late_s > LATE_S + lag.worst_s for a in client.answers)
    latest_s = max((a.late_s for a in client.answers if a.status), default=0.0)
    record.say("result", killed_for_memory=killed, peak_mb=f"{node.peak_mb:.0f}", limit_mb=limit_mb)
    record.say("requests", answered=len(client.answers) - lost, not_answered=lost, answered_too_late=late,
               latest_s=f"{latest_s:.2f}", own_lag_s=f"{lag.worst_s:.3f}")  # fmt: skip
    for task in (meter, platform, load):
        task.cancel()
    return not (killed or lost or late)
