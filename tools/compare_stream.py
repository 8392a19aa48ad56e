"""Replay recorded streams of the simulator through the adapter, and compare the replies byte for byte.

    python -m tools.compare_stream FILE...    run from the root of the repository

The simulator records the frames between itself and the adapter processes in a tap file.  A tap file has two
lines for each frame: a heading (direction, process, size) and the bytes in hexadecimal.  Log actions are left
out of the comparison; every other byte of every reply must be the same.  The command prints the processor
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

BATCH_DIRECTION = ">>"


@dataclass(frozen=True, slots=True)
class TapFrame:
    """One frame of a tap file.

    Attributes:
        is_batch: whether the frame is a batch that was sent to the adapter, rather than a reply.
        process: the number of the adapter process that received or sent the frame.
        content: the bytes of the frame.
    """

    is_batch: bool
    process: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Exchange:
    """One batch that was sent to an adapter process, and the reply of the process."""

    process: int
    batch: bytes
    reply: bytes


class StreamMismatchError(Exception):
    """A reply is missing or differs from the recorded reply."""


def read_frames(path: Path) -> Iterator[TapFrame]:
    """Yield the complete frames of a tap file.

    A tap file that reached its size limit ends inside a frame; this last, incomplete frame is left out.
    """
    with path.open("rb") as tap:
        for heading in tap:
            direction, _, process, *_ = heading.decode().replace(",", "").split()
            line = tap.readline()
            if not line.endswith(b"\n"):
                return
            yield TapFrame(direction == BATCH_DIRECTION, int(process), bytes.fromhex(line.decode()))


def read_exchanges(path: Path) -> Iterator[Exchange]:
    """Yield each batch that has a reply in a tap file, with the reply, in the order of the replies."""
    batches: dict[int, bytes] = {}
    for frame in read_frames(path):
        if frame.is_batch:
            batches[frame.process] = frame.content
        else:
            yield Exchange(frame.process, batches.pop(frame.process), frame.content)


def exchanges_by_process(path: Path) -> dict[int, list[Exchange]]:
    """Return the exchanges of a tap file in order, grouped by the number of the adapter process."""
    by_process: dict[int, list[Exchange]] = {}
    for exchange in read_exchanges(path):
        by_process.setdefault(exchange.process, []).append(exchange)
    return by_process


def comparable_actions(frame: bytes) -> list[ActionRecord]:
    """Return the actions of one reply frame in order, without log actions.

    Raises:
        ReplyError: the bytes are not exactly one reply frame.
    """
    replies = list(read_replies(frame))
    if len(replies) != 1:
        raise ReplyError("the bytes of a reply are not exactly one frame")
    return [action for action in replies[0].actions if action.code != ActionCode.LOG_EVENT]


class Adapter:
    """A running adapter process.

    Leaving the context closes the input of the process and waits until the process exits.
    """

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

    def send_batch(self, batch: bytes) -> bytes:
        """Send one batch to the adapter and return its reply frame.

        Raises:
            StreamMismatchError: the adapter exited before it sent the header of its reply.
        """
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(batch)
        self._process.stdin.flush()
        header = self._process.stdout.read(REPLY_HEADER.size)
        if len(header) < REPLY_HEADER.size:
            raise StreamMismatchError("the adapter exited before it sent the header of its reply")
        _, size = REPLY_HEADER.unpack(header)
        return header + self._process.stdout.read(size)


def compare_tap_file(path: Path, command: str) -> int:
    """Compare the replies of every process of one tap file, and return the number of compared replies.

    Raises:
        StreamMismatchError: a reply differs or is missing.
        ReplyError: the bytes of a reply are not exactly one frame.
    """
    compared = 0
    for process, exchanges in exchanges_by_process(path).items():
        compare_process(f"{path}: process {process}", exchanges, command)
        compared += len(exchanges)
    return compared


def compare_process(title: str, exchanges: list[Exchange], command: str) -> None:
    """Send the recorded batches of one process to a new adapter and compare its replies with the recording.

    Raises:
        StreamMismatchError: a reply is missing or differs.  If it differs, the message begins with ``title``.
        ReplyError: the bytes of a reply are not exactly one frame.
    """
    with Adapter(command) as adapter:
        for number, exchange in enumerate(exchanges):
            reply = adapter.send_batch(exchange.batch)
            if comparable_actions(reply) != comparable_actions(exchange.reply):
                raise StreamMismatchError(f"{title}: reply {number} differs from the recorded reply")


def children_seconds() -> float:
    """Return the processor time of all child processes that have exited, in seconds."""
    times = os.times()
    return times.children_user + times.children_system


def main() -> int:
    """Compare all streams; return exit code 0 if every reply is the same, or 1 at the first difference."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("streams", nargs="+", type=Path)
    command = adapter_command()
    for path in parser.parse_args().streams:
        before = children_seconds()
        try:
            compared = compare_tap_file(path, command)
        except (StreamMismatchError, ReplyError) as error:
            print(error, file=sys.stderr)
            return 1
        used = children_seconds() - before
        print(f"{path.name}: {compared} replies are the same, {used:.2f} s of processor time")
    return 0


if __name__ == "__main__":
    sys.exit(main())
