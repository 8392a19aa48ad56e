"""The process of the bad clients, which a case starts and ends."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter

from review.common.node import ROOT
from review.common.record import Record


class BadClients:
    """The bad clients of a case.

    Attributes:
        answers: how often the node gave each answer.
    """

    def __init__(self, record: Record, kind: str, count: int) -> None:
        self.answers: Counter[str] = Counter()
        self._record = record
        self._kind = kind
        self._count = count
        self._process: asyncio.subprocess.Process | None = None

    async def run(self, port: int, *, after_s: float, length_s: float) -> None:
        """Start the clients after a while, and follow what they print until they end."""
        await asyncio.sleep(after_s)
        self._record.say("bad_clients_start", kind=self._kind, count=self._count, seconds=length_s)
        arguments = [str(port), self._kind, str(self._count), str(length_s)]
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-u", "-m", "review.common.bad_clients", *arguments,
            stdout=asyncio.subprocess.PIPE, cwd=ROOT, env={**os.environ, "PYTHONPATH": str(ROOT)},
        )  # fmt: skip
        assert self._process.stdout is not None
        while line := await self._process.stdout.readline():
            text = line.decode().strip()
            self.answers[text.partition("answer=")[2].rpartition(" after_s")[0]] += 1
            self._record.add("bad", request=text)
        self._record.say("bad_clients_end", answers=dict(self.answers.most_common(4)))

    async def stop(self) -> None:
        """End the process."""
        if self._process is not None:
            if self._process.returncode is None:
                self._process.kill()
            await self._process.wait()
