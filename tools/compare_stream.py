"""Plays streams recorded by the simulator's tap through the adapter and compares the replies byte for byte.

    python -m tools.compare_stream FILE...    from the root of the repository

A tap has two lines for each frame: a heading (direction, process, size) and the bytes in hexadecimal.  The
texts of log actions may differ; every other byte of every reply has to be the same.  Prints the processor
time of the adapter for each stream, so that two revisions can be compared on one machine.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from tools.adapter_protocol import (
    REPLY_HEADER,
    ROOT,
    ActionCode,
    ActionRecord,
    ReplyError,
    adapter_command,
    read_replies,
)

WRITTEN_TO_ADAPTER = ">>"


@dataclass(frozen=True, slots=True)
class TapFrame:
    """One frame of a tap.

    Attributes:
        written: whether the frame is a batch that was written to the adapter, not a reply.
        process: the number of the adapter process.
        content: the bytes of the frame.
    """

    written: bool
    process: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Exchange:
    """One batch that was written to an adapter process, and the process's reply."""

    process: int
    batch: bytes
    reply: bytes


class StreamMismatchError(Exception):
    """A reply that is missing or differs from the recorded one; the text names the batch."""


def read_frames(path: Path) -> Iterator[TapFrame]:
    """The complete frames of a tap; a tap that reached its size limit ends inside one, which is left out."""
    with path.open("rb") as tap:
        for heading in tap:
            direction, _, process, *_ = heading.decode().replace(",", "").split()
            line = tap.readline()
            if not line.endswith(b"\n"):
                return
            yield TapFrame(direction == WRITTEN_TO_ADAPTER, int(process), bytes.fromhex(line.decode()))


def read_exchanges(path: Path) -> Iterator[Exchange]:
    """The batches of a tap that have a reply, in the order of the replies."""
    batches: dict[int, bytes] = {}
    for frame in read_frames(path):
        if frame.written:
            batches[frame.process] = frame.content
        else:
            yield Exchange(frame.process, batches.pop(frame.process), frame.content)


def exchanges_by_process(path: Path) -> dict[int, list[Exchange]]:
    """The exchanges of each adapter process of a tap, in order."""
    by_process: dict[int, list[Exchange]] = {}
    for exchange in read_exchanges(path):
        by_process.setdefault(exchange.process, []).append(exchange)
    return by_process


def comparable_actions(frame: bytes) -> list[ActionRecord]:
    """The actions of one reply frame in order, without log actions.

    Raises:
        ReplyError: the bytes are not exactly one reply frame.
    """
    replies = list(read_replies(frame))
    if len(replies) != 1:
        raise ReplyError("a reply's length does not fit its header")
    return [action for action in replies[0].actions if action.code != ActionCode.LOG_EVENT]


class Adapter:
    """A running adapter process; a context manager."""

    def __init__(self, command: str) -> None:
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", command], stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT
        )

    def __enter__(self) -> Adapter:
        return self

    def __exit__(self, *_: object) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait()

    def answer(self, batch: bytes) -> bytes:
        """The adapter's reply frame to one batch."""
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(batch)
        self._process.stdin.flush()
        header = self._process.stdout.read(REPLY_HEADER.size)
        if len(header) < REPLY_HEADER.size:
            raise StreamMismatchError("the adapter ended before its reply")
        _, size = REPLY_HEADER.unpack(header)
        return header + self._process.stdout.read(size)


def compare_tap(path: Path, command: str) -> int:
    """Play the batches of every process of one tap; the number of replies that were compared."""
    compared = 0
    for process, exchanges in exchanges_by_process(path).items():
        compare_process(f"{path}: process {process}", exchanges, command)
        compared += len(exchanges)
    return compared


def compare_process(title: str, exchanges: list[Exchange], command: str) -> None:
    """Play the batches of one process through a new adapter.

    Raises:
        StreamMismatchError: a reply differs; the text begins with the title.
    """
    with Adapter(command) as adapter:
        for number, exchange in enumerate(exchanges):
            reply = adapter.answer(exchange.batch)
            if comparable_actions(reply) != comparable_actions(exchange.reply):
                raise StreamMismatchError(f"{title}: reply {number} differs")


def children_seconds() -> float:
    """Processor seconds of all ended child processes."""
    times = os.times()
    return times.children_user + times.children_system


def main() -> int:
    """Exit code 0 where all streams come back the same, 1 at the first difference."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("streams", nargs="+", type=Path)
    command = adapter_command()
    for path in parser.parse_args().streams:
        before = children_seconds()
        try:
            compared = compare_tap(path, command)
        except (StreamMismatchError, ReplyError) as error:
            print(error, file=sys.stderr)
            return 1
        used = children_seconds() - before
        print(f"{path.name}: {compared} replies the same, {used:.2f} s of processor time")
    return 0


if __name__ == "__main__":
    sys.exit(main())
