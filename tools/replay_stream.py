"""Plays the recorded batches of tests/data/stream.bin through the command that deploy/balancer.toml names.

    python -m tools.replay_stream             play them, from the root of the repository
    python -m tools.replay_stream --record    write the recording anew

``stream_recording`` says what the batches hold.  The frames are written and read without the package's codec.
"""

from __future__ import annotations

import argparse
import os
import struct
import subprocess
import sys
from collections.abc import Iterable

from tools.adapter_protocol import (
    BATCH_HEADER,
    ROOT,
    ActionCode,
    ActionRecord,
    Reply,
    adapter_command,
    read_replies,
)
from tools.stream_recording import STEADY_REQUESTS, recorded_batches

STREAM = ROOT / "tests" / "data" / "stream.bin"
MIN_FORWARDED_BY_CHANGING_INSTANCE = 21
REQUEST_ID = struct.Struct("<4xI")  # after the number of the instance
FAULT_TEXT_OFFSET = 6  # after the number of the instance and the length of the text


def count_batches(stream: bytes) -> int:
    """The number of batch frames in a stream."""
    count = 0
    position = 0
    while position < len(stream):
        size, *_ = BATCH_HEADER.unpack_from(stream, position)
        position += BATCH_HEADER.size + size
        count += 1
    return count


def adapter_output(command: str, stream: bytes, hash_seed: str) -> bytes:
    """The adapter's whole output for a stream."""
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    run = subprocess.run(
        ["/bin/sh", "-c", command], input=stream, capture_output=True, cwd=ROOT, env=environment, check=False
    )
    assert run.returncode == 0, f"exit code {run.returncode}: {run.stderr.decode()}"
    return run.stdout


def requests_of(actions: Iterable[ActionRecord], code: ActionCode) -> set[int]:
    """The requests that actions of this code are about."""
    return {REQUEST_ID.unpack_from(action.fields)[0] for action in actions if action.code == code}


def check(replies: list[Reply]) -> None:
    """Fail where the replies do not suit the recorded events."""
    actions = [action for reply in replies for action in reply.actions]
    for action in actions:
        is_fault = action.code == ActionCode.INSTANCE_FAULT
        assert not is_fault, f"an instance failed: {action.fields[FAULT_TEXT_OFFSET:].decode()}"
    forwarded = requests_of(actions, ActionCode.SEND_ATTEMPT)
    not_forwarded = STEADY_REQUESTS - forwarded
    assert not not_forwarded, f"not forwarded at once: {sorted(not_forwarded)}"
    unserved = requests_of(actions, ActionCode.REJECT_REQUEST) | requests_of(actions, ActionCode.FAIL_REQUEST)
    otherwise_answered = STEADY_REQUESTS & unserved
    assert not otherwise_answered, f"a served request has another answer: {sorted(otherwise_answered)}"
    forwarded_by_changing_instance = forwarded - STEADY_REQUESTS
    assert (
        len(forwarded_by_changing_instance) >= MIN_FORWARDED_BY_CHANGING_INSTANCE
    ), "the second instance hardly forwards"


def record() -> None:
    """Write the recording anew."""
    STREAM.parent.mkdir(exist_ok=True)
    STREAM.write_bytes(b"".join(batch.pack() for batch in recorded_batches()))


def replay() -> None:
    """Play the recording and check the replies; an AssertionError says what does not suit it."""
    command = adapter_command()
    stream = STREAM.read_bytes()
    output = adapter_output(command, stream, "1")
    assert output == adapter_output(command, stream, "2"), "replies depend on the order of a hash table"
    replies = list(read_replies(output))
    assert len(replies) == count_batches(stream), "not one reply for each batch"
    check(replies)
    action_count = sum(len(reply.actions) for reply in replies)
    print(f"recorded stream: {len(replies)} replies, {action_count} actions, as they should be")


def main() -> int:
    """Exit code 0 where all replies suit the recording."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--record", action="store_true", help="write the recording anew")
    if parser.parse_args().record:
        record()
    else:
        replay()
    return 0


if __name__ == "__main__":
    sys.exit(main())
